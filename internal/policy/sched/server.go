package sched

import (
	"slices"

	"siskinsaddle/internal/base/clock"
)

// server is a backend server with counts of its running requests.
type server struct {
	Server
	limiter limiter
	running int
	long    int
	spilled int
}

// run is a granted request.
type run struct {
	Request
	server  *server
	usage   *workspaceUsage
	granted clock.Millis
	long    bool
	// unservedSince is the class's unservedSince before the grant.
	unservedSince clock.Millis
}

func (s *server) free() int {
	if s.State != ServerUp {
		return 0
	}
	return max(0, s.limiter.limit()-s.running)
}

func (s *server) hasModel(model string) bool {
	return len(s.Models) == 0 || model == "" || slices.Contains(s.Models, model)
}

// longCap returns the number of slots that long requests may hold on a server with
// this limit.
func longCap(limit int, share float64) int {
	return max(1, int(share*float64(limit)))
}

// requirement is what a request requires of a server.
type requirement struct {
	model string
	tier  int
	long  bool
	avoid []string
	// floor exempts the request from the headroom rules and raises the cap on long
	// requests by one slot.
	floor bool
}

func (n requirement) extraLongSlots() int {
	if n.floor {
		return 1
	}
	return 0
}

// fits reports whether the server has a slot that the request may use.
func (g *Group) fits(s *server, n requirement) bool {
	free := s.free()
	if free == 0 || !s.hasModel(n.model) {
		return false
	}
	h := g.settings.Headroom
	if !n.floor && n.tier > h.Tier && (free <= h.Slots || g.free <= g.reserve) {
		return false
	}
	if n.long && s.long >= longCap(s.limiter.limit(), g.settings.LongShare)+n.extraLongSlots() {
		return false
	}
	return !slices.Contains(n.avoid, s.Name)
}

// candidates returns the servers that fit, in name order. The slice is valid until
// the next call.
func (g *Group) candidates(n requirement) []Candidate {
	g.scratch = g.scratch[:0]
	for _, s := range g.servers {
		if g.fits(s, n) {
			g.scratch = append(g.scratch, Candidate{
				Server: s.Name, Running: s.running, Limit: s.limiter.limit(), Long: s.long,
			})
		}
	}
	return g.scratch
}

// effectiveAvoid returns r.Avoid, or nil if no other server serves the model.
func (g *Group) effectiveAvoid(r Request) []string {
	for _, s := range g.servers {
		if s.serves(r.Model) && !slices.Contains(r.Avoid, s.Name) {
			return r.Avoid
		}
	}
	return nil
}

// serves reports whether the server accepts requests for the model, or may soon do
// so again.
func (s *server) serves(model string) bool {
	return (s.State == ServerUp || s.State == ServerSuspect) && s.hasModel(model)
}

func (g *Group) anyServes(model string) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.serves(model) })
}

// mostFree is the default choice: the server with the largest share of free slots,
// the first by name among equals.
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
