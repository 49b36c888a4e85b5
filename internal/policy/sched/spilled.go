package sched

import "siskinsaddle/internal/base/clock"

// offerSpilled grants a request of another failure domain at once or refuses
// it: it never waits, and it is granted only while no local request waits.
func (g *Group) offerSpilled(now clock.Millis, r Request) {
	g.updateReserve(now)
	n := need{model: r.Model, tier: g.class(r).Tier, long: g.isLong(r.PredictedTokens), avoid: r.Avoid}
	if len(g.waiting) > 0 || !g.spillRoom() || len(g.candidates(n)) == 0 {
		g.refuse(r, ReasonNoSpill)
		return
	}
	s := g.choose(now, r, n)
	g.start(now, r, s)
	g.decide(Decision{ID: r.ID, Host: r.Host, Kind: DecisionGrant, Server: s.Name})
}

// spillRoom tells whether spilled work holds less than its share of the slots.
func (g *Group) spillRoom() bool {
	spilled := 0
	for _, s := range g.servers {
		spilled += s.spilled
	}
	return float64(spilled+1) <= g.settings.SpillShare*float64(g.totalSlots())
}
