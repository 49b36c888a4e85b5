package keeper

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/spill"
)

// Limits on spilled requests, for spill.Settings.
const (
	spillReserve  = 0.25
	spillOutShare = 0.2
)

// DomainDigest summarizes the load of a service in a failure domain.
type DomainDigest struct {
	Service      string
	FreeSlots    int
	Waiting      int
	WaitEstimate clock.Millis
	// Slots counts the slots of the servers that are up, and KnownSlots those of
	// them that the other fields cover.
	Slots      int
	KnownSlots int
}

// domainDigests adds up the digests of the groups in this host's failure domain, by
// service.
func (c *core) domainDigests(now clock.Millis) []DomainDigest {
	var all []DomainDigest
	for _, service := range c.deps.services() {
		d := DomainDigest{Service: service}
		for _, g := range c.groups(service, c.domain) {
			slots := g.upSlots()
			d.Slots += slots
			digest, ok := c.digestOf(now, g)
			if !ok {
				continue
			}
			d.KnownSlots += slots
			d.FreeSlots += max(0, digest.FreeSlots)
			d.Waiting += digest.Waiting
			d.WaitEstimate = max(d.WaitEstimate, digest.WaitEstimate)
		}
		all = append(all, d)
	}
	return all
}

// digestOf returns the digest of a group. The keeper always has one, other hosts only
// while they request grants there.
func (c *core) digestOf(now clock.Millis, g group) (sched.Digest, bool) {
	if kg, ok := c.kept[groupIDOf(g.Name)]; ok && kg.open {
		return kg.decider.inner.Digest(now), true
	}
	cd, ok := c.digests[groupIDOf(g.Name)]
	return cd.digest, ok && now-cd.at <= maxDigestAge
}

// recordDomainDigests records the digests from a host of another failure domain. A
// digest that covers no slots carries no information and is skipped.
func (c *core) recordDomainDigests(now clock.Millis, domain string, all []DomainDigest) {
	for _, d := range all {
		if d.KnownSlots == 0 {
			continue
		}
		digest := sched.Digest{FreeSlots: d.FreeSlots, Waiting: d.Waiting, WaitEstimate: d.WaitEstimate}
		c.spillPolicy(d.Service).UpdateDomain(now, domain, digest, d.KnownSlots)
	}
}

func (c *core) spillPolicy(service string) *spill.Policy {
	p, ok := c.spillPolicies[service]
	if !ok {
		p = spill.New(spill.Settings{Reserve: spillReserve, OutShare: spillOutShare})
		c.spillPolicies[service] = p
	}
	return p
}

// spill places a request at a keeper of another failure domain, if the policy chooses
// one, and reports whether it did. That keeper grants at once from its spare slots, or
// refuses. A request is spilled at most once.
func (c *core) spill(now clock.Millis, lr *localRequest) bool {
	if lr.spillDomain != "" {
		return false
	}
	service := lr.request.Service
	domain := c.spillPolicy(service).Choose(now, c.newSpillCandidate(now, lr))
	if domain == "" {
		return false
	}
	name, ok := c.chooseGroup(now, domain, lr.request)
	if !ok {
		return false
	}
	if keeper, ok := c.keeperOf(name); !ok || c.peer(keeper).lost {
		return false
	}
	c.countEvent("SpillAsked")
	c.spillPolicy(service).Sent(domain)
	lr.spillDomain, lr.request.Spilled = domain, true
	lr.group, lr.placedAt = name, now
	c.place(now, lr)
	return true
}

// spillQueued tries another failure domain for a request that is queued at its keeper,
// since the keeper's answer has just updated the queue length.
func (c *core) spillQueued(now clock.Millis, lr *localRequest) {
	keeper, gid := lr.keeper, lr.groupID()
	if c.spill(now, lr) {
		c.cancelAtKeeper(keeper, gid, lr.seq)
	}
}

func (c *core) newSpillCandidate(now clock.Millis, lr *localRequest) spill.Candidate {
	all := c.domainDigests(now)
	i := slices.IndexFunc(all, func(d DomainDigest) bool { return d.Service == lr.request.Service })
	if i < 0 {
		return spill.Candidate{Request: lr.request}
	}
	local := sched.Digest{
		FreeSlots: all[i].FreeSlots, Waiting: all[i].Waiting, WaitEstimate: all[i].WaitEstimate,
	}
	return spill.Candidate{Request: lr.request, Local: local, Slots: all[i].Slots}
}

// endSpill gives up a spilled request in the other failure domain and places it in the
// own one. It reports whether the request was spilled.
func (c *core) endSpill(now clock.Millis, lr *localRequest) bool {
	if !lr.request.Spilled {
		return false
	}
	c.countEvent("SpillRefused")
	c.spillPolicy(lr.request.Service).Refused(now, lr.spillDomain)
	lr.placedAt = now
	c.placeLocally(now, lr)
	return true
}

// onRefusal handles a refusal. A spilled request returns to the own domain; a request
// for which the own domain has no capacity is spilled once.
func (c *core) onRefusal(now clock.Millis, lr *localRequest, r Refusal) {
	if c.endSpill(now, lr) {
		return
	}
	noCapacity := r.Reason == sched.ReasonShed || r.Reason == sched.ReasonNoServer
	if noCapacity && c.spill(now, lr) {
		return
	}
	c.endRefused(lr, r)
}
