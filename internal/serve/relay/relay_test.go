package relay_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
)

const (
	requestID   = "r1"
	maxAttempts = 3
	// broken ends a stream before its [DONE] event, whole after it.
	broken = false
	whole  = true
)

// server is a fake backend server that handles one attempt.
type server func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error)

// streams responds with a stream of one event per word. It echoes the request's
// headers, which accepts a resume at the requested offset.
func streams(ended bool, words ...string) server {
	return func(_ context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
		var b strings.Builder
		for _, w := range words {
			fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":%q}]}\n\n", w)
		}
		if ended {
			b.WriteString("data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
		}
		return answer(200, b.String(), r.Headers...), wire.SentAll, nil
	}
}

// status responds with an error status and some headers.
func status(code int, headers ...wire.Header) server {
	return func(_ context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
		return answer(code, "{}", append(headers, r.Headers...)...), wire.SentAll, nil
	}
}

// fails returns an error instead of a response.
func fails(sent wire.Sent, err error) server {
	return func(context.Context, wire.Request) (wire.Response, wire.Sent, error) {
		return wire.Response{}, sent, err
	}
}

// panics simulates a bug in this program during an attempt.
func panics(context.Context, wire.Request) (wire.Response, wire.Sent, error) {
	panic("simulated bug in the attempt")
}

// withRequestID makes a server respond with only the given request ID and none of
// the other headers.
func withRequestID(s server, id string) server {
	return func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
		a, sent, err := s(ctx, r)
		a.Headers = []wire.Header{{Name: relay.HeaderRequestID, Value: id}}
		return a, sent, err
	}
}

func answer(code int, body string, headers ...wire.Header) wire.Response {
	return wire.Response{Status: code, Headers: headers, Body: io.NopCloser(strings.NewReader(body)), BodyBegun: func() {}}
}

// fixture is a relay connected to fake servers that handle one attempt each, in
// order. Once all are used, RequestGrant refuses with Shed.
type fixture struct {
	relay   *relay.Relay
	mu      sync.Mutex
	asked   []sched.Request
	outcome chan sched.Outcome
	allowed func() *refuse.Refusal
}

func newFixture(c *qt.C, servers ...server) *fixture {
	pool, err := ants.NewPool(8)
	c.Assert(err, qt.IsNil)
	c.Cleanup(pool.Release)
	fx := &fixture{outcome: make(chan sched.Outcome, 8), allowed: func() *refuse.Refusal { return nil }}
	fx.relay = &relay.Relay{
		RequestGrant: func(_ context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			if len(fx.asked) == len(servers) {
				return relay.Grant{}, refuse.New(refuse.ReasonShed)
			}
			fx.asked = append(fx.asked, r)
			name := fmt.Sprint("s", len(fx.asked))
			return relay.Grant{ID: r.ID, Server: name, Address: name}, nil
		},
		Send: func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
			var number int
			_, err := fmt.Sscanf(r.Address, "s%d", &number)
			c.Check(err, qt.IsNil)
			return servers[number-1](ctx, r)
		},
		Progress:   func(string, sched.Progress) {},
		Done:       func(_ string, d sched.Done) { fx.outcome <- d.Outcome },
		MayRetry:   func(f relay.Failure) bool { return f.Attempt < maxAttempts && f.Cause != relay.CauseNoResume },
		HedgeAfter: func(sched.Request) clock.Millis { return 0 },
		MayHedge:   func(sched.Request, clock.Millis) bool { return true },
		FirstToken: func(sched.Request, clock.Millis) {},
		Finished:   func(sched.Request) {},
		Clock:      clock.NewManual(0).Clock(),
		Count:      count.NewSet(),
		Pool:       pool,
	}
	return fx
}

// run reads one completion to its end and returns its text and last step.
func (fx *fixture) run(c *qt.C) (string, relay.Step) {
	s := fx.relay.Start(context.Background(), relay.Job{
		Request: sched.Request{ID: requestID, Class: "urgent"},
		Allowed: fx.allowed,
	})
	defer s.Close()
	var text strings.Builder
	for {
		step := s.Next()
		if step.End || step.Refusal != nil || step.Final != nil {
			c.Assert(s.Next().End, qt.IsTrue, qt.Commentf("Next returns only End after the last step"))
			return text.String(), step
		}
		text.WriteString(step.Event.Text)
	}
}

