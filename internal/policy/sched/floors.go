package sched

import "siskinsaddle/internal/base/clock"

// floorDue reports whether the class has been unserved for half of its floor period.
// The other half is left for a slot to become free.
func (c *class) floorDue(now clock.Millis) bool {
	return c.waiting > 0 && now-c.unservedSince >= c.FloorPeriod/2
}

// grantFloor grants a slot to the most overdue class that can use one, and reports
// whether there was one.
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

// revertGrant restores unservedSince after a grant that produced no token because
// its server was lost: the class is as overdue as before, unless it has received
// another slot since.
func (c *class) revertGrant(r *run, d Done) {
	if d.Tokens == 0 && c.unservedSince == r.granted {
		c.unservedSince = r.unservedSince
	}
}

func (c *class) floorEnd() clock.Millis { return c.unservedSince + c.FloorPeriod }
