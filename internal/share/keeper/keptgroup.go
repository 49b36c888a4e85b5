package keeper

import (
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// maxHashMismatches is the number of consecutive reports that must differ from the
// keeper's state before it asks for the full list: a single one may have crossed a
// grant in flight.
const maxHashMismatches = 2

// heldRequest is a request, waiting or running, in the state of its keeper.
type heldRequest struct {
	from      link.Peer
	seq       uint64
	id        string
	server    string // empty while it waits
	grantedAt clock.Millis
}

// keptGroup is a group that this host keeps.
type keptGroup struct {
	group           group
	id              groupID
	decider         *decider
	settingsVersion uint64
	held            map[string]*heldRequest
	hashMismatches  map[string]int // consecutive mismatching reports, by host
	awaitedHosts    map[string]bool
	rebuildDeadline clock.Millis // when the group opens even if answers are missing
	open            bool
	// earlyRequests and earlyRunning arrived during the rebuild.
	earlyRequests []earlyRequest
	earlyRunning  []earlyRunningRequest
}

type earlyRequest struct {
	from    link.Peer
	message grantRequestMessage
	at      clock.Millis
}

type earlyRunningRequest struct {
	from    link.Peer
	message runningMessage
	at      clock.Millis
}

// openGroup starts to keep a group: it asks every host of the domain which requests
// it runs on the group's servers.
func (c *core) openGroup(now clock.Millis, g group) *keptGroup {
	settings, version := c.deps.settings(g.Service)
	kg := &keptGroup{
		group: g, id: groupIDOf(g.Name), decider: newDecider(settings, c.deps.newAuditor),
		settingsVersion: version, held: map[string]*heldRequest{},
		hashMismatches: map[string]int{}, awaitedHosts: map[string]bool{},
		rebuildDeadline: now + c.timeouts.Rebuild,
	}
	c.kept[kg.id] = kg
	c.countEvent("Opened")
	for _, h := range c.view.In(g.Domain) {
		kg.awaitedHosts[h.Name] = true
		p := c.packetFor(h.Name)
		p.Rebuilds = append(p.Rebuilds, rebuildMessage{Group: g.Name, Servers: g.serverNames()})
	}
	return kg
}

func (c *core) onRebuildReply(now clock.Millis, from link.Peer, m rebuildReplyMessage) {
	kg, ok := c.kept[m.Group]
	if !ok || kg.open {
		return
	}
	for _, r := range m.Running {
		kg.earlyRunning = append(kg.earlyRunning, earlyRunningRequest{from, r, now})
	}
	delete(kg.awaitedHosts, from.Name)
	if len(kg.awaitedHosts) == 0 {
		c.finishRebuild(now, kg)
	}
}

// finishRebuild opens a group: running requests are entered first, then the waiting
// ones.
func (c *core) finishRebuild(now clock.Millis, kg *keptGroup) {
	kg.open = true
	kg.decider.setServers(now, kg.group.Servers)
	for _, r := range kg.earlyRunning {
		c.adopt(r.at, now, kg, r.from, r.message)
	}
	for _, e := range kg.earlyRequests {
		c.enqueue(e.at, now, kg, e.from, e.message)
	}
	kg.earlyRunning, kg.earlyRequests = nil, nil
}

// updateKeptGroups closes the groups whose keeper is another host now and opens those
// that this host has won.
func (c *core) updateKeptGroups(now clock.Millis) {
	for _, gid := range sortedKeys(c.kept) {
		if keeper, ok := c.keeperOf(c.kept[gid].group.Name); !ok || keeper != c.self.Name {
			c.closeGroup(c.kept[gid])
		}
	}
	for _, service := range c.deps.services() {
		for _, g := range c.groups(service, c.domain) {
			keeper, ok := c.keeperOf(g.Name)
			if _, has := c.kept[groupIDOf(g.Name)]; ok && !has && keeper == c.self.Name {
				c.openGroup(now, g)
			}
		}
	}
}

// groupsReady reports whether every group of the domain has a keeper, and this
// host has opened those that it keeps.
func (c *core) groupsReady() bool {
	if !c.view.Joined {
		return false
	}
	for _, service := range c.deps.services() {
		for _, g := range c.groups(service, c.domain) {
			keeper, ok := c.keeperOf(g.Name)
			_, has := c.kept[groupIDOf(g.Name)]
			if !ok || keeper == c.self.Name && !has {
				return false
			}
		}
	}
	return true
}

// closeGroup stops keeping a group and sends its waiting requests to the new keeper.
func (c *core) closeGroup(kg *keptGroup) {
	delete(c.kept, kg.id)
	c.countEvent("Closed")
	for _, id := range sortedKeys(kg.held) {
		if h := kg.held[id]; h.server == "" {
			c.sendVerdict(h.from.Name, verdictMessage{
				Group: kg.id, Seq: h.seq, Verdict: string(verdictNotKeeper),
			})
		}
	}
	for _, e := range kg.earlyRequests {
		c.sendVerdict(e.from.Name, verdictMessage{
			Group: kg.id, Seq: e.message.Seq, Verdict: string(verdictNotKeeper),
		})
	}
}

func (c *core) sendVerdict(to string, m verdictMessage) {
	p := c.packetFor(to)
	p.Verdicts = append(p.Verdicts, m)
}

// dropDead frees the slots of hosts that have left the view or have restarted.
func (c *core) dropDead(now clock.Millis, before hosts.View) {
	for _, h := range before.Hosts() {
		live, ok := c.view.Find(h.Name)
		if !ok || live.Incarnation > h.Incarnation {
			c.dropHost(now, h.Name, live.Incarnation)
		}
	}
}

// dropUnresponsive frees the slots of hosts that have sent nothing for hostTimeout.
func (c *core) dropUnresponsive(now clock.Millis) {
	for name, at := range c.lastHeardFrom {
		if name != c.self.Name && now-at > hostTimeout {
			delete(c.lastHeardFrom, name)
			c.dropHost(now, name, math.MaxInt64)
		}
	}
}

// dropHost drops the requests of a host from before an incarnation, or all for 0.
func (c *core) dropHost(now clock.Millis, name string, before int64) {
	matches := func(p link.Peer) bool { return p.Name == name && (before == 0 || p.Incarnation < before) }
	for _, kg := range c.kept {
		delete(kg.awaitedHosts, name)
		kg.earlyRequests = slices.DeleteFunc(
			kg.earlyRequests, func(e earlyRequest) bool { return matches(e.from) },
		)
		kg.earlyRunning = slices.DeleteFunc(
			kg.earlyRunning, func(r earlyRunningRequest) bool { return matches(r.from) },
		)
		for _, id := range sortedKeys(kg.held) {
			h := kg.held[id]
			if !matches(h.from) {
				continue
			}
			delete(kg.held, id)
			kg.decider.cancel(now, id)
		}
	}
}

// tickKeptGroups applies changes of servers and settings, and ticks every group.
func (c *core) tickKeptGroups(now clock.Millis) {
	if now-c.serversRefreshedAt >= serverRefreshInterval {
		c.serversRefreshedAt = now
		clear(c.groupCache)
		c.updateKeptGroups(now)
		c.refreshKeptGroups(now)
		c.reassignRunning()
		c.dropUnresponsive(now)
		c.refreshFallbacks(now)
	}
	for _, gid := range sortedKeys(c.kept) {
		kg := c.kept[gid]
		if !kg.open && (now >= kg.rebuildDeadline || len(kg.awaitedHosts) == 0) {
			c.finishRebuild(now, kg)
		}
		if kg.open {
			kg.decider.tick(now)
		}
	}
}

// refreshKeptGroups applies new settings and server lists to the kept groups.
func (c *core) refreshKeptGroups(now clock.Millis) {
	for _, gid := range sortedKeys(c.kept) {
		kg := c.kept[gid]
		settings, version := c.deps.settings(kg.group.Service)
		if version != kg.settingsVersion {
			kg.settingsVersion = version
			kg.decider.setSettings(now, settings)
		}
		g, ok := c.findGroup(kg.group.Name)
		if !ok {
			g = group{Name: kg.group.Name, Service: kg.group.Service, Domain: kg.group.Domain}
		}
		if slices.EqualFunc(g.Servers, kg.group.Servers, sameServer) {
			continue
		}
		kg.group = g
		if kg.open {
			kg.decider.setServers(now, g.Servers)
		}
	}
}

func sameServer(a, b sched.Server) bool {
	return a.Name == b.Name && a.State == b.State && a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// onGrantRequest handles a grant request: it queues or decides it, or answers that
// this host does not keep the group.
func (c *core) onGrantRequest(now clock.Millis, from link.Peer, m grantRequestMessage) {
	kg, ok := c.kept[m.Group]
	if !ok {
		c.sendVerdict(from.Name, verdictMessage{
			Group: m.Group, Seq: m.Seq, Verdict: string(verdictNotKeeper),
		})
		return
	}
	if !kg.open {
		kg.earlyRequests = append(kg.earlyRequests, earlyRequest{from, m, now})
		c.sendVerdict(from.Name, verdictMessage{Group: m.Group, Seq: m.Seq, Verdict: string(verdictQueued)})
		return
	}
	c.enqueue(now, now, kg, from, m)
}

// enqueue offers a grant request that arrived at the given time to the scheduler, and
// answers that it is queued unless it was decided at once.
func (c *core) enqueue(at, now clock.Millis, kg *keptGroup, from link.Peer, m grantRequestMessage) {
	id := requestID(from, m.Seq)
	if _, ok := kg.held[id]; !ok {
		kg.held[id] = &heldRequest{from: from, seq: m.Seq, id: id}
	}
	kg.decider.offer(now, m.toRequest(at, kg.group.Service, id, from.Name))
	c.collectGroup(now, kg)
	if h, ok := kg.held[id]; ok && h.server == "" {
		c.sendVerdict(from.Name, verdictMessage{
			Group: m.Group, Seq: m.Seq, Verdict: string(verdictQueued), Digest: kg.decider.inner.Digest(now),
		})
	}
}

// adopt adds a request that is already running.
func (c *core) adopt(at, now clock.Millis, kg *keptGroup, from link.Peer, r runningMessage) {
	id := requestID(from, r.Request.Seq)
	if h, ok := kg.held[id]; ok {
		if h.server == r.Server {
			return
		}
		kg.decider.cancel(now, id)
	}
	kg.held[id] = &heldRequest{from: from, seq: r.Request.Seq, id: id, server: r.Server, grantedAt: now}
	kg.decider.adopt(now, r.Request.toRequest(at, kg.group.Service, id, from.Name), r.Server)
}

// collectGroup sends the group's decisions as verdicts.
func (c *core) collectGroup(now clock.Millis, kg *keptGroup) {
	decisions := kg.decider.takeDecisions()
	if len(decisions) == 0 {
		return
	}
	digest := kg.decider.inner.Digest(now)
	for _, decision := range decisions {
		h, ok := kg.held[decision.ID]
		if !ok {
			continue
		}
		m := verdictMessage{Group: kg.id, Seq: h.seq, Digest: digest}
		if decision.Kind == sched.DecisionGrant {
			h.server, h.grantedAt = decision.Server, now
			m.Verdict, m.Server, m.Floor = string(verdictGrant), decision.Server, decision.Floor
		} else {
			delete(kg.held, decision.ID)
			m.Verdict, m.Reason, m.RetryAfter = string(verdictRefuse), string(decision.Reason), decision.RetryAfter
		}
		c.sendVerdict(h.from.Name, m)
	}
}

// onDone frees the slot or queue position of a request.
func (c *core) onDone(now clock.Millis, from link.Peer, m doneMessage) {
	kg, ok := c.kept[m.Group]
	if !ok {
		return
	}
	kg.earlyRequests = slices.DeleteFunc(
		kg.earlyRequests,
		func(e earlyRequest) bool { return e.from == from && e.message.Seq == m.Progress.Seq },
	)
	kg.earlyRunning = slices.DeleteFunc(
		kg.earlyRunning,
		func(r earlyRunningRequest) bool { return r.from == from && r.message.Request.Seq == m.Progress.Seq },
	)
	id := requestID(from, m.Progress.Seq)
	h, ok := kg.held[id]
	if !ok {
		return
	}
	delete(kg.held, id)
	if h.server == "" {
		kg.decider.cancel(now, id)
		return
	}
	kg.decider.release(now, sched.Done{
		Progress: m.Progress.toProgress(id), Outcome: sched.Outcome(m.Outcome),
	})
}

// onReport records the progress in a host's report and compares the requests that the
// host runs with the keeper's state.
func (c *core) onReport(now clock.Millis, from link.Peer, m reportMessage) {
	kg, ok := c.kept[m.Group]
	p := c.packetFor(from.Name)
	if !ok {
		p.ReportReplies = append(p.ReportReplies, reportReplyMessage{
			Group: m.Group, Round: m.Round, Same: true,
		})
		return
	}
	if !kg.open {
		p.ReportReplies = append(p.ReportReplies, reportReplyMessage{Group: m.Group, WantFull: m.Full})
		return
	}
	for _, progress := range m.Progress {
		kg.decider.progress(now, progress.toProgress(requestID(from, progress.Seq)))
	}
	if m.Full {
		c.reconcile(now, kg, from, m.Running)
	}
	if kg.runningHash(from) != m.Hash {
		kg.hashMismatches[from.Name]++
	} else {
		delete(kg.hashMismatches, from.Name)
	}
	same := kg.hashMismatches[from.Name] == 0
	want := kg.hashMismatches[from.Name] >= maxHashMismatches
	if want {
		c.countEvent("WholeWanted")
		delete(kg.hashMismatches, from.Name)
	}
	p.ReportReplies = append(p.ReportReplies, reportReplyMessage{
		Group: m.Group, Round: m.Round, Same: same, Digest: kg.decider.inner.Digest(now), WantFull: want,
	})
}

// runningHash returns the hash over the running requests of a host, as in its reports.
func (kg *keptGroup) runningHash(from link.Peer) uint64 {
	sum := uint64(0)
	for _, h := range kg.held {
		if h.from == from && h.server != "" {
			sum += seqHash(h.seq)
		}
	}
	return sum
}

// reconcile makes the keeper's state of a host equal to the host's full list. A recent
// grant that the list lacks is kept, since it may still be in flight.
func (c *core) reconcile(now clock.Millis, kg *keptGroup, from link.Peer, runs []runningMessage) {
	listed := map[string]bool{}
	for _, r := range runs {
		listed[requestID(from, r.Request.Seq)] = true
		c.adopt(now, now, kg, from, r)
	}
	for _, id := range sortedKeys(kg.held) {
		h := kg.held[id]
		if h.from == from && h.server != "" && !listed[id] && now-h.grantedAt > ReportInterval {
			delete(kg.held, id)
			kg.decider.cancel(now, id)
		}
	}
}
