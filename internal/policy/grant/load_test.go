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

// engine is a model of a server that reads prompts one after another and gives
// each answer one token a step. A step lasts as long as the piece of a prompt
// that is read in it.
type engine struct {
	reading []*visitor
	answers []*visitor
	held    map[string]bool
	readMs  float64
}

// visitor is one request of the load.
type visitor struct {
	ask    grant.Ask
	at     clock.Millis
	unread float64
	tokens int
	done   bool
	// first and last are when the first and the last token came.
	first, last clock.Millis
	granted     bool
}

const (
	piece        = 4_096.0
	tokensPerMs  = 48.0
	idleStep     = 4
	answerTokens = 120
)

// step runs the engine for one step and returns how long it lasted.
func (e *engine) step(now clock.Millis, started, ended func(*visitor)) clock.Millis {
	took := clock.Millis(0)
	if len(e.reading) > 0 {
		v := e.reading[0]
		n := min(v.unread, piece)
		v.unread -= n
		took = clock.Millis(n / tokensPerMs)
		e.readMs += n / tokensPerMs
		if v.unread <= 0 {
			e.reading = e.reading[1:]
			e.answers = append(e.answers, v)
			for _, p := range place.Shared(v.ask.Parts) {
				e.held[p.Name] = true
			}
		}
	}
	if len(e.answers) > 0 {
		took += idleStep
	}
	left := e.answers[:0]
	for _, v := range e.answers {
		v.tokens++
		if v.tokens == 1 {
			v.first = now + took
			started(v)
		}
		if v.tokens >= answerTokens {
			v.last, v.done = now+took, true
			ended(v)
			continue
		}
		left = append(left, v)
	}
	e.answers = left
	return max(took, 1)
}

// played is what the callers of a load got.
type played struct {
	onTime, whole, all int
	readMs             float64
}

// play sends a day's first seconds, with nothing cached, through a way of
// choosing: each review is about one of 100 things.
func play(n int, perSecond float64, choose func(now clock.Millis, v *visitor) (string, bool), next func(now clock.Millis) map[string]string, started, ended func(now clock.Millis, v *visitor)) played {
	random := rand.New(rand.NewPCG(1, 2))
	engines := map[string]*engine{}
	free := map[string]clock.Millis{}
	for _, s := range servers(n) {
		engines[s.ID] = &engine{held: map[string]bool{}}
	}
	waiting := map[string]*visitor{}
	var all []*visitor
	place := func(v *visitor, id string) {
		e := engines[id]
		v.granted = true
		v.unread = float64(v.ask.Tokens)
		for _, p := range sharedOf(v.ask) {
			if e.held[p.Name] {
				v.unread -= float64(p.Tokens)
			}
		}
		e.reading = append(e.reading, v)
	}
	due := 0.0
	for now := clock.Millis(0); now < 16_000; now++ {
		for due <= float64(now) && now < 8_000 {
			due += random.ExpFloat64() * 1_000 / perSecond
			a := review(fmt.Sprint("v", len(all)), fmt.Sprint("thing", random.IntN(100)))
			v := &visitor{ask: a, at: now}
			all = append(all, v)
			if id, ok := choose(now, v); ok {
				place(v, id)
			} else {
				waiting[a.ID] = v
			}
		}
		for id, server := range next(now) {
			if v := waiting[id]; v != nil {
				delete(waiting, id)
				if server != "" {
					place(v, server)
				}
			}
		}
		for _, s := range servers(n) {
			e := engines[s.ID]
			if free[s.ID] <= now {
				free[s.ID] = now + e.step(now, func(v *visitor) { started(now, v) }, func(v *visitor) { ended(now, v) })
			}
		}
	}
	var p played
	for _, v := range all {
		p.all++
		if v.done && v.last <= v.at+v.ask.Left {
			p.whole++
			if v.first <= v.at+v.ask.Target {
				p.onTime++
			}
		}
	}
	for _, e := range engines {
		p.readMs += e.readMs
	}
	return p
}

func sharedOf(a grant.Ask) []place.Part { return place.Shared(a.Parts) }

// byKeeper plays the load with the keeper's decisions.
func byKeeper(n int, perSecond float64) played {
	k := core(n)
	return play(n, perSecond,
		func(now clock.Millis, v *visitor) (string, bool) {
			k.Ask(now, v.ask)
			return "", false
		},
		func(now clock.Millis) map[string]string {
			if now%5 != 0 {
				return nil
			}
			got := map[string]string{}
			for _, d := range k.Next(now) {
				got[d.ID] = d.Server
			}
			return got
		},
		func(now clock.Millis, v *visitor) { k.Started(now, v.ask.ID) },
		func(now clock.Millis, v *visitor) { k.Ended(now, v.ask.ID, place.OutcomeServed) })
}

// byHash plays the load with each host's own decision.
func byHash(n int, perSecond float64) played {
	p := place.New(place.Defaults())
	var list []fleet.Server
	for _, s := range servers(n) {
		s.Service = "llm"
		list = append(list, s)
	}
	p.SetServers(list)
	return play(n, perSecond,
		func(now clock.Millis, v *visitor) (string, bool) {
			choice, ok := p.Choose(now, place.Job{Service: "llm", Parts: v.ask.Parts, Tokens: v.ask.Tokens})
			return choice.Server.ID, ok
		},
		func(clock.Millis) map[string]string { return nil },
		func(clock.Millis, *visitor) {},
		func(clock.Millis, *visitor) {})
}

// A day begins with long prompts about many things and nothing cached. More
// callers get a whole answer in time than with hosts that decide alone, and
// less is read.
func TestTheFirstSecondsOfADay(t *testing.T) {
	c := qt.New(t)
	const engines, perSecond = 7, 22
	keeper, hash := byKeeper(engines, perSecond), byHash(engines, perSecond)
	t.Logf("keeper: %+v; alone: %+v", keeper, hash)
	c.Assert(keeper.all, qt.Equals, hash.all)
	c.Assert(keeper.onTime > hash.onTime, qt.IsTrue)
	c.Assert(keeper.whole >= hash.whole, qt.IsTrue)
	c.Assert(keeper.readMs < hash.readMs, qt.IsTrue)
	// Nine in ten get what they asked for although everything was cold.
	c.Assert(keeper.whole*10 >= keeper.all*9, qt.IsTrue)
}

// Half of the servers answer each request at once with an error. Of 200 requests
// that follow, few may still go there.
func TestServersThatOnlyFailGetLittle(t *testing.T) {
	c := qt.New(t)
	core := grant.New(grant.Defaults())
	core.SetServers(engines(8))
	sick := func(id string) bool { return id < "i-004" }
	now := clock.Millis(1_000)
	failed := 0
	for i := range 200 {
		now += 10
		id := fmt.Sprint("r", i)
		core.Ask(now, grant.Ask{ID: id, Host: "h", Class: "review", Parts: prompt(i), Tokens: 13_700, Target: 500, Left: 8_000})
		for _, d := range core.Next(now) {
			if sick(d.Server) {
				failed++
				core.Ended(now, d.ID, place.OutcomeFailed)
				continue
			}
			core.Started(now, d.ID)
			core.Ended(now, d.ID, place.OutcomeServed)
		}
	}
	// As many as show each of the four, and a look after each avoided time, which
	// doubles from 0.5 s: twice in 2 s.
	c.Assert(failed <= 4*(place.FailureThreshold+2), qt.IsTrue, qt.Commentf("%d failed", failed))
	c.Assert(failed >= 4, qt.IsTrue)
}
