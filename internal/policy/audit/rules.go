package audit

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

func (a *Auditor) granted(now clock.Millis, d sched.Decision) {
	if r := a.running[d.ID]; r != nil {
		if r.server.Name != d.Server {
			a.find(now, RulePreempt, d.ID, "granted on %s while it runs on %s", d.Server, r.server.Name)
		}
		return
	}
	q, s := a.waiting[d.ID], a.servers[d.Server]
	if q == nil || s == nil {
		a.find(now, RuleUnknown, d.ID, "granted on %s, but does not wait or the server is not listed", d.Server)
		return
	}
	a.checkServer(now, q, s)
	switch {
	case q.Spilled:
		a.checkSpilled(now, q)
	case d.Floor:
		a.checkFloor(now, q, s)
	default:
		a.checkTier(now, q, s)
		a.checkStarving(now, q, s)
	}
	if !q.Spilled {
		q.class.measure(now)
		q.granted, q.unserved = now, q.class.unserved
		q.class.unserved = now
	}
	a.leave(q)
	a.run(q, s)
}

func (a *Auditor) checkServer(now clock.Millis, q *request, s *server) {
	if s.State != sched.ServerUp || !s.hasModel(q.Model) || s.running >= s.Slots {
		a.find(now, RuleServer, q.ID, "granted on %s, which is %s, has models %v and runs %d of %d", s.Name, s.State, s.Models, s.running, s.Slots)
	}
}

func (a *Auditor) checkSpilled(now clock.Millis, q *request) {
	for _, c := range a.order {
		if c.waiting > 0 {
			a.find(now, RuleSpill, q.ID, "work of another failure domain goes ahead of %d of class %s", c.waiting, c.Name)
		}
	}
}

func (a *Auditor) checkTier(now clock.Millis, q *request, s *server) {
	for _, k := range a.listed {
		if k.count > 0 && k.class.Tier < q.class.Tier && a.usable(s, k) {
			a.find(now, RuleTier, q.ID, "tier %d is granted %s while %d of tier %d wait for it", q.class.Tier, s.Name, k.count, k.class.Tier)
		}
	}
}

func (a *Auditor) checkFloor(now clock.Millis, q *request, s *server) {
	if !q.class.due(now) {
		a.find(now, RuleFloor, q.ID, "class %s was granted %d ms ago and its floor is not due", q.Class, now-q.class.unserved)
	}
	a.checkStarving(now, q, s)
}

// checkStarving looks for classes that are due, and more overdue than the
// granted one, that could have used the slot.
func (a *Auditor) checkStarving(now clock.Millis, q *request, s *server) {
	for _, k := range a.listed {
		c := k.class
		if k.count == 0 || c == q.class || !c.due(now) || !a.usable(s, k) {
			continue
		}
		if !q.class.due(now) || c.unserved+c.FloorPeriod < q.class.unserved+q.class.FloorPeriod {
			a.find(now, RuleStarve, q.ID, "class %s is granted %s while class %s waits for its floor since %d", q.Class, s.Name, c.Name, c.unserved)
		}
	}
}

func (a *Auditor) refused(now clock.Millis, d sched.Decision) {
	q := a.waiting[d.ID]
	if q == nil {
		a.find(now, RuleUnknown, d.ID, "refused as %s, but does not wait", d.Reason)
		return
	}
	a.leave(q)
	switch d.Reason {
	case sched.ReasonShed:
		a.checkShed(now, q)
	case sched.ReasonExpired:
		a.truthful(now, d, now >= q.GiveUp)
	case sched.ReasonNoServer:
		a.truthful(now, d, !a.anyServes(q.Model))
	case sched.ReasonNoSpill:
		a.truthful(now, d, q.Spilled)
	default:
		a.truthful(now, d, false)
	}
}

func (a *Auditor) truthful(now clock.Millis, d sched.Decision, holds bool) {
	if !holds {
		a.find(now, RuleTruthful, d.ID, "refused as %s, which does not hold", d.Reason)
	}
}

func (a *Auditor) checkShed(now clock.Millis, q *request) {
	if q.Begun {
		a.find(now, RuleShed, q.ID, "shed though its answer has begun")
	}
	for _, c := range a.order {
		if !c.begun && c.Tier > q.class.Tier && c.waiting > 1 {
			a.find(now, RuleShed, q.ID, "tier %d is shed while %d of tier %d wait", q.class.Tier, c.waiting, c.Tier)
		}
	}
}

func (a *Auditor) anyServes(model string) bool {
	for _, s := range a.servers {
		if (s.State == sched.ServerUp || s.State == sched.ServerSuspect) && s.hasModel(model) {
			return true
		}
	}
	return false
}

// checkIdle looks for servers that run nothing while a request waits for them.
// A tier below the headroom's may be kept from the last slots.
func (a *Auditor) checkIdle(now clock.Millis) {
	for _, s := range a.servers {
		if s.running > 0 || s.Slots == 0 {
			continue
		}
		for _, k := range a.listed {
			kept := a.settings.Headroom.Slots > 0 && k.class.Tier > a.settings.Headroom.Tier
			if k.count > 0 && !kept && a.usable(s, k) {
				a.find(now, RuleIdle, "", "%s runs nothing while %d of class %s wait", s.Name, k.count, k.class.Name)
			}
		}
	}
}
