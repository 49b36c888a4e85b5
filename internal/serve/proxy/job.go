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

// job is one request on its way.
type job struct {
	pass    *Pass
	request *httpd.Request
	answer  *httpd.ResponseWriter
	id      string
	caller  context.Context

	route     route.Route
	service   string
	workspace string
	tier      int
	place     place.Job
	manifest  int64
	// age is that of the manifest's confirmation at arrival.
	age clock.Millis
	// arrived and until are readings of Clock.Now; the final answer is out by
	// until.
	arrived clock.Millis
	until   clock.Millis

	// tried are the servers that the request was sent to, sends their number.
	sends int
	// ran tells that a server may have begun to work on the request.
	ran bool
	// kept is a failure that a server answered, for the caller if nothing
	// better comes.
	kept *whole
	// begun tells that the caller has the header of a stream, lastEvent which
	// event came last.
	begun     bool
	lastEvent string
	firstAt   clock.Millis
	// grant is the ask that a keeper granted for the attempt, "" for none.
	grant string
	// granted is the keeper's last decision.
	granted grant.Decision
	asks    int
	reason  string
	waited  clock.Millis
	unread  clock.Millis
	server  string
	// eventAt is when the last event was passed on, longest the longest pause
	// between two.
	eventAt clock.Millis
	longest clock.Millis
}

// whole is a complete answer of a server.
type whole struct {
	status  int
	headers []wire.Header
	body    []byte
}

// result is how an attempt ended.
type result struct {
	outcome place.Outcome
	// served tells that the caller has the final answer.
	served bool
	// sent is how much the server may have seen. A server's own word that it
	// did not run the request makes it SentNothing.
	sent  retry.Sent
	cause string
}

// run makes attempts until the caller has an answer.
func (j *job) run(ctx context.Context) {
	for {
		choice, refusal := j.choose(ctx)
		if j.caller.Err() != nil {
			j.end("CallerGone", "Waiting")
			return
		}
		if refusal != nil {
			j.giveUp(string(refusal.Reason), refusal)
			return
		}
		r := j.attempt(ctx, choice)
		if r.served {
			j.end("Served", "")
			return
		}
		if j.caller.Err() != nil || j.answer.Broken() {
			j.end("CallerGone", r.cause)
			return
		}
		if r.sent != retry.SentNothing {
			j.ran = true
		}
		if !j.again(r) {
			return
		}
	}
}

// again decides what follows a failed attempt, and tells the caller unless it
// is another attempt.
func (j *job) again(r result) bool {
	now := j.pass.Clock.Now()
	facts := retry.Facts{
		MayRepeat:     j.route.Repeatable(),
		Sent:          r.sent,
		ReachedCaller: j.begun,
		Resumable:     j.route.Resumable,
	}
	if j.ran && r.sent == retry.SentNothing {
		// An earlier attempt may have run.
		facts.Sent = retry.SentWhole
	}
	rule := retry.Decide(facts)
	action := rule.Action
	if action.Sends() && !j.mayResend(now, r) {
		action = rule.Otherwise
	}
	if action.Sends() {
		j.log("Sends again.", "rule", rule.Name, "cause", r.cause, "server", j.server)
		j.pass.Count.Add(meter.Resends, 1, meter.Label("rule", rule.Name), meter.Label("cause", r.cause))
		return true
	}
	j.finish(action, r)
	return false
}

// mayResend tells whether time, the route's number of servers and the budget of
// repeats allow another attempt.
func (j *job) mayResend(now clock.Millis, r result) bool {
	if now+leastLeft >= j.until {
		return false
	}
	if r.outcome == place.OutcomeUnreachable {
		// Nothing arrived, so that this costs neither a server nor the budget.
		return len(j.place.Avoid) < maxDials
	}
	if j.sends >= j.route.MaxServers {
		return false
	}
	hosts := j.pass.Hosts()
	j.pass.mu.Lock()
	paid := j.pass.Repeats.Take(now, j.service, hosts)
	j.pass.mu.Unlock()
	if !paid {
		j.log("No repeat is left for the service.", "service", j.service, "hosts", hosts, "cause", r.cause, "server", j.server)
	}
	return paid
}

const (
	// leastLeft is the time below which another attempt cannot be served, in
	// milliseconds: about the shortest work of a plain call.
	leastLeft = 30 * clock.Millis(1)
	// maxDials bounds the servers that a request tries to reach.
	maxDials = 4
)

