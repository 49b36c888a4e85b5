package keeper

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// Grant permits a host to send a request to a backend server.
type Grant struct {
	Server  string
	Service string
	// FailureDomain is that of the server; it differs from the host's own for a
	// spilled request.
	FailureDomain string
	// Keeper is the host that decided.
	Keeper string
	// Fallback is set if this host decided alone, without the keeper.
	Fallback bool
	// Floor is set if the grant was given to satisfy the class's floor.
	Floor bool
}

// Refusal is the reason why a request is not granted. No part of it has run.
type Refusal struct {
	Reason     sched.Reason
	RetryAfter clock.Millis
	Keeper     string
	Fallback   bool
}

// requestGrant places a new request, in another failure domain if it should spill.
func (c *core) requestGrant(now clock.Millis, r sched.Request) {
	r.Host = c.self.Name
	lr := &localRequest{request: r, placedAt: now, state: stateAsking}
	c.renumber(lr)
	c.byID[r.ID] = lr
	if c.spill(now, lr) {
		c.collectDecisions(now)
		return
	}
	c.placeLocally(now, lr)
	c.collectDecisions(now)
}

func (c *core) placeLocally(now clock.Millis, lr *localRequest) {
	lr.request.Spilled = false
	name, ok := c.chooseGroup(now, c.domain, lr.request)
	if !ok {
		c.endRefused(lr, Refusal{Reason: sched.ReasonNoServer})
		return
	}
	lr.group = name
	c.place(now, lr)
}

// chooseGroup picks a group by the power of two choices: the less loaded of two
// random groups, by their last digests.
func (c *core) chooseGroup(now clock.Millis, domain string, r sched.Request) (string, bool) {
	all := c.groups(r.Service, domain)
	candidates := slices.DeleteFunc(
		slices.Clone(all), func(g group) bool { return !g.servesModel(r.Model) },
	)
	if len(candidates) == 0 {
		candidates = all
	}
	switch len(candidates) {
	case 0:
		return "", false
	case 1:
		return candidates[0].Name, true
	}
	first := c.deps.random(len(candidates))
	second := (first + 1 + c.deps.random(len(candidates)-1)) % len(candidates)
	if c.load(now, candidates[second].Name) < c.load(now, candidates[first].Name) {
		first = second
	}
	return candidates[first].Name, true
}

// load returns the waiting requests minus the free slots of a group, 0 without a
// recent digest. place counts its request in until the next digest arrives.
func (c *core) load(now clock.Millis, name string) int {
	cd, ok := c.digests[groupIDOf(name)]
	if !ok || now-cd.at > maxDigestAge {
		return 0
	}
	return cd.digest.Waiting - cd.digest.FreeSlots
}

// place sends a grant request to the keeper of the request's group, or falls back
// to the local group if the keeper is lost or unknown.
func (c *core) place(now clock.Millis, lr *localRequest) {
	keeper, ok := c.keeperOf(lr.group)
	if !ok || c.peer(keeper).lost {
		lr.keeper = keeper
		c.startFallback(now, lr)
		return
	}
	lr.keeper = keeper
	lr.state, lr.stateSince, lr.retryAt, lr.sentAt = stateAsking, now, 0, now
	c.markUnconfirmed(keeper, lr.groupID())
	p := c.packetFor(keeper)
	p.GrantRequests = append(p.GrantRequests, newGrantRequestMessage(
		now, lr.groupID(), lr.seq, lr.request,
	))
	if cd, ok := c.digests[lr.groupID()]; ok {
		cd.digest.FreeSlots--
		c.digests[lr.groupID()] = cd
	}
}

// renumber gives a request a new sequence number. A grant under the old number that
// is still in flight is then returned to the keeper, and not mistaken for the answer
// to a later grant request.
func (c *core) renumber(lr *localRequest) {
	delete(c.requests, lr.seq)
	c.lastSeq++
	lr.seq = c.lastSeq
	c.requests[lr.seq] = lr
}

// withdraw removes a waiting request from its queue, here or at the keeper.
func (c *core) withdraw(now clock.Millis, lr *localRequest) {
	if lr.state == stateFallback {
		c.fallbacks[lr.group].cancel(now, lr.request.ID)
		return
	}
	c.cancelAtKeeper(lr.keeper, lr.groupID(), lr.seq)
	c.renumber(lr)
}

