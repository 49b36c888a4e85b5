// Package place chooses the backend server to which a request is forwarded.
// It is made for three kinds of load: prompts with long common prefix segments, which
// are cheap only on servers that have these segments cached; short prompts, which
// must not wait behind the prefill of long ones; and plain calls, which go to the
// server with the fewest open requests.
//
// The code is pure: the caller passes in the time, the servers and the outcome of
// each request. Hosts with the same list of servers choose the same server for a
// prefix segment, without communication between them.
//
// # Usage
//
//	p := place.New(place.Defaults())
//	p.SetServers(servers)
//	choice, ok := p.Choose(now, job)
//	p.Sent(choice.Server)
//	p.Ended(now, choice.Server, place.OutcomeServed)
package place

import (
	"slices"
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
)

// Segment is a section of a prompt that servers cache under its name.
type Segment struct {
	Name   string
	Tokens int
}

// Job holds the properties of a request that the choice of a server may depend on.
type Job struct {
	Service string
	// Segments are the segments of the prompt in order; the last one is specific
	// to the request or session. Segments is nil for a plain call.
	Segments []Segment
	// Tokens is the length of the whole prompt, Output the maximum length of the
	// answer in tokens. Choose does not read Output.
	Tokens int
	Output int
	// Random is a random number in [0, 1) that breaks ties.
	Random float64
	// Avoid are the IDs of servers that were tried already.
	Avoid []string
	// Prefer is the ID of the server known to have the prefix segment cached, ""
	// for none.
	Prefer string
}

// Settings are the parameters of the decisions.
type Settings struct {
	// ShortTokens is the length in tokens below which a prompt counts as short.
	ShortTokens int
	// ShortShare is the share of the backend servers reserved for short prompts.
	ShortShare float64
	// The second choice is taken if the first has more than OverloadRatio times as
	// many open requests and over OverloadMargin more.
	OverloadRatio  float64
	OverloadMargin int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{ShortTokens: 4_000, ShortShare: 0.25, OverloadRatio: 2, OverloadMargin: 2}
}

// Outcome is how a request ended at a server.
type Outcome string

// The outcomes.
const (
	OutcomeServed Outcome = "Served"
	// OutcomeUnmarked means that the answer ended with its connection: it was served,
	// unless the server crashed.
	OutcomeUnmarked Outcome = "Unmarked"
	// OutcomeFull means that the server refused the request without running it.
	OutcomeFull Outcome = "Full"
	// OutcomeFailed means that the server answered with an error of its own.
	OutcomeFailed Outcome = "Failed"
	// OutcomeUnreachable means that the connection could not be opened.
	OutcomeUnreachable Outcome = "Unreachable"
	// OutcomeBroken means that the connection ended before the answer did.
	OutcomeBroken Outcome = "Broken"
	// OutcomeSilent means that the server did not answer in time.
	OutcomeSilent Outcome = "Silent"
	// OutcomeMoved means that another server now has the address.
	OutcomeMoved Outcome = "Moved"
	// OutcomeCancelled means that the caller disconnected.
	OutcomeCancelled Outcome = "Cancelled"
)

// Answered reports whether the server answered, as far as is known.
func (o Outcome) Answered() bool { return o == OutcomeServed || o == OutcomeUnmarked }

// Choice is a chosen server and the reason for the choice.
type Choice struct {
	Server fleet.Server
	Reason string
	// Open is the number of requests that this host has open at the server.
	Open int
}

// Placer chooses servers and tracks their open requests and health. Create it with
// New; it is not safe for concurrent use.
type Placer struct {
	settings Settings
	servers  map[string][]fleet.Server
	states   map[string]*serverState
}

// serverState is this host's view of a server at one address.
type serverState struct {
	open   int
	health Health
}

// New returns a Placer without servers.
func New(s Settings) *Placer {
	return &Placer{settings: s, servers: map[string][]fleet.Server{}, states: map[string]*serverState{}}
}

// SetServers replaces the list of servers. Leaving servers get no new requests.
func (p *Placer) SetServers(all []fleet.Server) {
	p.servers = map[string][]fleet.Server{}
	present := map[string]bool{}
	for _, s := range all {
		present[stateKey(s)] = true
		if !s.Leaving {
			p.servers[s.Service] = append(p.servers[s.Service], s)
		}
	}
	for k, s := range p.states {
		if !present[k] && s.open == 0 {
			delete(p.states, k)
		}
	}
}

// stateKey returns the key of a server in Placer.states. It changes if the server
// restarts at another address, but not if it restarts at the same one.
func stateKey(s fleet.Server) string { return s.ID + "@" + s.Address }

func (p *Placer) serverState(s fleet.Server) *serverState {
	k := stateKey(s)
	if p.states[k] == nil {
		p.states[k] = &serverState{}
	}
	return p.states[k]
}

