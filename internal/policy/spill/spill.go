// Package spill decides when a request goes to another failure domain, and to
// which one.
//
// A request spills only when the own domain has no slot free that every tier may
// use, and another domain reports free slots beyond a reserve. Three bounds keep a
// crest in one domain from toppling another: the other domain takes spilled
// work into spare slots only and refuses it otherwise; the own domain has at
// most a share of its slots' number of requests elsewhere; and a domain that
// refused is left alone for a time that doubles with each refusal. A request
// spills once: one that came from elsewhere is never passed on.
//
// # Usage
//
//	p := spill.New(spill.Settings{Reserve: 0.25, OutShare: 0.2})
//	p.Heard(now, "prairie-b", digest, slots)
//	if to := p.Choose(now, spill.Ask{Request: r, Local: local, Slots: 80}); to != "" {
//		p.Sent(to) // and p.Ended(to), or p.Refused(now, to)
//	}
package spill

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// Settings of a Policy.
type Settings struct {
	// Reserve is the share of its slots that another domain must have free.
	Reserve float64
	// OutShare bounds the requests elsewhere, as a share of the own slots.
	OutShare float64
}

const (
	// digestLife is the age at which what a domain said is no longer used.
	digestLife = 2 * clock.Second
	// pauseFirst and pauseMost bound how long a domain is left alone after it
	// refused.
	pauseFirst = 500 * clock.Millis(1)
	pauseMost  = 8 * clock.Second
)

// Policy decides for one entry host. Take New; it is not safe for concurrent
// use.
type Policy struct {
	settings Settings
	domains  map[string]*domain
	names    []string
	out      int
}

type domain struct {
	digest sched.Digest
	slots  int
	heard  clock.Millis
	until  clock.Millis
	pause  clock.Millis
	out    int
}

// New returns a Policy that knows no other domain.
func New(s Settings) *Policy { return &Policy{settings: s, domains: map[string]*domain{}} }

// Heard takes what another domain says of itself.
func (p *Policy) Heard(now clock.Millis, name string, d sched.Digest, slots int) {
	v := p.domains[name]
	if v == nil {
		v = &domain{}
		p.domains[name] = v
		p.names = append(p.names, name)
		slices.Sort(p.names)
	}
	v.digest, v.slots, v.heard = d, slots, now
}

// Ask is a request with the state of its own domain.
type Ask struct {
	Request sched.Request
	// Local sums the digests of the groups that could serve it here; only its
	// FreeSlots count.
	Local sched.Digest
	// Slots is the number of slots of the own domain's servers that are up.
	Slots int
}

// Choose returns the domain that the request goes to, "" for the own one.
func (p *Policy) Choose(now clock.Millis, a Ask) string {
	if a.Request.Spilled || a.Local.FreeSlots > 0 {
		return ""
	}
	best, most := "", 0.0
	for _, name := range p.names {
		d := p.domains[name]
		if free := p.spare(now, d); free > most && p.within(a, d) {
			best, most = name, free
		}
	}
	return best
}

// within tells whether one more request elsewhere keeps to the share of the own
// slots. A domain that has none left, since all its servers are lost, may have
// that share of the other domain's.
func (p *Policy) within(a Ask, d *domain) bool {
	slots := a.Slots
	if slots == 0 {
		slots = d.slots
	}
	return float64(p.out+1) <= p.settings.OutShare*float64(slots)
}

// spare is the share of a domain's slots that is free beyond the reserve, less
// what was sent there since it spoke.
func (p *Policy) spare(now clock.Millis, d *domain) float64 {
	if d.slots == 0 || now-d.heard > digestLife || now < d.until || d.digest.Waiting > 0 {
		return 0
	}
	return float64(d.digest.FreeSlots-d.out)/float64(d.slots) - p.settings.Reserve
}

// Sent notes that a request was sent to the domain.
func (p *Policy) Sent(name string) { p.move(name, 1) }

// Ended notes that a spilled request is over.
func (p *Policy) Ended(name string) {
	p.move(name, -1)
	if d := p.domains[name]; d != nil {
		d.pause = 0
	}
}

// Refused notes that the domain refused a request, which is over there.
func (p *Policy) Refused(now clock.Millis, name string) {
	p.move(name, -1)
	if d := p.domains[name]; d != nil {
		d.pause = min(pauseMost, max(pauseFirst, 2*d.pause))
		d.until = now + d.pause
	}
}

func (p *Policy) move(name string, by int) {
	p.out += by
	if d := p.domains[name]; d != nil {
		d.out += by
	}
}
