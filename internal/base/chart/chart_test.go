package chart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/chart"
)

const door = `{
  "Name": "Door",
  "Initial": "Shut",
  "States": {
    "Shut": {"On": {"Push": {"To": "Open", "Do": ["RingBell"]}}},
    "Open": {"Final": true}, // no events
  },
}`

// An event that the state accepts yields the transition in the file. Any other
// event, and an unknown state, is an error that keeps the state.
func TestStep(t *testing.T) {
	c := qt.New(t)
	d, err := chart.Parse("door", []byte(door))
	c.Assert(err, qt.IsNil)
	transition, err := d.Step(d.Initial, "Push")
	c.Assert(err, qt.IsNil)
	c.Assert(transition, qt.DeepEquals, chart.Transition{To: "Open", Do: []chart.Action{"RingBell"}})
	c.Assert([]bool{d.Final("Shut"), d.Final("Open")}, qt.DeepEquals, []bool{false, true})
	transition, err = d.Step("Open", "Push")
	c.Assert(err, qt.ErrorMatches, `chart Door: state "Open" does not accept event "Push"`)
	c.Assert(transition.To, qt.Equals, chart.State("Open"))
	_, err = d.Step("Ajar", "Push")
	c.Assert(err, qt.ErrorMatches, `chart Door has no state "Ajar"`)
}

// Parse rejects malformed text, transitions to unknown states and final states
// with events.
func TestParseRejectsInvalidCharts(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]string{
		`{`:                   `chart door: .*`,
		`{"Initial": 1}`:      `chart door: .*`,
		`{"Initial": "Shut"}`: `chart door: initial state "Shut" does not exist`,
		`{"Initial": "A", "States": {"A": {"Final": true, "On": {"E": {"To": "A"}}}}}`: `chart door: final state "A" has events`,
		`{"Initial": "A", "States": {"A": {"On": {"E": {"To": "B"}}}}}`:                `chart door: state "A" on "E" goes to "B", which does not exist`,
	} {
		_, err := chart.Parse("door", []byte(text))
		c.Check(err, qt.ErrorMatches, want)
	}
}
