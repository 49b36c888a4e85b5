package keeper

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// Grant is leave to send a request to a backend server.
type Grant struct {
	Server  string
	Service string
	// FailureDomain is another one than the host's own for a spilled request.
	FailureDomain string
	// Keeper is the host that decided.
	Keeper string
	// Fallback tells that this host decided alone.
	Fallback bool
	// Floor tells that the grant was given for the class's floor.
	Floor bool
}

// Refusal is why a request is not granted. Nothing of it ran.
type Refusal struct {
	Reason     sched.Reason
	RetryAfter clock.Millis
	Keeper     string
	Fallback   bool
}

// ask places a new request.
func (c *core) ask(now clock.Millis, r sched.Request) {
	r.Host = c.self.Name
	a := &ask{request: r, began: now, state: stateAsking}
	c.renumber(a)
	c.byID[r.ID] = a
	if c.spill(now, a) {
		c.collect(now)
		return
	}
	c.placeLocally(now, a)
	c.collect(now)
}

func (c *core) placeLocally(now clock.Millis, a *ask) {
	a.request.Spilled = false
	name, ok := c.choose(now, c.domain, a.request)
	if !ok {
		c.refuse(a, Refusal{Reason: sched.ReasonNoServer})
		return
	}
	a.group = name
	c.place(now, a)
}

// choose picks a group by the power of two choices: of two random groups the
// one that is known to be less loaded.
func (c *core) choose(now clock.Millis, domain string, r sched.Request) (string, bool) {
	all := c.groups(r.Service, domain)
	fit := slices.DeleteFunc(slices.Clone(all), func(g group) bool { return !g.serves(r.Model) })
	if len(fit) == 0 {
		fit = all
	}
	switch len(fit) {
	case 0:
		return "", false
	case 1:
		return fit[0].Name, true
	}
	first := c.seams.random(len(fit))
	second := (first + 1 + c.seams.random(len(fit)-1)) % len(fit)
	if c.load(now, fit[second].Name) < c.load(now, fit[first].Name) {
		first = second
	}
	return fit[first].Name, true
}

// load orders groups: what waits less what is free. The request placed now is
// added to it until the next digest comes.
func (c *core) load(now clock.Millis, name string) int {
	k, ok := c.digests[numberOf(name)]
	if !ok || now-k.at > digestLife {
		return 0
	}
	return k.digest.Waiting - k.digest.FreeSlots
}

// place asks the keeper of the request's group, or decides alone.
func (c *core) place(now clock.Millis, a *ask) {
	keeper, ok := c.keeperOf(a.group)
	if !ok || c.peer(keeper).lost {
		a.keeper = keeper
		c.goAlone(now, a)
		return
	}
	a.keeper = keeper
	a.state, a.since, a.retryAt, a.asked = stateAsking, now, 0, now
	c.markActive(keeper, a.number())
	p := c.to(keeper)
	p.Asks = append(p.Asks, newAsk(now, a.number(), a.seq, a.request))
	if k, ok := c.digests[a.number()]; ok {
		k.digest.FreeSlots--
		c.digests[a.number()] = k
	}
}

// renumber gives a request a new number. A grant under the old one, which may
// be on its way, is then given back and not taken for the answer to a later ask.
func (c *core) renumber(a *ask) {
	delete(c.asks, a.seq)
	c.lastSeq++
	a.seq = c.lastSeq
	c.asks[a.seq] = a
}

// withdraw takes a waiting request back from where it waits.
func (c *core) withdraw(now clock.Millis, a *ask) {
	if a.state == stateAlone {
		c.alone[a.group].cancel(now, a.request.ID)
		return
	}
	c.giveBack(a.keeper, a.number(), a.seq)
	c.renumber(a)
}

func (c *core) markActive(keeper string, group groupNumber) {
	p := c.peer(keeper)
	p.active[group] = p.round
}

func (c *core) giveBack(keeper string, group groupNumber, seq uint64) {
	if _, ok := c.view.Find(keeper); !ok {
		return
	}
	c.markActive(keeper, group)
	p := c.to(keeper)
	p.Dones = append(p.Dones, doneMessage{
		Group: group, Outcome: string(sched.OutcomeCancelled), Progress: progressMessage{Seq: seq},
	})
}

// onVerdict takes what a keeper said. A grant or a place in the queue that
// nobody waits for, or by a host that is no longer the keeper to this one, is
// given back.
func (c *core) onVerdict(now clock.Millis, from string, m verdictMessage) {
	if m.Verdict != string(verdictNotKeeper) {
		c.digests[m.Group] = known{digest: m.Digest, at: now}
	}
	a, ok := c.asks[m.Seq]
	expected := ok && a.keeper == from && a.number() == m.Group
	if expected && a.state == stateRunning && a.server == m.Server {
		return
	}
	if !expected || (a.state != stateAsking && a.state != stateQueued) {
		// An ask that was repeated while its refusal was on the way waits there
		// for nobody.
		if m.Verdict == string(verdictGrant) || (!expected && m.Verdict == string(verdictQueued)) {
			c.tally("GivenBack")
			c.giveBack(from, m.Group, m.Seq)
		}
		return
	}
	c.judge(now, a, m)
}

