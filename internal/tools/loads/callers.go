package loads

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/engine"
	"siskinsaddle/internal/serve/events"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// reasonNoAnswer is counted for a connection that closed without a response.
const reasonNoAnswer refuse.Reason = "NoAnswer"

// reasonBrokenOff is the prefix of the refusal reason of an incomplete stream.
const reasonBrokenOff refuse.Reason = "BrokenOff"

// refusal holds the fields of a refusal body that the report counts.
type refusal struct {
	Reason refuse.Reason
	Ran    refuse.Ran
}

type chatBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"x_tokens"`
}

// sendCompletion sends one completion through the router and records the outcome.
func (l *Load) sendCompletion(ctx context.Context, c Class, n int) {
	request := l.completionRequest(c, n)
	started := l.Clock.Now()
	answer, host, err := l.send(ctx, request)
	if err != nil {
		l.stats.recordNoAnswer(host)
		l.stats.recordRefusal(c.Name, refusal{Reason: reasonNoAnswer, Ran: refuse.RanUnknown})
		return
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read or is not needed
	if answer.Status != 200 {
		l.stats.recordRefusal(c.Name, readRefusal(answer))
		return
	}
	k := l.expectation(c, n)
	k.abandons = l.Settings.AbandonEvery > 0 && n%l.Settings.AbandonEvery == 0
	h := l.readStream(answer.Body, k, started)
	if h.cut {
		l.stats.recordCutOff(host)
	}
	h.mistake.Class, h.mistake.Number, h.mistake.Host = c.Name, n, host
	l.stats.recordStream(c, h)
}

// expectation is the response that a completion must get.
type expectation struct {
	tokens int
	text   engine.Text
	// abandons has the caller disconnect after half of the tokens.
	abandons bool
}

func (l *Load) expectation(c Class, n int) expectation {
	return expectation{
		tokens: c.OutputTokens,
		text:   engine.Text{Model: l.Settings.Model, Prompt: prompt(c, n)},
	}
}

// sendDirect sends the same completion to the backend server without the router.
func (l *Load) sendDirect(ctx context.Context, c Class, n int) {
	request := l.completionRequest(c, n)
	request.Address = l.Settings.Direct
	started := l.Clock.Now()
	answer, _, err := l.client.Do(ctx, request)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read or is not needed
	l.stats.recordDirect(l.readStream(answer.Body, l.expectation(c, n), started))
}

func (l *Load) completionRequest(c Class, n int) wire.Request {
	body, _ := json.Marshal(chatBody{ // strings and numbers always encode
		Model:  l.Settings.Model,
		Stream: true,
		Prompt: prompt(c, n),
		Tokens: c.OutputTokens,
	})
	return wire.Request{
		Method: "POST",
		Path:   "/v1/completions",
		Headers: []wire.Header{
			{Name: "Authorization", Value: "Bearer " + l.Settings.Key},
			{Name: "X-Class", Value: c.Name},
			{Name: "Content-Type", Value: "application/json"},
		},
		Body:          body,
		HeaderTimeout: answerTimeout,
	}
}

// send tries the hosts round robin until one accepts the connection, and returns the
// response and the address of the last host tried. A request of which anything may
// have been sent is not retried.
func (l *Load) send(ctx context.Context, r wire.Request) (wire.Response, string, error) {
	var last error
	for range l.Settings.Hosts {
		r.Address = l.roundRobin.pick()
		answer, sent, err := l.client.Do(ctx, r)
		if err == nil {
			return answer, r.Address, nil
		}
		last = err
		if sent != wire.SentNothing {
			break
		}
	}
	return wire.Response{}, r.Address, last
}

// streamResult is the outcome of one streamed completion.
type streamResult struct {
	tokens int
	whole  bool
	// wrong is set if the text differs from the one that the backend server
	// generates for the prompt, or the stream ended before its last token.
	wrong   bool
	mistake Mistake
	// cut is set if the connection closed without an end marker or a refusal.
	cut bool
	// reason is the refusal reason that the router sent within the stream, if any.
	reason     refuse.Reason
	abandoned  bool
	firstToken clock.Millis
	between    float64
}

// readStream reads a stream to its end and compares its text with the expected one.
func (l *Load) readStream(body io.Reader, k expectation, started clock.Millis) streamResult {
	reader := events.NewReader(body)
	h := streamResult{firstToken: -1}
	var last clock.Millis
	for {
		e, err := reader.Next()
		if err != nil {
			h.finish(err, k)
			break
		}
		if e.Tokens == 0 {
			h.reason = readReason(e.Raw)
			continue
		}
		if want := k.text.Token(h.tokens); e.Text != want && !h.wrong {
			h.wrong = true
			h.mistake = Mistake{Token: h.tokens, Got: e.Text, Want: want}
		}
		last = l.Clock.Now()
		if h.firstToken < 0 {
			h.firstToken = last - started
		}
		h.tokens += e.Tokens
		if k.abandons && h.tokens > k.tokens/2 {
			h.abandoned = true
			return h
		}
	}
	if h.tokens > 1 {
		h.between = float64(last-started-h.firstToken) / float64(h.tokens-1)
	}
	return h
}

// finish records how a stream ended.
func (h *streamResult) finish(err error, k expectation) {
	sawEnd := errors.Is(err, io.EOF)
	h.whole = sawEnd && h.tokens == k.tokens
	if sawEnd && !h.whole && !h.wrong {
		h.wrong = true
		h.mistake = Mistake{Token: h.tokens, Got: "[DONE]"}
	}
	h.cut = !sawEnd && h.reason == ""
}

// readReason returns the refusal reason in a stream event, empty for other events.
func readReason(raw []byte) refuse.Reason {
	var t refusal
	if json.Unmarshal(raw, &t) != nil {
		return ""
	}
	return t.Reason
}

// sendBooking sends one booking Repeats times with the same key, like a caller that
// retries because it does not know the outcome.
func (l *Load) sendBooking(ctx context.Context, n int) {
	key := fmt.Sprintf("load-%d-%d", l.stats.started, n)
	for range l.Settings.Repeats {
		answer, host, err := l.send(ctx, wire.Request{
			Method: "POST",
			Path:   "/services/" + l.Settings.Service + "/bookings",
			Headers: []wire.Header{
				{Name: "Authorization", Value: "Bearer " + l.Settings.Key},
				{Name: "Idempotency-Key", Value: key},
			},
			Body:          []byte(fmt.Sprintf(`{"Stall": %d}`, n)),
			HeaderTimeout: answerTimeout,
		})
		if err != nil {
			l.stats.recordNoAnswer(host)
			l.stats.recordBookingRefusal(key, refusal{Reason: reasonNoAnswer, Ran: refuse.RanUnknown})
			continue
		}
		if answer.Status == 200 {
			_, err = io.Copy(io.Discard, answer.Body)
			l.stats.recordBookingDone(key, err == nil)
		} else {
			l.stats.recordBookingRefusal(key, readRefusal(answer))
		}
		_ = answer.Body.Close() // the body has been read or is not needed
	}
}

const maxRefusalBytes = 64 << 10

func readRefusal(answer wire.Response) refusal {
	var t refusal
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	if err != nil || json.Unmarshal(body, &t) != nil || t.Reason == "" {
		return refusal{Reason: reasonNoAnswer, Ran: refuse.RanUnknown}
	}
	return t
}
