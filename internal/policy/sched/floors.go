package sched

import "siskinsaddle/internal/base/clock"

// floorDue tells whether the class has waited for half of its floor period. It
// acts at half, so that a slot has the other half to become free.
func (c *class) floorDue(now clock.Millis) bool {
	return c.waiting > 0 && now-c.unserved >= c.FloorPeriod/2
}

// grantFloor grants to the most overdue class that can use a slot. Without one
// it does nothing.
func (g *Group) grantFloor(now clock.Millis) bool {
	var best *queue
	var due *class
	for _, t := range g.tiers {
		for _, c := range t.classes {
			if !c.floorDue(now) || (due != nil && c.floorEnd() >= due.floorEnd()) {
				continue
			}
			t.refresh()
			if q := g.better(nil, c, true); q != nil {
				best, due = q, c
			}
		}
	}
	if best == nil {
		return false
	}
	g.grant(now, best.head(), true)
	return true
}

// unserve takes back the service of a grant that gave no token, because its
// server was lost: the class is as overdue as it was before, unless it has been
// granted another slot since.
func (c *class) unserve(r *run, d Done) {
	if d.Tokens == 0 && c.unserved == r.granted {
		c.unserved = r.unserved
	}
}

func (c *class) floorEnd() clock.Millis { return c.unserved + c.FloorPeriod }
