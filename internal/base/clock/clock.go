// Package clock is the only source of time in this program. Points in time and
// durations are whole milliseconds.
//
// Decision code never reads a clock: it takes the current time as an argument.
// Code that does I/O holds a Clock, which is the system's in production and a
// Manual one in tests and in the benchmark.
//
// # Usage
//
//	c := clock.System()
//	start := c.Now()
//	<-c.After(250)
//	took := c.Now() - start // about 250
//
//	m := clock.NewManual(1_000)
//	m.Advance(50) // m.Clock().Now() is 1050
package clock

import (
	"sync"
	"time"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Common durations in milliseconds.
const (
	Second Millis = 1_000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a time.Duration to Millis, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads the time and starts timers. The zero Clock is not usable: take
// System or Manual.Clock.
type Clock struct {
	// Now is monotonic time: it never decreases and is comparable only within
	// one process.
	Now func() Millis
	// Wall is Unix time, for records that several processes read.
	Wall func() Millis
	// Boot is boot-time clock time: like Now, but it includes the time that the
	// machine was suspended. It gives the age of cached state.
	Boot func() Millis
	// After returns a channel that is closed once the duration has passed.
	After func(Millis) <-chan struct{}
	// AfterTick is After rounded up to the next tick of a 25 ms period that the
	// whole process shares. Polling loops use it so that their timers expire
	// together and wake the processor less often.
	AfterTick func(Millis) <-chan struct{}
}

// tickPeriod is the time between two ticks of AfterTick.
const tickPeriod Millis = 25

// System returns the machine's clock. Now counts from the call of System.
func System() Clock {
	start := time.Now()
	p := &tickTimers{start: start, waits: map[int64]chan struct{}{}}
	return Clock{
		Now:       func() Millis { return FromDuration(time.Since(start)) },
		Wall:      func() Millis { return Millis(time.Now().UnixMilli()) },
		Boot:      bootTime,
		After:     systemAfter,
		AfterTick: p.after,
	}
}

// tickTimers coalesces timers: all waits that end on the same tick share one.
type tickTimers struct {
	start time.Time
	mu    sync.Mutex
	// waits maps a tick's number to the channel that is closed on it.
	waits map[int64]chan struct{}
}

// after returns the channel of the first tick at or after the end of the
// duration. With a period of 25 ms, a wait of 50 ms that begins at 30 ms ends at
// 100 ms.
func (p *tickTimers) after(m Millis) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	period := tickPeriod.Duration()
	tick := int64((time.Since(p.start) + m.Duration() + period - 1) / period)
	wait, ok := p.waits[tick]
	if ok {
		return wait
	}
	wait = make(chan struct{})
	p.waits[tick] = wait
	at := p.start.Add(time.Duration(tick) * period)
	time.AfterFunc(time.Until(at), func() { p.expire(tick) })
	return wait
}

func (p *tickTimers) expire(tick int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.waits[tick])
	delete(p.waits, tick)
}

func systemAfter(m Millis) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(m.Duration(), func() { close(done) })
	return done
}

// Manual is a clock that changes only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu    sync.Mutex
	now   Millis
	waits []manualWait
}

type manualWait struct {
	at   Millis
	done chan struct{}
}

// NewManual returns a Manual clock that reads start.
func NewManual(start Millis) *Manual {
	return &Manual{now: start}
}

// Clock returns a Clock whose functions all use m.
func (m *Manual) Clock() Clock {
	return Clock{Now: m.read, Wall: m.read, Boot: m.read, After: m.after, AfterTick: m.after}
}

// Advance moves the clock forward and ends the waits that are due.
func (m *Manual) Advance(by Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += by
	pending := m.waits[:0]
	for _, w := range m.waits {
		if w.at > m.now {
			pending = append(pending, w)
			continue
		}
		close(w.done)
	}
	m.waits = pending
}

func (m *Manual) read() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *Manual) after(by Millis) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := make(chan struct{})
	if by <= 0 {
		close(done)
		return done
	}
	m.waits = append(m.waits, manualWait{at: m.now + by, done: done})
	return done
}
