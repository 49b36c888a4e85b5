package pick_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/pick"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/speed"
)

// newTracker returns a tracker with timings of servers a, b and c, where b becomes
// slower by factor.
func newTracker(factor float64) *speed.Tracker {
	t := speed.New()
	for now := clock.Millis(0); now < 2_000; now += 20 {
		for _, name := range []string{"a", "b", "c"} {
			slow := 1.0
			if name == "b" && now > 1_000 {
				slow = factor
			}
			running := 1 + int(now/20)%8
			t.InterTokenLatency(now, name, running, slow*float64(15+running))
			t.Started(now-1, name, "r", 20*running)
			t.FirstToken(now, name, "r", clock.Millis(slow*float64(40+running)))
		}
	}
	return t
}

func TestChoosePrefersExpectedCompletionPrefixAndProbe(t *testing.T) {
	c := quicktest.New(t)
	ch := pick.New(newTracker(4), pick.Settings{})
	candidates := func(a, b, k int) []sched.Candidate {
		return []sched.Candidate{
			{Server: "a", Running: a, Limit: 8},
			{Server: "b", Running: b, Limit: 8},
			{Server: "c", Running: k, Limit: 8},
		}
	}
	r := sched.Request{ID: "r", PromptTokens: 500, PredictedTokens: 40, NotRepeatable: true, Prefix: 7}
	c.Check(ch.Choose(2_000, r, candidates(6, 0, 7)), quicktest.Equals, 0, quicktest.Commentf("the slow server is not chosen"))
	c.Check(ch.Choose(2_000, r, candidates(3, 0, 2)), quicktest.Equals, 0, quicktest.Commentf("the prefix is cached on a"))
	c.Check(ch.Choose(2_000, r, candidates(6, 0, 0)), quicktest.Equals, 2, quicktest.Commentf("a is above the load bound"))
	r.NotRepeatable = false
	c.Check(ch.Choose(2_000, r, candidates(0, 0, 0)), quicktest.Equals, 1, quicktest.Commentf("the slow server is due for a probe"))
	c.Check(ch.Choose(2_010, r, candidates(0, 0, 0)) != 1, quicktest.IsTrue, quicktest.Commentf("no second probe follows at once"))
	ch.Forget("a")
	ch.Forget("c")
	c.Check(ch.Choose(2_010, r, candidates(1, 0, 0)), quicktest.Equals, 2)
}
