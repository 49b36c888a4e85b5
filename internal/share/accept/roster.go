package accept

import (
	"cmp"
	"hash/fnv"
	"slices"

	"siskinsaddle/internal/base/clock"
)

// peer is a host's state for another host of its failure domain.
type peer struct {
	// knowsThisHost is true once a hello was exchanged, so that the peer has this
	// host in its roster.
	knowsThisHost bool
	// lastHelloAt is when the peer last said hello.
	lastHelloAt clock.Millis
	// answeredAt is when the last request was sent that the peer answered with
	// CountsForMajority set.
	answeredAt clock.Millis
	// reachableAt is answeredAt, extended without a gap by evidence that the
	// network path to the peer works.
	reachableAt clock.Millis
}

// roster is the set of the other hosts of the failure domain.
type roster struct {
	peers map[string]*peer
	// loaded is true once the registrations were read, starting at loadedAt, while
	// this host was registered itself. Every host that registered earlier is then
	// among the peers.
	loaded   bool
	loadedAt clock.Millis
	// order caches ranked until the peers change.
	order []string
}

func newRoster() *roster {
	return &roster{peers: map[string]*peer{}}
}

func (r *roster) add(name string) *peer {
	p, ok := r.peers[name]
	if !ok {
		p = &peer{lastHelloAt: never, answeredAt: never, reachableAt: never}
		r.peers[name] = p
		r.order = nil
	}
	return p
}

func (r *roster) remove(name string) {
	delete(r.peers, name)
	r.order = nil
}

// setRegistrations replaces the peers by the registrations, whose read began at readAt. A
// peer that said hello since then stays, even if the read missed it.
func (r *roster) setRegistrations(names []string, self string, readAt clock.Millis) {
	for _, name := range names {
		if name != self {
			r.add(name)
		}
	}
	for name, p := range r.peers {
		if !slices.Contains(names, name) && p.lastHelloAt < readAt {
			r.remove(name)
		}
	}
	if !r.loaded {
		r.loaded = true
		r.loadedAt = readAt
	}
}

func (r *roster) hello(name string, now clock.Millis) {
	p := r.add(name)
	p.knowsThisHost = true
	p.lastHelloAt = now
}

func (r *roster) recordReply(name string, sentAt clock.Millis) {
	if p, ok := r.peers[name]; ok {
		p.answeredAt = max(p.answeredAt, sentAt)
		p.reachableAt = max(p.reachableAt, sentAt)
	}
}

// pathSeen extends reachableAt. After a gap only an answer counts: in the
// meantime the peer may have confirmed a generation for the domain and stopped.
func (r *roster) pathSeen(name string, at clock.Millis) {
	if p, ok := r.peers[name]; ok && at-p.reachableAt <= CurrencyWindow {
		p.reachableAt = max(p.reachableAt, at)
	}
}

// verifiedAt is the time as of which this host would have learned of any
// generation that its domain confirmed, by one of two rules.
//
// First: every peer has answered, or its path was seen to work since its last
// answer. A host that confirms without this one must have found it silent for
// ExclusionWait, so it cannot be one of these peers. Second: more than half of
// the domain, this host included, has answered. A host that confirms for the
// domain needs half of it.
//
// For example, with peers that answered at 900, 700 and never, this host and
// two others make three of four: verified as of 700.
func (r *roster) verifiedAt(now clock.Millis) clock.Millis {
	if !r.loaded {
		return never
	}
	reachable := now
	answers := make([]clock.Millis, 0, len(r.peers))
	for _, p := range r.peers {
		reachable = min(reachable, p.reachableAt)
		answers = append(answers, p.answeredAt)
	}
	slices.SortFunc(answers, func(a, b clock.Millis) int { return cmp.Compare(b, a) })
	needed := majority(len(r.peers)+1) - 1
	if needed == 0 {
		return now
	}
	return max(reachable, answers[needed-1])
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
// hash. Hosts that agree on the peers agree on the order. The caller must not
// modify the result.
func (r *roster) ranked(self, domain string) []string {
	if r.order == nil {
		r.order = append(r.names(), self)
		slices.SortFunc(r.order, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(rendezvousWeight(domain, a), rendezvousWeight(domain, b)),
				cmp.Compare(a, b),
			)
		})
	}
	return r.order
}

func rendezvousWeight(domain, host string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(host + "/" + domain))
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// withoutHello returns the peers that have not exchanged a hello with this host.
func (r *roster) withoutHello() []string {
	return slices.DeleteFunc(r.names(), func(n string) bool { return r.peers[n].knowsThisHost })
}

// knownBy returns those of the named hosts that have exchanged a hello with this
// host.
func (r *roster) knownBy(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool {
		p, ok := r.peers[n]
		return !ok || !p.knowsThisHost
	})
}
