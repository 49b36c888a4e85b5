package hostd_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"

	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/fakes/engine"
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/internal/fakes/websvc"
	"siskinsaddle/internal/serve/events"
	"siskinsaddle/internal/serve/hostd"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
)

// engines are the names of the embedded engines.
var engines = []string{"canvas-llm-1", "canvas-llm-2"}

// openStream starts a streamed completion of a given number of tokens.
func (b *testbed) openStream(ctx context.Context, h *hostd.Host, tokens int) *http.Response {
	return b.openStreamFor(ctx, h, "Which filter fits?", tokens)
}

func (b *testbed) openStreamFor(ctx context.Context, h *hostd.Host, prompt string, tokens int) *http.Response {
	body := fmt.Sprintf(`{"model":"canvas-small","stream":true,"x_tokens":%d,"prompt":%q}`, tokens, prompt)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.Address()+"/v1/completions", strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer demo-key")
	answer, err := http.DefaultClient.Do(request)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
	return answer
}

// collect returns the text of a streamed completion from the first host. It calls
// after once the given number of tokens has arrived.
func (b *testbed) collect(tokens, at int, after func()) (string, error) {
	return b.collectFrom(b.host, tokens, at, after)
}

func (b *testbed) collectFrom(h *hostd.Host, tokens, at int, after func()) (string, error) {
	answer := b.openStream(context.Background(), h, tokens)
	defer func() { _ = answer.Body.Close() }()
	reader := events.NewReader(answer.Body)
	var text strings.Builder
	for n := 0; ; n++ {
		if n == at {
			after()
		}
		e, err := reader.Next()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(e.Text)
	}
}

// busyEngine returns the engine that runs a request.
func (b *testbed) busyEngine() *engine.Engine {
	for _, name := range engines {
		if e := b.standIns.Engine(name); e.Running() > 0 {
			return e
		}
	}
	b.c.Fatal("no engine runs a request")
	return nil
}

// A stream that breaks off or stalls is resumed on another engine at its offset:
// the caller gets the same completion as without the fault.
func TestBrokenStreamIsResumed(t *testing.T) {
	faults := map[string]engine.Faults{
		"Crash":  {Crash: true},
		"Silent": {SilentOpen: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			want, err := b.collect(40, -1, nil)
			b.c.Assert(err, qt.IsNil)
			got, err := b.collect(40, 10, func() { b.busyEngine().SetFaults(f) })
			b.c.Assert(err, qt.IsNil)
			b.c.Assert(got, qt.Equals, want)
			b.c.Assert(b.host.Stop(context.Background()), qt.IsNil)
		})
	}
}

// Responses that an engine sends under the ids of other requests reach no caller.
func TestMisaddressedResponsesReachNoCaller(t *testing.T) {
	b := newTestbed(t)
	want, err := b.collect(5, -1, nil)
	b.c.Assert(err, qt.IsNil)
	b.standIns.Engine(engines[0]).SetFaults(engine.Faults{CrossAnswers: true})
	for range 8 {
		got, err := b.collect(5, -1, nil)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(got, qt.Equals, want)
	}
}

// Answers that break HTTP reach no caller: completions come from the other engine, and a
// booking that ran is neither confirmed nor said not to have run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	b := newTestbed(t)
	want, err := b.collect(5, -1, nil)
	b.c.Assert(err, qt.IsNil)
	for _, kind := range spoil.Kinds {
		b.standIns.Engine(engines[0]).SetFaults(engine.Faults{BreakAnswers: kind})
		for range 4 {
			got, err := b.collect(5, -1, nil)
			b.c.Assert(err, qt.IsNil)
			b.c.Assert(got, qt.Equals, want)
		}
		b.standIns.Plain("yard-app-1").SetFaults(websvc.Faults{BreakAnswers: kind})
		got := b.book(b.host, "POST", string(kind))
		b.c.Check(got.status, qt.Equals, 502, qt.Commentf("%s", kind))
		b.c.Check(got.ran, qt.Equals, refuse.RanUnknown)
		b.c.Check(b.standIns.Runs("yard-app")[string(kind)], qt.Equals, 1)
		b.standIns.Plain("yard-app-1").SetFaults(websvc.Faults{})
	}
}

// The prefill of a long prompt on a slowed engine completes, although the engine
// sends its header at once and then nothing for longer than the progress timeout.
func TestLongPromptOnSlowedEngine(t *testing.T) {
	b := newTestbed(t)
	for _, name := range engines {
		b.standIns.Engine(name).SetFaults(engine.Faults{Slowdown: 4})
	}
	answer := b.openStreamFor(context.Background(), b.host, strings.Repeat("seam ", 3200), 3)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(string(text), qt.Contains, "[DONE]")
	failed := b.host.Count.Count("siskinsaddle_attempt_failures_total",
		count.Label{Key: "reason", Value: string(relay.CauseSilent)}, count.Label{Key: "class", Value: "standard"})
	b.c.Assert(failed, qt.Equals, int64(0))
}

