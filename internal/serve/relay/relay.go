// Package relay streams one completion from a backend server to its caller: it
// requests a grant, sends the request, reads the tokens, and retries, hedges and
// resumes until the caller has the whole response or a refusal that states
// correctly whether the request may have run.
//
// Each attempt at a request has its own grant. Attempts send their events to one
// channel of the stream, tagged with the attempt number. The first attempt to
// deliver an event wins; the others are cancelled and their later events are
// dropped. A broken stream is resumed: the next attempt carries the same request
// ID and the number of tokens that the caller already has.
//
// # Usage
//
//	r := &relay.Relay{RequestGrant: requestGrant, Send: client.Do, ...}
//	s := r.Start(ctx, job)
//	defer s.Close()
//	for {
//		step := s.Next()
//		switch {
//		case step.Refusal != nil: // the stream is over
//		case step.End:            // the response is complete
//		default:                  // step.Event is the next token
//		}
//	}
package relay

import (
	"context"
	"strconv"

	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/events"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// Grant is the right to send one request to one backend server.
type Grant struct {
	// ID identifies the grant to the keeper that issued it.
	ID      string
	Server  string
	Address string
}

// Job is one completion requested by a caller.
type Job struct {
	// Request is the request as the scheduler sees it. Its ID is the request ID
	// that the backend server sees on every attempt.
	Request sched.Request
	// Tier is sent to the engine as its request priority.
	Tier int
	// Path and Body are sent to the backend server unchanged.
	Path string
	Body []byte
	// Allowed is called right before each attempt is sent, since the manifest
	// may have changed while the request was queued. A refusal ends the attempt.
	Allowed func() *refuse.Refusal
}

// Cause is why an attempt failed.
type Cause string

// Causes of a failed attempt.
const (
	CauseUnreachable Cause = "Unreachable"
	CauseLeaving     Cause = "Leaving"
	CauseServerError Cause = "ServerError"
	CauseBroken      Cause = "Broken"
	CauseSilent      Cause = "Silent"
	// CauseWrongRequestID is a response to another request, or without a request ID.
	CauseWrongRequestID Cause = "CrossedAnswer"
	// CauseNoResume is a server that restarts the response instead of resuming it.
	CauseNoResume Cause = "NoResume"
	// CausePanic is a bug in this program.
	CausePanic     Cause = "Panic"
	CauseNotLoaded Cause = "ModelNotLoaded"
)

// Failure describes a failed attempt, for the decision whether to make another.
type Failure struct {
	Cause  Cause
	Class  string
	Server string
	// Attempt is the number of attempts since the last token, not counting the
	// attempt that delivered the token.
	Attempt int
	// Delivered is the number of tokens delivered to the caller.
	Delivered int
	// GiveUp is the time at which the caller stops waiting for the first token.
	GiveUp clock.Millis
	// Sent is how much of the attempt's request the server may have received.
	Sent wire.Sent
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
}

// Relay starts streams. Set the fields before the first Start.
type Relay struct {
	// RequestGrant blocks until a grant is issued. A refusal ends the attempt.
	RequestGrant func(ctx context.Context, r sched.Request) (Grant, *refuse.Refusal)
	// Progress and Done report the state of a granted request to the scheduler.
	Progress func(service string, p sched.Progress)
	Done     func(service string, d sched.Done)
	// Send sends a request to a backend server.
	Send func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error)
	// MayRetry decides whether another attempt follows a failed one.
	MayRetry func(f Failure) bool
	// HedgeAfter returns how long a granted attempt may run without an event
	// before a second one is started in parallel, in milliseconds; 0 disables
	// hedging.
	HedgeAfter func(r sched.Request) clock.Millis
	// MayHedge takes one hedge from the budget, or returns false. granted is the
	// time at which the first attempt got its grant.
	MayHedge func(r sched.Request, granted clock.Millis) bool
	// FirstToken is called with the time to first token of each attempt.
	FirstToken func(r sched.Request, took clock.Millis)
	// Finished is called for each complete response.
	Finished func(r sched.Request)

	// FirstTimeout limits the wait for the first byte of a backend server.
	FirstTimeout clock.Millis
	// ProgressTimeout limits the time without data within a response.
	ProgressTimeout clock.Millis
	Clock           clock.Clock
	Count           *count.Set
	// Pool runs the attempts.
	Pool *ants.Pool
}

