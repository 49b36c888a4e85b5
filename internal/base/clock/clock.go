// Package clock is the only source of time in this program. Points in time and
// lengths of time are whole milliseconds.
//
// Decision code never reads a clock itself: it is given a reading. Code at the
// edge holds a Clock, which is the system's in production and a Manual one in
// tests and in the benchmark.
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

// Millis is a point in monotonic time or a length of time, in milliseconds.
type Millis int64

// Second and Minute are lengths of time in milliseconds.
const (
	Second Millis = 1_000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts a length of time for the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Of converts a length of time from the standard library, rounding down.
func Of(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads monotonic and wall time and waits. The zero Clock is not usable:
// take System or Manual.Clock.
type Clock struct {
	// Now is monotonic: it never steps back and is comparable only within one
	// process.
	Now func() Millis
	// Wall is Unix time, for records that several processes read.
	Wall func() Millis
	// Boot is like Now, but goes on while the machine is suspended. It tells
	// how old a belief is.
	Boot func() Millis
	// After closes the returned channel once the length of time has passed.
	After func(Millis) <-chan struct{}
	// Pulse is After rounded up to the process's next common moment, of which
	// there is one every 25 ms. Loops that only look around wait by it, so
	// that they wake the processor together.
	Pulse func(Millis) <-chan struct{}
}

// pulsePeriod is the time between two common moments.
const pulsePeriod Millis = 25

// System returns the machine's clock. Now counts from the call.
func System() Clock {
	start := time.Now()
	p := &pulses{start: start, waits: map[int64]chan struct{}{}}
	return Clock{
		Now:   func() Millis { return Of(time.Since(start)) },
		Wall:  func() Millis { return Millis(time.Now().UnixMilli()) },
		Boot:  bootTime,
		After: systemAfter,
		Pulse: p.after,
	}
}

// pulses has one timer for each common moment that anybody waits for.
type pulses struct {
	start time.Time
	mu    sync.Mutex
	waits map[int64]chan struct{}
}

// after returns the channel of the first common moment that is not before the
// length of time has passed. With a period of 25 ms, a wait of 50 ms that
// begins at 30 ms ends at 100 ms.
func (p *pulses) after(m Millis) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	period := pulsePeriod.Duration()
	moment := int64((time.Since(p.start) + m.Duration() + period - 1) / period)
	wait, ok := p.waits[moment]
	if ok {
		return wait
	}
	wait = make(chan struct{})
	p.waits[moment] = wait
	at := p.start.Add(time.Duration(moment) * period)
	time.AfterFunc(time.Until(at), func() { p.end(moment) })
	return wait
}

func (p *pulses) end(moment int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.waits[moment])
	delete(p.waits, moment)
}

func systemAfter(m Millis) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(m.Duration(), func() { close(done) })
	return done
}

// Manual is a clock that stands still until Advance is called. It is safe for
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

// Clock returns the Clock that reads m.
func (m *Manual) Clock() Clock {
	return Clock{Now: m.read, Wall: m.read, Boot: m.read, After: m.after, Pulse: m.after}
}

// Advance moves the clock on and releases the waits that have ended.
func (m *Manual) Advance(by Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += by
	left := m.waits[:0]
	for _, w := range m.waits {
		if w.at > m.now {
			left = append(left, w)
			continue
		}
		close(w.done)
	}
	m.waits = left
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
