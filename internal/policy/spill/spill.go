// Package spill decides when a request is sent to another failure domain, and to
// which one.
//
// A request spills only when the local domain has no free slot that every tier may
// use, and another domain reports free slots beyond a reserve. Three limits keep a
// load peak in one domain from overloading another: the remote domain accepts
// spilled requests only into spare slots and refuses them otherwise; the number of
// requests that a domain has spilled is limited to a share of its slots; and a
// domain that refused a request is not tried again for a backoff that doubles with
// each refusal. A request spills at most once: a spilled request is never
// forwarded again.
//
// # Usage
//
//	p := spill.New(spill.Settings{Reserve: 0.25, OutShare: 0.2})
//	p.UpdateDomain(now, "prairie-b", digest, slots)
//	if to := p.Choose(now, spill.Candidate{Request: r, Local: local, Slots: 80}); to != "" {
//		p.Sent(to) // and p.Ended(to), or p.Refused(now, to)
//	}
package spill

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// Settings configures a Policy.
type Settings struct {
	// Reserve is the share of its slots that another domain must have free.
	Reserve float64
	// OutShare limits the spilled requests, as a share of the local slots.
	OutShare float64
}

const (
	// maxDigestAge is the age above which a domain's digest is ignored.
	maxDigestAge = 2 * clock.Second
	// minBackoff and maxBackoff bound the backoff after a domain refused a request.
	minBackoff = 500 * clock.Millis(1)
	maxBackoff = 8 * clock.Second
)

// Policy decides on the spills of one entry host.
// Create one with New; it is not safe for concurrent use.
type Policy struct {
	settings Settings
	domains  map[string]*domain
	names    []string
	spilled  int
}

type domain struct {
	digest       sched.Digest
	slots        int
	updated      clock.Millis
	backoffUntil clock.Millis
	backoff      clock.Millis
	spilled      int
}

// New returns a Policy that knows no other domain.
func New(s Settings) *Policy { return &Policy{settings: s, domains: map[string]*domain{}} }

// UpdateDomain records the digest and the number of slots that another domain
// reported.
func (p *Policy) UpdateDomain(now clock.Millis, name string, d sched.Digest, slots int) {
	v := p.domains[name]
	if v == nil {
		v = &domain{}
		p.domains[name] = v
		p.names = append(p.names, name)
		slices.Sort(p.names)
	}
	v.digest, v.slots, v.updated = d, slots, now
}

// Candidate is a request with the state of the local domain.
type Candidate struct {
	Request sched.Request
	// Local is the sum of the digests of the local groups that could serve the
	// request; only its FreeSlots is used.
	Local sched.Digest
	// Slots is the number of slots of the local servers that are up.
	Slots int
}

// Choose returns the domain to send the request to, "" for the local one.
func (p *Policy) Choose(now clock.Millis, c Candidate) string {
	if c.Request.Spilled || c.Local.FreeSlots > 0 {
		return ""
	}
	best, bestShare := "", 0.0
	for _, name := range p.names {
		d := p.domains[name]
		if free := p.spareShare(now, d); free > bestShare && p.withinOutShare(c, d) {
			best, bestShare = name, free
		}
	}
	return best
}

// withinOutShare reports whether one more spilled request stays within OutShare of the
// local slots. A domain that has lost all its servers has no slots, so it may use
// that share of the remote domain's slots instead.
func (p *Policy) withinOutShare(c Candidate, d *domain) bool {
	slots := c.Slots
	if slots == 0 {
		slots = d.slots
	}
	return float64(p.spilled+1) <= p.settings.OutShare*float64(slots)
}

// spareShare returns the share of a domain's slots that is free beyond the reserve,
// less the requests that this host has running there.
func (p *Policy) spareShare(now clock.Millis, d *domain) float64 {
	if d.slots == 0 || now-d.updated > maxDigestAge || now < d.backoffUntil || d.digest.Waiting > 0 {
		return 0
	}
	return float64(d.digest.FreeSlots-d.spilled)/float64(d.slots) - p.settings.Reserve
}

// Sent records that a request was sent to the domain.
func (p *Policy) Sent(name string) { p.addSpilled(name, 1) }

// Ended records that a spilled request has ended, and resets the domain's backoff.
func (p *Policy) Ended(name string) {
	p.addSpilled(name, -1)
	if d := p.domains[name]; d != nil {
		d.backoff = 0
	}
}

// Refused records that the domain refused a request, and starts its backoff.
func (p *Policy) Refused(now clock.Millis, name string) {
	p.addSpilled(name, -1)
	if d := p.domains[name]; d != nil {
		d.backoff = min(maxBackoff, max(minBackoff, 2*d.backoff))
		d.backoffUntil = now + d.backoff
	}
}

func (p *Policy) addSpilled(name string, by int) {
	p.spilled += by
	if d := p.domains[name]; d != nil {
		d.spilled += by
	}
}
