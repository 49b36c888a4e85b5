// Package sched decides which waiting request of a group of backend servers
// runs next, and where.
//
// A Group holds the waiting and the running requests of a few backend servers
// that serve the same service in one failure domain. It is pure decision code:
// every call is given a clock reading, nothing in it blocks, and the caller
// locks. Decisions pile up inside and are fetched with Take.
//
// # Order of service
//
// A free slot goes to the first of these that can use it:
//
//  1. the class whose floor is due: it has waiting work and has been given no
//     slot for half of its FloorPeriod. The most overdue class goes first.
//  2. the most urgent tier. Within the tier, requests whose answer has begun
//     elsewhere go first, then those that can still meet their deadline, by the
//     time at which they must start. Late ones follow, the least late first, so
//     that a request whose target is lost does not cost the next one its target
//     too. Of both, requests of workspaces that hold three times their fair
//     share of the tier's slots or more go behind the others.
//
// A slot is of no use to a request whose model the server has not loaded, to
// long work on a server whose slots for long work are taken, and to tiers
// below Headroom.Tier on a server that has only its headroom left. These tiers
// are also kept from the slots that the tiers of the headroom will need if
// their requests go on arriving, and arriving faster, as they do. A floor may
// use all of these, and one slot for long work above the cap.
//
// # Shedding
//
// A queue that is full sheds, and so does one whose oldest request could not be
// given a slot within its target and a quarter even if nothing more arrived. Both shed
// by tier alone: the request comes from the lowest tier that has a class with
// more than one waiting request. The one request that each class keeps is what
// its floor is given to. A request whose answer has begun is not shed and does
// not count. While a tier has requests that have waited longer than
// that, the tiers below it shed until that one may: they would not be reached
// before it.
//
// Within a class the workspace with the most waiting requests for its weight
// loses one: the oldest, or for a full queue without late requests the newest.
//
// # Usage
//
//	g := sched.New(sched.Settings{Classes: classes, LongTokens: 400, LongShare: 0.25})
//	g.SetServers(now, []sched.Server{{Name: "llm-1", State: sched.ServerUp, Slots: 8}})
//	g.Offer(now, request)
//	for _, d := range g.Take() {
//		// tell d.Host
//	}
//	g.Progress(now, progress)
//	g.Release(now, done)
//	g.Tick(now) // at least every 50 ms
package sched
