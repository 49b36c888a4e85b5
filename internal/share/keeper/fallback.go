package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// startFallback queues a request in this host's fallback group, which schedules on
// the host's share of the slots. A spilled request is placed in the own domain
// instead.
func (c *core) startFallback(now clock.Millis, lr *localRequest) {
	if c.endSpill(now, lr) {
		return
	}
	c.countEvent("Alone")
	lr.state, lr.stateSince = stateFallback, now
	d, ok := c.fallbacks[lr.group]
	if !ok {
		d = c.openFallback(now, lr.group)
	}
	d.offer(now, lr.request)
}

// openFallback creates this host's fallback group and adds the requests that the
// host already runs there by the keeper's grants, so that they count against its
// share.
func (c *core) openFallback(now clock.Millis, name string) *decider {
	service, domain := parseGroup(name)
	settings, _ := c.deps.settings(service)
	d := newDecider(settings, nil)
	if full, ok := c.findGroup(name); ok {
		d.setServers(now, localShare(full, c.self.Name, c.view.Eligible(domain)).Servers)
	}
	for _, lr := range c.sortedRequests() {
		if lr.group == name && lr.state == stateRunning {
			d.adopt(now, lr.request, lr.server)
		}
	}
	c.fallbacks[name] = d
	return d
}

// onFallbackDecision handles a decision of this host's fallback group.
func (c *core) onFallbackDecision(now clock.Millis, d sched.Decision) {
	lr, ok := c.byID[d.ID]
	if !ok || lr.state != stateFallback {
		return
	}
	lr.fallback = true
	if d.Kind == sched.DecisionGrant {
		c.startRunning(now, lr, d.Server, d.Floor)
		return
	}
	c.onRefusal(now, lr, Refusal{
		Reason: d.Reason, RetryAfter: d.RetryAfter, Keeper: lr.keeper, Fallback: true,
	})
}

// refreshFallbacks drops the fallback groups that have no waiting requests and
// whose keeper answers, and updates the servers of the others.
func (c *core) refreshFallbacks(now clock.Millis) {
	waiting := map[string]bool{}
	for _, lr := range c.requests {
		if lr.state == stateFallback {
			waiting[lr.group] = true
		}
	}
	for _, name := range sortedKeys(c.fallbacks) {
		keeper, ok := c.keeperOf(name)
		if ok && !c.peer(keeper).lost && !waiting[name] {
			delete(c.fallbacks, name)
			continue
		}
		if full, ok := c.findGroup(name); ok {
			_, domain := parseGroup(name)
			c.fallbacks[name].setServers(now, localShare(full, c.self.Name, c.view.Eligible(domain)).Servers)
		}
	}
}
