package sched

import "siskinsaddle/internal/base/clock"

// dispatch grants free slots until none is left that a waiting request can use.
func (g *Group) dispatch(now clock.Millis) {
	for len(g.waiting) > 0 && g.freeSlots() > 0 {
		g.updateReserve(now)
		if g.grantFloor(now) {
			continue
		}
		if !g.grantTier(now) {
			return
		}
	}
}

// grantTier grants a slot to the most urgent tier that can use one.
func (g *Group) grantTier(now clock.Millis) bool {
	for _, t := range g.tiers {
		t.refresh()
		var best *queue
		for _, c := range t.classes {
			best = g.better(best, c, false)
		}
		if best != nil {
			g.grant(now, best.head(), false)
			return true
		}
	}
	return false
}

// better returns the queue to serve first, among best and the class's queues that
// can use a slot.
func (g *Group) better(best *queue, c *class, floor bool) *queue {
	for _, l := range c.lanes {
		top := l.queues.top()
		if best != nil && !serviceBefore(top, best) {
			continue
		}
		if g.usable(l, floor) {
			best = top
		}
	}
	return best
}

func (l *lane) requirement(floor bool) requirement {
	return requirement{model: l.model, tier: l.class.Tier, long: l.long, avoid: l.avoid, floor: floor}
}

func (g *Group) usable(l *lane, floor bool) bool {
	n := l.requirement(floor)
	for _, s := range g.servers {
		if g.fits(s, n) {
			return true
		}
	}
	return false
}

func (g *Group) grant(now clock.Millis, e *entry, floor bool) {
	n := e.queue.lane.requirement(floor)
	c := e.queue.lane.class
	s := g.choose(now, e.Request, n)
	g.remove(e)
	g.start(now, e.Request, s).unservedSince = c.unservedSince
	c.unservedSince = now
	g.decide(Decision{ID: e.ID, Host: e.Host, Kind: DecisionGrant, Server: s.Name, Floor: floor})
}

// choose returns the server for a request. At least one server must fit.
func (g *Group) choose(now clock.Millis, r Request, n requirement) *server {
	among := g.candidates(n)
	at := -1
	if g.settings.Choose != nil {
		at = g.settings.Choose(now, r, among)
	}
	if at < 0 || at >= len(among) {
		at = mostFree(among)
	}
	return g.byName[among[at].Server]
}

// start registers a running request.
func (g *Group) start(now clock.Millis, r Request, s *server) *run {
	v := &run{Request: r, server: s, usage: g.usageOf(r), granted: now, long: g.isLong(r.PredictedTokens)}
	g.running[r.ID] = v
	v.usage.addRunning(1)
	s.running++
	if v.long {
		s.long++
	}
	if r.Spilled {
		s.spilled++
	}
	return v
}

// freeSlot removes a running request.
func (g *Group) freeSlot(r *run) {
	delete(g.running, r.ID)
	r.usage.addRunning(-1)
	r.usage.release()
	r.server.running--
	if r.long {
		r.server.long--
	}
	if r.Spilled {
		r.server.spilled--
	}
}

// stop removes a running request and updates the class's statistics.
func (g *Group) stop(now clock.Millis, r *run, d Done) {
	g.freeSlot(r)
	c := g.class(r.Request)
	if d.Outcome.Lost() {
		c.revertGrant(r, d)
		return
	}
	c.observeHoldTime(now - r.granted)
}

// observe processes a progress report. A request that has exceeded LongTokens counts
// as long from now on, and the server's limit adapts to the time between tokens.
func (g *Group) observe(now clock.Millis, r *run, p Progress) {
	if !r.long && g.isLong(p.Tokens) {
		r.long = true
		r.server.long++
	}
	s := r.server
	s.limiter.observe(now, p.BetweenTokens, g.class(r.Request).BetweenTokensTarget,
		s.running >= s.limiter.limit())
}
