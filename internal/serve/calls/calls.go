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
	// Allowed is asked just before the call is sent, since the manifest may
	// have changed while it waited.
	Allowed func() *refuse.Refusal
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
	// Finished is told of each answer, as in relay.Relay.
	Finished func(r sched.Request)
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
type SendOnce func(ctx context.Context, method, path string, fence uint64) Tried

// Do makes a call and returns the service's answer or a refusal.
func (c *Calls) Do(ctx context.Context, call Call) (Answer, *refuse.Refusal) {
	// maybeRan: an attempt reached a server, so that no later refusal may say
	// that the call did not run.
	maybeRan := false
	for number := 1; ; number++ {
		request := call.Request
		request.NotRepeatable = !call.Repeatable
		request.ID += "." + strconv.Itoa(number)
		grant, refusal := c.Ask(ctx, request)
		if refusal != nil {
			return Answer{}, refusal.AfterSending(maybeRan)
		}
		answer, tried, refusal := c.attempt(ctx, call, grant)
		if refusal != nil {
			return Answer{}, refusal.AfterSending(maybeRan)
		}
		if tried.Err == nil {
			c.Finished(call.Request)
			return answer, nil
		}
		maybeRan = maybeRan || tried.Sent != wire.SentNothing
		call.Request.Avoid = append(call.Request.Avoid, grant.Server)
		if !c.again(call, tried, grant, number) {
			return Answer{}, lastRefusal(ctx, tried).AfterSending(maybeRan)
		}
	}
}

// attempt uses one grant and gives it back.
func (c *Calls) attempt(ctx context.Context, call Call, grant relay.Grant) (Answer, Tried, *refuse.Refusal) {
	started := c.Clock.Now()
	outcome := sched.OutcomeCancelled
	defer func() {
		took := c.Clock.Now() - started
		c.Done(call.Request.Service, sched.Done{
			Progress: sched.Progress{ID: grant.ID, Tokens: 1, FirstToken: took},
			Outcome:  outcome,
		})
	}()
	if refusal := call.Allowed(); refusal != nil {
		return Answer{}, Tried{Sent: wire.SentNothing}, refusal
	}
	send := c.Once(call, grant.Address)
	if call.Key == "" {
		tried := send(ctx, call.Method, call.Path, 0)
		outcome = outcomeOf(tried)
		return tried.Answer, tried, nil
	}
	// The send function notes how the service did; a call whose answer is
	// replayed or that is refused sends nothing and says nothing of it.
	last := Tried{Sent: wire.SentAll}
	noted := func(ctx context.Context, method, path string, fence uint64) Tried {
		last = send(ctx, method, path, fence)
		outcome = outcomeOf(last)
		return last
	}
	answer, refusal := c.Keyed(ctx, call, noted)
	if last.Err != nil && last.Sent == wire.SentNothing {
		return Answer{}, last, nil
	}
	return answer, Tried{Sent: wire.SentAll}, refusal
}

// outcomeOf is what the scheduler is told of a call that was sent.
func outcomeOf(t Tried) sched.Outcome {
	switch {
	case t.Err == nil:
		return sched.OutcomeDone
	case t.Sent == wire.SentNothing:
		return sched.OutcomeUnreachable
	}
	return sched.OutcomeFailed
}

// Once returns the function that sends the call to a server.
func (c *Calls) Once(call Call, address string) SendOnce {
	return func(ctx context.Context, method, path string, fence uint64) Tried {
		headers := append([]wire.Header(nil), call.Headers...)
		headers = append(headers,
			wire.Header{Name: relay.HeaderRequestID, Value: call.Request.ID},
			wire.Header{Name: HeaderWorkspace, Value: call.Request.Workspace})
		if call.Key != "" {
			headers = append(headers, wire.Header{Name: HeaderIdempotencyKey, Value: call.Key})
		}
		if fence > 0 {
			headers = append(headers, wire.Header{Name: HeaderFencingNumber, Value: strconv.FormatUint(fence, 10)})
		}
		request := wire.Request{
			Address:          address,
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

const statusUnavailable = 503

var (
	// errAnswerTooLarge tells that an answer is longer than MaxAnswerBytes.
	errAnswerTooLarge = errors.New("the answer is too large")
	// errLeaving tells that a server took nothing because it is leaving, so
	// the call may go to another as if nothing had been sent.
	errLeaving = errors.New("the server is leaving")
)

// read takes the whole answer. An answer that breaks off is no answer.
func (c *Calls) read(answer wire.Answer, sent wire.Sent, err error) Tried {
	if err != nil {
		return Tried{Sent: sent, Err: err}
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	if answer.Status == statusUnavailable && answer.Header(relay.HeaderLeaving) == "true" {
		return Tried{Sent: wire.SentNothing, Err: errLeaving}
	}
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
	"expect":              true,
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
	"x-leaving":           true,
	"x-priority":          true,
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
