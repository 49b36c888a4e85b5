// Package calls proxies calls to plain services. A call has one response instead
// of a token stream, and may have side effects that must not happen twice.
//
// A call with an Idempotency-Key is claimed before it is sent, and its outcome is
// stored and replayed. A call without a key is retried only if nothing of it was
// sent, or if its method is safe and the manifest does not declare the path not
// repeatable.
//
//	with key:    grant -> claim -> send once -> record the outcome
//	without key: grant -> send -> retry if allowed
//
// The grant comes before the claim, so that a shed call puts no load on the table
// service.
//
// # Usage
//
//	c := &calls.Calls{RequestGrant: requestGrant, Send: client.Do, DoKeyed: doKeyed, ...}
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

// Headers that the router sets on a request to a plain service.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencingNumber  = "X-Fencing-Number"
	HeaderWorkspace      = "X-Workspace"
)

// Call is one call to a plain service.
type Call struct {
	Request sched.Request
	Method  string
	// Path is the path and query string at the service.
	Path    string
	Headers []wire.Header
	Body    []byte
	// Key is the caller's Idempotency-Key, empty for none.
	Key string
	// Repeatable reports whether the call may run more than once.
	Repeatable bool
	// Allowed is called right before the call is sent, since the manifest may
	// have changed while the call was queued.
	Allowed func() *refuse.Refusal
}

// Answer is the response of the service, or a replay of the response stored under
// the call's key.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Replayed reports whether the response is that of an earlier call.
	Replayed bool
}

// Calls sends calls to plain services. Set the fields before the first Do.
type Calls struct {
	// RequestGrant, Done and Send are as in relay.Relay.
	RequestGrant func(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal)
	Done         func(service string, d sched.Done)
	Send         func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error)
	// MayRetry decides whether a failed call is attempted again.
	MayRetry func(f relay.Failure) bool
	// Finished is called for each response, as in relay.Relay.
	Finished func(r sched.Request)
	// DoKeyed runs a call under its key: it claims the key, calls send at most
	// once, and records the outcome.
	DoKeyed func(ctx context.Context, c Call, send SendOnce) (Answer, *refuse.Refusal)

	FirstTimeout   clock.Millis
	MaxAnswerBytes int
	Clock          clock.Clock
	Count          *count.Set
}

// SendResult is the result of sending a call once.
type SendResult struct {
	Answer Answer
	Sent   wire.Sent
	Err    error
}

// SendOnce sends a call once to the server of its grant. A fencing number of 0
// means none.
type SendOnce func(ctx context.Context, method, path string, fence uint64) SendResult

// Do performs a call and returns the service's response or a refusal.
func (c *Calls) Do(ctx context.Context, call Call) (Answer, *refuse.Refusal) {
	// maybeRan is set once an attempt may have reached a server: no later refusal
	// may then state that the call did not run.
	maybeRan := false
	for attemptNo := 1; ; attemptNo++ {
		request := call.Request
		request.NotRepeatable = !call.Repeatable
		request.ID += "." + strconv.Itoa(attemptNo)
		grant, refusal := c.RequestGrant(ctx, request)
		if refusal != nil {
			return Answer{}, refusal.AfterSending(maybeRan)
		}
		answer, result, refusal := c.attempt(ctx, call, grant)
		if refusal != nil {
			return Answer{}, refusal.AfterSending(maybeRan)
		}
		if result.Err == nil {
			c.Finished(call.Request)
			return answer, nil
		}
		maybeRan = maybeRan || result.Sent != wire.SentNothing
		call.Request.Avoid = append(call.Request.Avoid, grant.Server)
		if !c.shouldRetry(call, result, grant, attemptNo) {
			return Answer{}, finalRefusal(ctx, result).AfterSending(maybeRan)
		}
	}
}

// attempt makes one attempt with a grant and releases the grant.
func (c *Calls) attempt(ctx context.Context, call Call, grant relay.Grant) (Answer, SendResult, *refuse.Refusal) {
	started := c.Clock.Now()
	outcome := sched.OutcomeCancelled
	defer func() {
		elapsed := c.Clock.Now() - started
		c.Done(call.Request.Service, sched.Done{
			Progress: sched.Progress{ID: grant.ID, Tokens: 1, FirstToken: elapsed},
			Outcome:  outcome,
		})
	}()
	if refusal := call.Allowed(); refusal != nil {
		return Answer{}, SendResult{Sent: wire.SentNothing}, refusal
	}
	send := c.Sender(call, grant.Address)
	if call.Key == "" {
		result := send(ctx, call.Method, call.Path, 0)
		outcome = outcomeOf(result)
		return result.Answer, result, nil
	}
	// Only a call that is sent updates the outcome reported to the scheduler. A
	// replayed or refused call sends nothing and says nothing about the server.
	last := SendResult{Sent: wire.SentAll}
	recordingSend := func(ctx context.Context, method, path string, fence uint64) SendResult {
		last = send(ctx, method, path, fence)
		outcome = outcomeOf(last)
		return last
	}
	answer, refusal := c.DoKeyed(ctx, call, recordingSend)
	if last.Err != nil && last.Sent == wire.SentNothing {
		return Answer{}, last, nil
	}
	return answer, SendResult{Sent: wire.SentAll}, refusal
}

