package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
)

func ended(wait <-chan struct{}) bool {
	select {
	case <-wait:
		return true
	default:
		return false
	}
}

// A manual clock changes only on Advance, which ends exactly the waits that are
// due.
func TestManualClockEndsWaitsWhenDue(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(1_000)
	k := m.Clock()
	short, long, now := k.After(10), k.After(20), k.After(0)
	c.Assert([]bool{ended(short), ended(long), ended(now)}, qt.DeepEquals, []bool{false, false, true})
	m.Advance(9)
	c.Assert(ended(short), qt.IsFalse)
	m.Advance(1)
	c.Assert([]bool{ended(short), ended(long)}, qt.DeepEquals, []bool{true, false})
	m.Advance(50)
	c.Assert(ended(long), qt.IsTrue)
	c.Assert(k.Now(), qt.Equals, clock.Millis(1_060))
}

// After and AfterTick of the system clock end a wait, and not before its time.
func TestSystemClockNeverEndsWaitsEarly(t *testing.T) {
	c := qt.New(t)
	k := clock.System()
	for _, wait := range []func(clock.Millis) <-chan struct{}{k.After, k.AfterTick} {
		start := k.Now()
		<-wait(30)
		c.Assert(k.Now()-start >= 29, qt.IsTrue)
	}
	c.Assert(clock.FromDuration(1_999*time.Microsecond), qt.Equals, clock.Millis(1))
	c.Assert(clock.Millis(5).Duration(), qt.Equals, 5*time.Millisecond)
}
