package hostd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/mfest"
)

// Each reason against another attempt is found, and denials are counted.
func TestRetryDenials(t *testing.T) {
	c := qt.New(t)
	set := count.NewSet()
	b := newBudgets(clock.NewManual(100).Clock(), set, 3)
	for _, k := range []struct {
		failure relay.Failure
		want    denial
	}{
		{relay.Failure{Sent: wire.SentAll, Attempt: 1, GiveUp: 200}, deniedByRule},
		{relay.Failure{Sent: wire.SentNothing, Attempt: 1, GiveUp: 200}, ""},
		{relay.Failure{Sent: wire.SentNothing, Attempt: 3, GiveUp: 200}, deniedByAttempts},
		{relay.Failure{Sent: wire.SentNothing, Attempt: 1, GiveUp: 100}, deniedByDeadline},
		{relay.Failure{Repeatable: true, Sent: wire.SentAll, Attempt: 1, Delivered: 5, GiveUp: 100}, ""},
		{relay.Failure{Repeatable: true, Sent: wire.SentAll, Attempt: 1, Delivered: 5, Cause: relay.CauseNoResume}, deniedByRule},
	} {
		c.Check(b.findDenial(k.failure), qt.Equals, k.want, qt.Commentf("%+v", k.failure))
	}
	again := relay.Failure{Class: "urgent", Repeatable: true, Sent: wire.SentAll, Attempt: 1, GiveUp: 200}
	for range maxSavedRetries {
		c.Assert(b.mayRetry(again), qt.IsTrue)
	}
	c.Assert(b.mayRetry(again), qt.IsFalse)
	c.Assert(set.Count("siskinsaddle_retries_denied_total",
		count.Label{Key: "reason", Value: "Budget"}, count.Label{Key: "class", Value: "urgent"}), qt.Equals, int64(1))
}

// A manifest change that leaves the shares unchanged neither refills the retry
// budget nor resets the hedges; one that changes the shares does both.
func TestManifestChangeKeepsBudgets(t *testing.T) {
	c := qt.New(t)
	b := newBudgets(clock.NewManual(100).Clock(), count.NewSet(), 3)
	m := mfest.Default()
	b.setManifest(mfest.NewIndex(m))
	again := relay.Failure{Repeatable: true, Sent: wire.SentAll, Attempt: 1, GiveUp: 200}
	for b.mayRetry(again) {
		continue
	}
	before := b.hedges["canvas-llm"]
	c.Assert(before.Hedge, qt.IsNotNil)
	b.setManifest(mfest.NewIndex(m))
	c.Assert(b.mayRetry(again), qt.IsFalse)
	c.Assert(b.hedges["canvas-llm"], qt.Equals, before)
	m.Limits.RetryShare /= 2
	m.Services[0].HedgeShare /= 2
	b.setManifest(mfest.NewIndex(m))
	c.Assert(b.mayRetry(again), qt.IsTrue)
	c.Assert(b.hedges["canvas-llm"], qt.Not(qt.Equals), before)
}

// An unknown reason of a keeper is mapped to a refusal too.
func TestUnknownGrantReasonIsRefused(t *testing.T) {
	c := qt.New(t)
	c.Assert(grantRefusal(sched.ReasonShed).Status(), qt.Equals, 429)
	unknown := grantRefusal("Newer")
	c.Assert(unknown.Reason, qt.Equals, refuse.ReasonNoServer)
	c.Assert(unknown.Text, qt.Equals, "no grant: Newer")
}