// Choose returns the server for a request. It returns false if the service has no
// server outside j.Avoid. It uses servers in backoff only if there is no other.
func (p *Placer) Choose(now clock.Millis, j Job) (Choice, bool) {
	var usable, inBackoff []fleet.Server
	for _, s := range p.servers[j.Service] {
		switch {
		case slices.Contains(j.Avoid, s.ID):
		case p.serverState(s).health.Avoided(now):
			inBackoff = append(inBackoff, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable = inBackoff
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	if len(j.Segments) > 0 {
		return p.choosePrompt(usable, j), true
	}
	return p.chooseCall(usable, j), true
}

// chooseCall chooses the server with the fewest open requests. The search starts at
// a random server, so that hosts with the same counts spread their requests.
func (p *Placer) chooseCall(candidates []fleet.Server, j Job) Choice {
	start := int(j.Random * float64(len(candidates)))
	best, reason := candidates[start%len(candidates)], "LeastOpen"
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if p.serverState(s).open < p.serverState(best).open {
			best = s
		}
	}
	return Choice{Server: best, Reason: reason, Open: p.serverState(best).open}
}

// choosePrompt chooses by rendezvous hashing of the last prefix segment, among the
// servers for the prompt's length.
func (p *Placer) choosePrompt(candidates []fleet.Server, j Job) Choice {
	servers := p.serversForLength(candidates, j.Tokens < p.settings.ShortTokens)
	segment := lastPrefixSegment(j.Segments)
	ranked := rankByHash(servers, segment)
	for i, s := range ranked {
		if s.ID == j.Prefer {
			copy(ranked[1:i+1], ranked[:i])
			ranked[0] = s
		}
	}
	best, reason := ranked[0], "Prefix"
	if len(ranked) > 1 && p.overloaded(ranked[0], ranked[1]) {
		best, reason = ranked[1], "PrefixSecond"
	}
	return Choice{Server: best, Reason: reason, Open: p.serverState(best).open}
}

func (p *Placer) overloaded(first, second fleet.Server) bool {
	a, b := p.serverState(first).open, p.serverState(second).open
	return a > b+p.settings.OverloadMargin && float64(a) > p.settings.OverloadRatio*float64(b)
}

// serversForLength returns the servers for short or for long prompts. It divides the
// candidates by hash rank, so that adding or removing one moves at most one other.
func (p *Placer) serversForLength(candidates []fleet.Server, short bool) []fleet.Server {
	if len(candidates) < 2 {
		return candidates
	}
	ranked := rankByHash(candidates, "")
	shortCount := min(max(int(p.settings.ShortShare*float64(len(ranked))+0.5), 1), len(ranked)-1)
	if short {
		return ranked[:shortCount]
	}
	return ranked[shortCount:]
}

// PrefixSegments returns the segments that other requests may have in common: all
// but the last.
func PrefixSegments(segments []Segment) []Segment { return segments[:max(len(segments)-1, 0)] }

// lastPrefixSegment returns the name of the last prefix segment, or of the only
// segment.
func lastPrefixSegment(segments []Segment) string {
	if len(segments) > 1 {
		return segments[len(segments)-2].Name
	}
	return segments[0].Name
}

// rankByHash sorts servers by a hash of name and the server's ID (rendezvous
// hashing). All hosts get the same order, and removing a server does not change the
// order of the others.
func rankByHash(servers []fleet.Server, name string) []fleet.Server {
	type scoredServer struct {
		server fleet.Server
		score  uint64
	}
	all := make([]scoredServer, 0, len(servers))
	for _, s := range servers {
		all = append(all, scoredServer{s, Hash(name, s.ID)})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	ranked := make([]fleet.Server, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.server)
	}
	return ranked
}

const (
	fnvOffset      = 14695981039346656037
	fnvPrime       = 1099511628211
	hashMultiplier = 0x9E3779B97F4A7C15
)

// Hash returns the FNV-1a hash of a and b with a final mixing step, since ranking
// depends on the high bits.
func Hash(a, b string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(a) {
		h = (h ^ uint64(a[i])) * fnvPrime
	}
	h = (h ^ '/') * fnvPrime
	for i := range len(b) {
		h = (h ^ uint64(b[i])) * fnvPrime
	}
	h ^= h >> 32
	h *= hashMultiplier
	return h ^ h>>29
}

// AvoidedServers returns the IDs of the servers of a service that are in backoff on
// this host now.
func (p *Placer) AvoidedServers(now clock.Millis, service string) []string {
	var ids []string
	for _, s := range p.servers[service] {
		if p.serverState(s).health.Avoided(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Servers returns the servers of a service that are not leaving. The slice must not be
// modified.
func (p *Placer) Servers(service string) []fleet.Server { return p.servers[service] }

// Server returns a server by its ID.
func (p *Placer) Server(service, id string) (fleet.Server, bool) {
	for _, s := range p.servers[service] {
		if s.ID == id {
			return s, true
		}
	}
	return fleet.Server{}, false
}

// Open returns the number of requests that this host has open at a server.
func (p *Placer) Open(s fleet.Server) int { return p.serverState(s).open }

// Sent counts a request as open at a server.
func (p *Placer) Sent(s fleet.Server) {
	p.serverState(s).open++
}

// Ended records the outcome of a request at a server, and returns the change of the
// server's health.
func (p *Placer) Ended(now clock.Millis, s fleet.Server, o Outcome) Change {
	st := p.serverState(s)
	st.open--
	return st.health.Record(now, o)
}
