package proxy

import (
	"context"
	"strconv"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/httpd"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// job is the state of one request from its arrival to its response.
type job struct {
	proxy     *Proxy
	request   *httpd.Request
	writer    *httpd.ResponseWriter
	id        string
	callerCtx context.Context

	route     route.Route
	service   string
	workspace string
	tier      int
	place     place.Job
	// manifestVersion is the version of the manifest at arrival.
	manifestVersion int64
	// manifestAge is the age of the manifest's confirmation at arrival, in milliseconds.
	manifestAge clock.Millis
	// arrived and deadline are readings of Clock.Now. The complete response is
	// sent by the deadline.
	arrived  clock.Millis
	deadline clock.Millis

	// sends is the number of attempts of which the server may have received some
	// bytes.
	sends int
	// mayHaveRun is set once a server may have begun to run the request, broken once a
	// connection ended before the answer did.
	mayHaveRun bool
	broken     bool
	// buffered is the number of bytes reserved for responses that were read whole.
	buffered int
	// serverError is a server's error response, which the caller gets if no further
	// attempt succeeds.
	serverError *bufferedResponse
	// headerSent is set once the header of a stream was sent to the caller, with
	// streamStatus and the media type streamType. lastEvent is the ID of the last event
	// sent.
	headerSent   bool
	streamStatus int
	streamType   string
	lastEvent    string
	firstByteAt  clock.Millis
	// quarantinedSegment is the segment for which the prompt is refused.
	quarantinedSegment string
	// watched is the ID of the current attempt for Proxy.Guard, "" if a keeper watches
	// it. watchedAttempts counts the attempts that this host watches.
	watched         string
	watchedAttempts int
	// grant is the ID of the grant of the current attempt, "" if there is none.
	grant string
	// decision is the keeper's last decision.
	decision      grant.Decision
	grantRequests int
	placedBy      string
	// waited is the sum of Decision.Waited over all grant requests, grantTime the time
	// until the decisions as this host measured it, and startDelay the StartDelay of
	// the last decision.
	waited     clock.Millis
	grantTime  clock.Millis
	startDelay clock.Millis
	server     string
	// lastEventAt is the time at which the last event was forwarded, longestPause the
	// longest pause between two events.
	lastEventAt  clock.Millis
	longestPause clock.Millis
}

// bufferedResponse is a response of a server that was read to its end.
type bufferedResponse struct {
	status  int
	headers []wire.Header
	body    []byte
	// endUnmarked is set if nothing tells whether the body is complete.
	endUnmarked bool
}

// result is the result of one attempt.
type result struct {
	outcome place.Outcome
	// served is set if the caller got the final response.
	served bool
	// final is set if no further attempt is made.
	final bool
	// sent is how much of the request the server may have received. It is
	// SentNothing if the server states that it did not run the request.
	sent retry.Sent
	// cause names the failure in metrics and log lines.
	cause string
}

// whole reports whether the response was read to an end that its server marked.
func (r result) whole() bool {
	switch r.outcome {
	case place.OutcomeServed, place.OutcomeFailed, place.OutcomeFull:
		return true
	default:
		return false
	}
}

// run makes attempts until the caller has a response or has disconnected.
func (j *job) run(ctx context.Context) {
	for {
		choice, refusal := j.choose(ctx)
		if j.callerCtx.Err() != nil {
			j.recordEnd("CallerGone", "Waiting")
			return
		}
		if refusal != nil {
			j.respondUnplaced(string(refusal.Reason), refusal, refuse.New(refuse.ReasonBackendFailed))
			return
		}
		r := j.attempt(ctx, choice)
		if r.served {
			j.recordEnd("Served", r.cause)
			return
		}
		if j.callerCtx.Err() != nil || j.writer.Broken() {
			j.recordEnd("CallerGone", r.cause)
			return
		}
		if r.sent != retry.SentNothing {
			j.mayHaveRun = true
		}
		if j.proxy.ending.Err() != nil {
			j.respondUnplaced(string(refuse.ReasonHostStopped), refuse.New(refuse.ReasonStopping).WithRetryAfter(minRetryAfter),
				refuse.New(refuse.ReasonHostStopped))
			return
		}
		if r.final {
			j.respondFailed(retry.ActionBreakOff, r)
			return
		}
		if !j.handleFailure(r) {
			return
		}
	}
}

// handleFailure applies the rules of package retry to a failed attempt. It returns true if
// another attempt is to be made; otherwise it has responded to the caller.
func (j *job) handleFailure(r result) bool {
	now := j.proxy.Clock.Now()
	facts := retry.Facts{
		MayRepeat:     j.route.Repeatable(),
		Sent:          r.sent,
		ReachedCaller: j.headerSent,
		Resumable:     j.route.Resumable,
	}
	if j.mayHaveRun && r.sent == retry.SentNothing {
		// An earlier attempt may have run.
		facts.Sent = retry.SentWhole
	}
	rule := retry.Decide(facts)
	action := rule.Action
	if action.Sends() && !j.mayRepeat(now, r) {
		action = rule.Otherwise
	}
	if action.Sends() {
		j.log("Resending the request.", "rule", rule.Name, "cause", r.cause, "server", j.server)
		j.proxy.Count.Add(meter.Resends, 1, meter.Label("rule", rule.Name), meter.Label("cause", r.cause))
		return true
	}
	j.respondFailed(action, r)
	return false
}

// mayRepeat reports whether the deadline, the route's maximum number of servers and
// the budget of repeats allow another attempt. If they do, it takes a repeat from the
// budget unless the server was unreachable.
func (j *job) mayRepeat(now clock.Millis, r result) bool {
	if now+minTimeLeft >= j.deadline {
		return false
	}
	if r.outcome == place.OutcomeUnreachable {
		// Nothing was sent, so the attempt counts neither as a server nor as a
		// repeat.
		return len(j.place.Avoid) < maxDials
	}
	if j.sends >= j.route.MaxServers {
		return false
	}
	hosts := j.proxy.Hosts()
	j.proxy.mu.Lock()
	allowed := j.proxy.Repeats.Take(now, j.service, hosts)
	j.proxy.mu.Unlock()
	if !allowed {
		j.log("No repeat is left for the service.", "service", j.service, "hosts", hosts, "cause", r.cause, "server", j.server)
	}
	return allowed
}

const (
	// minTimeLeft is the minimum time left for another attempt, in milliseconds:
	// about the shortest duration of a plain call.
	minTimeLeft = 30 * clock.Millis(1)
	// maxDials bounds the servers that are tried if none can be reached.
	maxDials = 4
)

// respondFailed sends the final response after a failed attempt that is not repeated.
func (j *job) respondFailed(action retry.Action, r result) {
	switch {
	case action == retry.ActionBreakOff || j.headerSent:
		j.writer.Abort()
		j.recordEnd("BrokenOff", r.cause)
	case j.serverError != nil:
		j.deliver(*j.serverError)
		j.recordEnd("ServerFailed", r.cause)
	case action == retry.ActionRefuseNotRun && !j.mayHaveRun:
		reason, wait := refuse.ReasonFull, fullWait
		if r.outcome == place.OutcomeUnreachable {
			reason, wait = refuse.ReasonNoServer, noServerWait
		}
		j.refuse(refuse.New(reason).WithRetryAfter(wait))
	case j.proxy.Clock.Now()+minTimeLeft >= j.deadline:
		j.refuse(refuse.New(refuse.ReasonTimedOut))
	default:
		j.refuse(refuse.New(refuse.ReasonBackendFailed))
	}
}

// respondUnplaced ends a request that gets no further attempt, with one of two refusals:
// neverRan, or mayHaveRun if an earlier attempt may have run.
func (j *job) respondUnplaced(cause string, neverRan, mayHaveRun *refuse.Refusal) {
	switch {
	case j.headerSent:
		j.writer.Abort()
		j.recordEnd("BrokenOff", cause)
	case j.serverError != nil:
		j.deliver(*j.serverError)
		j.recordEnd("ServerFailed", cause)
	case j.mayHaveRun:
		j.refuse(mayHaveRun)
	default:
		j.refuse(neverRan)
	}
}

func (j *job) deliver(w bufferedResponse) {
	if w.endUnmarked {
		j.writer.EndWithConnection()
	}
	j.writer.Whole(w.status, w.headers, w.body)
}

// refuse sends a refusal to the caller and logs it.
func (j *job) refuse(r *refuse.Refusal) {
	switch r.Reason {
	case refuse.ReasonUnconfirmed, refuse.ReasonNotReady, refuse.ReasonStopping, refuse.ReasonHostStopped:
		// With a new connection the caller can reach another host.
		j.writer.CloseAfter()
	}
	j.writer.Refuse(r)
	j.proxy.Count.Add(meter.Refused, 1, meter.Label("reason", string(r.Reason)), meter.Label("route", j.route.Name))
	j.recordEnd("Refused", string(r.Reason))
}

// recordEnd updates the metrics and writes the log line of a finished request.
func (j *job) recordEnd(outcome, cause string) {
	now := j.proxy.Clock.Now()
	first := clock.Millis(-1)
	if j.firstByteAt > 0 {
		first = j.firstByteAt - j.arrived
	}
	route := meter.Label("route", j.route.Name)
	j.proxy.Count.Add(meter.Requests, 1, meter.Label("outcome", outcome), route)
	if first >= 0 {
		j.proxy.Count.Observe(meter.FirstEvent, int64(first), route)
		j.proxy.Count.Observe(meter.WholeAnswer, int64(now-j.arrived), route)
	}
	if j.grantRequests > 0 {
		j.proxy.Count.Observe(meter.QueueTime, int64(j.waited), route)
		j.proxy.Count.Observe(meter.GrantTime, int64(j.grantTime), route)
	}
	if j.longestPause > 0 {
		j.proxy.Count.Observe(meter.LongestPause, int64(j.longestPause), route)
	}
	fields := make([]any, 0, maxLogFields)
	fields = append(fields, "id", j.id, "outcome", outcome, "route", j.route.Name, "tier", j.tier, "manifest", j.manifestVersion, "age", j.manifestAge,
		"sends", j.sends, "first", first, "took", now-j.arrived)
	// Empty fields are omitted, to save the time of formatting them.
	if cause != "" {
		fields = append(fields, "cause", cause)
	}
	if j.workspace != "" {
		fields = append(fields, "workspace", j.workspace)
	}
	if j.server != "" {
		fields = append(fields, "server", j.server, "placed", j.placedBy)
	}
	if j.grantRequests > 0 {
		fields = append(fields, "waited", j.waited, "granting", j.grantTime, "unread", j.startDelay, "tokens", j.place.Tokens, "cost", j.decision.Cost,
			"next", j.decision.Next, "nextCost", j.decision.NextCost, "queued", j.decision.OthersWaiting, "sign", j.decision.SinceLastEvent)
	}
	if j.longestPause > 0 {
		fields = append(fields, "pause", j.longestPause)
	}
	if j.quarantinedSegment != "" {
		fields = append(fields, "segment", j.quarantinedSegment)
	}
	if j.broken && len(j.place.Segments) > 0 {
		fields = append(fields, "segments", prefixNames(j.place.Segments))
	}
	j.proxy.Log.Info("Request ended.", fields...)
}

// maxLoggedSegments is the maximum number of segments in a log line.
const maxLoggedSegments = 8

// prefixNames returns the names of the prefix segments of a prompt, separated by commas.
func prefixNames(segments []place.Segment) string {
	prefix := place.PrefixSegments(segments)
	names := make([]string, 0, maxLoggedSegments)
	for _, s := range prefix[:min(len(prefix), maxLoggedSegments)] {
		names = append(names, s.Name)
	}
	return strings.Join(names, ",")
}

// maxLogFields is the maximum number of keys and values in that log line.
const maxLogFields = 50

// log writes a log line with the request's ID.
func (j *job) log(text string, fields ...any) {
	j.proxy.Log.Info(text, append([]any{"id", j.id}, fields...)...)
}

// headers returns the header fields of the request that is sent to a server.
func (j *job) headers(server string) []wire.Header {
	f := j.proxy.Fields
	list := make([]wire.Header, 0, len(j.request.Headers)+5)
	for _, h := range j.request.Headers {
		name := strings.ToLower(h.Name)
		if j.proxy.droppedRequestFields[name] || (j.lastEvent != "" && strings.EqualFold(h.Name, f.LastEvent)) {
			continue
		}
		list = append(list, h)
	}
	add := func(name, value string) {
		if name != "" && value != "" {
			list = append(list, wire.Header{Name: name, Value: value})
		}
	}
	add(f.Timeout, strconv.FormatInt(int64(max(j.deadline-j.proxy.Clock.Now(), 1)), 10))
	add(f.Server, server)
	add(f.Workspace, j.workspace)
	if j.route.Prompts {
		add(f.Urgency, strconv.Itoa(min(j.tier, lowestUrgency)))
	}
	if j.lastEvent != "" {
		add(f.LastEvent, j.lastEvent)
	}
	return list
}

// lowestUrgency is the last rank of urgency that servers know.
const lowestUrgency = 9
