package grant_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// engine simulates a server that prefills prompts one after another in chunks and
// decodes one token of each running answer a step. The duration of a step is the
// prefill time of its chunk plus decodeStep.
type engine struct {
	prefillQueue []*request
	decoding     []*request
	cached       map[string]bool
	prefillMs    float64
}

// request is one simulated request.
type request struct {
	grantRequest grant.Request
	arrivedAt    clock.Millis
	uncached     float64
	tokens       int
	done         bool
	// firstAt and lastAt are the times of the first and the last token.
	firstAt, lastAt clock.Millis
	granted         bool
}

const (
	chunkTokens  = 4_096.0
	tokensPerMs  = 48.0
	decodeStep   = 4
	answerTokens = 120
)

// step runs the engine for one step and returns its duration.
func (e *engine) step(now clock.Millis, firstEvent, ended func(*request)) clock.Millis {
	elapsed := clock.Millis(0)
	if len(e.prefillQueue) > 0 {
		r := e.prefillQueue[0]
		n := min(r.uncached, chunkTokens)
		r.uncached -= n
		elapsed = clock.Millis(n / tokensPerMs)
		e.prefillMs += n / tokensPerMs
		if r.uncached <= 0 {
			e.prefillQueue = e.prefillQueue[1:]
			e.decoding = append(e.decoding, r)
			for _, p := range place.PrefixSegments(r.grantRequest.Segments) {
				e.cached[p.Name] = true
			}
		}
	}
	if len(e.decoding) > 0 {
		elapsed += decodeStep
	}
	remaining := e.decoding[:0]
	for _, r := range e.decoding {
		r.tokens++
		if r.tokens == 1 {
			r.firstAt = now + elapsed
			firstEvent(r)
		}
		if r.tokens >= answerTokens {
			r.lastAt, r.done = now+elapsed, true
			ended(r)
			continue
		}
		remaining = append(remaining, r)
	}
	e.decoding = remaining
	return max(elapsed, 1)
}

// result counts the requests of a simulation, those with a complete answer in time
// and those among them whose first token was on time too.
type result struct {
	onTime, whole, all int
	prefillMs          float64
}

// simulate runs the first seconds of a day with empty caches. Each request has one of
// 100 prefix segments; choose and next assign requests to servers.
func simulate(
	n int,
	perSecond float64,
	choose func(now clock.Millis, r *request) (string, bool),
	next func(now clock.Millis) map[string]string,
	firstEvent, ended func(now clock.Millis, r *request),
) result {
	random := rand.New(rand.NewPCG(1, 2))
	engines := map[string]*engine{}
	freeAt := map[string]clock.Millis{}
	for _, s := range newServers(n) {
		engines[s.ID] = &engine{cached: map[string]bool{}}
	}
	waiting := map[string]*request{}
	var all []*request
	assign := func(r *request, id string) {
		e := engines[id]
		r.granted = true
		r.uncached = float64(r.grantRequest.Tokens)
		for _, p := range prefixSegments(r.grantRequest) {
			if e.cached[p.Name] {
				r.uncached -= float64(p.Tokens)
			}
		}
		e.prefillQueue = append(e.prefillQueue, r)
	}
	nextArrival := 0.0
	for now := clock.Millis(0); now < 16_000; now++ {
		for nextArrival <= float64(now) && now < 8_000 {
			nextArrival += random.ExpFloat64() * 1_000 / perSecond
			q := newLongRequest(fmt.Sprint("v", len(all)), fmt.Sprint("thing", random.IntN(100)))
			r := &request{grantRequest: q, arrivedAt: now}
			all = append(all, r)
			if id, ok := choose(now, r); ok {
				assign(r, id)
			} else {
				waiting[q.ID] = r
			}
		}
		for id, server := range next(now) {
			if r := waiting[id]; r != nil {
				delete(waiting, id)
				if server != "" {
					assign(r, server)
				}
			}
		}
		for _, s := range newServers(n) {
			e := engines[s.ID]
			if freeAt[s.ID] <= now {
				freeAt[s.ID] = now + e.step(now, func(r *request) { firstEvent(now, r) }, func(r *request) { ended(now, r) })
			}
		}
	}
	var p result
	for _, r := range all {
		p.all++
		if r.done && r.lastAt <= r.arrivedAt+r.grantRequest.TimeLeft {
			p.whole++
			if r.firstAt <= r.arrivedAt+r.grantRequest.Target {
				p.onTime++
			}
		}
	}
	for _, e := range engines {
		p.prefillMs += e.prefillMs
	}
	return p
}

