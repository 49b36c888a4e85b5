package accept

import (
	"sync"

	"siskinsaddle/internal/base/clock"
)

// awake reads a monotonic clock that also counts the time in which the whole
// machine was stopped, which the system's monotonic clock may leave out. It
// takes a leap of the wall clock ahead of the monotonic one for such a stop; a
// corrected wall clock looks the same and only costs one verification.
type awake struct {
	clock   clock.Clock
	mu      sync.Mutex
	started bool
	// gap is wall time less monotonic time at the last reading.
	gap     clock.Millis
	stopped clock.Millis
}

func (a *awake) now() clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	gap := a.clock.Wall() - now
	if a.started && gap-a.gap > PauseLimit {
		a.stopped += gap - a.gap
	}
	a.gap = gap
	a.started = true
	return now + a.stopped
}
