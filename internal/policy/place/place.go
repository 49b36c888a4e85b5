// Package place decides which backend server gets a request that is passed
// through. It answers three loads at once: prompts that share long parts, which
// are cheap only where these parts are cached; short prompts that must not wait
// behind the reading of long ones; and plain calls, which go where least is
// open.
//
// The code is pure: it is told the time, the servers and what becomes of each
// request. Hosts that see the same servers place the same shared part alike
// without a word between them.
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

// Part is a piece of a prompt that is cached under its name.
type Part struct {
	Name   string
	Tokens int
}

// Job is what placing needs to know of a request.
type Job struct {
	Service string
	// Parts are the pieces of the prompt in order, the last of them the
	// request's or session's own; nil for a plain call.
	Parts []Part
	// Tokens is the length of the whole prompt, Output the most tokens that
	// may be made.
	Tokens int
	Output int
	// Draw breaks ties, from 0 up to 1.
	Draw float64
	// Avoid are servers that were tried.
	Avoid []string
	// Prefer is the server that is known to hold the shared part, "" for none.
	Prefer string
}

// Settings are the weights of the decisions.
type Settings struct {
	// ShortTokens is the prompt length below which a prompt counts as short.
	ShortTokens int
	// ShortShare is the share of the engines that short prompts go to.
	ShortShare float64
	// Crowded is how many times the open requests of the second choice the
	// first must have to be passed over, and CrowdedOver by how many more.
	Crowded     float64
	CrowdedOver int
}

// Defaults are the settings with which the standard days were measured.
func Defaults() Settings {
	return Settings{ShortTokens: 4_000, ShortShare: 0.25, Crowded: 2, CrowdedOver: 2}
}

// Outcome is how a request ended at a server.
type Outcome string

// The outcomes.
const (
	OutcomeServed Outcome = "Served"
	// OutcomeFull servers refused the request without running it.
	OutcomeFull Outcome = "Full"
	// OutcomeFailed servers answered with a failure of their own.
	OutcomeFailed Outcome = "Failed"
	// OutcomeUnreachable servers took no connection.
	OutcomeUnreachable Outcome = "Unreachable"
	// OutcomeBroken connections ended before the answer did.
	OutcomeBroken Outcome = "Broken"
	// OutcomeSilent servers did not answer in time.
	OutcomeSilent Outcome = "Silent"
	// OutcomeMoved addresses belong to another server by now.
	OutcomeMoved Outcome = "Moved"
	// OutcomeCancelled requests lost their caller.
	OutcomeCancelled Outcome = "Cancelled"
)

// Choice is a decision and why it was taken.
type Choice struct {
	Server fleet.Server
	Reason string
	// Open is what this host has open at the server.
	Open int
}

// Placer decides. Take New; it is not safe for concurrent use.
type Placer struct {
	settings Settings
	servers  map[string][]fleet.Server
	states   map[string]*state
}

// state is what this host knows of one server.
type state struct {
	open   int
	health Health
}

// New returns a Placer without servers.
func New(s Settings) *Placer {
	return &Placer{settings: s, servers: map[string][]fleet.Server{}, states: map[string]*state{}}
}

