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
	// broken ends a stream before its closing mark.
	broken = false
	whole  = true
)

// server answers one attempt.
type server func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error)

// says answers with a stream of words that goes on where the request says.
func says(ended bool, words ...string) server {
	return func(_ context.Context, r wire.Request) (wire.Answer, wire.Sent, error) {
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

// status answers with an error status and some headers.
func status(code int, headers ...wire.Header) server {
	return func(_ context.Context, r wire.Request) (wire.Answer, wire.Sent, error) {
		return answer(code, "{}", append(headers, r.Headers...)...), wire.SentAll, nil
	}
}

// fails gives no answer.
func fails(sent wire.Sent, err error) server {
	return func(context.Context, wire.Request) (wire.Answer, wire.Sent, error) {
		return wire.Answer{}, sent, err
	}
}

// panics stands for a fault of the program within an attempt.
func panics(context.Context, wire.Request) (wire.Answer, wire.Sent, error) {
	panic("a fault within the attempt")
}

// nameless is a server that ignores the router's headers.
func nameless(s server, keep string) server {
	return func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error) {
		a, sent, err := s(ctx, r)
		a.Headers = []wire.Header{{Name: relay.HeaderRequestID, Value: keep}}
		return a, sent, err
	}
}

func answer(code int, body string, headers ...wire.Header) wire.Answer {
	return wire.Answer{Status: code, Headers: headers, Body: io.NopCloser(strings.NewReader(body)), Begun: func() {}}
}

// rig is a relay before servers that answer one attempt each, in order. Where
// no server is left, Ask refuses with Shed.
type rig struct {
	relay   *relay.Relay
	mu      sync.Mutex
	asked   []sched.Request
	outcome chan sched.Outcome
	allowed func() *refuse.Refusal
}

func newRig(c *qt.C, servers ...server) *rig {
	pool, err := ants.NewPool(8)
	c.Assert(err, qt.IsNil)
	c.Cleanup(pool.Release)
	g := &rig{outcome: make(chan sched.Outcome, 8), allowed: func() *refuse.Refusal { return nil }}
	g.relay = &relay.Relay{
		Ask: func(_ context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if len(g.asked) == len(servers) {
				return relay.Grant{}, refuse.New(refuse.ReasonShed)
			}
			g.asked = append(g.asked, r)
			name := fmt.Sprint("s", len(g.asked))
			return relay.Grant{ID: r.ID, Server: name, Address: name}, nil
		},
		Send: func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error) {
			var number int
			_, err := fmt.Sscanf(r.Address, "s%d", &number)
			c.Check(err, qt.IsNil)
			return servers[number-1](ctx, r)
		},
		Progress:   func(string, sched.Progress) {},
		Done:       func(_ string, d sched.Done) { g.outcome <- d.Outcome },
		MayRetry:   func(f relay.Failure) bool { return f.Attempt < maxAttempts && f.Cause != relay.CauseNoResume },
		HedgeAfter: func(sched.Request) clock.Millis { return 0 },
		MayHedge:   func(sched.Request, clock.Millis) bool { return true },
		FirstToken: func(sched.Request, clock.Millis) {},
		Finished:   func(sched.Request) {},
		Clock:      clock.NewManual(0).Clock(),
		Count:      count.NewSet(),
		Pool:       pool,
	}
	return g
}

// run reads one completion to its end.
func (g *rig) run(c *qt.C) (string, relay.Step) {
	s := g.relay.Start(context.Background(), relay.Job{
		Request: sched.Request{ID: requestID, Class: "urgent"},
		Allowed: g.allowed,
	})
	defer s.Close()
	var text strings.Builder
	for {
		step := s.Next()
		if step.End || step.Refusal != nil || step.Final != nil {
			c.Assert(s.Next().End, qt.IsTrue, qt.Commentf("nothing comes after the last step"))
			return text.String(), step
		}
		text.WriteString(step.Event.Text)
	}
}

func (g *rig) counted(name string, reason any) int64 {
	return g.relay.Count.Count(name,
		count.Label{Key: "reason", Value: fmt.Sprint(reason)}, count.Label{Key: "class", Value: "urgent"})
}

// completion is one case: what the servers do and what the caller gets.
type completion struct {
	name    string
	servers []server
	text    string
	// reason is empty where the answer is complete.
	reason refuse.Reason
	ran    refuse.Ran
	// counter and cause name what has to be counted once.
	counter string
	cause   relay.Cause
}

const (
	failures = "siskinsaddle_attempt_failures_total"
	retries  = "siskinsaddle_retries_total"
	resumes  = "siskinsaddle_resumes_total"
)

