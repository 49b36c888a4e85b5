// Package calls carries one call of a plain service, which is not a stream of
// tokens and may be one that must not run twice.
//
// A call with an Idempotency-Key is claimed before anything is sent, and its
// outcome is kept and replayed. A call without one is sent again only if
// nothing of it was sent, or if its method is safe and the manifest does not
// declare it not repeatable.
//
//	keyed:   grant -> claim -> send once -> record the outcome
//	keyless: grant -> send -> perhaps once more
//
// The grant comes before the claim, so that a call which is shed costs the
// table service nothing.
//
// # Usage
//
//	c := &calls.Calls{Ask: keeper.Ask, Send: client.Do, Desk: desk, ...}
//	answer, refusal := c.Do(ctx, call)
package calls

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
)

// The headers that a plain service sees.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencingNumber  = "X-Fencing-Number"
	HeaderWorkspace      = "X-Workspace"
)

// Call is one call of a plain service.
type Call struct {
	Request sched.Request
	Method  string
	// Path is the path with its query at the service.
	Path    string
	Headers []wire.Header
	Body    []byte
	// Key is the caller's Idempotency-Key, empty for none.
	Key string
	// Repeatable tells that the call may run more than once.
	Repeatable bool
}

// Answer is what the service answered, now or when the key was first used.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Replayed tells that the answer was kept from an earlier call.
	Replayed bool
}

// Calls makes calls. Set the fields before the first Do.
type Calls struct {
	// Ask, Done and Send are as in relay.Relay.
	Ask  func(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal)
	Done func(service string, d sched.Done)
	Send func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error)
	// MayRetry decides on one more attempt of a repeatable call.
	MayRetry func(f relay.Failure) bool
	// Keyed runs a call under its key: it claims, calls send at the most once
	// and records the outcome.
	Keyed func(ctx context.Context, c Call, send SendOnce) (Answer, *refuse.Refusal)

	FirstTimeout   clock.Millis
	MaxAnswerBytes int
	Clock          clock.Clock
	Count          *count.Set
}

// Tried is the outcome of sending a call once.
type Tried struct {
	Answer Answer
	Sent   wire.Sent
	Err    error
}

// SendOnce sends a call once to the server of its grant. The fencing number is
// 0 for none.
type SendOnce func(ctx context.Context, method, path string, fence int64) Tried

// Do makes a call and returns the service's answer or a refusal.
func (c *Calls) Do(ctx context.Context, call Call) (Answer, *refuse.Refusal) {
	for number := 1; ; number++ {
		request := call.Request
		request.ID += "." + strconv.Itoa(number)
		grant, refusal := c.Ask(ctx, request)
		if refusal != nil {
			return Answer{}, refusal
		}
		answer, tried, refusal := c.attempt(ctx, call, grant)
		if refusal != nil || tried.Err == nil {
			return answer, refusal
		}
		call.Request.Avoid = append(call.Request.Avoid, grant.Server)
		if !c.again(call, tried, grant, number) {
			return Answer{}, lastRefusal(ctx, tried)
		}
	}
}

// attempt uses one grant and gives it back.
func (c *Calls) attempt(ctx context.Context, call Call, grant relay.Grant) (Answer, Tried, *refuse.Refusal) {
	started := c.Clock.Now()
	outcome := sched.OutcomeDone
	defer func() {
		took := c.Clock.Now() - started
		c.Done(call.Request.Service, sched.Done{
			Progress: sched.Progress{ID: grant.ID, Tokens: 1, FirstToken: took},
			Outcome:  outcome,
		})
	}()
	if call.Key != "" {
		answer, refusal := c.Keyed(ctx, call, c.once(call, grant))
		if refusal != nil {
			outcome = sched.OutcomeFailed
		}
		return answer, Tried{Sent: wire.SentAll}, refusal
	}
	tried := c.once(call, grant)(ctx, call.Method, call.Path, 0)
	if tried.Err != nil {
		outcome = sched.OutcomeFailed
	}
	return tried.Answer, tried, nil
}