const (
	// progressPeriod is the minimum time between progress reports in milliseconds.
	progressPeriod = 200 * clock.Millis(1)
	updateBuffer   = 64
)

// Step is a result of Next: an event, the end of the stream, or a refusal.
type Step struct {
	Event   events.Event
	End     bool
	Refusal *refuse.Refusal
	// Final is set if the backend server returned an error that the caller
	// caused, such as a prompt that is too long.
	Final *Final
}

// Final is an error response of a backend server, passed on to the caller.
type Final struct {
	Status int
	Body   []byte
}

// Stream is one completion in progress. It is not safe for concurrent use.
type Stream struct {
	relay    *Relay
	job      Job
	ctx      context.Context
	cancel   context.CancelFunc
	updates  chan update
	live     map[int]*attempt
	attempts int
	// attemptsAtToken is the value of attempts when the last token arrived.
	attemptsAtToken int
	winner          int
	delivered       int
	// delivering is set once an event has been returned, sent once a server
	// may have received the request.
	delivering bool
	sent       bool
	avoid      []string
	hedgeTimer <-chan struct{}
	// grantedAt is the time at which the first attempt got its grant.
	grantedAt clock.Millis
	done      bool
}

// Start starts the first attempt.
func (r *Relay) Start(ctx context.Context, j Job) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		relay:   r,
		job:     j,
		ctx:     ctx,
		cancel:  cancel,
		updates: make(chan update, updateBuffer),
		live:    map[int]*attempt{},
		winner:  -1,
	}
	s.startAttempt()
	return s
}

// Close cancels all running attempts.
func (s *Stream) Close() {
	s.cancel()
}

// Delivered returns the number of tokens that Next has returned.
func (s *Stream) Delivered() int {
	return s.delivered
}

// startAttempt starts an attempt that resumes after the tokens delivered so far.
func (s *Stream) startAttempt() {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{
		stream: s,
		number: s.attempts,
		offset: s.delivered,
		ctx:    ctx,
		cancel: cancel,
		avoid:  append([]string(nil), s.avoid...),
	}
	s.attempts++
	s.live[a.number] = a
	if err := s.relay.Pool.Submit(a.run); err != nil {
		go a.finish(update{kind: updateRefused, refusal: refuse.New(refuse.ReasonTooManyOpen)})
	}
}

// Next blocks until the next step. After a step with End, Refusal or Final, Next
// returns only End.
func (s *Stream) Next() Step {
	if s.done {
		return Step{End: true}
	}
	for {
		select {
		case <-s.ctx.Done():
			return s.finish(Step{Refusal: refuse.New(refuse.ReasonCallerGone)})
		case <-s.hedgeTimer:
			s.hedgeTimer = nil
			s.tryHedge()
		case u := <-s.updates:
			if step, ready := s.handle(u); ready {
				return step
			}
		}
	}
}

func (s *Stream) finish(step Step) Step {
	s.done = true
	s.cancel()
	return step
}

// tryHedge starts a second attempt if the first has delivered no event yet.
func (s *Stream) tryHedge() {
	if s.winner >= 0 || len(s.live) != 1 {
		return
	}
	if !s.relay.MayHedge(s.job.Request, s.grantedAt) {
		s.count("siskinsaddle_hedges_total", "Denied")
		return
	}
	s.count("siskinsaddle_hedges_total", "Sent")
	s.startAttempt()
}

func (s *Stream) count(name, reason string) {
	s.relay.Count.Add(name, 1,
		count.Label{Key: "reason", Value: reason},
		count.Label{Key: "class", Value: s.job.Request.Class})
}

// handle processes one update. It returns false if there is no step for the
// caller yet.
func (s *Stream) handle(u update) (Step, bool) {
	if _, ok := s.live[u.attempt]; !ok {
		return Step{}, false
	}
	s.sent = s.sent || u.sent
	return updateHandlers[u.kind](s, u)
}

