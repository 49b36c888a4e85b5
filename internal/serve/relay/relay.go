// Package relay carries one completion from a backend server to its caller: it
// asks for a grant, sends the request, reads the tokens, and retries, hedges
// and resumes until the caller has the whole answer or a truthful refusal.
//
// Each try of a request is an attempt with a grant of its own. Attempts write
// their events to one channel of the stream, marked with their number; the
// first attempt that brings a token wins, the others are cancelled, and
// whatever else they bring is dropped. A broken stream is resumed: the next
// attempt carries the same request id and the number of tokens that the caller
// already has.
//
// # Usage
//
//	r := &relay.Relay{Ask: keeper.Ask, Send: client.Do, ...}
//	s := r.Start(ctx, job)
//	defer s.Close()
//	for {
//		step := s.Next()
//		switch {
//		case step.Refusal != nil: // nothing more comes
//		case step.End:            // the answer is complete
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
	// ID names the grant towards the one who gave it.
	ID      string
	Server  string
	Address string
}

// Job is one completion that a caller wants.
type Job struct {
	// Request is what the scheduler needs; its ID is the request id that the
	// backend server sees on every attempt.
	Request sched.Request
	// Tier is passed on as the engine's own priority.
	Tier int
	// Path and Body go to the backend server as they are.
	Path string
	Body []byte
	// Allowed is asked just before each attempt is sent, since the manifest
	// may have changed while the request waited. A refusal ends the attempt.
	Allowed func() *refuse.Refusal
}

// Cause is why an attempt failed.
type Cause string

// The causes.
const (
	CauseUnreachable Cause = "Unreachable"
	CauseLeaving     Cause = "Leaving"
	CauseServerError Cause = "ServerError"
	CauseBroken      Cause = "Broken"
	CauseSilent      Cause = "Silent"
	CauseCrossed     Cause = "CrossedAnswer"
	CauseNoResume    Cause = "NoResume"
	// CausePanic is a fault of this program.
	CausePanic     Cause = "Panic"
	CauseNotLoaded Cause = "ModelNotLoaded"
)

// Failure is a failed attempt, for the decision on the next one.
type Failure struct {
	Cause  Cause
	Class  string
	Server string
	// Attempt is how many attempts were made since the last token, that of the
	// token left out.
	Attempt int
	// Delivered is how many tokens the caller has.
	Delivered int
	// GiveUp is when the caller gives up waiting for the first token.
	GiveUp clock.Millis
	// Sent is how much of the attempt's request the server may have seen.
	Sent wire.Sent
	// Repeatable tells that the request may run more than once.
	Repeatable bool
}

// Relay makes streams. Set the fields before the first Start.
type Relay struct {
	// Ask waits for a grant. A refusal ends the attempt.
	Ask func(ctx context.Context, r sched.Request) (Grant, *refuse.Refusal)
	// Progress and Done report on a granted request.
	Progress func(service string, p sched.Progress)
	Done     func(service string, d sched.Done)
	// Send sends a request to a backend server.
	Send func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error)
	// MayRetry decides on one more attempt after a failure.
	MayRetry func(f Failure) bool
	// HedgeAfter is how long a granted attempt may go without a first token
	// before a second one is made beside it, in milliseconds, 0 for never.
	HedgeAfter func(r sched.Request) clock.Millis
	// MayHedge takes one hedge from the budget for an attempt that was
	// granted at a time.
	MayHedge func(r sched.Request, granted clock.Millis) bool
	// FirstToken is told of each attempt's time to its first token.
	FirstToken func(r sched.Request, took clock.Millis)
	// Finished is told of each complete answer.
	Finished func(r sched.Request)

	// FirstTimeout is the longest wait for a backend server's first byte.
	FirstTimeout clock.Millis
	// ProgressTimeout is the longest silence within an answer.
	ProgressTimeout clock.Millis
	Clock           clock.Clock
	Count           *count.Set
	// Pool runs the attempts.
	Pool *ants.Pool
}

const (
	progressPeriod = 200 * clock.Millis(1)
	noteBuffer     = 64
)

// Step is what Next returns: a token, the end, or a refusal.
type Step struct {
	Event   events.Event
	End     bool
	Refusal *refuse.Refusal
	// Final is set where the backend server itself answered with an error
	// that is the caller's own, such as a prompt that is too long.
	Final *Final
}

// Final is a backend server's own error answer.
type Final struct {
	Status int
	Body   []byte
}

// Stream is one completion under way. It is not safe for concurrent use.
type Stream struct {
	relay  *Relay
	job    Job
	ctx    context.Context
	cancel context.CancelFunc
	notes  chan note
	live   map[int]*attempt
	made   int
	// fruitful is how many attempts were made when the last token came.
	fruitful  int
	winner    int
	delivered int
	// begun tells that an event has been returned, sent that a server may have
	// seen the request.
	begun bool
	sent  bool
	avoid []string
	hedge <-chan struct{}
	// granted is when the first attempt got its grant.
	granted clock.Millis
	over    bool
}

// Start begins the first attempt.
func (r *Relay) Start(ctx context.Context, j Job) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		relay:  r,
		job:    j,
		ctx:    ctx,
		cancel: cancel,
		notes:  make(chan note, noteBuffer),
		live:   map[int]*attempt{},
		winner: -1,
	}
	s.launch()
	return s
}

// Close cancels what is still under way.
func (s *Stream) Close() {
	s.cancel()
}

// Delivered is how many tokens Next has returned.
func (s *Stream) Delivered() int {
	return s.delivered
}

