package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// tickPeers sends the reports that are due and detects keepers that no longer answer
// them.
func (c *core) tickPeers(now clock.Millis) {
	reports := map[string]map[groupID]*reportMessage{}
	c.setReportIntervals()
	for _, lr := range c.sortedRequests() {
		if keeper, ok := c.keeperOf(lr.group); ok {
			c.addReport(now, keeper, reports, lr)
		}
	}
	for name, p := range c.peers {
		c.addUnconfirmed(now, name, p, reports)
		// A lost keeper gets an empty report even if it holds nothing, so that its
		// answer shows that it is back.
		if p.lost && reports[name] == nil && now-p.lastReport >= p.reportInterval {
			reports[name] = map[groupID]*reportMessage{}
		}
	}
	for _, keeper := range sortedKeys(reports) {
		c.sendReports(now, keeper, reports[keeper])
	}
}

// setReportIntervals sets how often each keeper gets reports: every ReportInterval
// while requests wait there, a first token is unreported, or it is lost. Otherwise the
// interval grows with the number of hosts in the domain, so that the keeper, which
// learns from all of them, gets the same number of reports a second in total.
func (c *core) setReportIntervals() {
	idleInterval := max(ReportInterval, min(maxReportInterval, clock.Millis(c.domainHosts)*reportSpacing))
	for _, p := range c.peers {
		p.reportInterval = idleInterval
		if p.lost {
			p.reportInterval = ReportInterval
		}
	}
	for _, lr := range c.requests {
		waiting := lr.state == stateAsking || lr.state == stateQueued
		if waiting || lr.firstTokenUnreported() {
			c.peer(lr.keeper).reportInterval = ReportInterval
		}
	}
}

// addUnconfirmed adds an empty report for each group in which this host has no requests
// left, until the keeper confirms that.
func (c *core) addUnconfirmed(
	now clock.Millis, name string, p *peerState, reports map[string]map[groupID]*reportMessage,
) {
	if now-p.lastReport < p.reportInterval {
		return
	}
	for gid := range p.unconfirmed {
		if reports[name] == nil {
			reports[name] = map[groupID]*reportMessage{}
		}
		if reports[name][gid] == nil {
			reports[name][gid] = &reportMessage{Group: gid, Full: p.wantsFullList[gid]}
		}
	}
}

// addReport adds one request to the report of its group, if one is due.
func (c *core) addReport(
	now clock.Millis, keeper string, reports map[string]map[groupID]*reportMessage, lr *localRequest,
) {
	p := c.peer(keeper)
	if now-p.lastReport < p.reportInterval {
		return
	}
	if reports[keeper] == nil {
		reports[keeper] = map[groupID]*reportMessage{}
	}
	m := reports[keeper][lr.groupID()]
	if m == nil {
		m = &reportMessage{Group: lr.groupID(), Full: p.wantsFullList[lr.groupID()]}
		reports[keeper][lr.groupID()] = m
	}
	if lr.state != stateRunning {
		return
	}
	m.Hash += seqHash(lr.seq)
	if m.Full {
		m.Running = append(m.Running, runningMessage{
			Request: newGrantRequestMessage(now, lr.groupID(), lr.seq, lr.request), Server: lr.server,
		})
	}
	if lr.progressDue(now, progressEveryReports*p.reportInterval) {
		m.Progress = append(m.Progress, newProgressMessage(lr.seq, lr.progress))
		lr.lastReported = reportedProgress{
			at: now, tokens: lr.progress.Tokens, first: lr.progress.FirstToken >= 0,
		}
	}
}

// progressDue limits the progress reports of a long response to its first token, each
// doubling of its length, and otherwise one per wait.
func (lr *localRequest) progressDue(now, wait clock.Millis) bool {
	if lr.progress.Tokens == 0 && lr.progress.FirstToken < 0 {
		return false
	}
	return lr.firstTokenUnreported() ||
		lr.progress.Tokens >= 2*max(1, lr.lastReported.tokens) ||
		now-lr.lastReported.at >= wait
}

// firstTokenUnreported reports whether the keeper has not been told of the first token.
// The keeper rates servers by the time to first token, and must not count the delay of
// a report against the server.
func (lr *localRequest) firstTokenUnreported() bool {
	return lr.state == stateRunning && lr.progress.FirstToken >= 0 && !lr.lastReported.first
}

// seqHash mixes the bits of a sequence number, so that the sums of different small sets
// differ.
func seqHash(seq uint64) uint64 {
	x := seq * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// sendReports sends the reports of a round to a keeper, and marks the keeper as lost if
// earlier ones were not answered within Timeouts.Report.
func (c *core) sendReports(now clock.Millis, keeper string, reports map[groupID]*reportMessage) {
	p := c.peer(keeper)
	p.lastReport = now
	p.round++
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	if !p.lost && now-p.unansweredSince >= c.timeouts.Report {
		p.lost = true
		c.countEvent("KeeperLost")
	}
	out := c.packetFor(keeper)
	if len(reports) == 0 {
		out.Reports = append(out.Reports, reportMessage{})
	}
	for _, gid := range sortedKeys(reports) {
		reports[gid].Round = p.round
		out.Reports = append(out.Reports, *reports[gid])
		delete(p.wantsFullList, gid)
	}
}

// onReportReply handles the answer to a report.
func (c *core) onReportReply(now clock.Millis, from string, m reportReplyMessage) {
	if m.Group == 0 {
		return
	}
	if m.Digest != (sched.Digest{}) {
		c.digests[m.Group] = cachedDigest{digest: m.Digest, at: now}
	}
	p := c.peer(from)
	if m.WantFull {
		p.wantsFullList[m.Group] = true
	}
	if last, ok := p.unconfirmed[m.Group]; ok && m.Same && m.Round > last {
		delete(p.unconfirmed, m.Group)
	}
}

// onRebuild answers a new keeper with the requests that this host runs on the servers of
// its group.
func (c *core) onRebuild(now clock.Millis, from string, m rebuildMessage) {
	gid := groupIDOf(m.Group)
	reply := rebuildReplyMessage{Group: gid}
	servers := map[string]bool{}
	for _, s := range m.Servers {
		servers[s] = true
	}
	for _, lr := range c.sortedRequests() {
		if lr.state == stateRunning && servers[lr.server] {
			lr.group = m.Group
			reply.Running = append(reply.Running, runningMessage{
				Request: newGrantRequestMessage(now, gid, lr.seq, lr.request), Server: lr.server,
			})
		}
	}
	p := c.packetFor(from)
	p.RebuildReplies = append(p.RebuildReplies, reply)
}

// scheduleFullReport sends a keeper the full list with the next tick.
func (c *core) scheduleFullReport(keeper string, gid groupID) {
	if keeper == "" {
		return
	}
	p := c.peer(keeper)
	p.wantsFullList[gid] = true
	p.lastReport = 0
}

// reassignRunning applies a change of the server list: running requests are reported to
// the group that their server now belongs to.
func (c *core) reassignRunning() {
	groupOf := map[string]string{}
	for _, service := range c.deps.services() {
		for _, g := range c.groups(service, c.domain) {
			for _, s := range g.Servers {
				groupOf[s.Name] = g.Name
			}
		}
	}
	for _, lr := range c.requests {
		name, ok := groupOf[lr.server]
		if !ok || lr.state != stateRunning || lr.group == name {
			continue
		}
		lr.group = name
		if keeper, ok := c.keeperOf(name); ok {
			c.scheduleFullReport(keeper, groupIDOf(name))
		}
	}
}
