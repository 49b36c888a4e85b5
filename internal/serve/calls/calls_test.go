package calls_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/calls"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
)

const (
	maxAnswerBytes = 8
	maxAttempts    = 3
)

// result is the result of sending a call to one server.
type result struct {
	status  int
	body    string
	leaving string
	sent    wire.Sent
	err     error
}

var (
	works    = result{status: 200, body: "done", sent: wire.SentAll}
	refused  = result{sent: wire.SentNothing, err: wire.ErrDial}
	lost     = result{sent: wire.SentAll, err: wire.ErrBroken}
	leaving  = result{status: 503, leaving: "true", sent: wire.SentAll}
	tooLarge = result{status: 200, body: strings.Repeat("x", maxAnswerBytes+1), sent: wire.SentAll}
)

// fixture connects Calls to fake servers that take one call each, in order. Once
// all are used, RequestGrant refuses with Shed.
type fixture struct {
	calls    *calls.Calls
	asked    int
	finished int
	sent     []wire.Request
	outcomes []sched.Outcome
}

func newFixture(results ...result) *fixture {
	fx := &fixture{}
	fx.calls = &calls.Calls{
		RequestGrant: func(context.Context, sched.Request) (relay.Grant, *refuse.Refusal) {
			if fx.asked == len(results) {
				return relay.Grant{}, refuse.New(refuse.ReasonShed)
			}
			fx.asked++
			return relay.Grant{Server: fmt.Sprint("s", fx.asked)}, nil
		},
		Done: func(_ string, d sched.Done) { fx.outcomes = append(fx.outcomes, d.Outcome) },
		Send: func(_ context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
			fx.sent = append(fx.sent, r)
			res := results[len(fx.sent)-1]
			return wire.Response{
				Status:  res.status,
				Headers: []wire.Header{{Name: relay.HeaderLeaving, Value: res.leaving}, {Name: "X-Yard", Value: "1"}},
				Body:    io.NopCloser(strings.NewReader(res.body)),
			}, res.sent, res.err
		},
		MayRetry: func(f relay.Failure) bool {
			return f.Attempt < maxAttempts && (f.Repeatable || f.Sent == wire.SentNothing)
		},
		Finished: func(sched.Request) { fx.finished++ },
		DoKeyed: func(ctx context.Context, c calls.Call, send calls.SendOnce) (calls.Answer, *refuse.Refusal) {
			reply := send(ctx, c.Method, c.Path, 7)
			if reply.Err != nil {
				return calls.Answer{}, refuse.New(refuse.ReasonOutcomeUnknown)
			}
			return reply.Answer, nil
		},
		MaxAnswerBytes: maxAnswerBytes,
		Clock:          clock.NewManual(0).Clock(),
		Count:          count.NewSet(),
	}
	return fx
}

func call(repeatable bool, key string) calls.Call {
	return calls.Call{
		Request:    sched.Request{ID: "r1", Class: "urgent", Workspace: "stalls"},
		Method:     "POST",
		Path:       "/bookings",
		Key:        key,
		Repeatable: repeatable,
		Allowed:    func() *refuse.Refusal { return nil },
	}
}

type attempt struct {
	name       string
	results    []result
	repeatable bool
	key        string
	// sent is the expected number of servers that were sent the call.
	sent int
	// reason is empty if the caller gets the response.
	reason refuse.Reason
	ran    refuse.Ran
}

var attempts = []attempt{
	{"answered", []result{works}, false, "", 1, "", ""},
	{"lost and not repeatable", []result{lost, works}, false, "", 1, refuse.ReasonBackendFailed, refuse.RanUnknown},
	{"lost and repeatable", []result{lost, works}, true, "", 2, "", ""},
	{"not sent", []result{refused, works}, false, "", 2, "", ""},
	{"leaving", []result{leaving, works}, false, "", 2, "", ""},
	{"never sent", []result{refused, refused, refused}, false, "", 3, refuse.ReasonBackendRefused, refuse.RanNo},
	{"too large", []result{tooLarge, works}, false, "", 1, refuse.ReasonAnswerTooLarge, refuse.RanUnknown},
	{"shed", nil, true, "", 0, refuse.ReasonShed, refuse.RanNo},
	{"shed after nothing was sent", []result{refused}, true, "", 1, refuse.ReasonShed, refuse.RanNo},
	{"shed after it was lost", []result{lost}, true, "", 1, refuse.ReasonShed, refuse.RanUnknown},
	{"unreachable after it was lost", []result{lost, refused, refused}, true, "", 3, refuse.ReasonBackendRefused, refuse.RanUnknown},
	{"keyed", []result{works}, false, "k", 1, "", ""},
	{"keyed and not sent", []result{refused, works}, false, "k", 2, "", ""},
	{"keyed and lost", []result{lost, works}, false, "k", 1, refuse.ReasonOutcomeUnknown, refuse.RanUnknown},
}

// A call that may have run is retried only if it is repeatable, and a refusal of
// it never states that it did not run.
func TestRetriesAndRefusals(t *testing.T) {
	for _, a := range attempts {
		t.Run(a.name, func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(a.results...)
			answer, refusal := fx.calls.Do(context.Background(), call(a.repeatable, a.key))
			c.Assert(fx.sent, qt.HasLen, a.sent)
			c.Assert(fx.outcomes, qt.HasLen, fx.asked, qt.Commentf("every grant is released"))
			if a.reason == "" {
				c.Assert(refusal, qt.IsNil)
				c.Assert(string(answer.Body), qt.Equals, "done")
				c.Assert(fx.outcomes[a.sent-1], qt.Equals, sched.OutcomeDone)
				c.Assert(fx.finished, qt.Equals, 1, qt.Commentf("a response refills the retry budget"))
				return
			}
			c.Assert(refusal.Reason, qt.Equals, a.reason)
			c.Assert(refusal.Ran, qt.Equals, a.ran)
		})
	}
}

// A call that a manifest change forbids while it is queued is refused unsent.
func TestCallIsCheckedBeforeSending(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(works)
	k := call(true, "")
	k.Allowed = func() *refuse.Refusal { return refuse.New(refuse.ReasonWrongKey) }
	_, refusal := fx.calls.Do(context.Background(), k)
	c.Assert(refusal.Reason, qt.Equals, refuse.ReasonWrongKey)
	c.Assert(fx.sent, qt.HasLen, 0)
	c.Assert(fx.outcomes, qt.DeepEquals, []sched.Outcome{sched.OutcomeCancelled})
}

// The router sets the request ID, workspace, idempotency key and fencing number
// itself, and does not forward its own or hop-by-hop headers in either direction.
func TestForwardedHeaders(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(works)
	answer, refusal := fx.calls.Do(context.Background(), call(false, "k"))
	c.Assert(refusal, qt.IsNil)
	c.Assert(answer.Headers, qt.DeepEquals, []wire.Header{{Name: "X-Yard", Value: "1"}})
	c.Assert(fx.sent[0].Headers, qt.DeepEquals, []wire.Header{
		{Name: relay.HeaderRequestID, Value: "r1"},
		{Name: calls.HeaderWorkspace, Value: "stalls"},
		{Name: calls.HeaderIdempotencyKey, Value: "k"},
		{Name: calls.HeaderFencingNumber, Value: "7"},
	})
	for _, name := range []string{"authorization", "X-Request-ID", "x-fencing-number", "X-Workspace", "Expect", "Connection"} {
		c.Check(calls.Forwarded(name), qt.IsFalse, qt.Commentf(name))
	}
	c.Check(calls.Forwarded("Content-Type"), qt.IsTrue)
}
