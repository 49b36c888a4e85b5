package retry_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/retry"
)

func TestDecideNeverRepeatsWhatMayHaveRunOnce(t *testing.T) {
	c := quicktest.New(t)
	for _, sent := range []retry.Sent{retry.SentNothing, retry.SentPart, retry.SentWhole} {
		for bits := range 8 {
			f := retry.Facts{Sent: sent, MayRepeat: bits&1 > 0, ReachedCaller: bits&2 > 0, Resumable: bits&4 > 0}
			r := retry.Decide(f)
			note := quicktest.Commentf("%+v: %s", f, r.Name)
			ran := sent != retry.SentNothing || f.ReachedCaller
			c.Check(r.Name, quicktest.Not(quicktest.Equals), "", note)
			c.Check(ran && !f.MayRepeat && r.Action.Sends(), quicktest.IsFalse, note)
			c.Check(f.ReachedCaller && r.Action == retry.ActionSend, quicktest.IsFalse, note)
			c.Check(ran && r.Otherwise == retry.ActionRefuseNotRun, quicktest.IsFalse, note)
			c.Check(r.Otherwise.Sends(), quicktest.IsFalse, note)
		}
	}
}

func TestBudgetLimitsRetriesToShareOfSuccesses(t *testing.T) {
	c := quicktest.New(t)
	b := retry.NewBudget(0.1, 5)
	retries := 0
	for range 1_000 {
		b.Succeeded()
		if b.Take() {
			retries++
		}
	}
	c.Assert(retries >= 100 && retries <= 105, quicktest.IsTrue, quicktest.Commentf("%d", retries))
}

func TestHedgeStartsOnlyWhenSafeUsefulAndPaidFor(t *testing.T) {
	c := quicktest.New(t)
	h := retry.NewHedge(0.05, 1)
	repeatable := retry.Facts{MayRepeat: true, Sent: retry.SentWhole}
	c.Check(h.Start(5_000, 0, 9_000, "chat", "m", repeatable), quicktest.IsFalse, quicktest.Commentf("no first token was recorded"))
	for range 100 {
		h.FirstToken("chat", "m", 100)
	}
	delay := h.Delay("chat", "m")
	c.Check(delay >= 100 && delay <= 125, quicktest.IsTrue, quicktest.Commentf("%d", delay))
	c.Check(h.Start(delay-1, 0, 9_000, "chat", "m", repeatable), quicktest.IsFalse)
	c.Check(h.Start(delay, 0, delay+10, "chat", "m", repeatable), quicktest.IsFalse, quicktest.Commentf("the answer would miss the deadline"))
	c.Check(h.Start(delay, 0, 9_000, "chat", "m", retry.Facts{}), quicktest.IsFalse, quicktest.Commentf("may not repeat"))
	c.Check(h.Start(delay, 0, 9_000, "chat", "m", repeatable), quicktest.IsTrue)
	c.Check(h.Start(delay, 0, 9_000, "chat", "m", repeatable), quicktest.IsFalse, quicktest.Commentf("the budget is exhausted"))
}
