package sched

import "siskinsaddle/internal/base/clock"

const (
	// reservedForFloor is the number of waiting requests of a class that are never
	// shed for a more urgent tier, so that its floor has a request to serve.
	reservedForFloor = 1
	// lateDivisor gives the part of its target by which a request may begin late:
	// a quarter.
	lateDivisor = 4
	// minRetryAfter and maxRetryAfter bound the delay returned to refused callers.
	minRetryAfter = 250 * clock.Millis(1)
	maxRetryAfter = 30 * clock.Second
)

// nextToShed returns the class to shed from: in the least urgent tier that has a class
// with more than one waiting request, the class with the most. Requests whose answer
// has begun do not count.
func (g *Group) nextToShed() *class {
	for i := len(g.tiers) - 1; i >= 0; i-- {
		var most *class
		for _, c := range g.tiers[i].classes {
			if !c.begun && c.waiting > reservedForFloor && (most == nil || c.waiting > most.waiting) {
				most = c
			}
		}
		if most != nil {
			return most
		}
	}
	return nil
}

// enforceCapacity sheds one request if the offered one exceeds MaxWaiting. A
// class may exceed its own bound while less urgent tiers have sheddable requests, since
// then it must not be shed, but the total must not exceed the sum of the bounds.
func (g *Group) enforceCapacity(now clock.Millis, e *entry) {
	c := g.class(e.Request)
	if c.begun || c.MaxWaiting <= 0 {
		return
	}
	least := g.nextToShed()
	if least == nil {
		return
	}
	if len(g.waiting) > g.capacity {
		g.shed(least.entryToShed(now))
		return
	}
	if c.waiting > c.MaxWaiting && least.Tier <= c.Tier {
		g.shed(c.entryToShed(now))
	}
}

// shedTooLate sheds requests of the least urgent tier with sheddable requests that
// could not get a slot before usefulUntil even if no further request arrived. While a
// more urgent tier has requests past usefulUntil, the least urgent tier sheds whatever
// its own estimate, since none of its requests would get a slot before those.
func (g *Group) shedTooLate(now clock.Millis) {
	for {
		c := g.nextToShed()
		if c == nil {
			return
		}
		e := c.earliestDue()
		if now+g.waitEstimate(c.tier) <= e.usefulUntil() && !g.moreUrgentTooLate(now, c.tier) {
			return
		}
		g.shed(e)
	}
}

func (g *Group) moreUrgentTooLate(now clock.Millis, least *tier) bool {
	for _, t := range g.tiers {
		if t == least {
			return false
		}
		for _, c := range t.classes {
			if !c.begun && c.waiting > reservedForFloor && c.earliestDue().usefulUntil() < now {
				return true
			}
		}
	}
	return false
}

// usefulUntil returns the time until which a request is kept waiting under overload:
// its deadline plus a quarter of its target. An answer that begins later is late for
// its caller and delays other requests.
func (e *entry) usefulUntil() clock.Millis {
	return min(e.GiveUp, e.Deadline+(e.Deadline-e.Arrived)/lateDivisor)
}

func (g *Group) shed(e *entry) {
	g.remove(e)
	g.refuse(e.Request, ReasonShed)
}

func (g *Group) refuse(r Request, why Reason) {
	g.decide(Decision{ID: r.ID, Host: r.Host, Kind: DecisionRefuse, Reason: why, RetryAfter: g.retryAfter(r)})
}

// retryAfter returns waitEstimate for the request's tier, clamped to the range from
// minRetryAfter to maxRetryAfter, or 0 if there is no estimate.
func (g *Group) retryAfter(r Request) clock.Millis {
	wait := g.waitEstimate(g.class(r).tier)
	if wait == 0 {
		return 0
	}
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// waitEstimate returns the time, in milliseconds, until all requests now waiting in
// this tier and in more urgent ones have received a slot: the sum of their expected hold times
// divided by the number of slots. 0 means that no request is waiting or none has
// ended yet.
func (g *Group) waitEstimate(t *tier) clock.Millis {
	work := 0.0
	for _, u := range g.tiers {
		if u.number > t.number {
			break
		}
		for _, c := range u.classes {
			work += float64(c.waiting) * c.holdTime
		}
	}
	return clock.Millis(work / float64(max(1, g.totalSlots())))
}
