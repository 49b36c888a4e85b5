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

// Headers of the protocol between the router and backend servers.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderLeaving      = "X-Leaving"
)

type updateKind string

const (
	updateGranted updateKind = "Granted"
	updateEvent   updateKind = "Event"
	updateEnd     updateKind = "End"
	updateFinal   updateKind = "Final"
	updateRefused updateKind = "Refused"
	updateFailed  updateKind = "Failed"
)

// update is a message from an attempt to its stream.
type update struct {
	attempt int
	kind    updateKind
	event   events.Event
	refusal *refuse.Refusal
	final   *Final
	cause   Cause
	server  string
	// sent reports whether any of the request may have reached the backend
	// server, sentExtent how much.
	sent       bool
	sentExtent wire.Sent
}

// attempt is one attempt at a request, with its own grant.
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

// run requests a grant, sends the request and reads the response. It releases the
// grant in every case.
func (a *attempt) run() {
	defer a.cancel()
	defer a.recoverPanic()
	request := a.stream.job.Request
	request.ID = attemptID(request.ID, a.number)
	request.Avoid = a.avoid
	request.Begun = a.offset > 0
	if a.offset > 0 {
		// A resumed attempt waits for the manifest here, before it holds a slot.
		if refusal := a.checkAllowed(); refusal != nil {
			a.finish(update{kind: updateRefused, refusal: refusal})
			return
		}
	}
	grant, refusal := a.stream.relay.RequestGrant(a.ctx, request)
	if refusal != nil {
		a.finish(update{kind: updateRefused, refusal: refusal})
		return
	}
	a.grant = grant
	a.started = a.stream.relay.Clock.Now()
	a.firstToken = -1
	a.publish(update{kind: updateGranted})
	last := a.roundTrip()
	a.release(last)
	a.finish(last)
}

// recoverPanic turns a panic into a failed attempt. Without it the caller would
// wait for an update that never comes, and the slot would stay taken.
func (a *attempt) recoverPanic() {
	if recover() == nil {
		return
	}
	last := update{kind: updateFailed, cause: CausePanic}
	if a.grant.ID != "" {
		a.sent = wire.SentMaybe
		a.release(last)
	}
	a.finish(last)
}

// finish sends the last update of the attempt.
func (a *attempt) finish(u update) {
	a.publish(u)
}

// publish sends an update to the stream. It blocks until the stream accepts the
// update, and returns false if the attempt is cancelled first.
func (a *attempt) publish(u update) bool {
	u.attempt = a.number
	u.server = a.grant.Server
	u.sentExtent = a.sent
	u.sent = a.sent != "" && a.sent != wire.SentNothing
	select {
	case a.stream.updates <- u:
		return true
	case <-a.ctx.Done():
		return false
	}
}

var outcomes = map[updateKind]sched.Outcome{
	updateEnd:   sched.OutcomeDone,
	updateFinal: sched.OutcomeDone,
}

var causeOutcomes = map[Cause]sched.Outcome{
	CauseUnreachable: sched.OutcomeUnreachable,
	CauseLeaving:     sched.OutcomeUnreachable,
	CauseSilent:      sched.OutcomeSilent,
	CauseNotLoaded:   sched.OutcomeCancelled,
}

// OutcomeOf returns the outcome that the scheduler records for a failure.
func OutcomeOf(c Cause) sched.Outcome {
	if o, ok := causeOutcomes[c]; ok {
		return o
	}
	return sched.OutcomeFailed
}

// release reports the outcome to the scheduler, which frees the slot.
func (a *attempt) release(last update) {
	outcome := outcomes[last.kind]
	if last.kind == updateFailed {
		outcome = OutcomeOf(last.cause)
	}
	if a.ctx.Err() != nil || last.kind == updateRefused {
		outcome = sched.OutcomeCancelled
	}
	a.stream.relay.Done(a.stream.job.Request.Service, sched.Done{Progress: a.progress(), Outcome: outcome})
}

const (
	// manifestWait limits how long a broken stream waits until its host knows
	// which manifest is in force; manifestPollPeriod is the time between checks.
	manifestWait       = 3 * clock.Second
	manifestPollPeriod = 20 * clock.Millis(1)
)

// transientReasons are the refusals that stop once the host again knows which
// manifest is in force, for example after a pause of the process.
var transientReasons = map[refuse.Reason]bool{
	refuse.ReasonNotReady:          true,
	refuse.ReasonManifestUncertain: true,
}

// checkAllowed returns a refusal if the request may not be sent. A first attempt
// is refused at once, since nothing ran. A resumed attempt waits up to
// manifestWait for a transient refusal to clear, because its caller already has
// part of the response.
func (a *attempt) checkAllowed() *refuse.Refusal {
	now := a.stream.relay.Clock.Now
	deadline := now() + manifestWait
	refusal := a.stream.job.Allowed()
	for refusal != nil && transientReasons[refusal.Reason] && a.offset > 0 && now() < deadline {
		select {
		case <-a.ctx.Done():
			return refusal
		case <-a.stream.relay.Clock.After(manifestPollPeriod):
		}
		refusal = a.stream.job.Allowed()
	}
	return refusal
}

