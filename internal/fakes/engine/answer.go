package engine

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/fakes/front"
)

// Names of the headers that the engine reads and writes.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderFencing      = "X-Fencing-Number"
	HeaderLeaving      = "X-Leaving"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of a completion request.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of max_tokens.
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// Tokens is the length of the answer before max_tokens applies, 0 for a length
	// derived from the prompt.
	Tokens int `json:"x_tokens"`
}

func (c completion) text() Text {
	var b strings.Builder
	b.WriteString(c.Prompt)
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return Text{Model: c.Model, Prompt: b.String()}
}

// length returns the number of tokens in the answer and the finish reason.
func (c completion) length(t Text) (tokens int, finish string) {
	tokens = c.Tokens
	if tokens <= 0 {
		tokens = t.DefaultTokens()
	}
	limit := c.MaxTokens
	if limit == 0 {
		limit = c.MaxCompletionTokens
	}
	if limit > 0 && limit < tokens {
		return limit, "length"
	}
	return tokens, "stop"
}

// answer writes the response to one completion request.
type answer struct {
	engine *Engine
	call   *call
	conn   *front.Conn
	text   Text
	format format
	tokens int
	finish string
	offset int
}

func (e *Engine) postCompletion(ctx *fasthttp.RequestCtx) {
	f := e.Faults()
	if f.Leaving {
		ctx.Response.Header.Set(HeaderLeaving, "true")
		replyError(ctx, fasthttp.StatusServiceUnavailable, "leaving", "this engine is leaving")
		return
	}
	var c completion
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_json", err.Error())
		return
	}
	if !e.serves(c.Model) {
		replyError(ctx, fasthttp.StatusNotFound, "model_not_found", "model "+c.Model+" is not loaded")
		return
	}
	a := e.newAnswer(ctx, c)
	if f.LateMilliseconds > 0 {
		<-e.Clock.After(f.LateMilliseconds)
	}
	if f.CrossAnswers {
		ctx.Response.Header.Set(HeaderRequestID, e.swapLastID(a.call.id))
	}
	if c.Stream {
		a.writeStream(ctx)
		return
	}
	a.writeWhole(ctx)
}

func (e *Engine) newAnswer(ctx *fasthttp.RequestCtx, c completion) *answer {
	text := c.text()
	tokens, finish := c.length(text)
	offset := min(intOrZero(ctx.Request.Header.Peek(HeaderResumeOffset)), tokens)
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	if id == "" {
		id = e.newID()
	}
	ctx.Response.Header.Set(HeaderRequestID, id)
	ctx.Response.Header.Set(HeaderResumeOffset, strconv.Itoa(offset))
	prefix, prefixTokens := text.Prefix()
	job := batch.Job{
		ID:           id,
		Priority:     intOrZero(ctx.Request.Header.Peek(HeaderPriority)),
		PromptTokens: text.PromptTokens(),
		OutputTokens: tokens,
		Offset:       offset,
		Prefix:       prefix,
		PrefixTokens: prefixTokens,
	}
	return &answer{
		engine: e,
		call:   e.submit(job),
		conn:   front.ConnOf(ctx),
		text:   text,
		format: formatFor(string(ctx.Path()), id, c.Model),
		tokens: tokens,
		finish: finish,
		offset: offset,
	}
}

// nextToken waits for the next token. It returns false if the caller disconnected,
// the request was cancelled or replaced, or the engine crashed.
func (a *answer) nextToken() (batch.OutputToken, bool) {
	select {
	case t, ok := <-a.call.tokens:
		return t, ok
	case <-a.call.aborted:
	case <-a.conn.Done():
		a.engine.cancelCall(a.call)
	}
	return batch.OutputToken{}, false
}

// writeStream writes one event for each token as soon as it is emitted.
func (a *answer) writeStream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if !a.writeEvents(w) {
			a.engine.cancelCall(a.call)
			a.conn.Reset()
		}
	})
}

// writeEvents returns false if the stream ends early or a write fails.
func (a *answer) writeEvents(w *bufio.Writer) bool {
	for at := a.offset; at < a.tokens; at++ {
		t, ok := a.nextToken()
		if !ok || !writeEvent(w, a.format.tokenEvent(a.text.Token(t.Index))) {
			return false
		}
	}
	if !writeEvent(w, a.format.finalEvent(a.finish, a.usage())) {
		return false
	}
	a.engine.countAnswered()
	_, err := w.WriteString("data: [DONE]\n\n")
	return err == nil && w.Flush() == nil
}

func writeEvent(w *bufio.Writer, event any) bool {
	text, err := json.Marshal(event)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(text)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil // reports the earlier writes' errors as well
}

// writeWhole writes the whole answer in one response after the last token is emitted.
func (a *answer) writeWhole(ctx *fasthttp.RequestCtx) {
	for at := a.offset; at < a.tokens; at++ {
		if _, ok := a.nextToken(); !ok {
			a.conn.Reset()
			return
		}
	}
	a.engine.countAnswered()
	reply(ctx, a.format.wholeAnswer(a.text.Tokens(a.tokens), a.finish, a.usage()))
}

func (a *answer) usage() usage {
	prompt := a.text.PromptTokens()
	return usage{PromptTokens: prompt, CompletionTokens: a.tokens, TotalTokens: prompt + a.tokens}
}

func (e *Engine) countAnswered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Answered++
}

// swapLastID stores a request's id and returns the one stored before it.
func (e *Engine) swapLastID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastID
	e.lastID = id
	return last
}
