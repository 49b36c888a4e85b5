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

// reasonNoAnswer stands for a connection that ended without a refusal.
const reasonNoAnswer refuse.Reason = "NoAnswer"

// reasonBrokenOff comes before the reason of a stream that was broken off.
const reasonBrokenOff refuse.Reason = "BrokenOff"

// told is the part of a refusal that is counted.
type told struct {
	Reason refuse.Reason
	Ran    refuse.Ran
}

type chatBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"x_tokens"`
}

// complete sends one completion through the router and notes what came.
func (l *Load) complete(ctx context.Context, c Class, n int) {
	request := l.completion(c, n)
	started := l.Clock.Now()
	answer, host, err := l.send(ctx, request)
	if err != nil {
		l.notes.unanswered(host)
		l.notes.refused(c.Name, told{Reason: reasonNoAnswer, Ran: refuse.RanUnknown})
		return
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	if answer.Status != 200 {
		l.notes.refused(c.Name, readTold(answer))
		return
	}
	k := l.check(c, n)
	k.abandons = l.Settings.AbandonEvery > 0 && n%l.Settings.AbandonEvery == 0
	h := l.listen(answer.Body, k, started)
	if h.cut {
		l.notes.cutOff(host)
	}
	h.mistake.Class, h.mistake.Number, h.mistake.Host = c.Name, n, host
	l.notes.ended(c, h)
}

// check is what the answer of a completion is held against.
type check struct {
	tokens int
	text   engine.Text
	// abandons tells that the caller leaves in the middle.
	abandons bool
}

func (l *Load) check(c Class, n int) check {
	return check{tokens: c.OutputTokens, text: engine.Text{Model: l.Settings.Model, Prompt: prompt(c, n)}}
}

// direct sends the same completion to the backend server itself.
func (l *Load) direct(ctx context.Context, c Class, n int) {
	request := l.completion(c, n)
	request.Address = l.Settings.Direct
	started := l.Clock.Now()
	answer, _, err := l.client.Do(ctx, request)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	l.notes.direct(l.listen(answer.Body, l.check(c, n), started))
}

func (l *Load) completion(c Class, n int) wire.Request {
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
		Body:             body,
		FirstByteTimeout: answerTimeout,
	}
}

// send tries the hosts in turn until one takes the connection, and names it.
func (l *Load) send(ctx context.Context, r wire.Request) (wire.Response, string, error) {
	var last error
	for range l.Settings.Hosts {
		r.Address = l.turn.take()
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

// heard is what came of one completion.
type heard struct {
	tokens int
	whole  bool
	// wrong tells that the text is not the one that the backend server gives
	// for the prompt, or that its end was told before its last token.
	wrong   bool
	mistake Mistake
	// cut tells that the connection ended without a word.
	cut bool
	// reason is why the router broke the stream off, where it said so.
	reason     refuse.Reason
	abandoned  bool
	firstToken clock.Millis
	between    float64
}

// listen reads a stream to its end.
func (l *Load) listen(body io.Reader, k check, started clock.Millis) heard {
	reader := events.NewReader(body)
	h := heard{firstToken: -1}
	var last clock.Millis
	for {
		e, err := reader.Next()
		if err != nil {
			h.end(err, k)
			break
		}
		if e.Tokens == 0 {
			h.reason = readReason(e.Raw)
			continue
		}
		if want := k.text.Word(h.tokens); e.Text != want && !h.wrong {
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

// end notes how a stream ended.
func (h *heard) end(err error, k check) {
	marked := errors.Is(err, io.EOF)
	h.whole = marked && h.tokens == k.tokens
	if marked && !h.whole && !h.wrong {
		h.wrong = true
		h.mistake = Mistake{Token: h.tokens, Got: "[DONE]"}
	}
	h.cut = !marked && h.reason == ""
}

// readReason finds a refusal within a stream; other events have none.
func readReason(raw []byte) refuse.Reason {
	var t told
	if json.Unmarshal(raw, &t) != nil {
		return ""
	}
	return t.Reason
}

// book sends one booking and then again with the same key, as a caller does
// that is not sure of the answer.
func (l *Load) book(ctx context.Context, n int) {
	key := fmt.Sprintf("load-%d-%d", l.notes.started, n)
	for range l.Settings.Repeats {
		answer, host, err := l.send(ctx, wire.Request{
			Method: "POST",
			Path:   "/services/" + l.Settings.Service + "/bookings",
			Headers: []wire.Header{
				{Name: "Authorization", Value: "Bearer " + l.Settings.Key},
				{Name: "Idempotency-Key", Value: key},
			},
			Body:             []byte(fmt.Sprintf(`{"Stall": %d}`, n)),
			FirstByteTimeout: answerTimeout,
		})
		if err != nil {
			l.notes.unanswered(host)
			l.notes.booked(key, told{Reason: reasonNoAnswer, Ran: refuse.RanUnknown})
			continue
		}
		if answer.Status == 200 {
			_, err = io.Copy(io.Discard, answer.Body)
			l.notes.bookedDone(key, err == nil)
		} else {
			l.notes.booked(key, readTold(answer))
		}
		_ = answer.Body.Close() // the answer is read or of no use
	}
}

const maxRefusalBytes = 64 << 10

func readTold(answer wire.Response) told {
	var t told
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	if err != nil || json.Unmarshal(body, &t) != nil || t.Reason == "" {
		return told{Reason: reasonNoAnswer, Ran: refuse.RanUnknown}
	}
	return t
}