func (fx *fixture) counted(name string, reason any) int64 {
	return fx.relay.Count.Count(name,
		count.Label{Key: "reason", Value: fmt.Sprint(reason)}, count.Label{Key: "class", Value: "urgent"})
}

// completion is one test case: what the servers do and what the caller gets.
type completion struct {
	name    string
	servers []server
	text    string
	// reason is empty if the response is complete.
	reason refuse.Reason
	ran    refuse.Ran
	// counter and cause name the counter that must be 1; counter may be empty.
	counter string
	cause   relay.Cause
}

const (
	failures = "siskinsaddle_attempt_failures_total"
	retries  = "siskinsaddle_retries_total"
	resumes  = "siskinsaddle_resumes_total"
)

var completions = []completion{
	{"whole", []server{streams(whole, "a", "b")}, "ab", "", "", "", ""},
	{"resumed", []server{streams(broken, "a"), streams(whole, "b")}, "ab", "", "", resumes, relay.CauseBroken},
	{
		"resumed as long as tokens come",
		[]server{streams(broken, "a"), streams(broken, "b"), streams(broken, "c"), streams(whole, "d")},
		"abcd", "", "", "", "",
	},
	{
		"resumes used up without a token",
		[]server{streams(broken, "a"), status(500), status(500), status(500), streams(whole, "b")},
		"a", refuse.ReasonBackendFailed, refuse.RanUnknown, "", "",
	},
	{
		"resume that begins again",
		[]server{streams(broken, "a"), withRequestID(streams(whole, "a", "b"), requestID)},
		"a", refuse.ReasonBackendFailed, refuse.RanUnknown, failures, relay.CauseNoResume,
	},
	{
		"error after a token",
		[]server{streams(broken, "a"), status(400), streams(whole, "b")},
		"ab", "", "", resumes, relay.CauseServerError,
	},
	{"unreachable", []server{fails(wire.SentNothing, wire.ErrDial), streams(whole, "a")}, "a", "", "", retries, relay.CauseUnreachable},
	{"panic", []server{panics, streams(whole, "a")}, "a", "", "", retries, relay.CausePanic},
	{"silent", []server{fails(wire.SentAll, wire.ErrUnresponsive), streams(whole, "a")}, "a", "", "", retries, relay.CauseSilent},
	{
		"leaving",
		[]server{status(503, wire.Header{Name: relay.HeaderLeaving, Value: "true"}), streams(whole, "a")},
		"a", "", "", retries, relay.CauseLeaving,
	},
	{"model is not loaded", []server{status(404), streams(whole, "a")}, "a", "", "", retries, relay.CauseNotLoaded},
	{"server is busy", []server{status(429), streams(whole, "a")}, "a", "", "", retries, relay.CauseServerError},
	{"answer of another request", []server{withRequestID(streams(whole, "x"), "r0"), streams(whole, "a")}, "a", "", "", retries, relay.CauseWrongRequestID},
	{"answer of no request", []server{withRequestID(streams(whole, "x"), ""), streams(whole, "a")}, "a", "", "", retries, relay.CauseWrongRequestID},
	{
		"attempts used up",
		[]server{status(500), status(500), status(500), streams(whole, "a")},
		"", refuse.ReasonBackendFailed, refuse.RanUnknown, "", "",
	},
	{
		"never sent",
		[]server{fails(wire.SentNothing, wire.ErrDial), fails(wire.SentNothing, wire.ErrDial), fails(wire.SentNothing, wire.ErrDial)},
		"", refuse.ReasonBackendRefused, refuse.RanNo, "", "",
	},
	{"refused at once", nil, "", refuse.ReasonShed, refuse.RanNo, "", ""},
	{"refused after it was sent", []server{status(500)}, "", refuse.ReasonShed, refuse.RanUnknown, "", ""},
	{"refused after nothing was sent", []server{fails(wire.SentNothing, wire.ErrDial)}, "", refuse.ReasonShed, refuse.RanNo, "", ""},
}

