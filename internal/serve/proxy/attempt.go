package proxy

import (
	"context"
	"strconv"
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

// attempt sends the request to one server, forwards the response if it may, and
// records the outcome.
func (j *job) attempt(ctx context.Context, choice place.Choice) result {
	p := j.proxy
	j.server = choice.Server.ID
	j.place.Avoid = append(j.place.Avoid, choice.Server.ID)
	now := p.Clock.Now()
	p.mu.Lock()
	p.Placer.Sent(choice.Server)
	if j.sends == 0 && len(j.place.Avoid) == 1 {
		p.Repeats.Requested(now, j.service)
	}
	p.mu.Unlock()
	j.watch(choice)
	r := j.exchange(ctx, choice)
	if !r.served && (j.callerCtx.Err() != nil || p.ending.Err() != nil) {
		// This host has ended the attempt, not the server.
		r.outcome = place.OutcomeCancelled
	}
	j.broken = j.broken || r.outcome == place.OutcomeBroken
	p.mu.Lock()
	change := p.Placer.Ended(p.Clock.Now(), choice.Server, r.outcome)
	p.mu.Unlock()
	if change != place.ChangeNone {
		j.log("A server's health changed.", "server", choice.Server.ID, "change", string(change), "outcome", string(r.outcome))
	}
	p.Count.Add(meter.Attempts, 1, meter.Label("outcome", string(r.outcome)), meter.Label("server", choice.Server.ID))
	if j.grant != "" {
		p.Broker.Ended(j.grant, r.outcome)
		j.grant = ""
	}
	if j.watched != "" {
		p.Guard.Ended(j.service, j.watched, r.outcome)
		j.watched = ""
	}
	return r
}

// watch passes a prompt that no keeper granted to the guard.
func (j *job) watch(choice place.Choice) {
	if j.proxy.Guard == nil || j.grant != "" || len(j.place.Segments) == 0 {
		return
	}
	j.watchedAttempts++
	j.watched = j.id + "/" + strconv.Itoa(j.watchedAttempts)
	j.proxy.Guard.Granted(j.service, j.watched, choice.Server, j.place.Segments, j.deadline-j.proxy.Clock.Now())
}

// headerTimeout returns the timeout for the header of the response, in milliseconds.
// It is shorter than the time left only for a request that may run again, since no
// other gains by an early timeout.
func (j *job) headerTimeout() clock.Millis {
	left := max(j.deadline-j.proxy.Clock.Now(), 1)
	if !j.route.Repeatable() || j.sends+1 >= j.route.MaxServers {
		return left
	}
	return min(left, max(headerTargetFactor*j.route.Target, minHeaderTimeout))
}

const (
	// headerTargetFactor times the route's target is the header timeout of a
	// repeatable request. After it another server is tried.
	headerTargetFactor = 2
	// minHeaderTimeout is the minimum of that timeout for very short targets, in
	// milliseconds.
	minHeaderTimeout = 500 * clock.Millis(1)
)

// bodyTimeout returns the timeout for each read after the first event of the response, in
// milliseconds, 0 for the client's own. A server that has fallen silent is no reason to end
// an answer that cannot be continued elsewhere before its time is over.
func (j *job) bodyTimeout() clock.Millis {
	if j.route.Resumable {
		return 0
	}
	return max(j.deadline-j.proxy.Clock.Now(), 1)
}

// exchange sends the request to the chosen server and classifies the response.
func (j *job) exchange(ctx context.Context, choice place.Choice) result {
	r := j.request
	wait := j.headerTimeout()
	sentAt := j.proxy.Clock.Now()
	firstEventBy := sentAt + wait
	response, sent, err := j.proxy.Client.Do(ctx, wire.Request{
		Address:          choice.Server.Address,
		Server:           choice.Server.ID,
		Method:           r.Method,
		Path:             r.Path,
		Host:             r.Host,
		Headers:          j.headers(choice.Server.ID),
		Body:             r.Body,
		IDField:          j.proxy.Fields.RequestID,
		ID:               j.id,
		RequireID:        j.proxy.ServersIdentify,
		HeaderTimeout:    wait,
		BodyBeginTimeout: wait,
		BodyTimeout:      j.bodyTimeout(),
	})
	if sent != wire.SentNothing {
		j.sends++
	}
	if err != nil {
		return failedResult(err, sent)
	}
	defer func() { _ = response.Body.Close() }() // the response is complete or discarded
	if !response.Attributed && (j.statesNotRun(response) || promisesNotRun(response.Status)) {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: causeCrossed}
	}
	if response.Status == fasthttp.StatusMisdirectedRequest {
		// The server at this address is not the one in the Server field.
		return result{outcome: place.OutcomeMoved, sent: retry.SentNothing, cause: "Moved"}
	}
	j.observeNotices(choice, response)
	named := j.observeLimit(choice, response, sentAt)
	if j.lacksStamp(response) {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: causeUnstamped}
	}
	got := j.forward(response, firstEventBy)
	if !named && got.whole() {
		j.observeNoLimit(choice, sentAt)
	}
	return got
}

// causeCrossed is the cause of a response that belongs to another request, or may.
const causeCrossed = "Crossed"

// causeUnstamped is the cause of a success that nothing shows to come from the server.
const causeUnstamped = "Unstamped"

// lacksStamp reports whether a response is a success without the stamp that servers set.
func (j *job) lacksStamp(response wire.Response) bool {
	f := j.proxy.Fields.ServerStamp
	return j.proxy.ServersIdentify && f != "" && response.Status < fasthttp.StatusMultipleChoices && response.Header(f) == ""
}

