// Package keeper makes one decision for each group of backend servers, over all
// entry hosts of a failure domain.
//
// The backend servers of a service in a failure domain are split into groups
// of at most GroupSize. Each group has one keeper: the live host of the domain
// that wins the rendezvous hash on the group's name. A host asks the keeper
// for a grant, sends the body straight to the backend server, reports what it
// sees of the request, and ends the grant. The keeper runs a sched.Group.
//
// What a host holds of its own requests is the truth; what a keeper holds can
// be rebuilt from it. A new keeper first asks every host of the domain what it
// runs, and grants nothing before all have answered or Waits.Rebuild has passed.
// Reports carry a hash of the running requests, so that a keeper notices what
// was lost on the way and asks for the whole list.
//
// A keeper that does not answer an ask within Waits.Ask, or a report
// within Waits.Lost, is lost to the host that asked. The host then decides alone, with
// a sched.Group of its own on its share of every server's slots, until the
// keeper is heard again or another one is chosen. The shares of all hosts add
// up to the slots, except that a host always has one slot in the group.
//
// The code of asker and keeper is pure: core takes the time and what happened,
// and leaves packets and results. Node is its edge. All that goes from one
// step to one peer travels in one packet. Points in time never travel, since
// the clocks of hosts do not compare; remaining times do.
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
//	members.AddDigest(hosts.Digest{Name: "Keep", FarOnly: true, Read: n.Digest, Seen: n.DigestSeen})
//	go n.Run(ctx)
//
//	grant, refusal, err := n.Ask(ctx, request)
//	...
//	n.Progress(sched.Progress{ID: request.ID, Tokens: 12, FirstToken: 180, BetweenTokens: 31})
//	n.Done(sched.Done{Progress: last, Outcome: sched.OutcomeDone})
package keeper
