package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// tickPeers sends the reports that are due and finds keepers that no longer
// answer them.
func (c *core) tickPeers(now clock.Millis) {
	held := map[string]map[groupNumber]*reportMessage{}
	c.setPace()
	for _, a := range c.sorted() {
		if keeper, ok := c.keeperOf(a.group); ok {
			c.addReport(now, keeper, held, a)
		}
	}
	for name, p := range c.peers {
		c.addActive(now, name, p, held)
		// A lost keeper is reported to although nothing is held there, so that
		// its answer shows that it is back.
		if p.lost && held[name] == nil && now-p.reported >= p.pace {
			held[name] = map[groupNumber]*reportMessage{}
		}
	}
	for _, keeper := range sortedKeys(held) {
		c.report(now, keeper, held[keeper])
	}
}

// setPace sets how often each keeper is reported to: ReportEvery while
// something waits there, a first token is news, or it is lost. Otherwise the reports of all hosts of
// the domain together are the same number a second however many hosts there
// are, since that is what the keeper learns from.
func (c *core) setPace() {
	calm := max(ReportEvery, min(reportMost, clock.Millis(c.mates)*reportSpacing))
	for _, p := range c.peers {
		p.pace = calm
		if p.lost {
			p.pace = ReportEvery
		}
	}
	for _, a := range c.asks {
		waits := a.state == stateAsking || a.state == stateQueued
		if waits || a.firstIsNews() {
			c.peer(a.keeper).pace = ReportEvery
		}
	}
}

// addActive adds an empty report for each group in which nothing is left, until
// the keeper confirms that.
func (c *core) addActive(now clock.Millis, name string, p *peerState, held map[string]map[groupNumber]*reportMessage) {
	if now-p.reported < p.pace {
		return
	}
	for group := range p.active {
		if held[name] == nil {
			held[name] = map[groupNumber]*reportMessage{}
		}
		if held[name][group] == nil {
			held[name][group] = &reportMessage{Group: group, Whole: p.whole[group]}
		}
	}
}

// addReport adds one request to the report of its group, if one is due.
func (c *core) addReport(now clock.Millis, keeper string, held map[string]map[groupNumber]*reportMessage, a *ask) {
	p := c.peer(keeper)
	if now-p.reported < p.pace {
		return
	}
	if held[keeper] == nil {
		held[keeper] = map[groupNumber]*reportMessage{}
	}
	m := held[keeper][a.number()]
	if m == nil {
		m = &reportMessage{Group: a.number(), Whole: p.whole[a.number()]}
		held[keeper][a.number()] = m
	}
	if a.state != stateRunning {
		return
	}
	m.Hash += seqHash(a.seq)
	if m.Whole {
		m.Runs = append(m.Runs, runMessage{Ask: newAsk(now, a.number(), a.seq, a.request), Server: a.server})
	}
	if a.worthReporting(now, progressPaces*p.pace) {
		m.Progress = append(m.Progress, newProgress(a.seq, a.progress))
		a.reported = progressMark{at: now, tokens: a.progress.Tokens, first: a.progress.FirstToken >= 0}
	}
}

// worthReporting limits the reports of a long answer: its first token, each
// doubling of its length, and otherwise once each wait.
func (a *ask) worthReporting(now, wait clock.Millis) bool {
	if a.progress.Tokens == 0 && a.progress.FirstToken < 0 {
		return false
	}
	return a.firstIsNews() ||
		a.progress.Tokens >= 2*max(1, a.reported.tokens) ||
		now-a.reported.at >= wait
}

// firstIsNews tells whether the keeper has not heard of the first token. It
// judges servers by the time to it, and must not take the wait for a report for
// the server's.
func (a *ask) firstIsNews() bool {
	return a.state == stateRunning && a.progress.FirstToken >= 0 && !a.reported.first
}

// seqHash spreads a number, so that sums of few differ.
func seqHash(seq uint64) uint64 {
	x := seq * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

func (c *core) report(now clock.Millis, keeper string, reports map[groupNumber]*reportMessage) {
	p := c.peer(keeper)
	p.reported = now
	p.round++
	if p.unheard == 0 {
		p.unheard = now
	}
	if !p.lost && now-p.unheard >= c.waits.Lost {
		p.lost = true
		c.tally("KeeperLost")
	}
	out := c.to(keeper)
	if len(reports) == 0 {
		out.Reports = append(out.Reports, reportMessage{})
	}
	for _, number := range sortedKeys(reports) {
		reports[number].Round = p.round
		out.Reports = append(out.Reports, *reports[number])
		delete(p.whole, number)
	}
}

// onBack takes the answer to a report.
func (c *core) onBack(now clock.Millis, from string, m backMessage) {
	if m.Group == 0 {
		return
	}
	if m.Digest != (sched.Digest{}) {
		c.digests[m.Group] = known{digest: m.Digest, at: now}
	}
	p := c.peer(from)
	if m.WantWhole {
		p.whole[m.Group] = true
	}
	if last, ok := p.active[m.Group]; ok && m.Same && m.Round > last {
		delete(p.active, m.Group)
	}
}

// onRebuild answers a new keeper with what this host runs on its servers.
func (c *core) onRebuild(now clock.Millis, from string, m rebuildMessage) {
	number := numberOf(m.Group)
	answer := rebuiltMessage{Group: number}
	servers := map[string]bool{}
	for _, s := range m.Servers {
		servers[s] = true
	}
	for _, a := range c.sorted() {
		if a.state == stateRunning && servers[a.server] {
			a.group = m.Group
			answer.Runs = append(answer.Runs, runMessage{Ask: newAsk(now, number, a.seq, a.request), Server: a.server})
		}
	}
	p := c.to(from)
	p.Rebuilt = append(p.Rebuilt, answer)
}

// reportWhole sends a keeper the whole list with the next tick.
func (c *core) reportWhole(keeper string, group groupNumber) {
	if keeper == "" {
		return
	}
	p := c.peer(keeper)
	p.whole[group] = true
	p.reported = 0
}

// regroup follows a change in the list of servers: what runs on a server is
// reported to the group that the server now belongs to.
func (c *core) regroup() {
	at := map[string]string{}
	for _, service := range c.seams.services() {
		for _, g := range c.groups(service, c.domain) {
			for _, s := range g.Servers {
				at[s.Name] = g.Name
			}
		}
	}
	for _, a := range c.asks {
		name, ok := at[a.server]
		if !ok || a.state != stateRunning || a.group == name {
			continue
		}
		a.group = name
		if keeper, ok := c.keeperOf(name); ok {
			c.reportWhole(keeper, numberOf(name))
		}
	}
}
