// Package hosts knows which entry hosts of the system are there: membership by
// direct heartbeats, with the table's registrations and the platform's list as
// sources of names and addresses.
//
// A host registers in the table when it starts and removes its registration
// when it stops. While it runs, heartbeats alone tell the others that it is
// alive, so the table carries no load for that. Every host beats to at most
// FanOut peers of its failure domain, at the distances 1, 2, 4, ... on the
// ring of names, the first four of them five times a second and the others
// once, and once a second to a few of each other domain. A beat is a call, and
// news about third hosts rides on it and on its reply.
//
// A peer that has not been heard for MissWait is dialled afresh. Only when
// that fails as well is it suspected, and only when it has not refuted the
// suspicion within SuspectWait is it dead. It refutes by raising its
// refutation number, which only itself does. A restart raises its incarnation,
// so that the new process is not taken for the old one. The states and moves
// stand in peer.chart.hujson.
//
// The decisions are made by core, which is given the time and what happened
// and returns what to do; Node carries that out.
//
// # Usage
//
//	n := &hosts.Node{
//		Self: hosts.Host{Name: "host-1", FailureDomain: "prairie-a", Region: "prairie", Address: l.Addr()},
//		Link: l, Table: store, List: list, Clock: clock.System(), Log: log, Counters: counters,
//	}
//	n.AddDigest(hosts.Digest{Name: "Manifest", Read: read, Seen: seen})
//	incarnation, err := n.Register(ctx) // before the link starts
//	l.Incarnation = incarnation
//	go n.Run(ctx)
//	keeper, ok := hosts.Winner("canvas-llm/0", n.View().Duty("prairie-a"))
//	n.Leave() // no more duties
//	n.Stop(ctx)
package hosts
