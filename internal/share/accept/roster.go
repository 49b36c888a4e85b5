package accept

import (
	"cmp"
	"hash/fnv"
	"slices"

	"siskinsaddle/internal/base/clock"
)

// peer is what a host holds of another host of its failure domain.
type peer struct {
	// met tells that a hello was exchanged, so the peer knows this host.
	met bool
	// metAt is when the peer last said hello.
	metAt clock.Millis
	// answeredAt is the start of the last request that the peer answered with
	// knowledge it can not have forgotten.
	answeredAt clock.Millis
	// seenAt is answeredAt, prolonged without a gap by signs that the path to
	// the peer works.
	seenAt clock.Millis
}

// roster is the hosts of the failure domain without this one.
type roster struct {
	peers map[string]*peer
	// listed tells that the registrations were read, from listedAt on, while
	// this host's own one stood, so every host registered earlier is among the
	// peers.
	listed   bool
	listedAt clock.Millis
	// order caches ranked until the peers change.
	order []string
}

func newRoster() *roster {
	return &roster{peers: map[string]*peer{}}
}

func (r *roster) add(name string) *peer {
	p, ok := r.peers[name]
	if !ok {
		p = &peer{metAt: never, answeredAt: never, seenAt: never}
		r.peers[name] = p
		r.order = nil
	}
	return p
}

func (r *roster) remove(name string) {
	delete(r.peers, name)
	r.order = nil
}

// list takes the registrations that were read from a time on. A peer that said
// hello since then stays, even if the reading missed it.
func (r *roster) list(names []string, self string, readAt clock.Millis) {
	for _, name := range names {
		if name != self {
			r.add(name)
		}
	}
	for name, p := range r.peers {
		if !slices.Contains(names, name) && p.metAt < readAt {
			r.remove(name)
		}
	}
	if !r.listed {
		r.listed = true
		r.listedAt = readAt
	}
}

func (r *roster) hello(name string, now clock.Millis) {
	p := r.add(name)
	p.met = true
	p.metAt = now
}

func (r *roster) answered(name string, asked clock.Millis) {
	if p, ok := r.peers[name]; ok {
		p.answeredAt = max(p.answeredAt, asked)
		p.seenAt = max(p.seenAt, asked)
	}
}

// pathSeen prolongs what is known of a peer. After a gap only an answer
// counts: meanwhile the peer may have led the domain on and stopped.
func (r *roster) pathSeen(name string, at clock.Millis) {
	if p, ok := r.peers[name]; ok && at-p.seenAt <= CurrencyWindow {
		p.seenAt = max(p.seenAt, at)
	}
}

// verifiedAt is the time as of which this host would have heard of any
// generation that its domain confirmed, by one of two rules.
//
// First: every peer has answered, or its path was seen to work since it last
// did. A host that leads the domain on without this one has to find it silent
// for ExclusionWait, so it can not be among those. Second: more than half of the
// domain, this host included, has answered. Whoever leads the domain on needs
// half of it.
//
// For example, with peers that answered at 900, 700 and never, this host and
// two others make three of four: verified as of 700.
func (r *roster) verifiedAt(now clock.Millis) clock.Millis {
	if !r.listed {
		return never
	}
	all := now
	answers := make([]clock.Millis, 0, len(r.peers))
	for _, p := range r.peers {
		all = min(all, p.seenAt)
		answers = append(answers, p.answeredAt)
	}
	slices.SortFunc(answers, func(a, b clock.Millis) int { return cmp.Compare(b, a) })
	wanted := majority(len(r.peers)+1) - 1
	if wanted == 0 {
		return now
	}
	return max(all, answers[wanted-1])
}

func majority(hosts int) int {
	return hosts/2 + 1
}

// names returns the peers by name.
func (r *roster) names() []string {
	names := make([]string, 0, len(r.peers))
	for name := range r.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ranked returns all hosts of the domain, this one included, by rendezvous
// hash. Hosts that agree on the peers agree on the order. It must not be
// changed.
func (r *roster) ranked(self, domain string) []string {
	if r.order == nil {
		r.order = append(r.names(), self)
		slices.SortFunc(r.order, func(a, b string) int {
			return cmp.Or(cmp.Compare(weight(domain, a), weight(domain, b)), cmp.Compare(a, b))
		})
	}
	return r.order
}

func weight(domain, host string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(host + "/" + domain))
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// unmet returns the peers that have not exchanged a hello.
func (r *roster) unmet() []string {
	return slices.DeleteFunc(r.names(), func(n string) bool { return r.peers[n].met })
}

// metOf returns those of the names that have exchanged a hello.
func (r *roster) metOf(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool {
		p, ok := r.peers[n]
		return !ok || !p.met
	})
}
