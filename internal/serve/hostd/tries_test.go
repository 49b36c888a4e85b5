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
)

// Each reason against one more attempt is found and counted.
func TestDenials(t *testing.T) {
	c := qt.New(t)
	set := count.NewSet()
	tr := newTries(clock.NewManual(100).Clock(), set, 3)
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
		c.Check(tr.deny(k.failure), qt.Equals, k.want, qt.Commentf("%+v", k.failure))
	}
	again := relay.Failure{Class: "urgent", Repeatable: true, Sent: wire.SentAll, Attempt: 1, GiveUp: 200}
	for range savedRetries {
		c.Assert(tr.mayRetry(again), qt.IsTrue)
	}
	c.Assert(tr.mayRetry(again), qt.IsFalse)
	c.Assert(set.Count("siskinsaddle_retries_denied_total",
		count.Label{Key: "reason", Value: "Budget"}, count.Label{Key: "class", Value: "urgent"}), qt.Equals, int64(1))
}

// A keeper's reason that this host does not know still becomes a refusal.
func TestGrantRefusal(t *testing.T) {
	c := qt.New(t)
	c.Assert(grantRefusal(sched.ReasonShed).Status(), qt.Equals, 429)
	unknown := grantRefusal("Newer")
	c.Assert(unknown.Reason, qt.Equals, refuse.ReasonNoServer)
	c.Assert(unknown.Text, qt.Equals, "no grant: Newer")
}
