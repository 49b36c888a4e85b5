package bench

import (
	"slices"

	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/policy/sched"
)

// server is one model engine in virtual time.
type server struct {
	world  *world
	name   string
	domain int
	engine *batch.Batch
	// busy is true while an iteration runs.
	busy bool
	down bool
	// life counts crashes: what was planned in an earlier life is dropped.
	life     int
	slowdown float64
	feeds    []*feed
	attempts map[string]*attempt
}

func newServer(w *world, p serverPlace) *server {
	return &server{
		world:    w,
		name:     p.name,
		domain:   p.domain,
		engine:   batch.New(w.settings),
		slowdown: 1,
		attempts: map[string]*attempt{},
	}
}

// submit is a request's arrival at the engine.
func (s *server) submit(a *attempt) {
	if a.over {
		return
	}
	if s.down {
		s.world.after(s.world.delay(s.domain, a.request.domain), func() { a.fail(sched.OutcomeUnreachable) })
		return
	}
	s.attempts[a.id] = a
	s.engine.Submit(s.world.now, batch.Job{
		ID:           a.id,
		Priority:     a.priority,
		PromptTokens: a.request.prompt,
		OutputTokens: a.request.output,
		Offset:       a.offset,
		Prefix:       a.request.prefix,
		PrefixTokens: a.request.prefixTokens,
	})
	if !s.busy {
		s.step()
	}
}

// cancel is a request's withdrawal at the engine.
func (s *server) cancel(a *attempt) {
	delete(s.attempts, a.id)
	s.engine.Cancel(s.world.now, a.id)
}

func (s *server) step() {
	s.engine.SetSlowdown(s.slowdown * s.feedFactor())
	it := s.engine.Step(s.world.now)
	s.busy = !it.Idle
	if it.Idle {
		return
	}
	for _, id := range it.Admitted {
		if a, ok := s.attempts[id]; ok {
			s.world.gaps.serve(s.world.now, a.request)
		}
	}
	life := s.life
	s.world.at(it.Ends, func() {
		if s.life == life {
			s.hand(it)
			s.step()
		}
	})
}

// hand sends an iteration's tokens to the entry hosts.
func (s *server) hand(it batch.Iteration) {
	byDomain := make([][]delivery, len(s.world.domains))
	for _, t := range it.Tokens {
		a, ok := s.attempts[t.ID]
		if !ok {
			continue
		}
		a.request.made++
		to := a.request.domain
		byDomain[to] = append(byDomain[to], delivery{attempt: a, token: t})
		if t.Last {
			delete(s.attempts, t.ID)
		}
	}
	for domain, list := range byDomain {
		if len(list) == 0 || s.world.cut(s.domain, domain) {
			continue
		}
		s.world.after(s.world.delay(s.domain, domain), func() {
			for _, d := range list {
				d.attempt.token(d.token)
			}
		})
	}
}

type delivery struct {
	attempt *attempt
	token   batch.TokenOut
}

// crash drops everything; callers see their connections end.
func (s *server) crash() {
	s.down = true
	s.life++
	s.busy = false
	s.engine.Clear(s.world.now)
	lost := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, b *attempt) int { return a.request.number - b.request.number })
	s.attempts = map[string]*attempt{}
	for _, a := range lost {
		s.world.after(s.world.delay(s.domain, a.request.domain), func() { a.fail(sched.OutcomeFailed) })
	}
}

// feed is a power feed that servers share: they slow together while they draw
// too much.
type feed struct {
	servers []*server
	factor  float64
	share   float64
}

func (s *server) feedFactor() float64 {
	factor := 1.0
	for _, f := range s.feeds {
		if f.overdrawn() {
			factor *= f.factor
		}
	}
	return factor
}

func (f *feed) overdrawn() bool {
	used, most := 0, 0
	for _, s := range f.servers {
		used += s.engine.Running()
		most += s.engine.Settings().MaxBatch
	}
	return float64(used) > f.share*float64(most)
}
