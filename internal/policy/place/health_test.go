package place_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// A server that answers every request at once with an error looks idle and would
// attract all requests.
func TestServerWithOnlyFailuresIsAvoided(t *testing.T) {
	c := qt.New(t)
	var h place.Health
	now := clock.Millis(1_000)
	for range place.FailureThreshold - 1 {
		c.Assert(h.Record(now, place.OutcomeFailed), qt.Equals, place.ChangeNone)
		c.Assert(h.Avoided(now), qt.IsFalse)
	}
	c.Assert(h.Record(now, place.OutcomeFailed), qt.Equals, place.ChangeAvoided)
	c.Assert(h.Avoided(now), qt.IsTrue)
	// One successful answer after the backoff restores it.
	later := now + 10*clock.Second
	c.Assert(h.Avoided(later), qt.IsFalse)
	c.Assert(h.Record(later, place.OutcomeServed), qt.Equals, place.ChangeBack)
	c.Assert(h.Avoided(later), qt.IsFalse)
}

// Some requests fail on healthy servers: failures must not lead to avoidance while
// answers complete or start in between.
func TestFailuresBetweenSuccessesAreIgnored(t *testing.T) {
	c := qt.New(t)
	for name, succeed := range map[string]func(*place.Health){
		"Began":  (*place.Health).AnswerStarted,
		"Served": func(h *place.Health) { h.Record(0, place.OutcomeServed) },
	} {
		var h place.Health
		for i := range clock.Millis(100) {
			h.Record(i, place.OutcomeFailed)
			c.Assert(h.Avoided(i), qt.IsFalse, qt.Commentf("%s", name))
			succeed(&h)
		}
	}
}
