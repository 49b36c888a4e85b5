package relay

import (
	"context"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/events"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// The headers that a backend server reads and echoes.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderLeaving      = "X-Leaving"
)

type noteKind string

const (
	noteGranted noteKind = "Granted"
	noteEvent   noteKind = "Event"
	noteEnd     noteKind = "End"
	noteFinal   noteKind = "Final"
	noteRefused noteKind = "Refused"
	noteFailed  noteKind = "Failed"
)

// note is what an attempt tells its stream.
type note struct {
	attempt int
	kind    noteKind
	event   events.Event
	refusal *refuse.Refusal
	final   *Final
	cause   Cause
	server  string
	// sent tells that something may have reached the backend server, sentAs
	// how much.
	sent   bool
	sentAs wire.Sent
}

// attempt is one try of a request.
type attempt struct {
	stream *Stream
	number int
	offset int
	ctx    context.Context
	cancel context.CancelFunc
	avoid  []string
	grant  Grant
	sent   wire.Sent

	tokens     int
	started    clock.Millis
	firstToken clock.Millis
	lastToken  clock.Millis
	lastReport clock.Millis
	reported   int
}

// run asks for a grant, sends the request and reads the answer. It gives the
// grant back whatever happens.
func (a *attempt) run() {
	defer a.cancel()
	defer a.recovered()
	request := a.stream.job.Request
	request.ID = attemptID(request.ID, a.number)
	request.Avoid = a.avoid
	request.Begun = a.offset > 0
	if a.offset > 0 {
		// A resumed attempt waits here, where it holds no slot yet.
		if refusal := a.allowed(); refusal != nil {
			a.fail(note{kind: noteRefused, refusal: refusal})
			return
		}
	}
	grant, refusal := a.stream.relay.Ask(a.ctx, request)
	if refusal != nil {
		a.fail(note{kind: noteRefused, refusal: refusal})
		return
	}
	a.grant = grant
	a.started = a.stream.relay.Clock.Now()
	a.firstToken = -1
	a.tell(note{kind: noteGranted})
	last := a.exchange()
	a.giveBack(last)
	a.fail(last)
}

// recovered ends an attempt that panicked as a failed one, so that its caller
// does not wait for a note that never comes and its slot is freed.
func (a *attempt) recovered() {
	if recover() == nil {
		return
	}
	last := note{kind: noteFailed, cause: CausePanic}
	if a.grant.ID != "" {
		a.sent = wire.SentMaybe
		a.giveBack(last)
	}
	a.fail(last)
}

// fail tells the stream how the attempt ended.
func (a *attempt) fail(n note) {
	a.tell(n)
}

// tell waits until the stream takes the note or the attempt is cancelled.
func (a *attempt) tell(n note) bool {
	n.attempt = a.number
	n.server = a.grant.Server
	n.sentAs = a.sent
	n.sent = a.sent != "" && a.sent != wire.SentNothing
	select {
	case a.stream.notes <- n:
		return true
	case <-a.ctx.Done():
		return false
	}
}

var outcomes = map[noteKind]sched.Outcome{
	noteEnd:   sched.OutcomeDone,
	noteFinal: sched.OutcomeDone,
}

var causeOutcomes = map[Cause]sched.Outcome{
	CauseUnreachable: sched.OutcomeUnreachable,
	CauseLeaving:     sched.OutcomeUnreachable,
	CauseSilent:      sched.OutcomeSilent,
	CauseNotLoaded:   sched.OutcomeCancelled,
}

// OutcomeOf is what the scheduler is told of a failure.
func OutcomeOf(c Cause) sched.Outcome {
	if o, ok := causeOutcomes[c]; ok {
		return o
	}
	return sched.OutcomeFailed
}

func (a *attempt) giveBack(last note) {
	outcome := outcomes[last.kind]
	if last.kind == noteFailed {
		outcome = OutcomeOf(last.cause)
	}
	if a.ctx.Err() != nil || last.kind == noteRefused {
		outcome = sched.OutcomeCancelled
	}
	a.stream.relay.Done(a.stream.job.Request.Service, sched.Done{Progress: a.progress(), Outcome: outcome})
}

const (
	// currentWait is how long a broken stream waits for its host to learn
	// whether its manifest is in force, currentPeriod the time between looks.
	currentWait   = 3 * clock.Second
	currentPeriod = 20 * clock.Millis(1)
)

// passing are the refusals that end once the host knows its manifest again, as
// after a pause of the process.
var passing = map[refuse.Reason]bool{
	refuse.ReasonNotReady:  true,
	refuse.ReasonUncertain: true,
}

// allowed tells whether the request may be sent. A first attempt is refused at
// once, since nothing ran. The caller of a resumed one has a part of the
// answer already, so that it waits a while instead of breaking off.
func (a *attempt) allowed() *refuse.Refusal {
	now := a.stream.relay.Clock.Now
	until := now() + currentWait
	refusal := a.stream.job.Allowed()
	for refusal != nil && passing[refusal.Reason] && a.offset > 0 && now() < until {
		select {
		case <-a.ctx.Done():
			return refusal
		case <-a.stream.relay.Clock.After(currentPeriod):
		}
		refusal = a.stream.job.Allowed()
	}
	return refusal
}

