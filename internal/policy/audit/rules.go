package audit

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

func (a *Auditor) granted(now clock.Millis, d sched.Decision) {
	if r := a.running[d.ID]; r != nil {
		if r.server.Name != d.Server {
			a.report(now, RulePreempt, d.ID,
				"granted on %s while running on %s", d.Server, r.server.Name)
		}
		return
	}
	q, s := a.waiting[d.ID], a.servers[d.Server]
	if q == nil || s == nil {
		a.report(now, RuleUnknown, d.ID,
			"granted on %s, but the request is not waiting or the server is unknown", d.Server)
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
		a.checkStarvation(now, q, s)
	}
	if !q.Spilled {
		q.class.updateLongestGap(now)
		q.granted, q.unserved = now, q.class.unserved
		q.class.unserved = now
	}
	a.dequeue(q)
	a.run(q, s)
}

func (a *Auditor) checkServer(now clock.Millis, q *request, s *server) {
	if s.State != sched.ServerUp || !s.hasModel(q.Model) || s.running >= s.Slots {
		a.report(now, RuleServer, q.ID,
			"granted on %s, which is in state %s, has models %v and runs %d of %d slots",
			s.Name, s.State, s.Models, s.running, s.Slots)
	}
}

func (a *Auditor) checkSpilled(now clock.Millis, q *request) {
	for _, c := range a.order {
		if c.waiting > 0 {
			a.report(now, RuleSpill, q.ID,
				"spilled request granted ahead of %d waiting requests of class %s",
				c.waiting, c.Name)
		}
	}
}

func (a *Auditor) checkTier(now clock.Millis, q *request, s *server) {
	for _, k := range a.cohortList {
		if k.count > 0 && k.class.Tier < q.class.Tier && a.usable(s, k) {
			a.report(now, RuleTier, q.ID,
				"tier %d granted a slot on %s while %d requests of tier %d wait for one",
				q.class.Tier, s.Name, k.count, k.class.Tier)
		}
	}
}

func (a *Auditor) checkFloor(now clock.Millis, q *request, s *server) {
	if !q.class.floorDue(now) {
		a.report(now, RuleFloor, q.ID,
			"floor grant to class %s, unserved for only %d ms, before its floor is due",
			q.Class, now-q.class.unserved)
	}
	a.checkStarvation(now, q, s)
}

// checkStarvation looks for classes with a due floor that are more overdue than the
// granted class and could have used the slot.
func (a *Auditor) checkStarvation(now clock.Millis, q *request, s *server) {
	for _, k := range a.cohortList {
		c := k.class
		if k.count == 0 || c == q.class || !c.floorDue(now) || !a.usable(s, k) {
			continue
		}
		if !q.class.floorDue(now) || c.unserved+c.FloorPeriod < q.class.unserved+q.class.FloorPeriod {
			a.report(now, RuleStarve, q.ID,
				"class %s granted a slot on %s while the floor of class %s is due, unserved since %d ms",
				q.Class, s.Name, c.Name, c.unserved)
		}
	}
}

func (a *Auditor) refused(now clock.Millis, d sched.Decision) {
	q := a.waiting[d.ID]
	if q == nil {
		a.report(now, RuleUnknown, d.ID,
			"refused with reason %s, but the request is not waiting", d.Reason)
		return
	}
	a.dequeue(q)
	switch d.Reason {
	case sched.ReasonShed:
		a.checkShed(now, q)
	case sched.ReasonExpired:
		a.checkReason(now, d, now >= q.GiveUp)
	case sched.ReasonNoServer:
		a.checkReason(now, d, !a.anyServes(q.Model))
	case sched.ReasonNoSpill:
		a.checkReason(now, d, q.Spilled)
	default:
		a.checkReason(now, d, false)
	}
}

func (a *Auditor) checkReason(now clock.Millis, d sched.Decision, holds bool) {
	if !holds {
		a.report(now, RuleTruthful, d.ID,
			"refused with reason %s, whose condition does not hold", d.Reason)
	}
}

func (a *Auditor) checkShed(now clock.Millis, q *request) {
	if q.Begun {
		a.report(now, RuleShed, q.ID, "shed after its answer had begun")
	}
	for _, c := range a.order {
		if !c.begun && c.Tier > q.class.Tier && c.waiting > 1 {
			a.report(now, RuleShed, q.ID,
				"tier %d shed while %d requests of tier %d wait", q.class.Tier, c.waiting, c.Tier)
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

// checkIdle looks for idle servers that are usable for a waiting request. Tiers
// below Headroom.Tier are exempt, since the headroom may withhold the last slots
// from them.
func (a *Auditor) checkIdle(now clock.Millis) {
	for _, s := range a.servers {
		if s.running > 0 || s.Slots == 0 {
			continue
		}
		for _, k := range a.cohortList {
			reserved := a.settings.Headroom.Slots > 0 && k.class.Tier > a.settings.Headroom.Tier
			if k.count > 0 && !reserved && a.usable(s, k) {
				a.report(now, RuleIdle, "",
					"server %s is idle while %d requests of class %s wait",
					s.Name, k.count, k.class.Name)
			}
		}
	}
}
