package sched

import (
	"slices"

	"siskinsaddle/internal/base/clock"
)

// server is a backend server with what runs on it.
type server struct {
	Server
	slots   slots
	running int
	long    int
	spilled int
}

// run is a granted request.
type run struct {
	Request
	server  *server
	share   *share
	granted clock.Millis
	long    bool
	// unserved is since when the class had been unserved at the grant.
	unserved clock.Millis
}

func (s *server) free() int {
	if s.State != ServerUp {
		return 0
	}
	return max(0, s.slots.limit()-s.running)
}

func (s *server) hasModel(model string) bool {
	return len(s.Models) == 0 || model == "" || slices.Contains(s.Models, model)
}

// longCap is how many slots long work may hold of a server with this limit.
func longCap(limit int, share float64) int {
	return max(1, int(share*float64(limit)))
}

// need is what a request asks of a server.
type need struct {
	model string
	tier  int
	long  bool
	avoid []string
	// floor lifts the headroom rule, and the cap on long work by one slot.
	floor bool
}

func (n need) extraLong() int {
	if n.floor {
		return 1
	}
	return 0
}

// fits tells whether the server has a slot that the request may use.
func (g *Group) fits(s *server, n need) bool {
	free := s.free()
	if free == 0 || !s.hasModel(n.model) {
		return false
	}
	h := g.settings.Headroom
	if !n.floor && n.tier > h.Tier && (free <= h.Slots || g.free <= g.reserve) {
		return false
	}
	if n.long && s.long >= longCap(s.slots.limit(), g.settings.LongShare)+n.extraLong() {
		return false
	}
	return !slices.Contains(n.avoid, s.Name)
}

// candidates lists the servers that fit, in name order. The slice is valid
// until the next call.
func (g *Group) candidates(n need) []Candidate {
	g.scratch = g.scratch[:0]
	for _, s := range g.servers {
		if g.fits(s, n) {
			g.scratch = append(g.scratch, Candidate{Server: s.Name, Running: s.running, Limit: s.slots.limit(), Long: s.long})
		}
	}
	return g.scratch
}

// avoidable drops the avoided servers where no other server has the model.
func (g *Group) avoidable(r Request) []string {
	for _, s := range g.servers {
		if s.serves(r.Model) && !slices.Contains(r.Avoid, s.Name) {
			return r.Avoid
		}
	}
	return nil
}

// serves tells whether the server takes, or may soon take again, the model.
func (s *server) serves(model string) bool {
	return (s.State == ServerUp || s.State == ServerSuspect) && s.hasModel(model)
}

func (g *Group) anyServes(model string) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.serves(model) })
}

// mostFree is the choice where the settings give none: the server with the
// largest share of its slots free, the first by name among equals.
func mostFree(among []Candidate) int {
	best := 0
	for i, c := range among {
		b := among[best]
		if (c.Limit-c.Running)*b.Limit > (b.Limit-b.Running)*c.Limit {
			best = i
		}
	}
	return best
}
