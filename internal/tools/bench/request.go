package bench

import (
	"fmt"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/policy/sched"
)

// ending is how a request ended for its caller.
type ending string

const (
	endingAnswered ending = "Answered"
	endingRefused  ending = "Refused"
	endingBroken   ending = "Broken"
)

// request is one job as run under one policy.
type request struct {
	*job
	simulation        *simulation
	number            int
	grantRequestCount int
	attempts          []*attempt
	// hedge is the grant request for a hedged attempt, nil if there is none.
	hedge *grantRequest
	// received is the number of tokens that have reached the entry host,
	// generated the number that the engines generated for the request.
	received       int
	generated      int
	first          clock.Millis
	last           clock.Millis
	tokenIntervals []clock.Millis
	served         bool
	ended          ending
	endedAt        clock.Millis
	reason         sched.Reason
}

func (r *request) arrive() {
	r.simulation.gapTracker.arrive(r.simulation.now, r)
	r.simulation.router.arrive(r)
}

// end ends the request. Later calls have no effect.
func (r *request) end(how ending, why sched.Reason) {
	if r.ended != "" {
		return
	}
	r.ended = how
	r.reason = why
	r.endedAt = r.simulation.now
	r.simulation.openRequests--
	r.simulation.gapTracker.end(r.simulation.now, r)
}

// firstToken returns the time from arrival to the first token at the entry host.
func (r *request) firstToken() clock.Millis { return r.first - r.at }

// betweenTokens returns the mean time between tokens in milliseconds, 0 for an
// output of a single token.
func (r *request) betweenTokens() float64 {
	if r.output < 2 {
		return 0
	}
	return float64(r.last-r.first) / float64(r.output-1)
}

// attained reports whether the complete response was within the class's targets.
func (r *request) attained() bool {
	return r.ended == endingAnswered &&
		r.firstToken() <= r.class.FirstTokenMilliseconds &&
		r.betweenTokens() <= float64(r.class.BetweenTokensMilliseconds)
}

func (r *request) waitDeadline() clock.Millis { return r.at + r.class.MaxWaitMilliseconds }

// attempt is one transmission of a request to a server. Tokens before offset are
// not sent again; first is -1 until the first token arrives.
type attempt struct {
	id           string
	grantRequest *grantRequest
	request      *request
	server       *server
	priority     int
	offset       int
	sent         clock.Millis
	first        clock.Millis
	last         clock.Millis
	tokens       int
	// lost is set once a partition has separated the host from the server.
	lost bool
	// finished is set once the entry host no longer reads from the attempt.
	finished bool
	// reported and reportedAt are the token count and time of the last
	// progress report.
	reported   int
	reportedAt clock.Millis
}

// send starts an attempt. With resume it continues after the tokens received so
// far, otherwise it starts from the beginning.
func (r *request) send(s *server, priority int, resume bool) *attempt {
	a := &attempt{
		id:       fmt.Sprintf("%s/%d", r.id, len(r.attempts)+1),
		request:  r,
		server:   s,
		priority: priority,
		sent:     r.simulation.now,
		first:    -1,
	}
	if resume {
		a.offset = r.received
	}
	r.attempts = append(r.attempts, a)
	r.simulation.running[r.hostPlace()] = append(r.simulation.running[r.hostPlace()], a)
	if r.simulation.partitioned(r.domain, s.domain) {
		r.simulation.after(connectTimeout, func() { a.fail(sched.OutcomeUnreachable) })
		return a
	}
	r.simulation.after(r.simulation.delay(r.domain, s.domain), func() { s.submit(a) })
	return a
}

// progressPeriod is the minimum interval between progress reports of an attempt.
const progressPeriod = 200 * clock.Millis(1)

// connectTimeout is how long a host waits for a connection.
const connectTimeout = 500 * clock.Millis(1)

// receiveToken handles a token that arrives at the entry host.
func (a *attempt) receiveToken(t batch.OutputToken) {
	if a.finished || a.lost {
		return
	}
	now := a.request.simulation.now
	first := a.first < 0
	if first {
		a.first = now - a.sent
		a.markReported(now)
		a.request.simulation.router.firstToken(a)
	}
	a.tokens++
	a.last = now
	a.request.recordToken(t.Index, now)
	if t.Last {
		a.finished = true
		a.request.end(endingAnswered, "")
		a.request.simulation.router.done(a)
		return
	}
	if first || now-a.reportedAt >= progressPeriod {
		a.request.simulation.router.progress(a)
		a.markReported(now)
	}
}

// markReported records the token count and time of a progress report.
func (a *attempt) markReported(now clock.Millis) {
	a.reported = a.tokens
	a.reportedAt = now
}

func (r *request) recordToken(index int, now clock.Millis) {
	if index < r.received {
		return
	}
	if r.received == 0 {
		r.first = now
	} else {
		r.tokenIntervals = append(r.tokenIntervals, now-r.last)
	}
	r.received++
	r.last = now
}

func (a *attempt) fail(how sched.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	a.request.simulation.router.failed(a, how)
}

// cancel abandons the attempt; the server learns of it after the network delay.
func (a *attempt) cancel() {
	if a.finished {
		return
	}
	a.finished = true
	sm := a.request.simulation
	sm.after(sm.delay(a.request.domain, a.server.domain), func() { a.server.cancel(a) })
}

// progress returns the attempt's state at the entry host, with the mean time
// between tokens since the last report.
func (a *attempt) progress() sched.Progress {
	p := sched.Progress{Tokens: a.offset + a.tokens, FirstToken: a.first}
	if since := a.tokens - a.reported; since > 0 {
		p.BetweenTokens = float64(a.last-a.reportedAt) / float64(since)
	}
	return p
}
