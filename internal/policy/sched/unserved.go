package sched

import "siskinsaddle/internal/base/clock"

// refuseUnserved refuses what no server of the group can run any more.
func (g *Group) refuseUnserved() {
	for _, t := range g.tiers {
		for _, c := range t.classes {
			for i := len(c.lanes) - 1; i >= 0; i-- {
				if !g.anyServes(c.lanes[i].model) {
					g.refuseLane(c.lanes[i])
				}
			}
		}
	}
}

func (g *Group) refuseLane(l *lane) {
	for l.queues.Len() > 0 {
		e := l.queues.top().head()
		g.remove(e)
		g.refuse(e.Request, ReasonNoServer)
	}
}

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