// outcomeOf returns the outcome that the scheduler records for a sent call.
func outcomeOf(r SendResult) sched.Outcome {
	switch {
	case r.Err == nil:
		return sched.OutcomeDone
	case r.Sent == wire.SentNothing:
		return sched.OutcomeUnreachable
	}
	return sched.OutcomeFailed
}

// Sender returns a function that sends the call to the server at an address.
func (c *Calls) Sender(call Call, address string) SendOnce {
	return func(ctx context.Context, method, path string, fence uint64) SendResult {
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
			Address:       address,
			Method:        method,
			Path:          path,
			Headers:       headers,
			HeaderTimeout: c.FirstTimeout,
		}
		if method == call.Method {
			request.Body = call.Body
		}
		return c.readAnswer(c.Send(ctx, request))
	}
}

const statusUnavailable = 503

var (
	// errAnswerTooLarge is returned for a response body above MaxAnswerBytes.
	errAnswerTooLarge = errors.New("the response body exceeds the size limit")
	// errLeaving is returned if a server rejected the call because it is leaving.
	// It ran nothing, so the call may go to another server as if it was not sent.
	errLeaving = errors.New("the server is leaving and rejected the call")
)

// readAnswer reads the whole response. A truncated response is an error.
func (c *Calls) readAnswer(answer wire.Response, sent wire.Sent, err error) SendResult {
	if err != nil {
		return SendResult{Sent: sent, Err: err}
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read, or the attempt has failed
	if answer.Status == statusUnavailable && answer.Header(relay.HeaderLeaving) == "true" {
		return SendResult{Sent: wire.SentNothing, Err: errLeaving}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(c.MaxAnswerBytes)+1))
	if err != nil {
		return SendResult{Sent: sent, Err: err}
	}
	if len(body) > c.MaxAnswerBytes {
		return SendResult{Sent: sent, Err: errAnswerTooLarge}
	}
	return SendResult{
		Sent:   sent,
		Answer: Answer{Status: answer.Status, Headers: forwardedHeaders(answer.Headers), Body: body},
	}
}

// shouldRetry decides whether to make another attempt, and counts it.
func (c *Calls) shouldRetry(call Call, result SendResult, grant relay.Grant, attemptNo int) bool {
	cause := relay.CauseBroken
	if result.Sent == wire.SentNothing {
		cause = relay.CauseUnreachable
	}
	ok := c.MayRetry(relay.Failure{
		Cause:      cause,
		Class:      call.Request.Class,
		Server:     grant.Server,
		Attempt:    attemptNo,
		GiveUp:     call.Request.GiveUp,
		Sent:       result.Sent,
		Repeatable: call.Repeatable,
	})
	if ok {
		c.Count.Add("siskinsaddle_retries_total", 1,
			count.Label{Key: "reason", Value: string(cause)},
			count.Label{Key: "class", Value: call.Request.Class})
	}
	return ok
}

// finalRefusal returns the refusal for a call that is not attempted again.
func finalRefusal(ctx context.Context, result SendResult) *refuse.Refusal {
	switch {
	case ctx.Err() != nil && result.Sent == wire.SentNothing:
		return refuse.New(refuse.ReasonCallerGone).WithRan(refuse.RanNo)
	case ctx.Err() != nil:
		return refuse.New(refuse.ReasonCallerGone)
	case errors.Is(result.Err, errAnswerTooLarge):
		return refuse.New(refuse.ReasonAnswerTooLarge)
	case result.Sent == wire.SentNothing:
		return refuse.New(refuse.ReasonBackendRefused)
	}
	return refuse.New(refuse.ReasonBackendFailed)
}

// notForwarded holds the hop-by-hop headers and those that the router itself
// handles, in lower case.
var notForwarded = map[string]bool{
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

// Forwarded reports whether a header is forwarded between caller and service.
func Forwarded(name string) bool {
	return !notForwarded[strings.ToLower(name)]
}

func forwardedHeaders(headers []wire.Header) []wire.Header {
	kept := make([]wire.Header, 0, len(headers))
	for _, h := range headers {
		if Forwarded(h.Name) {
			kept = append(kept, h)
		}
	}
	return kept
}