// When a caller disconnects, the engine stops working on its request.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	b := newTestbed(t)
	ctx, cancel := context.WithCancel(context.Background())
	answer := b.openStream(ctx, b.host, 100_000)
	defer func() { _ = answer.Body.Close() }()
	_, err := events.NewReader(answer.Body).Next()
	b.c.Assert(err, qt.IsNil)
	e := b.busyEngine()
	cancel()
	b.waitUntil(func() bool { return e.Running() == 0 && b.host.Open() == 0 })
}

// waitUntil repeats a check until it succeeds. The timeout of the test bounds it.
func (b *testbed) waitUntil(holds func() bool) {
	for !holds() {
		<-b.host.Clock.After(5)
	}
}

// A graceful stop cuts off no stream in progress.
func TestStopFinishesOpenStreams(t *testing.T) {
	b := newTestbed(t)
	stopped := make(chan error, 1)
	text, err := b.collect(60, 5, func() {
		go func() { stopped <- b.host.Stop(context.Background()) }()
	})
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(strings.Fields(text), qt.HasLen, 60)
	b.c.Assert(<-stopped, qt.IsNil)
}

// badRequest is a request that must be refused.
type badRequest struct {
	name   string
	method string
	path   string
	header string
	body   string
	reason refuse.Reason
	// class is the class label under which the refusal is counted.
	class string
}

const goodBody = `{"model":"canvas-small","messages":[{"role":"user","content":"x"}]}`

var badRequests = []badRequest{
	{"bad JSON", "POST", "/v1/chat/completions", "", `{"model":`, refuse.ReasonBadJSON, "standard"},
	{"no model", "POST", "/v1/chat/completions", "", `{"messages":[1]}`, refuse.ReasonBadRequest, "standard"},
	{"no messages", "POST", "/v1/chat/completions", "", `{"model":"canvas-small"}`, refuse.ReasonBadRequest, "standard"},
	{"two choices", "POST", "/v1/completions", "", `{"model":"canvas-small","prompt":"x","n":2}`, refuse.ReasonBadRequest, "standard"},
	{"null messages", "POST", "/v1/chat/completions", "", `{"model":"canvas-small","messages":null}`, refuse.ReasonBadRequest, "standard"},
	{"two prompts", "POST", "/v1/completions", "", `{"model":"canvas-small","prompt":["x","y"]}`, refuse.ReasonBadRequest, "standard"},
	{"empty idempotency key", "POST", "/services/yard-app/bookings", "Idempotency-Key:\r\n", "x", refuse.ReasonBadRequest, "standard"},
	{"two idempotency keys", "POST", "/services/yard-app/bookings", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "x", refuse.ReasonBadRequest, "standard"},
	{"two lengths", "POST", "/services/yard-app/x", "Content-Length: 1\r\nContent-Length: 2\r\n", "xy", refuse.ReasonBadRequest, ""},
	{"encoded service", "GET", "/services/%79ard-app/x", "", "", refuse.ReasonUnknownService, "standard"},
	{"double slash", "GET", "//services/yard-app/x", "", "", refuse.ReasonUnknownService, "standard"},
	{"unknown model", "POST", "/v1/chat/completions", "", `{"model":"none","messages":[1]}`, refuse.ReasonUnknownModel, "standard"},
	{"unknown class", "POST", "/v1/chat/completions", "X-Class: none\r\n", goodBody, refuse.ReasonUnknownClass, ""},
	{"no key", "GET", "/v1/models", "Authorization: Basic x\r\n", "", refuse.ReasonNoKey, ""},
	{"wrong key", "GET", "/v1/models", "Authorization: Bearer none\r\n", "", refuse.ReasonWrongKey, ""},
	{"unknown path", "GET", "/none", "", "", refuse.ReasonUnknownPath, ""},
	{"wrong method", "GET", "/v1/chat/completions", "", "", refuse.ReasonUnknownPath, ""},
	{"unknown service", "GET", "/services/none/x", "", "", refuse.ReasonUnknownService, "standard"},
	{"model service", "GET", "/services/canvas-llm/x", "", "", refuse.ReasonUnknownService, "standard"},
	{"long header", "GET", "/v1/models", "X-Long: " + strings.Repeat("x", 20_000) + "\r\n", "", refuse.ReasonHeaderTooLarge, ""},
	{"long body", "POST", "/v1/completions", "Content-Length: 100000000\r\n", "", refuse.ReasonBodyTooLarge, ""},
	{"slow sender", "POST", "/v1/completions", "Content-Length: 10\r\n", "", refuse.ReasonSlowSender, ""},
}

