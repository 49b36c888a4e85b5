package decide_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/decide"
	"siskinsaddle/internal/policy/sched"
)

// Unfinished answers already count for the predicted length of their workspace, so
// that long work does not take all slots. The slots of a lost host are freed.
func TestUnfinishedAnswersCountForPredictedLength(t *testing.T) {
	c := qt.New(t)
	d := decide.New(sched.Settings{
		Classes:    []sched.Class{{Name: "chat", Tier: 1, FloorPeriod: 60_000}},
		LongTokens: 500, LongShare: 0.25,
	})
	d.SetServers(0, []sched.Server{{Name: "s1", State: sched.ServerUp, Slots: 16}})
	offer := func(now clock.Millis, workspace string, count int) (granted int) {
		for i := range count {
			d.Offer(now, sched.Request{
				ID: fmt.Sprint(workspace, now, "-", i), Host: workspace, Class: "chat", Workspace: workspace,
				Deadline: now + 5_000, GiveUp: now + 60_000,
			})
		}
		return len(d.Take(now))
	}
	c.Assert(offer(0, "histories", 12), qt.Equals, 12)
	for i := range 12 {
		d.Progress(1_000, sched.Progress{ID: fmt.Sprint("histories0-", i), Tokens: 100, FirstToken: 40, BetweenTokens: 10})
		d.Progress(9_000, sched.Progress{ID: fmt.Sprint("histories0-", i), Tokens: 900, FirstToken: 40, BetweenTokens: 10})
	}
	c.Assert(d.Predict(sched.Request{Class: "chat", Workspace: "histories"}).PredictedTokens > 800, qt.IsTrue)
	c.Assert(offer(9_000, "histories", 4), qt.Equals, 0)
	c.Assert(offer(9_000, "questions", 4), qt.Equals, 0,
		qt.Commentf("a new workspace falls back to its class's lengths"))
	c.Assert(d.Digest(9_000).Running, qt.Equals, 12)
	d.DropHost(9_100, "histories")
	c.Assert(len(d.Take(9_100)), qt.Equals, 4)
	c.Assert(d.Digest(9_100).Running, qt.Equals, 4)
}
