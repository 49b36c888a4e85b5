package keeper

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/spill"
)

// The bounds on spilled work, for spill.Settings.
const (
	spillReserve  = 0.25
	spillOutShare = 0.2
)

// DomainDigest is a service of a failure domain in a few numbers.
type DomainDigest struct {
	Service      string
	FreeSlots    int
	Waiting      int
	WaitEstimate clock.Millis
	// Slots are those of the servers that are up, KnownSlots those of them
	// that the other numbers speak of.
	Slots      int
	KnownSlots int
}

// sum adds up what is known of the groups of this host's failure domain.
func (c *core) sum(now clock.Millis) []DomainDigest {
	var all []DomainDigest
	for _, service := range c.seams.services() {
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

// digestOf returns what is known of a group: its keeper knows it always, other
// hosts while they ask for grants there.
func (c *core) digestOf(now clock.Millis, g group) (sched.Digest, bool) {
	if d, ok := c.desks[numberOf(g.Name)]; ok && d.open {
		return d.sched.inner.Digest(now), true
	}
	k, ok := c.digests[numberOf(g.Name)]
	return k.digest, ok && now-k.at <= digestLife
}

// learn takes the sums of a host of another failure domain. One that knows
// nothing of a service says nothing about it.
func (c *core) learn(now clock.Millis, domain string, all []DomainDigest) {
	for _, d := range all {
		if d.KnownSlots == 0 {
			continue
		}
		digest := sched.Digest{FreeSlots: d.FreeSlots, Waiting: d.Waiting, WaitEstimate: d.WaitEstimate}
		c.spills(d.Service).Heard(now, domain, digest, d.KnownSlots)
	}
}

func (c *core) spills(service string) *spill.Policy {
	p, ok := c.spillBy[service]
	if !ok {
		p = spill.New(spill.Settings{Reserve: spillReserve, OutShare: spillOutShare})
		c.spillBy[service] = p
	}
	return p
}

// spill asks a keeper of another failure domain, where the policy chooses one.
// That keeper grants at once out of its spare slots, or refuses. A request
// tries it once.
func (c *core) spill(now clock.Millis, a *ask) bool {
	if a.abroad != "" {
		return false
	}
	service := a.request.Service
	domain := c.spills(service).Choose(now, c.spillAsk(now, a))
	if domain == "" {
		return false
	}
	name, ok := c.choose(now, domain, a.request)
	if !ok {
		return false
	}
	if keeper, ok := c.keeperOf(name); !ok || c.peer(keeper).lost {
		return false
	}
	c.tally("SpillAsked")
	c.spills(service).Sent(domain)
	a.abroad, a.request.Spilled = domain, true
	a.group, a.began = name, now
	c.place(now, a)
	return true
}

// spillQueued tries another failure domain for a request that waits at its
// keeper: the keeper has just said how long its queue is.
func (c *core) spillQueued(now clock.Millis, a *ask) {
	keeper, group := a.keeper, a.number()
	if c.spill(now, a) {
		c.giveBack(keeper, group, a.seq)
	}
}

func (c *core) spillAsk(now clock.Millis, a *ask) spill.Ask {
	all := c.sum(now)
	i := slices.IndexFunc(all, func(d DomainDigest) bool { return d.Service == a.request.Service })
	if i < 0 {
		return spill.Ask{Request: a.request}
	}
	local := sched.Digest{FreeSlots: all[i].FreeSlots, Waiting: all[i].Waiting, WaitEstimate: all[i].WaitEstimate}
	return spill.Ask{Request: a.request, Local: local, Slots: all[i].Slots}
}

// comeBack ends the attempt in another domain and goes to the own one.
func (c *core) comeBack(now clock.Millis, a *ask) bool {
	if !a.request.Spilled {
		return false
	}
	c.tally("SpillRefused")
	c.spills(a.request.Service).Refused(now, a.abroad)
	a.began = now
	c.placeLocally(now, a)
	return true
}

// refused takes a keeper's refusal. A spilled request comes back; one that its
// own domain has no room for is tried elsewhere once.
func (c *core) refused(now clock.Millis, a *ask, r Refusal) {
	if c.comeBack(now, a) {
		return
	}
	short := r.Reason == sched.ReasonShed || r.Reason == sched.ReasonNoServer
	if short && c.spill(now, a) {
		return
	}
	c.refuse(a, r)
}
