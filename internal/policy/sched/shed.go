package sched

import "siskinsaddle/internal/base/clock"

const (
	// keptWaiting is how many waiting requests of a class are never shed for
	// a higher tier: the one that its floor is given to.
	keptWaiting = 1
	// usefulPart is the part of its target by which a request may begin late.
	usefulPart = 4
	// retryAfterLeast and retryAfterMost bound what a refused caller is told.
	retryAfterLeast = 250 * clock.Millis(1)
	retryAfterMost  = 30 * clock.Second
)

// lowest returns the class that sheds next: in the lowest tier that has a
// class with more than one waiting request, the class with the most of them.
// Requests whose answer has begun do not count.
func (g *Group) lowest() *class {
	for i := len(g.tiers) - 1; i >= 0; i-- {
		var most *class
		for _, c := range g.tiers[i].classes {
			if !c.begun && c.waiting > keptWaiting && (most == nil || c.waiting > most.waiting) {
				most = c
			}
		}
		if most != nil {
			return most
		}
	}
	return nil
}

// bound sheds one request if the offered one made the queues too long. A class
// may outgrow its own bound while lower tiers wait, since then it may not be
// shed, but all together may not outgrow the sum of the bounds.
func (g *Group) bound(now clock.Millis, e *entry) {
	c := g.class(e.Request)
	if c.begun || c.MaxWaiting <= 0 {
		return
	}
	low := g.lowest()
	if low == nil {
		return
	}
	if len(g.waiting) > g.capacity {
		g.shed(low.victim(now))
		return
	}
	if c.waiting > c.MaxWaiting && low.Tier <= c.Tier {
		g.shed(c.victim(now))
	}
}

// shedHopeless sheds requests of the lowest tier that cannot be reached while
// they are of use, even if no further request arrives. If a higher tier has
// requests that are past their use, the lowest tier sheds too, until the
// higher one may: nothing lower would be reached before those.
func (g *Group) shedHopeless(now clock.Millis) {
	for {
		c := g.lowest()
		if c == nil {
			return
		}
		e := c.oldest()
		if now+g.waitEstimate(c.tier) <= e.usefulUntil() && !g.pastUseAbove(now, c.tier) {
			return
		}
		g.shed(e)
	}
}

func (g *Group) pastUseAbove(now clock.Millis, low *tier) bool {
	for _, t := range g.tiers {
		if t == low {
			return false
		}
		for _, c := range t.classes {
			if !c.begun && c.waiting > keptWaiting && c.oldest().usefulUntil() < now {
				return true
			}
		}
	}
	return false
}

// usefulUntil is the time until which a request is kept waiting while there is
// more work than slots: its deadline and a quarter of its target. An answer that
// begins later is late for its caller, and makes others late.
func (e *entry) usefulUntil() clock.Millis {
	return min(e.GiveUp, e.Deadline+(e.Deadline-e.Arrived)/usefulPart)
}

func (g *Group) shed(e *entry) {
	g.remove(e)
	g.refuse(e.Request, ReasonShed)
}

func (g *Group) refuse(r Request, why Reason) {
	g.decide(Decision{ID: r.ID, Host: r.Host, Kind: DecisionRefuse, Reason: why, RetryAfter: g.retryAfter(r)})
}

// retryAfter is when the work that waits ahead of the request will be gone, or
// 0 while no request has ended yet.
func (g *Group) retryAfter(r Request) clock.Millis {
	wait := g.waitEstimate(g.class(r).tier)
	if wait == 0 {
		return 0
	}
	return min(retryAfterMost, max(retryAfterLeast, wait))
}

// waitEstimate is the time in milliseconds after which the work that waits now
// in this tier and above has been given a slot: the slots' time that this work
// will take, over the number of slots. 0 means that nothing waits or nothing
// is known.
func (g *Group) waitEstimate(t *tier) clock.Millis {
	work := 0.0
	for _, u := range g.tiers {
		if u.number > t.number {
			break
		}
		for _, c := range u.classes {
			work += float64(c.waiting) * c.hold
		}
	}
	return clock.Millis(work / float64(max(1, g.totalSlots())))
}
