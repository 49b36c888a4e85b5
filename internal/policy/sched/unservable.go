package sched

import (
	"cmp"
	"slices"

	"siskinsaddle/internal/base/clock"
)

// refuseUnservable refuses requests that no server of the group can run any more, in
// order of arrival.
func (g *Group) refuseUnservable() {
	var unservable []*entry
	for _, t := range g.tiers {
		for _, c := range t.classes {
			unservable = g.appendUnservable(unservable, c)
		}
	}
	slices.SortFunc(unservable, bySequence)
	for _, e := range unservable {
		g.remove(e)
		g.refuse(e.Request, ReasonNoServer)
	}
}

func (g *Group) appendUnservable(to []*entry, c *class) []*entry {
	for _, l := range c.lanes {
		if g.anyServes(l.model) {
			continue
		}
		for _, q := range l.queues.items {
			to = append(to, q.entries...)
		}
	}
	return to
}

func bySequence(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) }

// requeueAvoiding reassigns requests that avoid servers to lanes, since the avoided
// servers may be the only ones left.
func (g *Group) requeueAvoiding(now clock.Millis) {
	var avoiding []*entry
	for _, e := range g.waiting {
		if len(e.Avoid) > 0 {
			avoiding = append(avoiding, e)
		}
	}
	for _, e := range avoiding {
		c := e.queue.lane.class
		unservedSince := c.unservedSince
		g.remove(e)
		g.add(now, e)
		c.unservedSince = unservedSince
	}
}