// finish gives the caller the final word after a failed attempt.
func (j *job) finish(action retry.Action, r result) {
	switch {
	case action == retry.ActionBreakOff || j.begun:
		j.answer.Abort()
		j.end("BrokenOff", r.cause)
	case j.kept != nil:
		j.deliver(*j.kept)
		j.end("ServerFailed", r.cause)
	case action == retry.ActionRefuseNotRun && !j.ran:
		reason, wait := refuse.ReasonFull, fullWait
		if r.outcome == place.OutcomeUnreachable {
			reason, wait = refuse.ReasonNoServer, noServerWait
		}
		j.refuse(refuse.New(reason).WithRetryAfter(wait))
	case j.pass.Clock.Now()+leastLeft >= j.until:
		j.refuse(refuse.New(refuse.ReasonTimedOut))
	default:
		j.refuse(refuse.New(refuse.ReasonBackendFailed))
	}
}

// giveUp refuses a request for which there is no server (left). After an
// attempt that may have run, it says so.
func (j *job) giveUp(cause string, refusal *refuse.Refusal) {
	switch {
	case j.begun:
		j.answer.Abort()
		j.end("BrokenOff", cause)
	case j.kept != nil:
		j.deliver(*j.kept)
		j.end("ServerFailed", cause)
	case j.ran:
		j.refuse(refuse.New(refuse.ReasonBackendFailed))
	default:
		j.refuse(refusal)
	}
}

func (j *job) deliver(w whole) {
	j.answer.Whole(w.status, w.headers, w.body)
}

// refuse answers with a refusal and logs it.
func (j *job) refuse(r *refuse.Refusal) {
	if r.Reason == refuse.ReasonUnconfirmed || r.Reason == refuse.ReasonNotReady {
		// The caller reaches another host over a new connection.
		j.answer.CloseAfter()
	}
	j.answer.Refuse(r)
	j.pass.Count.Add(meter.Refused, 1, meter.Label("reason", string(r.Reason)), meter.Label("route", j.route.Name))
	j.end("Refused", string(r.Reason))
}

// end writes the one line that every request leaves.
func (j *job) end(outcome, cause string) {
	now := j.pass.Clock.Now()
	first := clock.Millis(-1)
	if j.firstAt > 0 {
		first = j.firstAt - j.arrived
	}
	route := meter.Label("route", j.route.Name)
	j.pass.Count.Add(meter.Requests, 1, meter.Label("outcome", outcome), route)
	if first >= 0 {
		j.pass.Count.Observe(meter.FirstEvent, int64(first), route)
		j.pass.Count.Observe(meter.WholeAnswer, int64(now-j.arrived), route)
	}
	if j.asks > 0 {
		j.pass.Count.Observe(meter.QueueTime, int64(j.waited), route)
	}
	if j.longest > 0 {
		j.pass.Count.Observe(meter.LongestPause, int64(j.longest), route)
	}
	fields := make([]any, 0, mostFields)
	fields = append(fields, "id", j.id, "outcome", outcome, "route", j.route.Name, "tier", j.tier, "manifest", j.manifest, "age", j.age,
		"sends", j.sends, "first", first, "took", now-j.arrived)
	// What says nothing is left out: each field has its cost.
	if cause != "" {
		fields = append(fields, "cause", cause)
	}
	if j.workspace != "" {
		fields = append(fields, "workspace", j.workspace)
	}
	if j.server != "" {
		fields = append(fields, "server", j.server, "placed", j.reason)
	}
	if j.asks > 0 {
		fields = append(fields, "waited", j.waited, "unread", j.unread, "tokens", j.place.Tokens, "cost", j.granted.Cost,
			"next", j.granted.Next, "nextCost", j.granted.NextCost, "queued", j.granted.OthersWaiting, "sign", j.granted.SinceLastEvent)
	}
	if j.longest > 0 {
		fields = append(fields, "pause", j.longest)
	}
	j.pass.Log.Info("Request ended.", fields...)
}

// mostFields is the number of names and values in a request's last line.
const mostFields = 48

func (j *job) log(text string, fields ...any) {
	j.pass.Log.Info(text, append([]any{"id", j.id}, fields...)...)
}

// headers are the fields of the request as a server gets them.
func (j *job) headers(server string) []wire.Header {
	f := j.pass.Fields
	list := make([]wire.Header, 0, len(j.request.Headers)+5)
	for _, h := range j.request.Headers {
		name := strings.ToLower(h.Name)
		if j.pass.dropped[name] || (j.lastEvent != "" && strings.EqualFold(h.Name, f.LastEvent)) {
			continue
		}
		list = append(list, h)
	}
	add := func(name, value string) {
		if name != "" && value != "" {
			list = append(list, wire.Header{Name: name, Value: value})
		}
	}
	add(f.TimeLeft, strconv.FormatInt(int64(max(j.until-j.pass.Clock.Now(), 1)), 10))
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

// lowestUrgency is the last rank that servers know.
const lowestUrgency = 9