// promisesNotRun reports whether callers take a status for the promise that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusMisdirectedRequest, fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		return true
	}
	return false
}

// statesNotRun reports whether a server states that it did not run the request. Its status
// alone, other than 421, does not.
func (j *job) statesNotRun(response wire.Response) bool {
	return response.Header(j.proxy.Fields.NotRun) != ""
}

// forward forwards a server's response to the caller if it may.
func (j *job) forward(response wire.Response, firstEventBy clock.Millis) result {
	if j.statesNotRun(response) {
		return result{outcome: place.OutcomeFull, sent: retry.SentNothing, cause: "NotRun"}
	}
	if j.headerSent && !j.continues(response) {
		return resumeFailed
	}
	if j.route.Kind == route.KindStream && response.Status < fasthttp.StatusMultipleChoices {
		return j.forwardStream(response, firstEventBy)
	}
	return j.forwardWhole(response)
}

// resumeFailed is the result of an attempt whose response does not continue the stream that
// the caller has a part of.
var resumeFailed = result{outcome: place.OutcomeFailed, sent: retry.SentWhole, cause: "ResumeFailed"}

// continues reports whether a response can go on with the stream whose header the caller got.
// An error can come with the status of a success, too.
func (j *job) continues(response wire.Response) bool {
	return response.Status == j.streamStatus && mediaType(response) == j.streamType
}

// mediaType returns the media type of a response in lower case, without its parameters.
func mediaType(response wire.Response) string {
	name, _, _ := strings.Cut(response.Header(fasthttp.HeaderContentType), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// failedResult returns the result of an attempt that ended with a transport error.
func failedResult(err error, sent wire.Sent) result {
	switch {
	case sent == wire.SentNothing:
		return result{outcome: place.OutcomeUnreachable, sent: retry.SentNothing, cause: "Unreachable"}
	case errors.Is(err, wire.ErrStray):
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: causeCrossed}
	case errors.Is(err, wire.ErrUnresponsive), errors.Is(err, context.DeadlineExceeded):
		return result{outcome: place.OutcomeSilent, sent: retry.SentWhole, cause: "Silent"}
	default:
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "Broken"}
	}
}

// maxBufferedBytes is the maximum length of a body that forwardWhole reads. A response
// with a longer one counts as broken, and so does one that finds no memory left.
const maxBufferedBytes = 8 << 20

// forwardWhole buffers the response, up to maxBufferedBytes, before forwarding it, so
// that the caller gets no part of one that breaks off. A server error is kept for the
// caller until another attempt succeeds, unless its status promises that the request has not
// run: the server may have run it.
func (j *job) forwardWhole(response wire.Response) result {
	headers := forwardedHeaders(response.Headers)
	unmarkedRefusal := promisesNotRun(response.Status)
	if unmarkedRefusal {
		j.log("A server refused a request without stating that it did not run; it counts as run.", "server", j.server, "status", response.Status)
	}
	if j.request.Method == fasthttp.MethodHead && unmarkedRefusal {
		return unmarkedRefusalResult
	}
	if j.request.Method == fasthttp.MethodHead {
		j.writer.WholeHead(response.Status, headers, response.Length)
		return result{outcome: place.OutcomeServed, served: true, sent: retry.SentWhole}
	}
	body, held, err := j.proxy.buffers.readAll(response.Body, maxBufferedBytes)
	j.buffered += held
	if errors.Is(err, errTooLong) {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "TooLong"}
	}
	if err != nil {
		return failedResult(err, wire.SentAll)
	}
	if response.Length >= 0 && len(body) != response.Length {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "Broken"}
	}
	if unmarkedRefusal {
		return unmarkedRefusalResult
	}
	w := bufferedResponse{status: response.Status, headers: headers, body: body, endUnmarked: response.EndUnmarked()}
	if response.Status >= fasthttp.StatusInternalServerError {
		j.serverError = &w
		return result{outcome: place.OutcomeFailed, sent: retry.SentWhole, cause: "ServerFailed"}
	}
	j.firstByteAt = j.proxy.Clock.Now()
	j.deliver(w)
	return servedResult(response)
}

// unmarkedRefusalResult is the result of an attempt whose server refused the request, but did
// not state that it has not run.
var unmarkedRefusalResult = result{outcome: place.OutcomeFailed, sent: retry.SentWhole, cause: "UnmarkedRefusal"}

// servedResult returns the result of an attempt whose answer was forwarded to its end.
func servedResult(response wire.Response) result {
	r := result{outcome: place.OutcomeServed, served: true, sent: retry.SentWhole}
	if response.EndUnmarked() {
		r.outcome, r.cause = place.OutcomeUnmarked, causeEndUnmarked
	}
	return r
}

// droppedResponseFields are the fields of a response that are not forwarded: the
// hop-by-hop ones and Content-Length, which is set anew.
var droppedResponseFields = map[string]bool{
	"connection":        true,
	"content-length":    true,
	"keep-alive":        true,
	"proxy-connection":  true,
	"trailer":           true,
	"transfer-encoding": true,
	"upgrade":           true,
}

// forwardedHeaders returns the header fields that are forwarded to the caller.
func forwardedHeaders(all []wire.Header) []wire.Header {
	list := make([]wire.Header, 0, len(all))
	for _, h := range all {
		if !droppedResponseFields[strings.ToLower(h.Name)] {
			list = append(list, h)
		}
	}
	return list
}
