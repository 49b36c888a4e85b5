package grant

import (
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
	// since is when reading last began or got through with a prompt.
	since  clock.Millis
	parts  map[string]heldPart
	held   int
	health place.Health
	gone   bool
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

func newServer() *server { return &server{parts: map[string]heldPart{}} }

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

// coming returns the request whose reading will bring the first part that the
// server lacks, nil where there is none.
func (s *server) coming(parts []place.Part) *granted {
	for i, p := range parts {
		if i == len(parts)-1 {
			return nil
		}
		if _, ok := s.parts[p.Name]; ok || p.Tokens < comingTokens {
			continue
		}
		for _, g := range s.unread {
			for _, q := range place.Shared(g.Parts) {
				if q.Name == p.Name {
					return g
				}
			}
		}
		return nil
	}
	return nil
}

func (s *server) add(now clock.Millis, g *granted) {
	if len(s.unread) == 0 {
		s.since = now
	}
	s.unread = append(s.unread, g)
	s.running++
}

// read takes a request out of those whose prompts are not read.
func (s *server) read(now clock.Millis, g *granted) {
	for i, u := range s.unread {
		if u == g {
			s.unread = append(s.unread[:i], s.unread[i+1:]...)
			s.since = now
			return
		}
	}
}

func (s *server) end() { s.running-- }

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
