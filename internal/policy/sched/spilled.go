package sched

import "siskinsaddle/internal/base/clock"

// offerSpilled grants or refuses a request from another failure domain immediately.
// Such a request never waits, and is granted only while no local request is waiting.
func (g *Group) offerSpilled(now clock.Millis, r Request) {
	g.updateReserve(now)
	n := requirement{
		model: r.Model, tier: g.class(r).Tier,
		long: g.isLong(r.PredictedTokens), avoid: r.Avoid,
	}
	if len(g.waiting) > 0 || !g.canAcceptSpill() || len(g.candidates(n)) == 0 {
		g.refuse(r, ReasonNoSpill)
		return
	}
	s := g.choose(now, r, n)
	g.start(now, r, s)
	g.decide(Decision{ID: r.ID, Host: r.Host, Kind: DecisionGrant, Server: s.Name})
}

// canAcceptSpill reports whether one more spilled request stays within SpillShare.
func (g *Group) canAcceptSpill() bool {
	spilled := 0
	for _, s := range g.servers {
		spilled += s.spilled
	}
	return float64(spilled+1) <= g.settings.SpillShare*float64(g.totalSlots())
}