// sendRaw sends a request without normalizing it and reads the response.
func (b *testbed) sendRaw(r badRequest) *http.Response {
	conn, err := net.Dial("tcp", b.host.Address())
	b.c.Assert(err, qt.IsNil)
	b.c.Cleanup(func() { _ = conn.Close() })
	header := r.header
	if !strings.Contains(header, "Authorization") {
		header += "Authorization: Bearer demo-key\r\n"
	}
	if !strings.Contains(header, "Content-Length") {
		header += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n%s", r.method, r.path, header, r.body)
	b.c.Assert(err, qt.IsNil)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	for err == nil && answer.StatusCode == http.StatusContinue {
		answer, err = http.ReadResponse(reader, nil)
	}
	b.c.Assert(err, qt.IsNil)
	return answer
}

// Every bad request gets a typed refusal with Ran "No" and is counted.
func TestBadRequestsAreRefused(t *testing.T) {
	b := newTestbed(t)
	for _, r := range badRequests {
		b.c.Run(r.name, func(c *qt.C) {
			labels := []count.Label{{Key: "reason", Value: string(r.reason)}, {Key: "class", Value: r.class}}
			before := b.host.Count.Count("siskinsaddle_refused_total", labels...)
			answer := b.sendRaw(r)
			defer func() { _ = answer.Body.Close() }()
			var refusal struct {
				Reason                 refuse.Reason
				Ran                    refuse.Ran
				RetryAfterMilliseconds int
			}
			c.Assert(json.NewDecoder(answer.Body).Decode(&refusal), qt.IsNil)
			c.Assert(refusal.Reason, qt.Equals, r.reason)
			c.Assert(refusal.Ran, qt.Equals, refuse.RanNo)
			c.Assert(answer.StatusCode, qt.Equals, refuse.New(r.reason).Status())
			c.Assert(b.host.Count.Count("siskinsaddle_refused_total", labels...), qt.Equals, before+1)
		})
	}
	b.c.Assert(b.host.Open(), qt.Equals, 0)
}

// goodRequests are forms of a call to a plain service, each with the path and the
// body that the service receives.
var goodRequests = []struct {
	name, method, path, header, body string
	wantPath, wantBody               string
}{
	{"escapes and query", "GET", "/services/yard-app/a%20b/%2F?x=1&y=%2F", "", "", "/a%20b/%2F?x=1&y=%2F", ""},
	{"no path", "GET", "/services/yard-app", "", "", "/", ""},
	{"absolute form", "GET", "http://x/services/yard-app/a?q=1", "", "", "/a?q=1", ""},
	{"line ends in the path", "GET", "/services/yard-app/a%0d%0aX-A:b", "", "", "/a%0d%0aX-A:b", ""},
	{"chunked", "POST", "/services/yard-app/a", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", "2\r\nxy\r\n0\r\n\r\n", "/a", "xy"},
	{"continue", "PUT", "/services/yard-app/a", "Expect: 100-continue\r\n", "xy", "/a", "xy"},
	{"patch", "PATCH", "/services/yard-app/a", "", "xy", "/a", "xy"},
	{"delete", "DELETE", "/services/yard-app/a", "", "", "/a", ""},
	{"options", "OPTIONS", "/services/yard-app/a", "", "", "/a", ""},
	{"scheme in small letters", "GET", "/services/yard-app/a", "Authorization: bearer demo-key\r\n", "", "/a", ""},
}

// A call reaches the service unchanged.
func TestCallsAreForwardedUnchanged(t *testing.T) {
	b := newTestbed(t)
	for _, r := range goodRequests {
		b.c.Run(r.name, func(c *qt.C) {
			answer := b.sendRaw(badRequest{method: r.method, path: r.path, header: r.header, body: r.body})
			defer func() { _ = answer.Body.Close() }()
			c.Assert(answer.StatusCode, qt.Equals, 200)
			var echo websvc.Echo
			c.Assert(json.NewDecoder(answer.Body).Decode(&echo), qt.IsNil)
			c.Assert([]string{echo.Method, echo.Path, echo.Body}, qt.DeepEquals, []string{r.method, r.wantPath, r.wantBody})
		})
	}
}

// An OpenAI client that requests an unknown model gets an API error.
func TestRefusalIsAnAPIError(t *testing.T) {
	b := newTestbed(t)
	q := chatRequest(1)
	q.Model = "none"
	_, err := b.client().CreateChatCompletion(context.Background(), q)
	var failure *openai.APIError
	b.c.Assert(err, qt.ErrorAs, &failure)
	b.c.Assert(failure.Code, qt.Equals, "UnknownModel")
	b.c.Assert(failure.HTTPStatusCode, qt.Equals, 404)
}
