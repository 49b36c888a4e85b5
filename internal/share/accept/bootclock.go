package accept

import (
	"sync"

	"siskinsaddle/internal/base/clock"
)

// bootClock is a monotonic clock that includes the time in which the machine was
// suspended, which the system's monotonic clock may omit. A forward jump of the
// wall clock relative to the monotonic clock counts as a suspension. A corrected
// wall clock looks the same and costs only one extra verification.
type bootClock struct {
	clock   clock.Clock
	mu      sync.Mutex
	started bool
	// wallOffset is wall time minus monotonic time at the last reading.
	wallOffset clock.Millis
	suspended  clock.Millis
}

func (a *bootClock) now() clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	wallOffset := a.clock.Wall() - now
	if a.started && wallOffset-a.wallOffset > PauseThreshold {
		a.suspended += wallOffset - a.wallOffset
	}
	a.wallOffset = wallOffset
	a.started = true
	return now + a.suspended
}
