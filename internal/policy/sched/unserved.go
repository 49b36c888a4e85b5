package sched

import (
	"cmp"
	"slices"

	"siskinsaddle/internal/base/clock"
)

// refuseUnserved refuses what no server of the group can run any more, in the
// order of arrival.
func (g *Group) refuseUnserved() {
	var unserved []*entry
	for _, t := range g.tiers {
		for _, c := range t.classes {
			unserved = g.appendUnserved(unserved, c)
		}
	}
	slices.SortFunc(unserved, bySequence)
	for _, e := range unserved {
		g.remove(e)
		g.refuse(e.Request, ReasonNoServer)
	}
}

func (g *Group) appendUnserved(to []*entry, c *class) []*entry {
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

// requeueAvoiding finds new lanes for requests that avoid servers: those may
// be all that is left.
func (g *Group) requeueAvoiding(now clock.Millis) {
	var avoiding []*entry
	for _, e := range g.waiting {
		if len(e.Avoid) > 0 {
			avoiding = append(avoiding, e)
		}
	}
	for _, e := range avoiding {
		c := e.queue.lane.class
		unserved := c.unserved
		g.remove(e)
		g.add(now, e)
		c.unserved = unserved
	}
}
