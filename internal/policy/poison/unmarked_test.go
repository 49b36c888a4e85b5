package poison

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/place"
)

func TestUnmarkedEndNeitherClearsNorSuspectsSegments(t *testing.T) {
	c := qt.New(t)
	d := New(Defaults())
	end := func(id, server string, o place.Outcome) bool {
		d.Granted(0, Request{ID: id, Server: server, Segments: []string{"poison"}, Until: 60_000})
		return d.Ended(10, id, o)
	}
	c.Assert(end("a", "i-1", place.OutcomeUnmarked), qt.IsFalse)
	c.Assert(end("b", "i-2", place.OutcomeBroken), qt.IsTrue)
	c.Assert(end("c", "i-3", place.OutcomeUnmarked), qt.IsFalse)
	o := d.TakeObservations()
	c.Assert(o.Crashes, qt.HasLen, 1)
	c.Assert(o.Survived, qt.HasLen, 0)
}
