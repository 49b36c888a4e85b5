package relay_test

import (
	"context"
	"io"
	"strings"
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

// bodies are what a backend server sends on each attempt.
var bodies = []string{
	`data: {"choices":[{"text":"tie"}]}` + "\n\n",
	`data: {"choices":[{"text":" it"}]}` + "\n\n" + `data: {"choices":[{"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n",
}

// A stream that breaks while the host does not know whether its manifest is in
// force goes on once it knows, and is not broken off.
func TestResumeWaitsUntilTheHostIsCurrent(t *testing.T) {
	c := qt.New(t)
	pool, err := ants.NewPool(4)
	c.Assert(err, qt.IsNil)
	defer pool.Release()
	attempts, looks := 0, 0
	r := &relay.Relay{
		Ask:      func(context.Context, sched.Request) (relay.Grant, *refuse.Refusal) { return relay.Grant{}, nil },
		Progress: func(string, sched.Progress) {},
		Done:     func(string, sched.Done) {},
		Send: func(_ context.Context, q wire.Request) (wire.Answer, wire.Sent, error) {
			text := bodies[attempts]
			attempts++
			headers := append([]wire.Header{{Name: relay.HeaderRequestID, Value: "r"}}, q.Headers...)
			body := io.NopCloser(strings.NewReader(text))
			return wire.Answer{Status: 200, Headers: headers, Body: body, Begun: func() {}}, wire.SentAll, nil
		},
		MayRetry:   func(relay.Failure) bool { return true },
		HedgeAfter: func(sched.Request) clock.Millis { return 0 },
		FirstToken: func(sched.Request, clock.Millis) {},
		Finished:   func(sched.Request) {},
		Clock:      clock.System(),
		Count:      count.NewSet(),
		Pool:       pool,
	}
	s := r.Start(context.Background(), relay.Job{
		Request: sched.Request{ID: "r"},
		Allowed: func() *refuse.Refusal {
			looks++
			if looks == 2 || looks == 3 {
				return refuse.New(refuse.ReasonNotReady)
			}
			return nil
		},
	})
	defer s.Close()
	var text string
	for step := s.Next(); !step.End; step = s.Next() {
		c.Assert(step.Refusal, qt.IsNil)
		text += step.Event.Text
	}
	c.Assert(text, qt.Equals, "tie it")
}