// once returns the function that sends the call to the server of the grant.
func (c *Calls) once(call Call, grant relay.Grant) SendOnce {
	return func(ctx context.Context, method, path string, fence int64) Tried {
		headers := append([]wire.Header(nil), call.Headers...)
		headers = append(headers,
			wire.Header{Name: relay.HeaderRequestID, Value: call.Request.ID},
			wire.Header{Name: HeaderWorkspace, Value: call.Request.Workspace})
		if call.Key != "" {
			headers = append(headers, wire.Header{Name: HeaderIdempotencyKey, Value: call.Key})
		}
		if fence > 0 {
			headers = append(headers, wire.Header{Name: HeaderFencingNumber, Value: strconv.FormatInt(fence, 10)})
		}
		request := wire.Request{
			Address:          grant.Address,
			Method:           method,
			Path:             path,
			Headers:          headers,
			FirstByteTimeout: c.FirstTimeout,
		}
		if method == call.Method {
			request.Body = call.Body
		}
		return c.read(c.Send(ctx, request))
	}
}

// errAnswerTooLarge tells that an answer is longer than MaxAnswerBytes.
var errAnswerTooLarge = errors.New("the answer is too large")

// read takes the whole answer. An answer that breaks off is no answer.
func (c *Calls) read(answer wire.Answer, sent wire.Sent, err error) Tried {
	if err != nil {
		return Tried{Sent: sent, Err: err}
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(c.MaxAnswerBytes)+1))
	if err != nil {
		return Tried{Sent: sent, Err: err}
	}
	if len(body) > c.MaxAnswerBytes {
		return Tried{Sent: sent, Err: errAnswerTooLarge}
	}
	return Tried{
		Sent:   sent,
		Answer: Answer{Status: answer.Status, Headers: passed(answer.Headers), Body: body},
	}
}

// again decides on one more attempt.
func (c *Calls) again(call Call, tried Tried, grant relay.Grant, number int) bool {
	cause := relay.CauseBroken
	if tried.Sent == wire.SentNothing {
		cause = relay.CauseUnreachable
	}
	ok := c.MayRetry(relay.Failure{
		Cause:      cause,
		Class:      call.Request.Class,
		Server:     grant.Server,
		Attempt:    number,
		GiveUp:     call.Request.GiveUp,
		Sent:       tried.Sent,
		Repeatable: call.Repeatable,
	})
	if ok {
		c.Count.Add("siskinsaddle_retries_total", 1,
			count.Label{Key: "reason", Value: string(cause)},
			count.Label{Key: "class", Value: call.Request.Class})
	}
	return ok
}

// lastRefusal says what is known once no attempt is left.
func lastRefusal(ctx context.Context, tried Tried) *refuse.Refusal {
	switch {
	case ctx.Err() != nil && tried.Sent == wire.SentNothing:
		return refuse.New(refuse.ReasonCallerGone).WithRan(refuse.RanNo)
	case ctx.Err() != nil:
		return refuse.New(refuse.ReasonCallerGone)
	case errors.Is(tried.Err, errAnswerTooLarge):
		return refuse.New(refuse.ReasonAnswerTooLarge)
	case tried.Sent == wire.SentNothing:
		return refuse.New(refuse.ReasonBackendRefused)
	}
	return refuse.New(refuse.ReasonBackendFailed)
}

// hopHeaders belong to one connection, or to this router, and are not passed
// on.
var hopHeaders = map[string]bool{
	"authorization":       true,
	"connection":          true,
	"content-length":      true,
	"host":                true,
	"idempotency-key":     true,
	"keep-alive":          true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"x-class":             true,
	"x-fencing-number":    true,
	"x-request-id":        true,
	"x-workspace":         true,
}

// Passed tells whether a header of a caller goes to the service.
func Passed(name string) bool {
	return !hopHeaders[strings.ToLower(name)]
}

func passed(headers []wire.Header) []wire.Header {
	kept := make([]wire.Header, 0, len(headers))
	for _, h := range headers {
		if Passed(h.Name) {
			kept = append(kept, h)
		}
	}
	return kept
}