var updateHandlers = map[updateKind]func(*Stream, update) (Step, bool){
	updateGranted: (*Stream).handleGranted,
	updateEvent:   (*Stream).handleEvent,
	updateEnd:     (*Stream).handleEnd,
	updateFinal:   (*Stream).handleFinal,
	updateRefused: (*Stream).handleRefused,
	updateFailed:  (*Stream).handleFailed,
}

// handleGranted starts the hedge timer on the first grant. Every later attempt
// avoids the server.
func (s *Stream) handleGranted(u update) (Step, bool) {
	s.avoid = append(s.avoid, u.server)
	if u.attempt > 0 {
		return Step{}, false
	}
	s.grantedAt = s.relay.Clock.Now()
	if after := s.relay.HedgeAfter(s.job.Request); after > 0 {
		s.hedgeTimer = s.relay.Clock.After(after)
	}
	return Step{}, false
}

func (s *Stream) handleEvent(u update) (Step, bool) {
	if s.winner != u.attempt {
		s.selectWinner(u.attempt)
	}
	s.delivering = true
	s.delivered += u.event.Tokens
	if u.event.Tokens > 0 {
		s.attemptsAtToken = s.attempts
	}
	return Step{Event: u.event}, true
}

// selectWinner makes an attempt the winner and cancels the others.
func (s *Stream) selectWinner(number int) {
	if len(s.live) > 1 && number > 0 {
		s.count("siskinsaddle_hedges_total", "Won")
	}
	s.winner = number
	for other, a := range s.live {
		if other != number {
			a.cancel()
			delete(s.live, other)
		}
	}
}

func (s *Stream) handleEnd(u update) (Step, bool) {
	if s.winner != u.attempt {
		s.selectWinner(u.attempt)
	}
	s.relay.Finished(s.job.Request)
	return s.finish(Step{End: true}), true
}

// handleFinal passes a server's error response on. Once the caller has part of the
// response, the error counts as a failed attempt instead.
func (s *Stream) handleFinal(u update) (Step, bool) {
	if s.delivering {
		u.cause = CauseServerError
		return s.handleFailed(u)
	}
	return s.finish(Step{Final: u.final}), true
}

func (s *Stream) handleRefused(u update) (Step, bool) {
	delete(s.live, u.attempt)
	if len(s.live) > 0 {
		return Step{}, false
	}
	return s.finish(Step{Refusal: u.refusal.AfterSending(s.sent)}), true
}

// handleFailed handles a failed attempt: it starts another attempt, which resumes
// after the delivered tokens, or ends the stream with a refusal.
func (s *Stream) handleFailed(u update) (Step, bool) {
	delete(s.live, u.attempt)
	s.count("siskinsaddle_attempt_failures_total", string(u.cause))
	if len(s.live) > 0 {
		return Step{}, false
	}
	failure := Failure{
		Cause:      u.cause,
		Class:      s.job.Request.Class,
		Server:     u.server,
		Attempt:    s.attempts - s.attemptsAtToken,
		Delivered:  s.delivered,
		GiveUp:     s.job.Request.GiveUp,
		Sent:       u.sentExtent,
		Repeatable: true,
	}
	if s.relay.MayRetry(failure) {
		s.count(retryCounter(s.delivered), string(u.cause))
		s.winner = -1
		s.startAttempt()
		return Step{}, false
	}
	refusal := refuse.New(refuse.ReasonBackendFailed).WithText("attempt %d failed: %s", s.attempts, u.cause)
	if !s.sent {
		refusal = refuse.New(refuse.ReasonBackendRefused)
	}
	return s.finish(Step{Refusal: refusal}), true
}

// retryCounter returns the counter of a repeated attempt: a resume if the caller
// already has tokens, otherwise a retry.
func retryCounter(delivered int) string {
	if delivered > 0 {
		return "siskinsaddle_resumes_total"
	}
	return "siskinsaddle_retries_total"
}

// attemptID returns the ID of an attempt at the scheduler.
func attemptID(request string, number int) string {
	return request + "." + strconv.Itoa(number)
}
