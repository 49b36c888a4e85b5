package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sashabaranov/go-openai"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/engine"
)

const model = "canvas-small"

func start(c *qt.C, options ...func(e *engine.Engine)) *engine.Engine {
	e := &engine.Engine{Name: "canvas-llm-1", Models: []engine.Model{{Name: model}}, LoadMilliseconds: 1}
	for _, f := range options {
		f(e)
	}
	c.Assert(e.Start(), qt.IsNil)
	c.Cleanup(e.Stop)
	return e
}

func client(e *engine.Engine) *openai.Client {
	config := openai.DefaultConfig("key")
	config.BaseURL = "http://" + e.Address() + "/v1"
	return openai.NewClientWithConfig(config)
}

func chatRequest(text string, tokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:               model,
		MaxCompletionTokens: tokens,
		Messages:            []openai.ChatCompletionMessage{{Role: "user", Content: text}},
	}
}

func TestStreamedAndWholeAnswersAreEqual(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	ctx := context.Background()
	whole, err := client(e).CreateChatCompletion(ctx, chatRequest("how do I tie down an awning", 5))
	c.Assert(err, qt.IsNil)
	c.Assert(whole.Usage.CompletionTokens, qt.Equals, 5)

	s, err := client(e).CreateChatCompletionStream(ctx, chatRequest("how do I tie down an awning", 5))
	c.Assert(err, qt.IsNil)
	defer func() { c.Assert(s.Close(), qt.IsNil) }()
	var text strings.Builder
	for {
		event, err := s.Recv()
		if err == io.EOF {
			break
		}
		c.Assert(err, qt.IsNil)
		text.WriteString(event.Choices[0].Delta.Content)
	}
	c.Assert(text.String(), qt.Equals, whole.Choices[0].Message.Content)
	c.Assert(e.Counts(), qt.Equals, engine.Counts{Requests: 2, Answered: 2, Tokens: 10})
}

// call sends one HTTP request and returns status and body.
func call(c *qt.C, e *engine.Engine, method, path, body string, headers ...string) (int, string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + e.Address() + path)
	request.Header.SetMethod(method)
	request.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	c.Assert(new(fasthttp.Client).Do(request, response), qt.IsNil)
	return response.StatusCode(), string(response.Body())
}

func TestResumedStreamContinuesAtOffset(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	const body = `{"model": "canvas-small", "prompt": "seam", "x_tokens": 6, "stream": true}`
	_, all := call(c, e, "POST", "/v1/completions", body, engine.HeaderRequestID, "r1")
	_, resumed := call(c, e, "POST", "/v1/completions", body, engine.HeaderRequestID, "r1", engine.HeaderResumeOffset, "4")
	events := strings.SplitAfter(all, "\n\n")
	c.Assert(resumed, qt.Equals, strings.Join(events[4:], ""))
}

func TestDeleteCancelsRequest(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := client(e).CreateChatCompletionStream(ctx, chatRequest("long", 100000))
	c.Assert(err, qt.IsNil)
	_, err = s.Recv()
	c.Assert(err, qt.IsNil)
	status, _ := call(c, e, "DELETE", "/v1/requests/"+s.Header().Get(engine.HeaderRequestID), "")
	c.Assert(status, qt.Equals, fasthttp.StatusNoContent)
	for err == nil {
		_, err = s.Recv()
	}
	cancel()
	c.Assert(e.Counts().Cancelled, qt.Equals, 1)
}

func TestCrashAbortsStreamsAndRefusesConnections(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	ctx := context.Background()
	s, err := client(e).CreateChatCompletionStream(ctx, chatRequest("long", 100000))
	c.Assert(err, qt.IsNil)
	e.SetFaults(engine.Faults{Crash: true})
	for err == nil {
		_, err = s.Recv()
	}
	_, err = client(e).CreateChatCompletion(ctx, chatRequest("again", 2))
	c.Assert(err, qt.IsNotNil)
	e.SetFaults(engine.Faults{})
	_, err = client(e).CreateChatCompletion(ctx, chatRequest("again", 2))
	c.Assert(err, qt.IsNil)
}

