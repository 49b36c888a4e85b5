// Package sched decides which waiting request of a group of backend servers
// runs next, and where.
//
// A Group holds the waiting and running requests of the backend servers that serve
// one service in one failure domain. It is pure decision code: every call takes the
// current time, nothing blocks, and the caller does the locking. Decisions are
// buffered and fetched with Take.
//
// # Order of service
//
// A free slot goes to the first of these that can use it:
//
//  1. the class whose floor is due: it has waiting requests and has received no
//     slot for half of its FloorPeriod. The most overdue class goes first.
//  2. the most urgent tier. Within the tier, requests of whose answer a part has
//     reached the caller go first, then those that can still meet their deadline,
//     ordered by the latest start that still meets it. Late ones follow, the least
//     late first, so that a request that has missed its target does not make the
//     next one miss its target too.
//     In both groups, requests of workspaces that hold three times their fair share
//     of the tier's slots or more go behind the others.
//
// A request cannot use a slot if the server has not loaded its model, if it is long
// and the server's slots for long requests are taken, or if its tier is less
// urgent than Headroom.Tier and the server has only its headroom left. These tiers
// also cannot use the slots that the tiers up to Headroom.Tier are forecast to need
// from their arrival rate and its growth. A floor grant is exempt from both headroom
// rules, and may exceed the cap on long requests by one slot.
//
// # Shedding
//
// A request is shed when more requests wait than MaxWaiting allows, or when the
// waiting request that is due first could not get a slot within 1.25 times its
// target even if nothing more arrived. Both cases shed by tier alone: the request
// is taken from the least urgent tier that has a class with more than one waiting
// request. The last waiting request of a class is reserved for its floor. A request
// whose answer has begun is never shed and does not count. While a tier has requests
// that have waited longer than that, the less urgent tiers shed first, since their
// requests would not get a slot before those.
//
// Within a class, the workspace with the most waiting requests relative to its
// weight loses one: the one that is due first, or, if too many wait and none is late,
// the one that is due last.
//
// # Usage
//
//	g := sched.New(sched.Settings{Classes: classes, LongTokens: 400, LongShare: 0.25})
//	g.SetServers(now, []sched.Server{{Name: "llm-1", State: sched.ServerUp, Slots: 8}})
//	g.Offer(now, request)
//	for _, d := range g.Take() {
//		// send d to d.Host
//	}
//	g.Progress(now, progress)
//	g.Release(now, done)
//	g.Tick(now) // at least every 50 ms
package sched
