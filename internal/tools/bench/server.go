package bench

import (
	"slices"

	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/policy/sched"
)

// server is one model engine in virtual time.
type server struct {
	simulation *simulation
	name       string
	domain     int
	engine     *batch.Batch
	// busy is set while an iteration runs.
	busy bool
	down bool
	// incarnation counts crashes: an iteration started in an earlier
	// incarnation is dropped.
	incarnation int
	slowdown    float64
	powerFeeds  []*powerFeed
	attempts    map[string]*attempt
}

func newServer(sm *simulation, p serverPlace) *server {
	return &server{
		simulation: sm,
		name:       p.name,
		domain:     p.domain,
		engine:     batch.New(sm.settings),
		slowdown:   1,
		attempts:   map[string]*attempt{},
	}
}

// submit handles an attempt that arrives at the engine.
func (s *server) submit(a *attempt) {
	if a.finished {
		return
	}
	if s.down {
		s.simulation.after(s.simulation.delay(s.domain, a.request.domain), func() {
			a.fail(sched.OutcomeUnreachable)
		})
		return
	}
	s.attempts[a.id] = a
	s.engine.Submit(s.simulation.now, batch.Job{
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

// cancel removes an attempt from the engine.
func (s *server) cancel(a *attempt) {
	delete(s.attempts, a.id)
	s.engine.Cancel(s.simulation.now, a.id)
}

// step runs one iteration and schedules the next.
func (s *server) step() {
	s.engine.SetSlowdown(s.slowdown * s.powerFeedSlowdown())
	it := s.engine.Step(s.simulation.now)
	s.busy = !it.Idle
	if it.Idle {
		return
	}
	for _, id := range it.Admitted {
		if a, ok := s.attempts[id]; ok {
			s.simulation.gapTracker.serve(s.simulation.now, a.request)
		}
	}
	incarnation := s.incarnation
	s.simulation.at(it.End, func() {
		if s.incarnation == incarnation {
			s.deliverTokens(it)
			s.step()
		}
	})
}

// deliverTokens sends an iteration's tokens to the entry hosts.
func (s *server) deliverTokens(it batch.Iteration) {
	byDomain := make([][]delivery, len(s.simulation.domains))
	for _, t := range it.Tokens {
		a, ok := s.attempts[t.ID]
		if !ok {
			continue
		}
		a.request.generated++
		to := a.request.domain
		byDomain[to] = append(byDomain[to], delivery{attempt: a, token: t})
		if t.Last {
			delete(s.attempts, t.ID)
		}
	}
	for domain, list := range byDomain {
		if len(list) == 0 || s.simulation.partitioned(s.domain, domain) {
			continue
		}
		s.simulation.after(s.simulation.delay(s.domain, domain), func() {
			for _, d := range list {
				d.attempt.receiveToken(d.token)
			}
		})
	}
}

type delivery struct {
	attempt *attempt
	token   batch.OutputToken
}

// crash drops all attempts; their entry hosts see the connections close.
func (s *server) crash() {
	s.down = true
	s.incarnation++
	s.busy = false
	s.engine.Clear(s.simulation.now)
	lost := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, b *attempt) int { return a.request.number - b.request.number })
	s.attempts = map[string]*attempt{}
	for _, a := range lost {
		s.simulation.after(s.simulation.delay(s.domain, a.request.domain), func() {
			a.fail(sched.OutcomeFailed)
		})
	}
}

// powerFeed is a power feed shared by several servers. All of them slow down by
// factor while more than drawShare of their batch slots are in use.
type powerFeed struct {
	servers   []*server
	factor    float64
	drawShare float64
}

func (s *server) powerFeedSlowdown() float64 {
	factor := 1.0
	for _, f := range s.powerFeeds {
		if f.overdrawn() {
			factor *= f.factor
		}
	}
	return factor
}

func (f *powerFeed) overdrawn() bool {
	used, capacity := 0, 0
	for _, s := range f.servers {
		used += s.engine.Running()
		capacity += s.engine.Settings().MaxBatch
	}
	return float64(used) > f.drawShare*float64(capacity)
}