func (c *core) judge(now clock.Millis, a *ask, m verdictMessage) {
	switch verdict(m.Verdict) {
	case verdictGrant:
		c.run(now, a, m.Server, m.Floor)
	case verdictRefuse:
		c.refused(now, a, Refusal{Reason: sched.Reason(m.Reason), RetryAfter: m.RetryAfter, Keeper: a.keeper})
	case verdictQueued:
		a.state, a.since = stateQueued, now
		c.spillQueued(now, a)
	case verdictNotKeeper:
		c.tally("NotKeeper")
		if a.state == stateQueued {
			a.began = now
		}
		a.state, a.since = stateAsking, now
		a.retryAt = now + retryWait
	}
}

// run ends the wait with a grant.
func (c *core) run(now clock.Millis, a *ask, server string, floor bool) {
	a.state, a.since, a.server = stateRunning, now, server
	a.progress = sched.Progress{ID: a.request.ID, FirstToken: -1}
	a.reported = progressMark{at: now}
	if g, ok := c.alone[a.group]; ok && !a.fallback {
		g.adopt(now, a.request, server)
	}
	_, domain := parseGroup(a.group)
	c.ended = append(c.ended, result{id: a.request.ID, grant: Grant{
		Server: server, Service: a.request.Service, FailureDomain: domain,
		Keeper: a.keeper, Fallback: a.fallback, Floor: floor,
	}})
}

func (c *core) refuse(a *ask, r Refusal) {
	c.forget(a)
	c.ended = append(c.ended, result{id: a.request.ID, refusal: &r})
}

func (c *core) forget(a *ask) {
	delete(c.asks, a.seq)
	delete(c.byID, a.request.ID)
}

// cancel withdraws a request whose caller no longer waits for the decision.
func (c *core) cancel(now clock.Millis, id string) {
	a, ok := c.byID[id]
	if !ok {
		return
	}
	if a.state == stateRunning {
		c.done(now, sched.Done{Progress: sched.Progress{ID: id, FirstToken: -1}, Outcome: sched.OutcomeCancelled})
		return
	}
	c.withdraw(now, a)
	c.forget(a)
	c.collect(now)
}

// note takes the progress of a running request for the next report.
func (c *core) note(p sched.Progress) {
	if a, ok := c.byID[p.ID]; ok && a.state == stateRunning {
		a.progress = p
	}
}

// done ends a running request.
func (c *core) done(now clock.Millis, d sched.Done) {
	a, ok := c.byID[d.ID]
	if !ok || a.state != stateRunning {
		return
	}
	c.forget(a)
	if a.request.Spilled {
		c.spills(a.request.Service).Ended(a.abroad)
	}
	if g, ok := c.alone[a.group]; ok {
		g.release(now, d)
	}
	if keeper, ok := c.keeperOf(a.group); ok {
		c.markActive(keeper, a.number())
		p := c.to(keeper)
		p.Dones = append(p.Dones, doneMessage{
			Group: a.number(), Outcome: string(d.Outcome), Progress: newProgress(a.seq, d.Progress),
		})
	}
	c.collect(now)
}

// tickAsk looks after one request: retries that are due, and keepers that do
// not answer.
func (c *core) tickAsk(now clock.Millis, a *ask) {
	switch a.state {
	case stateAsking:
		c.tickAsking(now, a)
	case stateQueued:
		if c.peer(a.keeper).lost {
			c.withdraw(now, a)
			c.goAlone(now, a)
		} else if !c.switchGroup(now, a) && now-a.asked >= reassertWait {
			c.reassert(now, a)
		}
	case stateAlone:
		if keeper, ok := c.keeperOf(a.group); ok && !c.peer(keeper).lost && now-a.since >= c.waits.Ask {
			c.move(now, a)
		}
	case stateRunning:
	}
}

func (c *core) tickAsking(now clock.Millis, a *ask) {
	if now-a.began >= c.waits.Ask {
		c.suspect(now, a)
		c.withdraw(now, a)
		c.goAlone(now, a)
		return
	}
	if a.retryAt > 0 && now >= a.retryAt {
		c.place(now, a)
	}
}

// switchGroup moves a request that waits to another group of its service that
// is known to have free slots.
func (c *core) switchGroup(now clock.Millis, a *ask) bool {
	if now-a.since < switchWait {
		return false
	}
	for _, g := range c.groups(a.request.Service, c.domain) {
		k, ok := c.digests[numberOf(g.Name)]
		fresh := ok && now-k.at <= freshLife
		if g.Name == a.group || !fresh || k.digest.FreeSlots <= 0 || !g.serves(a.request.Model) {
			continue
		}
		c.tally("Switched")
		c.withdraw(now, a)
		a.group, a.began = g.Name, now
		c.place(now, a)
		return true
	}
	return false
}

// reassert repeats an ask. A keeper that knows it keeps its place.
func (c *core) reassert(now clock.Millis, a *ask) {
	a.asked = now
	p := c.to(a.keeper)
	p.Asks = append(p.Asks, newAsk(now, a.number(), a.seq, a.request))
}

// suspect takes a keeper for lost that has said nothing since it was asked.
func (c *core) suspect(now clock.Millis, a *ask) {
	p := c.peer(a.keeper)
	if p.heard < a.since && !p.lost {
		p.lost = true
		c.tally("KeeperLost")
	}
	if p.unheard == 0 {
		p.unheard = now
	}
}

// unreachable hears that a packet could not be sent.
func (c *core) unreachable(now clock.Millis, name string) {
	p := c.peer(name)
	if !p.lost {
		p.lost = true
		c.tally("KeeperLost")
	}
	for _, a := range c.sorted() {
		waits := a.state == stateAsking || a.state == stateQueued
		if waits && a.keeper == name {
			c.goAlone(now, a)
		}
	}
	c.collect(now)
}
