// Package keeper schedules each group of backend servers in one place for all
// entry hosts of a failure domain.
//
// The backend servers of a service in a failure domain are split into groups
// of at most GroupSize. Each group has one keeper: the live host of the domain
// that wins the rendezvous hash on the group's name. A host asks the keeper
// for a grant, sends the body directly to the backend server, reports the
// request's progress, and ends the grant. The keeper runs a decide.Decider.
//
// Each host's record of its own requests is authoritative; a keeper's state can
// be rebuilt from these records. A new keeper first asks every host of the
// domain which requests it runs, and grants nothing until all have answered or
// Timeouts.Rebuild has passed. Reports carry a hash of the running requests, so
// that a keeper detects lost messages and asks for the full list.
//
// A host considers a keeper lost that does not answer a grant request within
// Timeouts.GrantRequest, or a report within Timeouts.Report. In this fallback
// mode the host decides alone, with its own decide.Decider on its share of every
// server's slots, until the keeper answers again or another one is chosen. The
// shares of all hosts add up to the slots, except that a host always has one slot
// in the group.
//
// The requester and keeper logic does no I/O: core takes the current time and
// an event, and leaves packets to send and results. Node connects it to the
// clock and the network. All messages of one step to one peer travel in one
// packet. Messages carry remaining times instead of timestamps, since the
// clocks of different hosts are not comparable.
//
// # Usage
//
//	n := &keeper.Node{
//		Name: "host-1", Incarnation: incarnation, FailureDomain: "prairie-a", Link: l,
//		Services: services, Servers: servers, Settings: settings,
//		Clock: clock.System(), Log: log, Counters: counters,
//	}
//	n.Prepare()                      // before the link starts
//	members.OnChange(n.ViewChanged)  // keepers follow the membership
//	members.AddDigest(hosts.Digest{
//		Name: "Keep", OtherDomainsOnly: true, Read: n.Digest, OnReceive: n.DigestSeen,
//	})
//	go n.Run(ctx)
//
//	grant, refusal, err := n.RequestGrant(ctx, request)
//	...
//	n.Progress(sched.Progress{ID: request.ID, Tokens: 12, FirstToken: 180, BetweenTokens: 31})
//	n.Done(sched.Done{Progress: last, Outcome: sched.OutcomeDone})
package keeper
