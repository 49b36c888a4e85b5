package bench

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// suspectPeriod is how long a server that failed gets no work.
const suspectPeriod = clock.Second

// health is what a keeper believes of its servers.
type health struct {
	until map[string]clock.Millis
}

func newHealth(servers []*server) *health {
	h := &health{until: map[string]clock.Millis{}}
	for _, s := range servers {
		h.until[s.name] = 0
	}
	return h
}

func (h *health) state(name string) sched.ServerState {
	if h.until[name] > 0 {
		return sched.ServerSuspect
	}
	return sched.ServerUp
}

func (h *health) fail(now clock.Millis, name string) { h.until[name] = now + suspectPeriod }

// recover ends suspicions that are over and tells whether there were any.
func (h *health) recover(now clock.Millis) bool {
	changed := false
	for name, until := range h.until {
		if until > 0 && until <= now {
			h.until[name] = 0
			changed = true
		}
	}
	return changed
}