func TestSilentConnectionsCarryNoDataAndNoClose(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := client(e).CreateChatCompletionStream(ctx, chatRequest("long", 100000))
	c.Assert(err, qt.IsNil)
	e.SetFaults(engine.Faults{SilentOpen: true})
	silent := make(chan error)
	go func() {
		var err error
		for err == nil {
			_, err = s.Recv()
		}
		silent <- err
	}()
	_, err = client(e).CreateChatCompletion(context.Background(), chatRequest("on a new connection", 2))
	c.Assert(err, qt.IsNil)
	select {
	case err := <-silent:
		c.Fatalf("the silent stream ended: %v", err)
	default:
	}
	cancel()
	c.Assert(<-silent, qt.ErrorIs, context.Canceled)
}

func TestStaleOrdersAreRefusedIfFencingIsChecked(t *testing.T) {
	const load = `{"Id": "o%", "Kind": "LoadModel", "Model": "quotes", "Version": "2", "FencingNumber": %}`
	for _, checks := range []bool{true, false} {
		c := qt.New(t)
		e := start(c, func(e *engine.Engine) { e.ChecksFencing = checks })
		post := func(number string) int {
			status, _ := call(c, e, "POST", "/orders", strings.ReplaceAll(load, "%", number))
			return status
		}
		c.Assert(post("7"), qt.Equals, fasthttp.StatusAccepted)
		want := fasthttp.StatusAccepted
		if checks {
			want = fasthttp.StatusConflict
		}
		c.Assert(post("6"), qt.Equals, want)
		c.Assert(e.StaleOrders(), qt.Equals, 1)
		var state engine.State
		for len(state.Models) < 2 {
			_, text := call(c, e, "GET", "/state", "")
			c.Assert(json.Unmarshal([]byte(text), &state), qt.IsNil)
		}
		c.Assert(state.Models[1], qt.DeepEquals, engine.Model{Name: "quotes", Version: "2"})
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	status, _ := call(c, e, "POST", "/v1/completions", `{"model": "unknown"}`)
	c.Assert(status, qt.Equals, fasthttp.StatusNotFound)
	status, _ = call(c, e, "POST", "/v1/completions", `{`)
	c.Assert(status, qt.Equals, fasthttp.StatusBadRequest)
	call(c, e, "POST", "/faults", `{"Leaving": true}`)
	status, _ = call(c, e, "POST", "/v1/completions", `{"model": "canvas-small"}`)
	c.Assert(status, qt.Equals, fasthttp.StatusServiceUnavailable)
}

// readStream sends a streaming request with an id and returns the text of the whole
// stream. It closes started once the response header has arrived.
func readStream(c *qt.C, e *engine.Engine, id string, started chan<- struct{}) string {
	request, err := http.NewRequest("POST", "http://"+e.Address()+"/v1/completions",
		strings.NewReader(`{"model":"`+model+`","prompt":"rope","stream":true,"x_tokens":3}`))
	c.Assert(err, qt.IsNil)
	request.Header.Set(engine.HeaderRequestID, id)
	answer, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	close(started)
	var text strings.Builder
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		var event openai.CompletionResponse
		data, _ := strings.CutPrefix(lines.Text(), "data: ")
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}

// A request that replaces another with the same id must not get the other's tokens,
// even if it arrives during an iteration that emits some.
func TestReplacedRequestGetsItsOwnTokens(t *testing.T) {
	c := qt.New(t)
	e := start(c)
	e.SetFaults(engine.Faults{Slowdown: 30})
	first, second := make(chan struct{}), make(chan struct{})
	go readStream(c, e, "r", first)
	<-first
	want := engine.Text{Model: model, Prompt: "rope"}.Tokens(3)
	c.Assert(readStream(c, e, "r", second), qt.Equals, want)
}
