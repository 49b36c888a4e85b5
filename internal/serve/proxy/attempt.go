package proxy

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/wire"
)

// attempt sends the request to one server and reads its answer.
func (j *job) attempt(ctx context.Context, choice place.Choice) result {
	p := j.pass
	j.server = choice.Server.ID
	j.place.Avoid = append(j.place.Avoid, choice.Server.ID)
	now := p.Clock.Now()
	p.mu.Lock()
	p.Placer.Sent(choice.Server)
	if j.sends == 0 && len(j.place.Avoid) == 1 {
		p.Repeats.Requested(now, j.service)
	}
	p.mu.Unlock()
	r := j.exchange(ctx, choice)
	if j.caller.Err() != nil && !r.served {
		r.outcome = place.OutcomeCancelled
	}
	p.mu.Lock()
	change := p.Placer.Ended(p.Clock.Now(), choice.Server, r.outcome)
	p.mu.Unlock()
	if change != place.ChangeNone {
		j.log("A server's health changed.", "server", choice.Server.ID, "change", string(change), "outcome", string(r.outcome))
	}
	p.Count.Add(meter.Attempts, 1, meter.Label("outcome", string(r.outcome)), meter.Label("server", choice.Server.ID))
	if j.grant != "" {
		p.Clerk.Ended(j.grant, r.outcome)
		j.grant = ""
	}
	return r
}

// silence is how long the server may be silent before its answer's first byte,
// in milliseconds. Only a request that may run again gains by giving up early.
func (j *job) silence() clock.Millis {
	left := max(j.until-j.pass.Clock.Now(), 1)
	if !j.route.Repeatable() || j.sends+1 >= j.route.MaxServers {
		return left
	}
	return min(left, max(silenceTargets*j.route.Target, leastSilence))
}

const (
	// silenceTargets is after how many targets without a byte a request that
	// may run again is sent to another server.
	silenceTargets = 2
	// leastSilence bounds that for very short targets, in milliseconds.
	leastSilence = 500 * clock.Millis(1)
)

func (j *job) exchange(ctx context.Context, choice place.Choice) result {
	r := j.request
	wait := j.silence()
	answer, sent, err := j.pass.Client.Do(ctx, wire.Request{
		Address:          choice.Server.Address,
		Method:           r.Method,
		Path:             r.Path,
		Host:             r.Host,
		Headers:          j.headers(choice.Server.ID),
		Body:             r.Body,
		FirstByteTimeout: wait,
		BeginTimeout:     wait,
	})
	if sent != wire.SentNothing {
		j.sends++
	}
	if err != nil {
		return failed(err, sent)
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	if id := answer.Header(j.pass.Fields.RequestID); id != "" && id != j.id {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "Crossed"}
	}
	if answer.Status == fasthttp.StatusMisdirectedRequest {
		return result{outcome: place.OutcomeMoved, sent: retry.SentNothing, cause: "Moved"}
	}
	if answer.Header(j.pass.Fields.NotRun) != "" {
		return result{outcome: place.OutcomeFull, sent: retry.SentNothing, cause: "NotRun"}
	}
	if j.route.Kind == route.KindStream && answer.Status < fasthttp.StatusMultipleChoices {
		return j.stream(answer)
	}
	if j.begun {
		return result{outcome: place.OutcomeFailed, sent: retry.SentWhole, cause: "ResumeFailed"}
	}
	return j.whole(answer)
}

// failed names an attempt without an answer.
func failed(err error, sent wire.Sent) result {
	switch {
	case sent == wire.SentNothing:
		return result{outcome: place.OutcomeUnreachable, sent: retry.SentNothing, cause: "Unreachable"}
	case errors.Is(err, wire.ErrSilent), errors.Is(err, context.DeadlineExceeded):
		return result{outcome: place.OutcomeSilent, sent: retry.SentWhole, cause: "Silent"}
	default:
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "Broken"}
	}
}

// maxWholeBytes bounds an answer that is read whole before it is passed on.
const maxWholeBytes = 8 << 20

// whole reads a complete answer and passes it on, so that one that breaks off
// never reaches the caller in part.
func (j *job) whole(answer wire.Answer) result {
	headers := passedOn(answer.Headers)
	if j.request.Method == fasthttp.MethodHead {
		j.answer.WholeHead(answer.Status, headers, answer.Length)
		return result{outcome: place.OutcomeServed, served: true, sent: retry.SentWhole}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes))
	if err != nil {
		return failed(err, wire.SentAll)
	}
	if answer.Length >= 0 && len(body) != answer.Length {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "Broken"}
	}
	w := whole{status: answer.Status, headers: headers, body: body}
	if answer.Status >= fasthttp.StatusInternalServerError {
		j.kept = &w
		return result{outcome: place.OutcomeFailed, sent: retry.SentWhole, cause: "ServerFailed"}
	}
	j.firstAt = j.pass.Clock.Now()
	j.deliver(w)
	return result{outcome: place.OutcomeServed, served: true, sent: retry.SentWhole}
}

// ownFields of a server's answer concern its connection, or its length, which
// is set anew.
var ownFields = map[string]bool{
	"connection":        true,
	"content-length":    true,
	"keep-alive":        true,
	"proxy-connection":  true,
	"trailer":           true,
	"transfer-encoding": true,
	"upgrade":           true,
}

func passedOn(all []wire.Header) []wire.Header {
	list := make([]wire.Header, 0, len(all))
	for _, h := range all {
		if !ownFields[strings.ToLower(h.Name)] {
			list = append(list, h)
		}
	}
	return list
}
