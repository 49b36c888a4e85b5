package keeper

import (
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// mismatches is how many reports in a row must differ from what the keeper
// holds before it asks for the whole list: one may have crossed a grant.
const mismatches = 2

// held is a request at its keeper.
type held struct {
	from    link.Peer
	seq     uint64
	id      string
	server  string // empty while it waits
	granted clock.Millis
}

// desk is a group that this host keeps.
type desk struct {
	group    group
	number   groupNumber
	sched    *decider
	version  uint64
	held     map[string]*held
	differs  map[string]int // reports in a row that differ, by host
	awaiting map[string]bool
	until    clock.Millis // the latest end of the rebuilding
	open     bool
	// early is what came while the desk was being rebuilt.
	early []earlyAsk
	runs  []earlyRun
}

type earlyAsk struct {
	from link.Peer
	ask  askMessage
	at   clock.Millis
}

type earlyRun struct {
	from link.Peer
	run  runMessage
	at   clock.Millis
}

// openDesk begins to keep a group: it asks every host of the domain what it
// runs on the group's servers.
func (c *core) openDesk(now clock.Millis, g group) *desk {
	settings, version := c.seams.settings(g.Service)
	d := &desk{
		group: g, number: numberOf(g.Name), sched: newDecider(settings, c.seams.watch), version: version, held: map[string]*held{},
		differs: map[string]int{}, awaiting: map[string]bool{}, until: now + c.waits.Rebuild,
	}
	c.desks[d.number] = d
	c.tally("Opened")
	for _, h := range c.view.In(g.Domain) {
		d.awaiting[h.Name] = true
		p := c.to(h.Name)
		p.Rebuilds = append(p.Rebuilds, rebuildMessage{Group: g.Name, Servers: g.names()})
	}
	return d
}

func (c *core) onRebuilt(now clock.Millis, from link.Peer, m rebuiltMessage) {
	d, ok := c.desks[m.Group]
	if !ok || d.open {
		return
	}
	for _, r := range m.Runs {
		d.runs = append(d.runs, earlyRun{from, r, now})
	}
	delete(d.awaiting, from.Name)
	if len(d.awaiting) == 0 {
		c.finish(now, d)
	}
}

// finish ends the rebuilding: what runs is entered first, then what waits.
func (c *core) finish(now clock.Millis, d *desk) {
	d.open = true
	d.sched.setServers(now, d.group.Servers)
	for _, r := range d.runs {
		c.adopt(r.at, now, d, r.from, r.run)
	}
	for _, e := range d.early {
		c.enter(e.at, now, d, e.from, e.ask)
	}
	d.runs, d.early = nil, nil
}

// reviewDesks closes the desks that belong to another host and opens those
// that this host has won.
func (c *core) reviewDesks(now clock.Millis) {
	for _, number := range sortedKeys(c.desks) {
		if keeper, ok := c.keeperOf(c.desks[number].group.Name); !ok || keeper != c.self.Name {
			c.closeDesk(c.desks[number])
		}
	}
	for _, service := range c.seams.services() {
		for _, g := range c.groups(service, c.domain) {
			keeper, ok := c.keeperOf(g.Name)
			if _, has := c.desks[numberOf(g.Name)]; ok && !has && keeper == c.self.Name {
				c.openDesk(now, g)
			}
		}
	}
}

func (c *core) settled() bool {
	if !c.view.Joined {
		return false
	}
	for _, service := range c.seams.services() {
		for _, g := range c.groups(service, c.domain) {
			keeper, ok := c.keeperOf(g.Name)
			_, has := c.desks[numberOf(g.Name)]
			if !ok || keeper == c.self.Name && !has {
				return false
			}
		}
	}
	return true
}

// closeDesk sends those who wait to the new keeper.
func (c *core) closeDesk(d *desk) {
	delete(c.desks, d.number)
	c.tally("Closed")
	for _, id := range sortedKeys(d.held) {
		if h := d.held[id]; h.server == "" {
			c.say(h.from.Name, verdictMessage{Group: d.number, Seq: h.seq, Verdict: string(verdictNotKeeper)})
		}
	}
	for _, e := range d.early {
		c.say(e.from.Name, verdictMessage{Group: d.number, Seq: e.ask.Seq, Verdict: string(verdictNotKeeper)})
	}
}

func (c *core) say(to string, m verdictMessage) {
	p := c.to(to)
	p.Verdicts = append(p.Verdicts, m)
}

// dropDead frees what hosts held that the view no longer names, or that have
// started anew.
func (c *core) dropDead(now clock.Millis, before hosts.View) {
	for _, h := range before.Hosts() {
		live, ok := c.view.Find(h.Name)
		if !ok || live.Incarnation > h.Incarnation {
			c.dropHost(now, h.Name, live.Incarnation)
		}
	}
}

// dropSilent frees what hosts held that have not been heard for callerWait.
func (c *core) dropSilent(now clock.Millis) {
	for name, at := range c.callers {
		if name != c.self.Name && now-at > callerWait {
			delete(c.callers, name)
			c.dropHost(now, name, math.MaxInt64)
		}
	}
}

// dropHost frees what a host held before an incarnation; 0 means all of it.
func (c *core) dropHost(now clock.Millis, name string, before int64) {
	gone := func(p link.Peer) bool { return p.Name == name && (before == 0 || p.Incarnation < before) }
	for _, d := range c.desks {
		delete(d.awaiting, name)
		d.early = slices.DeleteFunc(d.early, func(e earlyAsk) bool { return gone(e.from) })
		d.runs = slices.DeleteFunc(d.runs, func(r earlyRun) bool { return gone(r.from) })
		for _, id := range sortedKeys(d.held) {
			h := d.held[id]
			if !gone(h.from) {
				continue
			}
			delete(d.held, id)
			d.sched.cancel(now, id)
		}
	}
}

// tickDesks follows servers and settings, and lets time pass in every group.
func (c *core) tickDesks(now clock.Millis) {
	if now-c.looked >= serversWait {
		c.looked = now
		clear(c.split)
		c.reviewDesks(now)
		c.refreshDesks(now)
		c.regroup()
		c.dropSilent(now)
		c.closeAlone(now)
	}
	for _, number := range sortedKeys(c.desks) {
		d := c.desks[number]
		if !d.open && (now >= d.until || len(d.awaiting) == 0) {
			c.finish(now, d)
		}
		if d.open {
			d.sched.tick(now)
		}
	}
}

func (c *core) refreshDesks(now clock.Millis) {
	for _, number := range sortedKeys(c.desks) {
		d := c.desks[number]
		settings, version := c.seams.settings(d.group.Service)
		if version != d.version {
			d.version = version
			d.sched.setSettings(now, settings)
		}
		g, ok := c.groupNamed(d.group.Name)
		if !ok {
			g = group{Name: d.group.Name, Service: d.group.Service, Domain: d.group.Domain}
		}
		if slices.EqualFunc(g.Servers, d.group.Servers, sameServer) {
			continue
		}
		d.group = g
		if d.open {
			d.sched.setServers(now, g.Servers)
		}
	}
}

func sameServer(a, b sched.Server) bool {
	return a.Name == b.Name && a.State == b.State && a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// onAsk takes a request for a grant.
func (c *core) onAsk(now clock.Millis, from link.Peer, m askMessage) {
	d, ok := c.desks[m.Group]
	if !ok {
		c.say(from.Name, verdictMessage{Group: m.Group, Seq: m.Seq, Verdict: string(verdictNotKeeper)})
		return
	}
	if !d.open {
		d.early = append(d.early, earlyAsk{from, m, now})
		c.say(from.Name, verdictMessage{Group: m.Group, Seq: m.Seq, Verdict: string(verdictQueued)})
		return
	}
	c.enter(now, now, d, from, m)
}

// enter offers an ask that came at a time, and says that it waits unless it
// was decided at once.
func (c *core) enter(at, now clock.Millis, d *desk, from link.Peer, m askMessage) {
	id := idOf(from, m.Seq)
	if _, ok := d.held[id]; !ok {
		d.held[id] = &held{from: from, seq: m.Seq, id: id}
	}
	d.sched.offer(now, m.request(at, d.group.Service, id, from.Name))
	c.collectDesk(now, d)
	if h, ok := d.held[id]; ok && h.server == "" {
		c.say(from.Name, verdictMessage{
			Group: m.Group, Seq: m.Seq, Verdict: string(verdictQueued), Digest: d.sched.inner.Digest(now),
		})
	}
}

// adopt enters a request that runs already.
func (c *core) adopt(at, now clock.Millis, d *desk, from link.Peer, r runMessage) {
	id := idOf(from, r.Ask.Seq)
	if h, ok := d.held[id]; ok {
		if h.server == r.Server {
			return
		}
		d.sched.cancel(now, id)
	}
	d.held[id] = &held{from: from, seq: r.Ask.Seq, id: id, server: r.Server, granted: now}
	d.sched.adopt(now, r.Ask.request(at, d.group.Service, id, from.Name), r.Server)
}

// collectDesk passes the group's decisions on.
func (c *core) collectDesk(now clock.Millis, d *desk) {
	decisions := d.sched.take()
	if len(decisions) == 0 {
		return
	}
	digest := d.sched.inner.Digest(now)
	for _, decision := range decisions {
		h, ok := d.held[decision.ID]
		if !ok {
			continue
		}
		m := verdictMessage{Group: d.number, Seq: h.seq, Digest: digest}
		if decision.Kind == sched.DecisionGrant {
			h.server, h.granted = decision.Server, now
			m.Verdict, m.Server, m.Floor = string(verdictGrant), decision.Server, decision.Floor
		} else {
			delete(d.held, decision.ID)
			m.Verdict, m.Reason, m.RetryAfter = string(verdictRefuse), string(decision.Reason), decision.RetryAfter
		}
		c.say(h.from.Name, m)
	}
}

// onDone frees what an ask held, whether it waits or runs.
func (c *core) onDone(now clock.Millis, from link.Peer, m doneMessage) {
	d, ok := c.desks[m.Group]
	if !ok {
		return
	}
	d.early = slices.DeleteFunc(d.early, func(e earlyAsk) bool { return e.from == from && e.ask.Seq == m.Progress.Seq })
	d.runs = slices.DeleteFunc(d.runs, func(r earlyRun) bool { return r.from == from && r.run.Ask.Seq == m.Progress.Seq })
	id := idOf(from, m.Progress.Seq)
	h, ok := d.held[id]
	if !ok {
		return
	}
	delete(d.held, id)
	if h.server == "" {
		d.sched.cancel(now, id)
		return
	}
	d.sched.release(now, sched.Done{Progress: m.Progress.progress(id), Outcome: sched.Outcome(m.Outcome)})
}

// onReport compares what a host runs with what is held, and takes progress.
func (c *core) onReport(now clock.Millis, from link.Peer, m reportMessage) {
	d, ok := c.desks[m.Group]
	p := c.to(from.Name)
	if !ok {
		p.Backs = append(p.Backs, backMessage{Group: m.Group, Round: m.Round, Same: true})
		return
	}
	if !d.open {
		p.Backs = append(p.Backs, backMessage{Group: m.Group, WantWhole: m.Whole})
		return
	}
	for _, progress := range m.Progress {
		d.sched.progress(now, progress.progress(idOf(from, progress.Seq)))
	}
	if m.Whole {
		c.reconcile(now, d, from, m.Runs)
	}
	if d.hash(from) != m.Hash {
		d.differs[from.Name]++
	} else {
		delete(d.differs, from.Name)
	}
	same := d.differs[from.Name] == 0
	want := d.differs[from.Name] >= mismatches
	if want {
		c.tally("WholeWanted")
		delete(d.differs, from.Name)
	}
	p.Backs = append(p.Backs, backMessage{
		Group: m.Group, Round: m.Round, Same: same, Digest: d.sched.inner.Digest(now), WantWhole: want,
	})
}

func (d *desk) hash(from link.Peer) uint64 {
	sum := uint64(0)
	for _, h := range d.held {
		if h.from == from && h.server != "" {
			sum += seqHash(h.seq)
		}
	}
	return sum
}

// reconcile makes what is held of a host equal to what it runs. A fresh grant
// that the list lacks may still be on its way.
func (c *core) reconcile(now clock.Millis, d *desk, from link.Peer, runs []runMessage) {
	listed := map[string]bool{}
	for _, r := range runs {
		listed[idOf(from, r.Ask.Seq)] = true
		c.adopt(now, now, d, from, r)
	}
	for _, id := range sortedKeys(d.held) {
		h := d.held[id]
		if h.from == from && h.server != "" && !listed[id] && now-h.granted > ReportEvery {
			delete(d.held, id)
			d.sched.cancel(now, id)
		}
	}
}
