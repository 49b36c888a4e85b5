package sched

import "siskinsaddle/internal/base/clock"

const (
	// slotsInterval is the shortest time between two changes of a limit.
	slotsInterval = 500 * clock.Millis(1)
	// slotsDecrease is the factor applied to the limit while the time between
	// tokens exceeds its target.
	slotsDecrease = 0.85
	// slotsGrowBelow is the ratio to the target below which the limit may grow.
	slotsGrowBelow = 0.85
	// slotsSmoothing is the weight of one report in the smoothed ratio.
	slotsSmoothing = 0.2
	// slowServerFactor is the share of its running requests to which the limit of a
	// server falls when it becomes slow.
	slowServerFactor = 0.8
	// regrowthInterval is the time for which a server must run at full speed with
	// all slots in use before setSpeed raises its limit by one.
	regrowthInterval = 500 * clock.Millis(1)
	// slotsMinShare is the lowest limit, as a share of the server's slots.
	slotsMinShare = 0.25
)

// limiter adapts the number of concurrent requests on a server, so that the time
// between tokens stays within the target of the classes that run there. The limit
// follows AIMD: it falls by a factor while the target is exceeded, and grows by one
// while the target is met and all slots are in use.
type limiter struct {
	total   int
	current float64
	// speed is the share of the limit that the server may use, below 1 while it is
	// slow.
	speed float64
	// lastRegrowth is when setSpeed last raised the limit, or found the server slow
	// or a slot free.
	lastRegrowth clock.Millis
	// ratio is the smoothed time between tokens over its target.
	ratio      float64
	lastChange clock.Millis
}

func newLimiter(total int, now clock.Millis) limiter {
	return limiter{total: total, current: float64(total), speed: 1, lastChange: now}
}

func (l *limiter) limit() int {
	if l.total == 0 {
		return 0
	}
	return max(1, int(l.current*l.speed))
}

// resize sets the number of slots and scales the limit in proportion.
func (l *limiter) resize(total int) {
	if l.total == total {
		return
	}
	if l.total > 0 {
		l.current *= float64(total) / float64(l.total)
	} else {
		l.current = float64(total)
	}
	l.total = total
	l.clamp()
}

func (l *limiter) clamp() {
	lowest := max(1, slotsMinShare*float64(l.total))
	l.current = min(float64(l.total), max(lowest, l.current))
}

// setSpeed sets speed, the share of the limit that the server may use. A server may become
// slow because of its own load, so the limit falls below the number of requests
// running then, and grows back in small steps, only while all slots are in use.
func (l *limiter) setSpeed(now clock.Millis, speed float64, running int) {
	if speed < 1 && l.speed >= 1 {
		l.current = min(l.current, slowServerFactor*float64(running))
		l.clamp()
	}
	l.speed = speed
	if speed < 1 || running < l.limit() {
		l.lastRegrowth = now
		return
	}
	if now-l.lastRegrowth >= regrowthInterval {
		l.lastRegrowth = now
		l.current++
		l.clamp()
	}
}

// observe processes one report. between and target are in milliseconds; full reports
// whether all slots are in use.
func (l *limiter) observe(now clock.Millis, between float64, target clock.Millis, full bool) {
	if between <= 0 || target <= 0 {
		return
	}
	ratio := between / float64(target)
	if l.ratio == 0 {
		l.ratio = ratio
	}
	l.ratio += slotsSmoothing * (ratio - l.ratio)
	if now-l.lastChange < slotsInterval {
		return
	}
	switch {
	case l.ratio > 1:
		l.current *= slotsDecrease
	case l.ratio < slotsGrowBelow && full:
		l.current++
	default:
		return
	}
	l.lastChange = now
	l.clamp()
}
