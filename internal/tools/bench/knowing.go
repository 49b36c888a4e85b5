package bench

import (
	"math"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// knowingReason is why the all-knowing order refuses a request.
const knowingReason sched.Reason = "Late"

// knowingPeriod is how often it looks for requests that have become late.
const knowingPeriod = 10 * clock.Millis(1)

// knowing is an order that knows all lengths, sees all servers at once and
// decides without messages. Of the requests that can still meet their targets
// it takes those with the least work first, whatever their tier, and refuses
// the others. It shows what such an order reaches on the same engines; the
// bound lies above it.
type knowing struct {
	world   *world
	free    map[*server]int
	waiting []*request
}

func newKnowing(w *world) router {
	k := &knowing{world: w, free: map[*server]int{}}
	for _, s := range w.servers {
		k.free[s] = w.deployment.SlotsPerServer
	}
	w.every(0, knowingPeriod, k.dispatch)
	return router{
		arrive: func(r *request) {
			k.waiting = append(k.waiting, r)
			k.dispatch()
		},
		first:  func(*attempt) {},
		report: func(*attempt) {},
		failed: k.failed,
		done:   k.release,
	}
}

func (k *knowing) release(a *attempt) {
	k.free[a.server]++
	k.dispatch()
}

func (k *knowing) failed(a *attempt, _ sched.Outcome) {
	if a.request.got > 0 {
		a.request.end(endingBroken, "Failed")
	} else {
		k.waiting = append(k.waiting, a.request)
	}
	k.release(a)
}

func (k *knowing) dispatch() {
	k.refuseLate()
	for len(k.waiting) > 0 {
		s := k.emptiest()
		if s == nil {
			return
		}
		r := k.takeSmallest()
		k.free[s]--
		r.send(s, 1, true)
	}
}

// emptiest returns the server with the most free slots, nil where none has any.
func (k *knowing) emptiest() *server {
	var best *server
	for _, s := range k.world.servers {
		if !s.down && k.free[s] > 0 && (best == nil || k.free[s] > k.free[best]) {
			best = s
		}
	}
	return best
}

func (k *knowing) takeSmallest() *request {
	best, least := 0, math.Inf(1)
	for i, r := range k.waiting {
		if w := r.work(k.world.settings); w < least {
			best, least = i, w
		}
	}
	r := k.waiting[best]
	k.waiting = append(k.waiting[:best], k.waiting[best+1:]...)
	return r
}

// refuseLate refuses what cannot meet its target any more.
func (k *knowing) refuseLate() {
	kept := k.waiting[:0]
	for _, r := range k.waiting {
		if k.world.now+k.fastest(r) <= r.at+r.class.FirstTokenMilliseconds {
			kept = append(kept, r)
			continue
		}
		r.end(endingRefused, knowingReason)
	}
	k.waiting = kept
}

// fastest is the time to the first token on a full engine that reads no other
// prompt.
func (k *knowing) fastest(r *request) clock.Millis {
	s := k.world.settings
	unread := float64(r.prompt - r.prefixTokens)
	iterations := math.Ceil(unread/float64(s.ChunkTokens)) + 1
	each := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(s.MaxBatch)
	took := iterations*each + unread*s.PerPromptTokenMilliseconds
	return clock.Millis(took) + 2*k.world.deployment.Network.InDomainMilliseconds
}
