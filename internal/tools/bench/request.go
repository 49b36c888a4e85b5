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

// request is one job on its way through one policy.
type request struct {
	*job
	world    *world
	number   int
	asks     int
	attempts []*attempt
	// hedge is the ask for a second attempt, nil for none.
	hedge *ask
	// got is how many tokens have reached the entry host, made how many the
	// engines made for the request.
	got     int
	made    int
	first   clock.Millis
	last    clock.Millis
	gaps    []clock.Millis
	served  bool
	ended   ending
	endedAt clock.Millis
	reason  sched.Reason
}

func (r *request) arrive() {
	r.world.gaps.arrive(r.world.now, r)
	r.world.router.arrive(r)
}

// end ends the request once.
func (r *request) end(how ending, why sched.Reason) {
	if r.ended != "" {
		return
	}
	r.ended = how
	r.reason = why
	r.endedAt = r.world.now
	r.world.open--
	r.world.gaps.end(r.world.now, r)
}

// firstToken is the time from arrival to the first token at the entry host.
func (r *request) firstToken() clock.Millis { return r.first - r.at }

// betweenTokens is the mean time between tokens.
func (r *request) betweenTokens() float64 {
	if r.output < 2 {
		return 0
	}
	return float64(r.last-r.first) / float64(r.output-1)
}

// attained tells whether the whole answer came within the class's targets.
func (r *request) attained() bool {
	return r.ended == endingAnswered &&
		r.firstToken() <= r.class.FirstTokenMilliseconds &&
		r.betweenTokens() <= float64(r.class.BetweenTokensMilliseconds)
}

func (r *request) giveUp() clock.Millis { return r.at + r.class.MaxWaitMilliseconds }

// attempt is one sending of a request to a server.
type attempt struct {
	id       string
	ask      *ask
	request  *request
	server   *server
	priority int
	offset   int
	sent     clock.Millis
	first    clock.Millis
	last     clock.Millis
	tokens   int
	// lost is true once a cut has separated the host and the server.
	lost bool
	// over is true once the entry host no longer listens.
	over bool
	// reported and reportedAt are where the last progress report ended.
	reported   int
	reportedAt clock.Millis
}

// send starts an attempt that goes on after the tokens that came so far, or
// from the beginning.
func (r *request) send(s *server, priority int, resume bool) *attempt {
	a := &attempt{
		id:       fmt.Sprintf("%s/%d", r.id, len(r.attempts)+1),
		request:  r,
		server:   s,
		priority: priority,
		sent:     r.world.now,
		first:    -1,
	}
	if resume {
		a.offset = r.got
	}
	r.attempts = append(r.attempts, a)
	r.world.running[r.hostPlace()] = append(r.world.running[r.hostPlace()], a)
	if r.world.cut(r.domain, s.domain) {
		r.world.after(connectTimeout, func() { a.fail(sched.OutcomeUnreachable) })
		return a
	}
	r.world.after(r.world.delay(r.domain, s.domain), func() { s.submit(a) })
	return a
}

// progressPeriod is how often an entry host notes an attempt's progress.
const progressPeriod = 200 * clock.Millis(1)

// connectTimeout is after what time a host gives a connection up.
const connectTimeout = 500 * clock.Millis(1)

// token takes one token at the entry host.
func (a *attempt) token(t batch.TokenOut) {
	if a.over || a.lost {
		return
	}
	now := a.request.world.now
	first := a.first < 0
	if first {
		a.first = now - a.sent
		a.mark(now)
		a.request.world.router.first(a)
	}
	a.tokens++
	a.last = now
	a.request.take(t.Index, now)
	if t.Last {
		a.over = true
		a.request.end(endingAnswered, "")
		a.request.world.router.done(a)
		return
	}
	if first || now-a.reportedAt >= progressPeriod {
		a.request.world.router.report(a)
		a.mark(now)
	}
}

// mark remembers where a report of progress ended.
func (a *attempt) mark(now clock.Millis) {
	a.reported = a.tokens
	a.reportedAt = now
}

func (r *request) take(index int, now clock.Millis) {
	if index < r.got {
		return
	}
	if r.got == 0 {
		r.first = now
	} else {
		r.gaps = append(r.gaps, now-r.last)
	}
	r.got++
	r.last = now
}

func (a *attempt) fail(how sched.Outcome) {
	if a.over {
		return
	}
	a.over = true
	a.request.world.router.failed(a, how)
}

// cancel withdraws an attempt.
func (a *attempt) cancel() {
	if a.over {
		return
	}
	a.over = true
	w := a.request.world
	w.after(w.delay(a.request.domain, a.server.domain), func() { a.server.cancel(a) })
}

// progress is what the entry host knows of an attempt, with the mean time
// between tokens since the last report.
func (a *attempt) progress() sched.Progress {
	p := sched.Progress{Tokens: a.offset + a.tokens, FirstToken: a.first}
	if since := a.tokens - a.reported; since > 0 {
		p.BetweenTokens = float64(a.last-a.reportedAt) / float64(since)
	}
	return p
}
