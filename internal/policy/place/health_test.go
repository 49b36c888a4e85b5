package place_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// The load is a server that answers at once, and only with errors: it looks idle
// and would get everything.
func TestAServerThatOnlyFailsIsAvoided(t *testing.T) {
	c := qt.New(t)
	var h place.Health
	now := clock.Millis(1_000)
	for range place.FailedInRow - 1 {
		c.Assert(h.Note(now, place.OutcomeFailed), qt.Equals, place.ChangeNone)
		c.Assert(h.Avoided(now), qt.IsFalse)
	}
	c.Assert(h.Note(now, place.OutcomeFailed), qt.Equals, place.ChangeAvoided)
	c.Assert(h.Avoided(now), qt.IsTrue)
	// One answer after the avoided time brings it back.
	later := now + 10*clock.Second
	c.Assert(h.Avoided(later), qt.IsFalse)
	c.Assert(h.Note(later, place.OutcomeServed), qt.Equals, place.ChangeBack)
	c.Assert(h.Avoided(later), qt.IsFalse)
}

// Failures with answers between them, or answers that began, say nothing: some
// requests fail by themselves.
func TestSomeFailuresSayNothing(t *testing.T) {
	c := qt.New(t)
	for name, sign := range map[string]func(*place.Health){
		"Began":  (*place.Health).Began,
		"Served": func(h *place.Health) { h.Note(0, place.OutcomeServed) },
	} {
		var h place.Health
		for i := range clock.Millis(100) {
			h.Note(i, place.OutcomeFailed)
			c.Assert(h.Avoided(i), qt.IsFalse, qt.Commentf("%s", name))
			sign(&h)
		}
	}
}