// markUnconfirmed records that the keeper may hold requests of this host in a group.
func (c *core) markUnconfirmed(keeper string, gid groupID) {
	p := c.peer(keeper)
	p.unconfirmed[gid] = p.round
}

// cancelAtKeeper releases the slot or queue position of a request at a keeper.
func (c *core) cancelAtKeeper(keeper string, gid groupID, seq uint64) {
	if _, ok := c.view.Find(keeper); !ok {
		return
	}
	c.markUnconfirmed(keeper, gid)
	p := c.packetFor(keeper)
	p.Dones = append(p.Dones, doneMessage{
		Group: gid, Outcome: string(sched.OutcomeCancelled), Progress: progressMessage{Seq: seq},
	})
}

// onVerdict handles a keeper's verdict. A grant or queue position is returned if no
// request waits for it, or if this host no longer considers the sender the keeper.
func (c *core) onVerdict(now clock.Millis, from string, m verdictMessage) {
	if m.Verdict != string(verdictNotKeeper) {
		c.digests[m.Group] = cachedDigest{digest: m.Digest, at: now}
	}
	lr, ok := c.requests[m.Seq]
	expected := ok && lr.keeper == from && lr.groupID() == m.Group
	if expected && lr.state == stateRunning && lr.server == m.Server {
		return
	}
	if !expected || (lr.state != stateAsking && lr.state != stateQueued) {
		// A grant request that was resent while its refusal was in flight is queued
		// at the keeper although no request waits for it.
		if m.Verdict == string(verdictGrant) || (!expected && m.Verdict == string(verdictQueued)) {
			c.countEvent("GivenBack")
			c.cancelAtKeeper(from, m.Group, m.Seq)
		}
		return
	}
	c.applyVerdict(now, lr, m)
}

func (c *core) applyVerdict(now clock.Millis, lr *localRequest, m verdictMessage) {
	switch verdict(m.Verdict) {
	case verdictGrant:
		c.startRunning(now, lr, m.Server, m.Floor)
	case verdictRefuse:
		c.onRefusal(now, lr, Refusal{
			Reason: sched.Reason(m.Reason), RetryAfter: m.RetryAfter, Keeper: lr.keeper,
		})
	case verdictQueued:
		lr.state, lr.stateSince = stateQueued, now
		c.spillQueued(now, lr)
	case verdictNotKeeper:
		c.countEvent("NotKeeper")
		if lr.state == stateQueued {
			lr.placedAt = now
		}
		lr.state, lr.stateSince = stateAsking, now
		lr.retryAt = now + notKeeperRetryDelay
	}
}

// startRunning marks a request as granted and leaves the result.
func (c *core) startRunning(now clock.Millis, lr *localRequest, server string, floor bool) {
	lr.state, lr.stateSince, lr.server = stateRunning, now, server
	lr.progress = sched.Progress{ID: lr.request.ID, FirstToken: -1}
	lr.lastReported = reportedProgress{at: now}
	if d, ok := c.fallbacks[lr.group]; ok && !lr.fallback {
		d.adopt(now, lr.request, server)
	}
	_, domain := parseGroup(lr.group)
	c.results = append(c.results, result{id: lr.request.ID, grant: Grant{
		Server: server, Service: lr.request.Service, FailureDomain: domain,
		Keeper: lr.keeper, Fallback: lr.fallback, Floor: floor,
	}})
}

func (c *core) endRefused(lr *localRequest, r Refusal) {
	c.forget(lr)
	c.results = append(c.results, result{id: lr.request.ID, refusal: &r})
}

func (c *core) forget(lr *localRequest) {
	delete(c.requests, lr.seq)
	delete(c.byID, lr.request.ID)
}

// cancel withdraws a request whose caller no longer waits for the decision.
func (c *core) cancel(now clock.Millis, id string) {
	lr, ok := c.byID[id]
	if !ok {
		return
	}
	if lr.state == stateRunning {
		c.done(now, sched.Done{
			Progress: sched.Progress{ID: id, FirstToken: -1}, Outcome: sched.OutcomeCancelled,
		})
		return
	}
	c.withdraw(now, lr)
	c.forget(lr)
	c.collectDecisions(now)
}