// roundTrip sends the request and reads the response to its end.
func (a *attempt) roundTrip() update {
	job := a.stream.job
	if refusal := a.checkAllowed(); refusal != nil {
		return update{kind: updateRefused, refusal: refusal}
	}
	answer, sent, err := a.stream.relay.Send(a.ctx, wire.Request{
		Address:          a.grant.Address,
		Server:           a.grant.Server,
		Method:           "POST",
		Path:             job.Path,
		Headers:          a.headers(),
		Body:             job.Body,
		HeaderTimeout:    a.stream.relay.FirstTimeout,
		BodyBeginTimeout: a.firstTokenTimeout(),
	})
	a.sent = sent
	if err != nil {
		return update{kind: updateFailed, cause: causeOf(err, sent)}
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read, or the attempt has failed
	if u, ok := a.checkAnswer(answer); !ok {
		return u
	}
	onFirstToken := answer.BodyBegun
	if onFirstToken == nil {
		onFirstToken = func() {}
	}
	return a.readAll(events.NewReader(answer.Body), onFirstToken)
}

// prefillTimeoutPerToken extends the timeout for the first token by this much for
// each prompt token, in milliseconds.
const prefillTimeoutPerToken = 1 * clock.Millis(1)

// firstTokenTimeout limits the time without data before the first token. It grows
// with the prompt: the prefill of a long prompt takes long, especially on a slowed
// server, which may already have sent the response header. With a short prompt an
// unresponsive server is detected early.
func (a *attempt) firstTokenTimeout() clock.Millis {
	r := a.stream.relay
	prefill := clock.Millis(a.stream.job.Request.PromptTokens) * prefillTimeoutPerToken
	return min(r.FirstTimeout, r.ProgressTimeout+prefill)
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
	if errors.Is(err, wire.ErrUnresponsive) {
		return CauseSilent
	}
	return CauseBroken
}

// Client error statuses (4xx) of a backend server that the caller did not cause.
const (
	statusNotFound = 404
	statusTooMany  = 429
)

// checkAnswer checks the response header. It returns false, with the last update
// of the attempt, if the response is not the expected stream.
func (a *attempt) checkAnswer(answer wire.Response) (update, bool) {
	id := answer.Header(HeaderRequestID)
	hasID := id != ""
	switch {
	case hasID && id != a.stream.job.Request.ID:
		return update{kind: updateFailed, cause: CauseWrongRequestID}, false
	case answer.Header(HeaderLeaving) == "true":
		return update{kind: updateFailed, cause: CauseLeaving}, false
	case answer.Status >= 500:
		return update{kind: updateFailed, cause: CauseServerError}, false
	case answer.Status == statusNotFound:
		// The manifest offers the model, so this server has not loaded it.
		return update{kind: updateFailed, cause: CauseNotLoaded}, false
	case answer.Status == statusTooMany:
		return update{kind: updateFailed, cause: CauseServerError}, false
	case answer.Status >= 400:
		return a.readFinal(answer), false
	case !hasID:
		return update{kind: updateFailed, cause: CauseWrongRequestID}, false
	case a.offset > 0 && answer.Header(HeaderResumeOffset) != strconv.Itoa(a.offset):
		return update{kind: updateFailed, cause: CauseNoResume}, false
	}
	return update{}, true
}

// maxFinalBytes limits the body of an error response that is passed on. A server that
// sends more has failed.
const maxFinalBytes = 64 << 10

// readFinal reads an error response that is passed on to the caller.
func (a *attempt) readFinal(answer wire.Response) update {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxFinalBytes+1))
	if err != nil || len(body) > maxFinalBytes {
		return update{kind: updateFailed, cause: CauseBroken}
	}
	return update{kind: updateFinal, final: &Final{Status: answer.Status, Body: body}}
}

// readAll reads the response to its end and calls onFirstToken after each event
// from the first token on.
func (a *attempt) readAll(r *events.Reader, onFirstToken func()) update {
	finished := false
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) && finished {
			return update{kind: updateEnd}
		}
		if err != nil {
			return update{kind: updateFailed, cause: causeOf(err, wire.SentAll)}
		}
		finished = finished || e.Finish != ""
		a.recordTokens(e)
		if a.tokens > 0 {
			onFirstToken()
		}
		if a.isRepeatedOpening(e) {
			continue
		}
		if !a.publish(update{kind: updateEvent, event: e}) {
			return update{kind: updateFailed, cause: CauseBroken}
		}
	}
}

// isRepeatedOpening reports whether an event is the opening event of a resumed
// stream, which the caller already has.
func (a *attempt) isRepeatedOpening(e events.Event) bool {
	return a.offset > 0 && e.Tokens == 0 && e.Finish == "" && e.Usage == nil
}

// recordTokens updates the timings and reports progress with the first token and
// then at most once per progressPeriod.
func (a *attempt) recordTokens(e events.Event) {
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

// progress returns the token count from the start of the response, including the
// tokens before a resume, and the mean time between tokens since the last report.
func (a *attempt) progress() sched.Progress {
	p := sched.Progress{ID: a.grant.ID, Tokens: a.offset + a.tokens, FirstToken: a.firstToken}
	if unreported := a.tokens - a.reported; unreported > 0 {
		p.BetweenTokens = float64(a.lastToken-a.lastReport) / float64(unreported)
	}
	return p
}
