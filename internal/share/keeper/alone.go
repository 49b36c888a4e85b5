package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// goAlone lets this host decide on its share of the slots.
func (c *core) goAlone(now clock.Millis, a *ask) {
	if c.comeBack(now, a) {
		return
	}
	c.tally("Alone")
	a.state, a.since = stateAlone, now
	g, ok := c.alone[a.group]
	if !ok {
		g = c.openAlone(now, a.group)
	}
	g.offer(now, a.request)
}

// openAlone makes this host's own group and enters what the host already runs
// there by the keeper's grants, so that they count against its share.
func (c *core) openAlone(now clock.Millis, name string) *decider {
	service, domain := parseGroup(name)
	settings, _ := c.seams.settings(service)
	g := newDecider(settings, nil)
	if whole, ok := c.groupNamed(name); ok {
		g.setServers(now, shareOf(whole, c.self.Name, c.view.Duty(domain)).Servers)
	}
	for _, a := range c.sorted() {
		if a.group == name && a.state == stateRunning {
			g.adopt(now, a.request, a.server)
		}
	}
	c.alone[name] = g
	return g
}

// onAlone takes a decision of this host's own group.
func (c *core) onAlone(now clock.Millis, d sched.Decision) {
	a, ok := c.byID[d.ID]
	if !ok || a.state != stateAlone {
		return
	}
	a.fallback = true
	if d.Kind == sched.DecisionGrant {
		c.run(now, a, d.Server, d.Floor)
		return
	}
	c.refused(now, a, Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter, Keeper: a.keeper, Fallback: true})
}

// closeAlone drops the own groups in which nothing waits any more and whose
// keeper answers, and follows the list of servers in the others.
func (c *core) closeAlone(now clock.Millis) {
	waits := map[string]bool{}
	for _, a := range c.asks {
		if a.state == stateAlone {
			waits[a.group] = true
		}
	}
	for _, name := range sortedKeys(c.alone) {
		keeper, ok := c.keeperOf(name)
		if ok && !c.peer(keeper).lost && !waits[name] {
			delete(c.alone, name)
			continue
		}
		if whole, ok := c.groupNamed(name); ok {
			_, domain := parseGroup(name)
			c.alone[name].setServers(now, shareOf(whole, c.self.Name, c.view.Duty(domain)).Servers)
		}
	}
}