// exchange sends the request and reads the answer to its end.
func (a *attempt) exchange() note {
	job := a.stream.job
	if refusal := a.allowed(); refusal != nil {
		return note{kind: noteRefused, refusal: refusal}
	}
	answer, sent, err := a.stream.relay.Send(a.ctx, wire.Request{
		Address:          a.grant.Address,
		Method:           "POST",
		Path:             job.Path,
		Headers:          a.headers(),
		Body:             job.Body,
		FirstByteTimeout: a.stream.relay.FirstTimeout,
		BeginTimeout:     a.beginTimeout(),
	})
	a.sent = sent
	if err != nil {
		return note{kind: noteFailed, cause: causeOf(err, sent)}
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	if n, ok := a.checkAnswer(answer); !ok {
		return n
	}
	begun := answer.Begun
	if begun == nil {
		begun = func() {}
	}
	return a.readAll(events.NewReader(answer.Body), begun)
}

// promptTokenWait is how much longer a backend server may be silent before its
// first token, for each token of the prompt that it has to read.
const promptTokenWait = 1 * clock.Millis(1)

// beginTimeout bounds the silence before the first token. A long prompt takes
// long to read, the more so on a slowed server, which may have sent the
// answer's header already; a short one is soon known to be lost.
func (a *attempt) beginTimeout() clock.Millis {
	r := a.stream.relay
	reading := clock.Millis(a.stream.job.Request.PromptTokens) * promptTokenWait
	return min(r.FirstTimeout, r.ProgressTimeout+reading)
}

func (a *attempt) headers() []wire.Header {
	job := a.stream.job
	h := []wire.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: HeaderRequestID, Value: job.Request.ID},
		{Name: HeaderPriority, Value: strconv.Itoa(job.Tier)},
	}
	if a.offset > 0 {
		h = append(h, wire.Header{Name: HeaderResumeOffset, Value: strconv.Itoa(a.offset)})
	}
	return h
}

func causeOf(err error, sent wire.Sent) Cause {
	if sent == wire.SentNothing {
		return CauseUnreachable
	}
	if errors.Is(err, wire.ErrSilent) {
		return CauseSilent
	}
	return CauseBroken
}

// The statuses of a backend server that are not the caller's doing.
const (
	statusNotFound = 404
	statusTooMany  = 429
)

// checkAnswer finds the answers that are not the stream that was asked for.
func (a *attempt) checkAnswer(answer wire.Answer) (note, bool) {
	id := answer.Header(HeaderRequestID)
	named := id != ""
	switch {
	case named && id != a.stream.job.Request.ID:
		return note{kind: noteFailed, cause: CauseCrossed}, false
	case answer.Header(HeaderLeaving) == "true":
		return note{kind: noteFailed, cause: CauseLeaving}, false
	case answer.Status >= 500:
		return note{kind: noteFailed, cause: CauseServerError}, false
	case answer.Status == statusNotFound:
		// The manifest offers the model, so it is this server that lacks it.
		return note{kind: noteFailed, cause: CauseNotLoaded}, false
	case answer.Status == statusTooMany:
		return note{kind: noteFailed, cause: CauseServerError}, false
	case answer.Status >= 400:
		return a.readFinal(answer), false
	case !named:
		return note{kind: noteFailed, cause: CauseCrossed}, false
	case a.offset > 0 && answer.Header(HeaderResumeOffset) != strconv.Itoa(a.offset):
		return note{kind: noteFailed, cause: CauseNoResume}, false
	}
	return note{}, true
}

const maxFinalBytes = 64 << 10

func (a *attempt) readFinal(answer wire.Answer) note {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxFinalBytes))
	if err != nil {
		return note{kind: noteFailed, cause: CauseBroken}
	}
	return note{kind: noteFinal, final: &Final{Status: answer.Status, Body: body}}
}

// readAll reads the answer to its end and calls begun after the first token.
func (a *attempt) readAll(r *events.Reader, begun func()) note {
	finished := false
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) && finished {
			return note{kind: noteEnd}
		}
		if err != nil {
			return note{kind: noteFailed, cause: causeOf(err, wire.SentAll)}
		}
		finished = finished || e.Finish != ""
		a.observe(e)
		if a.tokens > 0 {
			begun()
		}
		if a.repeats(e) {
			continue
		}
		if !a.tell(note{kind: noteEvent, event: e}) {
			return note{kind: noteFailed, cause: CauseBroken}
		}
	}
}

// repeats tells whether the caller has an event like this one already: the
// opening event of a resumed stream.
func (a *attempt) repeats(e events.Event) bool {
	return a.offset > 0 && e.Tokens == 0 && e.Finish == "" && e.Usage == nil
}

// observe keeps the timings and reports them once in each period.
func (a *attempt) observe(e events.Event) {
	if e.Tokens == 0 {
		return
	}
	now := a.stream.relay.Clock.Now()
	a.tokens += e.Tokens
	first := a.firstToken < 0
	if first {
		a.firstToken = now - a.started
		a.stream.relay.FirstToken(a.stream.job.Request, a.firstToken)
		a.lastReport = now
		a.reported = a.tokens
	}
	a.lastToken = now
	if first || now-a.lastReport >= progressPeriod {
		a.stream.relay.Progress(a.stream.job.Request.Service, a.progress())
		a.lastReport = now
		a.reported = a.tokens
	}
}

// progress counts the answer's tokens from its beginning, also on a resumed
// attempt, and gives the mean time between tokens since the last report.
func (a *attempt) progress() sched.Progress {
	p := sched.Progress{ID: a.grant.ID, Tokens: a.offset + a.tokens, FirstToken: a.firstToken}
	if since := a.tokens - a.reported; since > 0 {
		p.BetweenTokens = float64(a.lastToken-a.lastReport) / float64(since)
	}
	return p
}