var completions = []completion{
	{"whole", []server{says(whole, "a", "b")}, "ab", "", "", "", ""},
	{"resumed", []server{says(broken, "a"), says(whole, "b")}, "ab", "", "", resumes, relay.CauseBroken},
	{
		"resumed as long as tokens come",
		[]server{says(broken, "a"), says(broken, "b"), says(broken, "c"), says(whole, "d")},
		"abcd", "", "", "", "",
	},
	{
		"resumes used up without a token",
		[]server{says(broken, "a"), status(500), status(500), status(500), says(whole, "b")},
		"a", refuse.ReasonBackendFailed, refuse.RanUnknown, "", "",
	},
	{
		"resume that begins again",
		[]server{says(broken, "a"), nameless(says(whole, "a", "b"), requestID)},
		"a", refuse.ReasonBackendFailed, refuse.RanUnknown, failures, relay.CauseNoResume,
	},
	{
		"error after a token",
		[]server{says(broken, "a"), status(400), says(whole, "b")},
		"ab", "", "", resumes, relay.CauseServerError,
	},
	{"unreachable", []server{fails(wire.SentNothing, wire.ErrDial), says(whole, "a")}, "a", "", "", retries, relay.CauseUnreachable},
	{"panic", []server{panics, says(whole, "a")}, "a", "", "", retries, relay.CausePanic},
	{"silent", []server{fails(wire.SentAll, wire.ErrSilent), says(whole, "a")}, "a", "", "", retries, relay.CauseSilent},
	{
		"leaving",
		[]server{status(503, wire.Header{Name: relay.HeaderLeaving, Value: "true"}), says(whole, "a")},
		"a", "", "", retries, relay.CauseLeaving,
	},
	{"model is not loaded", []server{status(404), says(whole, "a")}, "a", "", "", retries, relay.CauseNotLoaded},
	{"server is busy", []server{status(429), says(whole, "a")}, "a", "", "", retries, relay.CauseServerError},
	{"answer of another request", []server{nameless(says(whole, "x"), "r0"), says(whole, "a")}, "a", "", "", retries, relay.CauseCrossed},
	{"answer of no request", []server{nameless(says(whole, "x"), ""), says(whole, "a")}, "a", "", "", retries, relay.CauseCrossed},
	{
		"attempts used up",
		[]server{status(500), status(500), status(500), says(whole, "a")},
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

// Whatever the servers do, the caller gets the whole answer or a refusal that
// says truly whether the request may have run.
func TestCompletion(t *testing.T) {
	for _, k := range completions {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			g := newRig(c, k.servers...)
			text, last := g.run(c)
			c.Assert(text, qt.Equals, k.text)
			c.Assert(last.End, qt.Equals, k.reason == "")
			if last.Refusal != nil {
				c.Assert(last.Refusal.Reason, qt.Equals, k.reason)
				c.Assert(last.Refusal.Ran, qt.Equals, k.ran)
			}
			if k.counter != "" {
				c.Assert(g.counted(k.counter, k.cause), qt.Equals, int64(1))
			}
		})
	}
}

// A stream that breaks while the host does not know whether its manifest is in
// force goes on once it knows, and is not broken off.
func TestResumeWaitsUntilTheHostIsCurrent(t *testing.T) {
	c := qt.New(t)
	g := newRig(c, says(broken, "a"), says(whole, "b"))
	g.relay.Clock = clock.System()
	looks := 0
	g.allowed = func() *refuse.Refusal {
		looks++
		if looks == 2 || looks == 3 {
			return refuse.New(refuse.ReasonNotReady)
		}
		return nil
	}
	text, last := g.run(c)
	c.Assert(text, qt.Equals, "ab")
	c.Assert(last.End, qt.IsTrue)
}

// A server's own error is the caller's answer while it has no other.
func TestServerErrorIsPassedOn(t *testing.T) {
	c := qt.New(t)
	_, last := newRig(c, status(400)).run(c)
	c.Assert(last.Final, qt.DeepEquals, &relay.Final{Status: 400, Body: []byte("{}")})
}

// hangs takes the request and gives nothing until it is cancelled.
func hangs(ctx context.Context, _ wire.Request) (wire.Answer, wire.Sent, error) {
	<-ctx.Done()
	return wire.Answer{}, wire.SentAll, ctx.Err()
}

// A second attempt answers in place of a slow first one, which is cancelled.
// A refusal of the second does not end the first.
func TestHedge(t *testing.T) {
	c := qt.New(t)
	now := make(chan struct{})
	close(now)
	g := newRig(c, hangs, says(whole, "a"))
	g.relay.HedgeAfter = func(sched.Request) clock.Millis { return 1 }
	g.relay.Clock.After = func(clock.Millis) <-chan struct{} { return now }
	text, last := g.run(c)
	c.Assert(text, qt.Equals, "a")
	c.Assert(last.End, qt.IsTrue)
	c.Assert(g.counted("siskinsaddle_hedges_total", "Won"), qt.Equals, int64(1))
	c.Assert([]sched.Outcome{<-g.outcome, <-g.outcome}, qt.Contains, sched.OutcomeCancelled)
	c.Assert(g.asked[1].Avoid, qt.DeepEquals, []string{"s1"})

	refused := make(chan struct{})
	g = newRig(c, func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error) {
		<-refused
		return says(whole, "a")(ctx, r)
	})
	ask := g.relay.Ask
	g.relay.Ask = func(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
		grant, refusal := ask(ctx, r)
		if refusal != nil {
			defer close(refused)
		}
		return grant, refusal
	}
	g.relay.HedgeAfter = func(sched.Request) clock.Millis { return 1 }
	g.relay.Clock.After = func(clock.Millis) <-chan struct{} { return now }
	text, last = g.run(c)
	c.Assert(text, qt.Equals, "a")
	c.Assert(last.End, qt.IsTrue)
}
