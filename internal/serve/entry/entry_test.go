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
	question = `{"model":"canvas-small","prompt":"x","stream":true}`
	token    = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	ending   = "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"
	usage    = "data: {\"choices\":[],\"usage\":{\"total_tokens\":2}}\n\n"
	done     = "data: [DONE]\n\n"
)

// rig is an entry before one backend server.
type rig struct {
	c     *qt.C
	entry *entry.Entry
	view  entry.View
	// answers is what the server writes for each request.
	answers chan string
	// refusal, where set, is the scheduler's answer to every request.
	refusal *refuse.Refusal
	// held, where set, holds every request back until it is closed.
	held chan struct{}
}

func newRig(t *testing.T, maxOpen int) *rig {
	c := qt.New(t)
	pool, err := ants.NewPool(8)
	c.Assert(err, qt.IsNil)
	c.Cleanup(pool.Release)
	m := mfest.Default()
	for i := range m.Workspaces {
		m.Workspaces[i].MaxOpen = maxOpen
	}
	g := &rig{c: c, view: entry.View{Index: mfest.NewIndex(m)}, answers: make(chan string, 4)}
	settings := config.Default().Callers
	settings.Address = "127.0.0.1:0"
	g.entry = &entry.Entry{
		Settings: settings,
		View:     func() entry.View { return g.view },
		Ready:    func() bool { return true },
		Clock:    clock.System(),
		Count:    count.NewSet(),
		Log:      logs.Discard(),
		Relay: &relay.Relay{
			Ask: func(context.Context, sched.Request) (relay.Grant, *refuse.Refusal) {
				if g.held != nil {
					<-g.held
				}
				return relay.Grant{}, g.refusal
			},
			Send: func(_ context.Context, r wire.Request) (wire.Answer, wire.Sent, error) {
				body := io.NopCloser(strings.NewReader(<-g.answers))
				return wire.Answer{Status: 200, Headers: r.Headers, Body: body, Begun: func() {}}, wire.SentAll, nil
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
	c.Assert(g.entry.Listen(), qt.IsNil)
	go func() { c.Check(g.entry.Serve(), qt.IsNil) }()
	return g
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	text   string
}

func (g *rig) post(body string) reply {
	request, err := http.NewRequest("POST", "http://"+g.entry.Address()+"/v1/completions", strings.NewReader(body))
	g.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer demo-key")
	answer, err := http.DefaultClient.Do(request)
	g.c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	g.c.Assert(err, qt.IsNil)
	return reply{status: answer.StatusCode, header: answer.Header, text: string(text)}
}

// refused asks and wants a refusal.
func (g *rig) refused(reason refuse.Reason) http.Header {
	answer := g.post(question)
	var body struct {
		Reason refuse.Reason
		Ran    refuse.Ran
	}
	g.c.Assert(json.Unmarshal([]byte(answer.text), &body), qt.IsNil)
	g.c.Assert(body.Reason, qt.Equals, reason)
	g.c.Assert(body.Ran, qt.Equals, refuse.RanNo)
	g.c.Assert(answer.status, qt.Equals, refuse.New(reason).Status())
	return answer.header
}

func (g *rig) counted(reason refuse.Reason, class string) int64 {
	return g.entry.Count.Count("siskinsaddle_refused_total",
		count.Label{Key: "reason", Value: string(reason)}, count.Label{Key: "class", Value: class})
}

// A stream is refused with a status before its first token, and breaks off
// without the closing mark after it. The closing count of tokens is passed on
// only to a caller that asked for it.
func TestStream(t *testing.T) {
	g := newRig(t, 4)
	g.answers <- token + ending + usage + done
	g.c.Assert(g.post(question).text, qt.Equals, token+ending+done)

	g.answers <- token + ending + usage + done
	asked := strings.Replace(question, "{", `{"stream_options":{"include_usage":true},`, 1)
	g.c.Assert(g.post(asked).text, qt.Equals, token+ending+usage+done)

	g.answers <- token
	broken := g.post(question)
	g.c.Assert(broken.status, qt.Equals, 200)
	g.c.Assert(broken.text, qt.Contains, token)
	g.c.Assert(broken.text, qt.Contains, `"Reason":"BackendFailed","Ran":"Unknown"`)
	g.c.Assert(broken.text, qt.Not(qt.Contains), done)
	g.c.Assert(g.counted(refuse.ReasonBackendFailed, "standard"), qt.Equals, int64(1))

	g.refusal = refuse.New(refuse.ReasonShed).WithRetryAfter(1_200)
	header := g.refused(refuse.ReasonShed)
	g.c.Assert(header.Get("Retry-After"), qt.Equals, "2")
	g.c.Assert(header.Get("Content-Type"), qt.Equals, "application/json")
	g.c.Assert(g.counted(refuse.ReasonShed, "standard"), qt.Equals, int64(1))
}

// The host refuses while it has no manifest, while two are possible that
// differ, above a workspace's limit, and while it stops; each is counted.
func TestHostRefuses(t *testing.T) {
	g := newRig(t, 1)
	known := g.view
	g.view = entry.View{}
	g.refused(refuse.ReasonNotReady)

	empty := mfest.Default()
	empty.Services = nil
	g.view = entry.View{Index: mfest.NewIndex(empty), Uncertain: true}
	g.refused(refuse.ReasonUncertain)

	g.view = known
	g.held = make(chan struct{})
	first := make(chan reply)
	go func() { first <- g.post(question) }()
	for g.entry.Open() == 0 {
		<-g.entry.Clock.After(1)
	}
	g.refused(refuse.ReasonTooManyOpen)

	for _, reason := range []refuse.Reason{refuse.ReasonNotReady, refuse.ReasonTooManyOpen} {
		g.c.Check(g.counted(reason, "")+g.counted(reason, "standard"), qt.Equals, int64(1), qt.Commentf("%s", reason))
	}

	// A stop lets the open request finish and takes no other.
	drained := make(chan error)
	go func() { drained <- g.entry.Drain(context.Background()) }()
	for g.counted(refuse.ReasonStopping, "") == 0 {
		g.post(question) // TooManyOpen until the stop has begun
	}
	g.c.Assert(g.entry.IsReady(), qt.IsFalse)
	g.answers <- token + ending + done
	close(g.held)
	g.c.Assert((<-first).text, qt.Equals, token+ending+done)
	g.c.Assert(<-drained, qt.IsNil)
}