// launch starts one attempt that goes on after the tokens delivered so far.
func (s *Stream) launch() {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{
		stream: s,
		number: s.made,
		offset: s.delivered,
		ctx:    ctx,
		cancel: cancel,
		avoid:  append([]string(nil), s.avoid...),
	}
	s.made++
	s.live[a.number] = a
	if err := s.relay.Pool.Submit(a.run); err != nil {
		go a.fail(note{kind: noteRefused, refusal: refuse.New(refuse.ReasonTooManyOpen)})
	}
}

// Next waits for the next step. After a step with End, Refusal or Final there
// is nothing more.
func (s *Stream) Next() Step {
	if s.over {
		return Step{End: true}
	}
	for {
		select {
		case <-s.ctx.Done():
			return s.finish(Step{Refusal: refuse.New(refuse.ReasonCallerGone)})
		case <-s.hedge:
			s.hedge = nil
			s.tryHedge()
		case n := <-s.notes:
			if step, ready := s.take(n); ready {
				return step
			}
		}
	}
}

func (s *Stream) finish(step Step) Step {
	s.over = true
	s.cancel()
	return step
}

// tryHedge starts a second attempt where the first has brought nothing yet.
func (s *Stream) tryHedge() {
	if s.winner >= 0 || len(s.live) != 1 {
		return
	}
	if !s.relay.MayHedge(s.job.Request, s.granted) {
		s.count("siskinsaddle_hedges_total", "Denied")
		return
	}
	s.count("siskinsaddle_hedges_total", "Sent")
	s.launch()
}

func (s *Stream) count(name, reason string) {
	s.relay.Count.Add(name, 1,
		count.Label{Key: "reason", Value: reason},
		count.Label{Key: "class", Value: s.job.Request.Class})
}

// take handles one note. It returns false where the caller has nothing to see
// yet.
func (s *Stream) take(n note) (Step, bool) {
	if _, ok := s.live[n.attempt]; !ok {
		return Step{}, false
	}
	s.sent = s.sent || n.sent
	return noteHandlers[n.kind](s, n)
}

var noteHandlers = map[noteKind]func(*Stream, note) (Step, bool){
	noteGranted: (*Stream).takeGranted,
	noteEvent:   (*Stream).takeEvent,
	noteEnd:     (*Stream).takeEnd,
	noteFinal:   (*Stream).takeFinal,
	noteRefused: (*Stream).takeRefused,
	noteFailed:  (*Stream).takeFailed,
}

// takeGranted starts the wait for a hedge with the first grant. The server is
// avoided by every later attempt.
func (s *Stream) takeGranted(n note) (Step, bool) {
	s.avoid = append(s.avoid, n.server)
	if n.attempt > 0 {
		return Step{}, false
	}
	s.granted = s.relay.Clock.Now()
	if after := s.relay.HedgeAfter(s.job.Request); after > 0 {
		s.hedge = s.relay.Clock.After(after)
	}
	return Step{}, false
}

func (s *Stream) takeEvent(n note) (Step, bool) {
	if s.winner != n.attempt {
		s.win(n.attempt)
	}
	s.begun = true
	s.delivered += n.event.Tokens
	if n.event.Tokens > 0 {
		s.fruitful = s.made
	}
	return Step{Event: n.event}, true
}

// win makes an attempt the only one and cancels the others.
func (s *Stream) win(number int) {
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

func (s *Stream) takeEnd(n note) (Step, bool) {
	if s.winner != n.attempt {
		s.win(n.attempt)
	}
	s.relay.Finished(s.job.Request)
	return s.finish(Step{End: true}), true
}

// takeFinal passes a server's own error on. Once the caller has a part of the
// answer, an error is no answer any more, but a failure like any other.
func (s *Stream) takeFinal(n note) (Step, bool) {
	if s.begun {
		n.cause = CauseServerError
		return s.takeFailed(n)
	}
	return s.finish(Step{Final: n.final}), true
}

func (s *Stream) takeRefused(n note) (Step, bool) {
	delete(s.live, n.attempt)
	if len(s.live) > 0 {
		return Step{}, false
	}
	return s.finish(Step{Refusal: n.refusal.AfterSending(s.sent)}), true
}

// takeFailed decides what follows a failed attempt: another attempt that goes
// on at the offset, or the end.
func (s *Stream) takeFailed(n note) (Step, bool) {
	delete(s.live, n.attempt)
	s.count("siskinsaddle_attempt_failures_total", string(n.cause))
	if len(s.live) > 0 {
		return Step{}, false
	}
	failure := Failure{
		Cause:      n.cause,
		Class:      s.job.Request.Class,
		Server:     n.server,
		Attempt:    s.made - s.fruitful,
		Delivered:  s.delivered,
		GiveUp:     s.job.Request.GiveUp,
		Sent:       n.sentAs,
		Repeatable: true,
	}
	if s.relay.MayRetry(failure) {
		s.count(retryCounter(s.delivered), string(n.cause))
		s.winner = -1
		s.launch()
		return Step{}, false
	}
	refusal := refuse.New(refuse.ReasonBackendFailed).WithText("attempt %d failed: %s", s.made, n.cause)
	if !s.sent {
		refusal = refuse.New(refuse.ReasonBackendRefused)
	}
	return s.finish(Step{Refusal: refusal}), true
}

// retryCounter tells a resume, after tokens reached the caller, from a retry.
func retryCounter(delivered int) string {
	if delivered > 0 {
		return "siskinsaddle_resumes_total"
	}
	return "siskinsaddle_retries_total"
}

// attemptID names an attempt towards the scheduler.
func attemptID(request string, number int) string {
	return request + "." + strconv.Itoa(number)
}
