package sched

import "siskinsaddle/internal/base/clock"

const (
	// slotsInterval is the shortest time between two changes of a limit.
	slotsInterval = 500 * clock.Millis(1)
	// slotsDecrease is the factor on a limit while tokens come too slowly.
	slotsDecrease = 0.85
	// slotsCalm is the share of the target below which a limit may grow.
	slotsCalm = 0.85
	// slotsSmoothing is the weight of one report of the time between tokens.
	slotsSmoothing = 0.2
	// slotsBelow is the share of its running requests with which a server goes
	// on that has turned slow.
	slotsBelow = 0.8
	// slotsRegrowth is the time for which the limit must be reached before it
	// grows by one.
	slotsRegrowth = 500 * clock.Millis(1)
	// slotsLowest is the share of a server's slots that is always left.
	slotsLowest = 0.25
)

// slots adapts how many requests a server runs side by side, so that the time
// between tokens stays within the target of the classes that run there.
// The limit falls by a factor while it does not, and grows by one while it
// does and the slots are all taken.
type slots struct {
	most    int
	current float64
	// speed is the share of the limit that a slow server keeps.
	speed float64
	// grown is when the limit last grew after the server was slow.
	grown clock.Millis
	// ratio is the smoothed time between tokens over its target.
	ratio   float64
	changed clock.Millis
}

func newSlots(most int, now clock.Millis) slots {
	return slots{most: most, current: float64(most), speed: 1, changed: now}
}

func (s *slots) limit() int {
	if s.most == 0 {
		return 0
	}
	return max(1, int(s.current*s.speed))
}

// resize takes a new number of slots and keeps the limit's share of it.
func (s *slots) resize(most int) {
	if s.most == most {
		return
	}
	if s.most > 0 {
		s.current *= float64(most) / float64(s.most)
	} else {
		s.current = float64(most)
	}
	s.most = most
	s.clamp()
}

func (s *slots) clamp() {
	lowest := max(1, slotsLowest*float64(s.most))
	s.current = min(float64(s.most), max(lowest, s.current))
}

// slow takes the share that the server's speed leaves it. A server that turns
// slow may do so because of its own load: it goes on below what it ran then,
// and the limit grows back by small steps, only while it is reached.
func (s *slots) slow(now clock.Millis, weight float64, running int) {
	if weight < 1 && s.speed >= 1 {
		s.current = min(s.current, slotsBelow*float64(running))
		s.clamp()
	}
	s.speed = weight
	if weight < 1 || running < s.limit() {
		s.grown = now
		return
	}
	if now-s.grown >= slotsRegrowth {
		s.grown = now
		s.current++
		s.clamp()
	}
}

// observe takes one report: between and target are in milliseconds, full tells
// whether the limit is reached.
func (s *slots) observe(now clock.Millis, between float64, target clock.Millis, full bool) {
	if between <= 0 || target <= 0 {
		return
	}
	ratio := between / float64(target)
	if s.ratio == 0 {
		s.ratio = ratio
	}
	s.ratio += slotsSmoothing * (ratio - s.ratio)
	if now-s.changed < slotsInterval {
		return
	}
	switch {
	case s.ratio > 1:
		s.current *= slotsDecrease
	case s.ratio < slotsCalm && full:
		s.current++
	default:
		return
	}
	s.changed = now
	s.clamp()
}