// However the servers fail, the caller gets the whole response or a refusal that
// states correctly whether the request may have run.
func TestServerFailures(t *testing.T) {
	for _, k := range completions {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(c, k.servers...)
			text, last := fx.run(c)
			c.Assert(text, qt.Equals, k.text)
			c.Assert(last.End, qt.Equals, k.reason == "")
			if last.Refusal != nil {
				c.Assert(last.Refusal.Reason, qt.Equals, k.reason)
				c.Assert(last.Refusal.Ran, qt.Equals, k.ran)
			}
			if k.counter != "" {
				c.Assert(fx.counted(k.counter, k.cause), qt.Equals, int64(1))
			}
		})
	}
}

// A stream that breaks while the host does not know which manifest is in force
// waits until the host knows, then resumes instead of ending with a refusal.
func TestResumeWaitsForManifest(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, streams(broken, "a"), streams(whole, "b"))
	fx.relay.Clock = clock.System()
	checks := 0
	fx.allowed = func() *refuse.Refusal {
		checks++
		if checks == 2 || checks == 3 {
			return refuse.New(refuse.ReasonNotReady)
		}
		return nil
	}
	text, last := fx.run(c)
	c.Assert(text, qt.Equals, "ab")
	c.Assert(last.End, qt.IsTrue)
}

// An error response without an end must not be passed on as a complete one.
func TestEndlessErrorResponseCountsAsBroken(t *testing.T) {
	c := qt.New(t)
	endless := func(_ context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
		a := answer(400, "", r.Headers...)
		a.Body = io.NopCloser(endlessBody{})
		return a, wire.SentAll, nil
	}
	words, last := newFixture(c, endless, streams(whole, "a")).run(c)
	c.Assert(last.Final, qt.IsNil)
	c.Assert(last.End, qt.IsTrue)
	c.Assert(words, qt.Equals, "a")
}

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// A 400 from the server is passed on to a caller that has received nothing yet.
func TestClientErrorIsPassedOn(t *testing.T) {
	c := qt.New(t)
	_, last := newFixture(c, status(400)).run(c)
	c.Assert(last.Final, qt.DeepEquals, &relay.Final{Status: 400, Body: []byte("{}")})
}

// hangs accepts the request and does not respond until it is cancelled.
func hangs(ctx context.Context, _ wire.Request) (wire.Response, wire.Sent, error) {
	<-ctx.Done()
	return wire.Response{}, wire.SentAll, ctx.Err()
}

// A hedge that responds before a slow first attempt wins, and the first attempt is
// cancelled. A refused hedge does not end the first attempt.
func TestHedgeReplacesSlowAttempt(t *testing.T) {
	c := qt.New(t)
	now := make(chan struct{})
	close(now)
	fx := newFixture(c, hangs, streams(whole, "a"))
	fx.relay.HedgeAfter = func(sched.Request) clock.Millis { return 1 }
	fx.relay.Clock.After = func(clock.Millis) <-chan struct{} { return now }
	text, last := fx.run(c)
	c.Assert(text, qt.Equals, "a")
	c.Assert(last.End, qt.IsTrue)
	c.Assert(fx.counted("siskinsaddle_hedges_total", "Won"), qt.Equals, int64(1))
	c.Assert([]sched.Outcome{<-fx.outcome, <-fx.outcome}, qt.Contains, sched.OutcomeCancelled)
	c.Assert(fx.asked[1].Avoid, qt.DeepEquals, []string{"s1"})

	refused := make(chan struct{})
	fx = newFixture(c, func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
		<-refused
		return streams(whole, "a")(ctx, r)
	})
	requestGrant := fx.relay.RequestGrant
	fx.relay.RequestGrant = func(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
		grant, refusal := requestGrant(ctx, r)
		if refusal != nil {
			defer close(refused)
		}
		return grant, refusal
	}
	fx.relay.HedgeAfter = func(sched.Request) clock.Millis { return 1 }
	fx.relay.Clock.After = func(clock.Millis) <-chan struct{} { return now }
	text, last = fx.run(c)
	c.Assert(text, qt.Equals, "a")
	c.Assert(last.End, qt.IsTrue)
}