// recordProgress records the progress of a running request for the next report.
func (c *core) recordProgress(p sched.Progress) {
	if lr, ok := c.byID[p.ID]; ok && lr.state == stateRunning {
		lr.progress = p
	}
}

// done ends a running request.
func (c *core) done(now clock.Millis, d sched.Done) {
	lr, ok := c.byID[d.ID]
	if !ok || lr.state != stateRunning {
		return
	}
	c.forget(lr)
	if lr.request.Spilled {
		c.spillPolicy(lr.request.Service).Ended(lr.spillDomain)
	}
	if fallback, ok := c.fallbacks[lr.group]; ok {
		fallback.release(now, d)
	}
	if keeper, ok := c.keeperOf(lr.group); ok {
		c.markUnconfirmed(keeper, lr.groupID())
		p := c.packetFor(keeper)
		p.Dones = append(p.Dones, doneMessage{
			Group: lr.groupID(), Outcome: string(d.Outcome), Progress: newProgressMessage(lr.seq, d.Progress),
		})
	}
	c.collectDecisions(now)
}

// tickRequest handles the timeouts of one request: retries that are due, and keepers
// that do not answer.
func (c *core) tickRequest(now clock.Millis, lr *localRequest) {
	switch lr.state {
	case stateAsking:
		c.tickAsking(now, lr)
	case stateQueued:
		if c.peer(lr.keeper).lost {
			c.withdraw(now, lr)
			c.startFallback(now, lr)
		} else if !c.switchGroup(now, lr) && now-lr.sentAt >= resendInterval {
			c.resend(now, lr)
		}
	case stateFallback:
		if keeper, ok := c.keeperOf(lr.group); ok && !c.peer(keeper).lost && now-lr.stateSince >= c.timeouts.GrantRequest {
			c.reassign(now, lr)
		}
	case stateRunning:
	}
}

func (c *core) tickAsking(now clock.Millis, lr *localRequest) {
	if now-lr.placedAt >= c.timeouts.GrantRequest {
		c.suspect(now, lr)
		c.withdraw(now, lr)
		c.startFallback(now, lr)
		return
	}
	if lr.retryAt > 0 && now >= lr.retryAt {
		c.place(now, lr)
	}
}

// switchGroup moves a queued request to another group of its service that has free
// slots according to a recent digest.
func (c *core) switchGroup(now clock.Millis, lr *localRequest) bool {
	if now-lr.stateSince < groupSwitchDelay {
		return false
	}
	for _, g := range c.groups(lr.request.Service, c.domain) {
		cd, ok := c.digests[groupIDOf(g.Name)]
		fresh := ok && now-cd.at <= maxSwitchDigestAge
		if g.Name == lr.group || !fresh || cd.digest.FreeSlots <= 0 || !g.servesModel(lr.request.Model) {
			continue
		}
		c.countEvent("Switched")
		c.withdraw(now, lr)
		lr.group, lr.placedAt = g.Name, now
		c.place(now, lr)
		return true
	}
	return false
}

// resend repeats a grant request. At a keeper that already has it, it keeps its queue
// position.
func (c *core) resend(now clock.Millis, lr *localRequest) {
	lr.sentAt = now
	p := c.packetFor(lr.keeper)
	p.GrantRequests = append(p.GrantRequests, newGrantRequestMessage(
		now, lr.groupID(), lr.seq, lr.request,
	))
}

// suspect marks a keeper as lost that has sent nothing since the grant request.
func (c *core) suspect(now clock.Millis, lr *localRequest) {
	p := c.peer(lr.keeper)
	if p.lastHeard < lr.stateSince && !p.lost {
		p.lost = true
		c.countEvent("KeeperLost")
	}
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
}

// onSendFailed marks a keeper as lost to which a packet could not be sent, and moves
// the requests that wait there to the fallback group.
func (c *core) onSendFailed(now clock.Millis, name string) {
	p := c.peer(name)
	if !p.lost {
		p.lost = true
		c.countEvent("KeeperLost")
	}
	for _, lr := range c.sortedRequests() {
		waiting := lr.state == stateAsking || lr.state == stateQueued
		if waiting && lr.keeper == name {
			c.startFallback(now, lr)
		}
	}
	c.collectDecisions(now)
}
