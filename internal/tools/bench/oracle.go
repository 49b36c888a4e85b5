package bench

import (
	"math"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// oracleReason is the reason of every refusal by the oracle.
const oracleReason sched.Reason = "Late"

// oraclePeriod is how often the oracle checks for late requests.
const oraclePeriod = 10 * clock.Millis(1)

// oracle is the Knowing policy. It knows all lengths, sees all servers at once
// and decides without messages. Of the requests that can still meet their
// targets it runs those with the least work first, regardless of tier, and
// refuses the others. It shows the goodput that such an order reaches on the
// same engines, which is below the computed bound.
type oracle struct {
	simulation *simulation
	free       map[*server]int
	waiting    []*request
}

func newOracle(sm *simulation) router {
	o := &oracle{simulation: sm, free: map[*server]int{}}
	for _, s := range sm.servers {
		o.free[s] = sm.deployment.SlotsPerServer
	}
	sm.every(0, oraclePeriod, o.dispatch)
	return router{
		arrive: func(r *request) {
			o.waiting = append(o.waiting, r)
			o.dispatch()
		},
		firstToken: func(*attempt) {},
		progress:   func(*attempt) {},
		failed:     o.failed,
		done:       o.release,
	}
}

func (o *oracle) release(a *attempt) {
	o.free[a.server]++
	o.dispatch()
}

func (o *oracle) failed(a *attempt, _ sched.Outcome) {
	if a.request.received > 0 {
		a.request.end(endingBroken, "Failed")
	} else {
		o.waiting = append(o.waiting, a.request)
	}
	o.release(a)
}

func (o *oracle) dispatch() {
	o.refuseLate()
	for len(o.waiting) > 0 {
		s := o.leastLoadedServer()
		if s == nil {
			return
		}
		r := o.takeShortestRequest()
		o.free[s]--
		r.send(s, 1, true)
	}
}

// leastLoadedServer returns the server with the most free slots, nil if none has
// a free slot.
func (o *oracle) leastLoadedServer() *server {
	var best *server
	for _, s := range o.simulation.servers {
		if !s.down && o.free[s] > 0 && (best == nil || o.free[s] > o.free[best]) {
			best = s
		}
	}
	return best
}

func (o *oracle) takeShortestRequest() *request {
	best, minWork := 0, math.Inf(1)
	for i, r := range o.waiting {
		if w := r.work(o.simulation.settings); w < minWork {
			best, minWork = i, w
		}
	}
	r := o.waiting[best]
	o.waiting = append(o.waiting[:best], o.waiting[best+1:]...)
	return r
}

// refuseLate refuses the requests that can no longer meet their first-token
// target.
func (o *oracle) refuseLate() {
	kept := o.waiting[:0]
	for _, r := range o.waiting {
		if o.simulation.now+o.minFirstTokenTime(r) <= r.at+r.class.FirstTokenMilliseconds {
			kept = append(kept, r)
			continue
		}
		r.end(endingRefused, oracleReason)
	}
	o.waiting = kept
}

// minFirstTokenTime returns the shortest time to the first token on an engine
// with a full batch and no other prefill.
func (o *oracle) minFirstTokenTime(r *request) clock.Millis {
	s := o.simulation.settings
	uncached := float64(r.prompt - r.prefixTokens)
	iterations := math.Ceil(uncached/float64(s.ChunkTokens)) + 1
	each := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(s.MaxBatch)
	total := iterations*each + uncached*s.PerPromptTokenMilliseconds
	return clock.Millis(total) + 2*o.simulation.deployment.Network.InDomainMilliseconds
}
