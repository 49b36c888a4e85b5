package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/entry"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/mfest"
)

const (
	requestBody = `{"model":"canvas-small","prompt":"x","stream":true}`
	tokenEvent  = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	finishEvent = "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"
	usageEvent  = "data: {\"choices\":[],\"usage\":{\"total_tokens\":2}}\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// fixture is an Entry connected to one fake backend server.
type fixture struct {
	c     *qt.C
	entry *entry.Entry
	view  entry.View
	// answers holds the response body for each request.
	answers chan string
	// refusal, if set, is returned for every grant request.
	refusal *refuse.Refusal
	// blocked, if set, blocks every grant request until it is closed.
	blocked chan struct{}
}

func newFixture(t *testing.T, maxOpen int) *fixture {
	c := qt.New(t)
	pool, err := ants.NewPool(8)
	c.Assert(err, qt.IsNil)
	c.Cleanup(pool.Release)
	m := mfest.Default()
	for i := range m.Workspaces {
		m.Workspaces[i].MaxOpen = maxOpen
	}
	fx := &fixture{c: c, view: entry.View{Index: mfest.NewIndex(m)}, answers: make(chan string, 4)}
	settings := config.Default().Callers
	settings.Address = "127.0.0.1:0"
	fx.entry = &entry.Entry{
		Settings: settings,
		View:     func() entry.View { return fx.view },
		Ready:    func() bool { return true },
		Clock:    clock.System(),
		Count:    count.NewSet(),
		Log:      logs.Discard(),
		Relay: &relay.Relay{
			RequestGrant: func(context.Context, sched.Request) (relay.Grant, *refuse.Refusal) {
				if fx.blocked != nil {
					<-fx.blocked
				}
				return relay.Grant{}, fx.refusal
			},
			Send: func(_ context.Context, r wire.Request) (wire.Response, wire.Sent, error) {
				body := io.NopCloser(strings.NewReader(<-fx.answers))
				return wire.Response{Status: 200, Headers: r.Headers, Body: body, BodyBegun: func() {}}, wire.SentAll, nil
			},
			Progress:   func(string, sched.Progress) {},
			Done:       func(string, sched.Done) {},
			MayRetry:   func(relay.Failure) bool { return false },
			HedgeAfter: func(sched.Request) clock.Millis { return 0 },
			FirstToken: func(sched.Request, clock.Millis) {},
			Finished:   func(sched.Request) {},
			Clock:      clock.System(),
			Count:      count.NewSet(),
			Pool:       pool,
		},
	}
	c.Assert(fx.entry.Listen(), qt.IsNil)
	go func() { c.Check(fx.entry.Serve(), qt.IsNil) }()
	return fx
}

// reply is a complete HTTP response.
type reply struct {
	status int
	header http.Header
	text   string
}

func (fx *fixture) post(body string) reply {
	request, err := http.NewRequest("POST", "http://"+fx.entry.Address()+"/v1/completions", strings.NewReader(body))
	fx.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer demo-key")
	answer, err := http.DefaultClient.Do(request)
	fx.c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	fx.c.Assert(err, qt.IsNil)
	return reply{status: answer.StatusCode, header: answer.Header, text: string(text)}
}

// checkRefused sends a request, checks its refusal and returns the response header.
func (fx *fixture) checkRefused(reason refuse.Reason) http.Header {
	answer := fx.post(requestBody)
	var body struct {
		Reason refuse.Reason
		Ran    refuse.Ran
	}
	fx.c.Assert(json.Unmarshal([]byte(answer.text), &body), qt.IsNil)
	fx.c.Assert(body.Reason, qt.Equals, reason)
	fx.c.Assert(body.Ran, qt.Equals, refuse.RanNo)
	fx.c.Assert(answer.status, qt.Equals, refuse.New(reason).Status())
	return answer.header
}

func (fx *fixture) counted(reason refuse.Reason, class string) int64 {
	return fx.entry.Count.Count("siskinsaddle_refused_total",
		count.Label{Key: "reason", Value: string(reason)}, count.Label{Key: "class", Value: class})
}

// A completion that fails before its first token gets an error status; a stream that
// fails later ends with an error event and without [DONE]. The usage event is
// forwarded only to a caller that requested it.
func TestStreamFailureAndUsage(t *testing.T) {
	fx := newFixture(t, 4)
	fx.answers <- tokenEvent + finishEvent + usageEvent + doneEvent
	fx.c.Assert(fx.post(requestBody).text, qt.Equals, tokenEvent+finishEvent+doneEvent)

	fx.answers <- tokenEvent + finishEvent + usageEvent + doneEvent
	withUsage := strings.Replace(requestBody, "{", `{"stream_options":{"include_usage":true},`, 1)
	fx.c.Assert(fx.post(withUsage).text, qt.Equals, tokenEvent+finishEvent+usageEvent+doneEvent)

	fx.answers <- tokenEvent
	broken := fx.post(requestBody)
	fx.c.Assert(broken.status, qt.Equals, 200)
	fx.c.Assert(broken.text, qt.Contains, tokenEvent)
	fx.c.Assert(broken.text, qt.Contains, `"Reason":"BackendFailed","Ran":"Unknown"`)
	fx.c.Assert(broken.text, qt.Not(qt.Contains), doneEvent)
	fx.c.Assert(fx.counted(refuse.ReasonBackendFailed, "standard"), qt.Equals, int64(1))

	fx.refusal = refuse.New(refuse.ReasonShed).WithRetryAfter(1_200)
	header := fx.checkRefused(refuse.ReasonShed)
	fx.c.Assert(header.Get("Retry-After"), qt.Equals, "2")
	fx.c.Assert(header.Get("Content-Type"), qt.Equals, "application/json")
	fx.c.Assert(fx.counted(refuse.ReasonShed, "standard"), qt.Equals, int64(1))
}

// The host refuses requests without a manifest, while the outcome of a manifest
// change is unknown, above a workspace's limit of open requests, and while it drains.
// Each refusal is counted.
func TestRefusalsAreCounted(t *testing.T) {
	fx := newFixture(t, 1)
	known := fx.view
	fx.view = entry.View{}
	fx.checkRefused(refuse.ReasonNotReady)

	empty := mfest.Default()
	empty.Services = nil
	fx.view = entry.View{Index: mfest.NewIndex(empty), Uncertain: true}
	fx.checkRefused(refuse.ReasonManifestUncertain)

	fx.view = known
	fx.blocked = make(chan struct{})
	first := make(chan reply)
	go func() { first <- fx.post(requestBody) }()
	for fx.entry.Open() == 0 {
		<-fx.entry.Clock.After(1)
	}
	fx.checkRefused(refuse.ReasonTooManyOpen)

	for _, reason := range []refuse.Reason{refuse.ReasonNotReady, refuse.ReasonTooManyOpen} {
		fx.c.Check(fx.counted(reason, "")+fx.counted(reason, "standard"), qt.Equals, int64(1), qt.Commentf("%s", reason))
	}

	// Draining lets the open request finish and refuses new ones.
	drained := make(chan error)
	go func() { drained <- fx.entry.Drain(context.Background()) }()
	for fx.counted(refuse.ReasonStopping, "") == 0 {
		fx.post(requestBody) // refused with TooManyOpen until draining has started
	}
	fx.c.Assert(fx.entry.IsReady(), qt.IsFalse)
	fx.answers <- tokenEvent + finishEvent + doneEvent
	close(fx.blocked)
	fx.c.Assert((<-first).text, qt.Equals, tokenEvent+finishEvent+doneEvent)
	fx.c.Assert(<-drained, qt.IsNil)
}
