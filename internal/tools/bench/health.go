package bench

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// probePeriod is how often a server that failed is probed.
const probePeriod = 250 * clock.Millis(1)

// health is what a keeper believes of its servers: one whose connection broke
// is suspect and gets no work until a probe reaches it.
type health struct {
	world   *world
	suspect map[*server]bool
	// changed is called when a server's state changes.
	changed func()
}

func newHealth(w *world, changed func()) *health {
	return &health{world: w, suspect: map[*server]bool{}, changed: changed}
}

func (h *health) state(s *server) sched.ServerState {
	if h.suspect[s] {
		return sched.ServerSuspect
	}
	return sched.ServerUp
}

func (h *health) fail(s *server) {
	if h.suspect[s] {
		return
	}
	h.suspect[s] = true
	h.changed()
	h.probe(s)
}

// probe asks the server after a while, and again until it answers.
func (h *health) probe(s *server) {
	roundTrip := 2 * h.world.deployment.Network.InDomainMilliseconds
	h.world.after(probePeriod+roundTrip, func() {
		if s.down {
			h.probe(s)
			return
		}
		delete(h.suspect, s)
		h.changed()
	})
}