func prefixSegments(r grant.Request) []place.Segment { return place.PrefixSegments(r.Segments) }

// simulateKeeper simulates the load with the keeper's decisions.
func simulateKeeper(n int, perSecond float64) result {
	k := newCore(n)
	return simulate(n, perSecond,
		func(now clock.Millis, r *request) (string, bool) {
			k.Enqueue(now, r.grantRequest)
			return "", false
		},
		func(now clock.Millis) map[string]string {
			if now%5 != 0 {
				return nil
			}
			assigned := map[string]string{}
			for _, d := range k.Next(now) {
				assigned[d.ID] = d.Server
			}
			return assigned
		},
		func(now clock.Millis, r *request) { k.FirstEvent(now, r.grantRequest.ID) },
		func(now clock.Millis, r *request) { k.Ended(now, r.grantRequest.ID, place.OutcomeServed) })
}

// simulateHash simulates the load with hosts that choose servers by hash on their own.
func simulateHash(n int, perSecond float64) result {
	p := place.New(place.Defaults())
	var list []fleet.Server
	for _, s := range newServers(n) {
		s.Service = "llm"
		list = append(list, s)
	}
	p.SetServers(list)
	return simulate(n, perSecond,
		func(now clock.Millis, r *request) (string, bool) {
			choice, ok := p.Choose(now, place.Job{Service: "llm", Segments: r.grantRequest.Segments, Tokens: r.grantRequest.Tokens})
			return choice.Server.ID, ok
		},
		func(clock.Millis) map[string]string { return nil },
		func(clock.Millis, *request) {},
		func(clock.Millis, *request) {})
}

// A day starts with long prompts with many different segments and empty caches. With a
// keeper, at least as many callers must get a complete answer in time as with hosts
// that decide on their own, more must get the first token on time, and less must be
// prefilled.
func TestTheFirstSecondsOfADay(t *testing.T) {
	c := qt.New(t)
	const engines, perSecond = 7, 22
	keeper, hash := simulateKeeper(engines, perSecond), simulateHash(engines, perSecond)
	t.Logf("keeper: %+v; alone: %+v", keeper, hash)
	c.Assert(keeper.all, qt.Equals, hash.all)
	c.Assert(keeper.onTime > hash.onTime, qt.IsTrue)
	c.Assert(keeper.whole >= hash.whole, qt.IsTrue)
	c.Assert(keeper.prefillMs < hash.prefillMs, qt.IsTrue)
	// Nine in ten requests are answered in time although nothing was cached.
	c.Assert(keeper.whole*10 >= keeper.all*9, qt.IsTrue)
}

// Servers that answer each request at once with an error look idle. Half of the
// servers do so; only a few of 200 requests may go to them.
func TestServersWithOnlyFailuresGetFewRequests(t *testing.T) {
	c := qt.New(t)
	core := grant.New(grant.Defaults())
	core.SetServers(newEngines(8))
	failing := func(id string) bool { return id < "i-004" }
	now := clock.Millis(1_000)
	failed := 0
	for i := range 200 {
		now += 10
		id := fmt.Sprint("r", i)
		core.Enqueue(now, grant.Request{ID: id, Host: "h", Class: "review", Segments: newPrompt(i), Tokens: 13_700, Target: 500, TimeLeft: 8_000})
		for _, d := range core.Next(now) {
			if failing(d.Server) {
				failed++
				core.Ended(now, d.ID, place.OutcomeFailed)
				continue
			}
			core.FirstEvent(now, d.ID)
			core.Ended(now, d.ID, place.OutcomeServed)
		}
	}
	// Each of the four servers gets the failures up to the threshold, and one request
	// after each backoff, which doubles from 0.5 s: two within the 2 s.
	c.Assert(failed <= 4*(place.FailureThreshold+2), qt.IsTrue, qt.Commentf("%d failed", failed))
	c.Assert(failed >= 4, qt.IsTrue)
}