// SetServers takes in the list of servers. Leaving ones get nothing new.
func (p *Placer) SetServers(all []fleet.Server) {
	p.servers = map[string][]fleet.Server{}
	present := map[string]bool{}
	for _, s := range all {
		present[key(s)] = true
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

// key tells the incarnations of a server apart.
func key(s fleet.Server) string { return s.ID + "@" + s.Address }

func (p *Placer) state(s fleet.Server) *state {
	k := key(s)
	if p.states[k] == nil {
		p.states[k] = &state{}
	}
	return p.states[k]
}

// Choose returns the server for a request, false where there is none left.
func (p *Placer) Choose(now clock.Millis, j Job) (Choice, bool) {
	var usable, sick []fleet.Server
	for _, s := range p.servers[j.Service] {
		switch {
		case slices.Contains(j.Avoid, s.ID):
		case p.state(s).health.Avoided(now):
			sick = append(sick, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable = sick
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	if len(j.Parts) > 0 {
		return p.choosePrompt(usable, j), true
	}
	return p.chooseCall(usable, j), true
}

// chooseCall takes the server with the least open requests. Hosts that see the
// same counts spread by the draw.
func (p *Placer) chooseCall(among []fleet.Server, j Job) Choice {
	start := int(j.Draw * float64(len(among)))
	best, reason := among[start%len(among)], "LeastOpen"
	for i := range among {
		s := among[(start+i)%len(among)]
		if p.state(s).open < p.state(best).open {
			best = s
		}
	}
	return Choice{Server: best, Reason: reason, Open: p.state(best).open}
}

// choosePrompt places by the longest shared part, within the engines for the
// prompt's length.
func (p *Placer) choosePrompt(among []fleet.Server, j Job) Choice {
	group := p.group(among, j.Tokens < p.settings.ShortTokens)
	name := sharedPart(j.Parts)
	ranked := rank(group, name)
	for i, s := range ranked {
		if s.ID == j.Prefer {
			copy(ranked[1:i+1], ranked[:i])
			ranked[0] = s
		}
	}
	best, reason := ranked[0], "Prefix"
	if len(ranked) > 1 && p.crowded(ranked[0], ranked[1]) {
		best, reason = ranked[1], "PrefixSecond"
	}
	return Choice{Server: best, Reason: reason, Open: p.state(best).open}
}

func (p *Placer) crowded(first, second fleet.Server) bool {
	a, b := p.state(first).open, p.state(second).open
	return a > b+p.settings.CrowdedOver && float64(a) > p.settings.Crowded*float64(b)
}

// group returns the engines for short or for long prompts. The cut is by rank,
// so that a server that comes or goes moves at most one other.
func (p *Placer) group(among []fleet.Server, short bool) []fleet.Server {
	if len(among) < 2 {
		return among
	}
	ranked := rank(among, "")
	cut := min(max(int(p.settings.ShortShare*float64(len(ranked))+0.5), 1), len(ranked)-1)
	if short {
		return ranked[:cut]
	}
	return ranked[cut:]
}

// Shared returns the parts that other requests may share: all but the last.
func Shared(parts []Part) []Part { return parts[:max(len(parts)-1, 0)] }

// sharedPart names the last part that other requests share.
func sharedPart(parts []Part) string {
	if len(parts) > 1 {
		return parts[len(parts)-2].Name
	}
	return parts[0].Name
}

// rank sorts the servers by a hash of a name and their own: all hosts get the
// same order, and a server that goes leaves the order of the others.
func rank(among []fleet.Server, name string) []fleet.Server {
	type scored struct {
		server fleet.Server
		score  uint64
	}
	all := make([]scored, 0, len(among))
	for _, s := range among {
		all = append(all, scored{s, Hash(name, s.ID)})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	ranked := make([]fleet.Server, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.server)
	}
	return ranked
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mix       = 0x9E3779B97F4A7C15
)

// Hash is FNV-1a with a final mix, since ranks compare the high bits.
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
	h *= mix
	return h ^ h>>29
}

// Sick returns the servers of a service that this host avoids for now.
func (p *Placer) Sick(now clock.Millis, service string) []string {
	var ids []string
	for _, s := range p.servers[service] {
		if p.state(s).health.Avoided(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Server returns a server by its ID.
func (p *Placer) Server(service, id string) (fleet.Server, bool) {
	for _, s := range p.servers[service] {
		if s.ID == id {
			return s, true
		}
	}
	return fleet.Server{}, false
}

// Open is what this host has open at a server.
func (p *Placer) Open(s fleet.Server) int { return p.state(s).open }

// Sent notes that a request is on its way to a server.
func (p *Placer) Sent(s fleet.Server) {
	p.state(s).open++
}

// Ended notes how a request ended at a server, and returns what that changed.
func (p *Placer) Ended(now clock.Millis, s fleet.Server, o Outcome) Change {
	st := p.state(s)
	st.open--
	return st.health.Note(now, o)
}
