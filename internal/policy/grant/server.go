package grant

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// server is what the keeper believes of one server.
type server struct {
	fleet.Server
	// unread are the requests whose prompts are not read yet, running counts
	// all that are there.
	unread  []*granted
	running int
	// coming counts the shared parts of the unread ones.
	coming map[string]int
	// shorts are those of short classes among them.
	shorts int
	// since is when reading last began or got through with a prompt.
	since clock.Millis
	// pauseUntil is the end of the pause that the server owes its answers.
	pauseUntil clock.Millis
	// planned is the reading of the requests that wait for this server, in
	// milliseconds. It holds during one round of decisions.
	planned float64
	parts   map[string]heldPart
	held    int
	health  place.Health
	gone    bool
	// signFrom and signAt are the last host that got an event from the server,
	// and when.
	signFrom string
	signAt   clock.Millis
}

// heldPart is a part of prompts in a server's cache.
type heldPart struct {
	tokens int
	used   clock.Millis
}

func newServer() *server { return &server{parts: map[string]heldPart{}, coming: map[string]int{}} }

// fresh is the number of tokens of a prompt that the server has to read. A part
// is of use only if all parts before it are there.
func (s *server) fresh(parts []place.Part, tokens int) int {
	for _, p := range parts {
		if _, ok := s.parts[p.Name]; !ok {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 1)
}

// comingTokens is the least length of a shared part that is waited for.
const comingTokens = 1_000

// comes tells whether a shared part is being read there.
func (s *server) comes(name string) bool { return s.coming[name] > 0 }

// later returns what is left to read of a prompt once the parts that come are
// there, and whether there are such parts.
func (s *server) later(parts []place.Part, tokens int) (int, bool) {
	waits := false
	for _, p := range place.Shared(parts) {
		if _, ok := s.parts[p.Name]; !ok {
			if !s.comes(p.Name) {
				break
			}
			waits = waits || p.Tokens >= comingTokens
		}
		tokens -= p.Tokens
	}
	return max(tokens, 1), waits
}

// add books a request on a server.
func (c *Core) add(now clock.Millis, s *server, g *granted) {
	if len(s.unread) == 0 {
		s.since = now
	}
	s.unread = append(s.unread, g)
	s.running++
	if g.short {
		s.shorts++
	}
	for _, p := range place.Shared(g.Parts) {
		s.coming[p.Name]++
		if !s.gone {
			c.coming[p.Name]++
		}
	}
}

// read takes a request out of those whose prompts are not read.
func (c *Core) read(now clock.Millis, s *server, g *granted) {
	i := slices.Index(s.unread, g)
	if i < 0 {
		return
	}
	s.unread = slices.Delete(s.unread, i, i+1)
	s.since = now
	for _, p := range place.Shared(g.Parts) {
		less(s.coming, p.Name)
		if !s.gone {
			less(c.coming, p.Name)
		}
	}
}

// less takes one from a count, which goes when nothing is left.
func less(counts map[string]int, name string) {
	if counts[name]--; counts[name] <= 0 {
		delete(counts, name)
	}
}

func (s *server) end(g *granted) {
	s.running--
	if g.short {
		s.shorts--
	}
}

// owe puts a pause between what was read and the next long prompt.
func (s *server) owe(now clock.Millis, pause float64) {
	if s.running > 0 {
		s.pauseUntil = max(s.pauseUntil, now) + clock.Millis(pause)
	}
}

// pause is what is left of the pauses owed, in milliseconds.
func (s *server) pause(now clock.Millis) float64 { return float64(max(s.pauseUntil-now, 0)) }

// The slack in judging a server's reading: it is overdue after lateTimes the
// expected time and lateSlack milliseconds.
const (
	lateTimes = 2.0
	lateSlack = 250.0
	// leastUnread is the share of what is to be read that is taken to be left
	// before the next sign of progress.
	leastUnread = 0.3
)

// backlog is the time until the server has read what it has, in milliseconds.
// It grows while a server is silent beyond what was expected, so that a dead
// one is passed over before anybody says that it is.
func (s *server) backlog(now clock.Millis) float64 {
	if len(s.unread) == 0 {
		return 0
	}
	total := 0.0
	for _, g := range s.unread {
		total += g.read
	}
	elapsed := float64(now - s.since)
	overdue := max(elapsed-lateTimes*total-lateSlack, 0)
	return max(total-elapsed, leastUnread*total) + overdue
}
