package pick_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/pick"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/speed"
)

// measured returns a tracker of servers a, b and c, of which b is slowed.
func measured(factor float64) *speed.Tracker {
	t := speed.New()
	for now := clock.Millis(0); now < 2_000; now += 20 {
		for _, name := range []string{"a", "b", "c"} {
			slow := 1.0
			if name == "b" && now > 1_000 {
				slow = factor
			}
			running := 1 + int(now/20)%8
			t.Between(now, name, running, slow*float64(15+running))
			t.Started(now-1, name, "r", 20*running)
			t.FirstToken(now, name, "r", clock.Millis(slow*float64(40+running)))
		}
	}
	return t
}

func TestChoose(t *testing.T) {
	c := quicktest.New(t)
	ch := pick.New(measured(4), pick.Settings{})
	among := func(a, b, k int) []sched.Candidate {
		return []sched.Candidate{
			{Server: "a", Running: a, Limit: 8},
			{Server: "b", Running: b, Limit: 8},
			{Server: "c", Running: k, Limit: 8},
		}
	}
	r := sched.Request{ID: "r", PromptTokens: 500, PredictedTokens: 40, NotRepeatable: true, Prefix: 7}
	c.Check(ch.Choose(2_000, r, among(6, 0, 7)), quicktest.Equals, 0, quicktest.Commentf("the slow one is left alone"))
	c.Check(ch.Choose(2_000, r, among(3, 0, 2)), quicktest.Equals, 0, quicktest.Commentf("the prefix is on a"))
	c.Check(ch.Choose(2_000, r, among(6, 0, 0)), quicktest.Equals, 2, quicktest.Commentf("a is loaded too much"))
	r.NotRepeatable = false
	c.Check(ch.Choose(2_000, r, among(0, 0, 0)), quicktest.Equals, 1, quicktest.Commentf("a probe"))
	c.Check(ch.Choose(2_010, r, among(0, 0, 0)) != 1, quicktest.IsTrue, quicktest.Commentf("one probe is enough"))
	ch.Forget("a")
	ch.Forget("c")
	c.Check(ch.Choose(2_010, r, among(1, 0, 0)), quicktest.Equals, 2)
}
