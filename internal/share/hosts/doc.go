// Package hosts tracks which entry hosts are alive. It detects failures by direct
// heartbeats and spreads state by gossip; names and addresses come from the
// registrations in the table and from the platform's list.
//
// A host registers in the table when it starts and removes its registration when
// it stops. While it runs, liveness is established by heartbeats alone, so it puts
// no load on the table. Every host sends heartbeats to at most FanOut peers of its
// failure domain, at the distances 1, 2, 4, ... on the ring of names: five a second
// to the first four of them and one a second to the others. It also sends one a
// second to two hosts of each other domain. A heartbeat is a call, and news about
// third hosts is piggybacked on it and on its reply.
//
// A peer that has been silent for MissTimeout is probed with a new connection. Only
// if the probe fails as well is the peer suspected, and only if it has not refuted
// the suspicion within SuspectTimeout is it dead. A peer refutes by raising its
// refutation number, which no other host does. A restart raises its incarnation, so
// that the new process is not mistaken for the old one. The states and transitions
// are defined in peer.chart.hujson.
//
// The decisions are made by core, which is given the time and the events and
// returns actions; Node carries them out.
//
// # Usage
//
//	n := &hosts.Node{
//		Self: hosts.Host{
//			Name: "host-1", FailureDomain: "prairie-a", Region: "prairie", Address: l.Addr(),
//		},
//		Link: l, Table: store, List: list, Clock: clock.System(), Log: log, Counters: counters,
//	}
//	n.AddDigest(hosts.Digest{Name: "Manifest", Read: read, OnReceive: onReceive})
//	l.Incarnation = n.Register(ctx) // before the link starts
//	l.Address, l.Admit, l.OnConnected = n.Address, n.Admit, n.Connected
//	err := n.Prepare() // before the link starts
//	go l.Run(ctx)
//	go n.Run(ctx) // after l.Start
//	keeper, ok := hosts.RendezvousWinner("canvas-llm/0", n.View().Eligible("prairie-a"))
//	n.Leave() // takes no new duties
//	n.Stop(ctx)
package hosts
