package bench

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/spill"
)

const (
	// retryShare and retryMost bound retries, hedgeShare and hedgeMost hedges:
	// as a share of successes, and as how many may be saved up.
	retryShare = 0.1
	retryMost  = 100
	hedgeShare = 0.02
	hedgeMost  = 10
	// spillReserve is the share of its slots that another domain must have free.
	spillReserve = 0.25
	// spillTimeout is how long a host waits for another domain's answer.
	spillTimeout = 300 * clock.Millis(1)
)

// kept is the policies that decide through keepers.
type kept struct {
	world   *world
	keepers []*keeper
	hosts   map[hostPlace]*keptHost
	order   []*keptHost
}

// keptHost is an entry host with its own parts of the policy.
type keptHost struct {
	place hostPlace
	// choices are the keepers of its own domain that it may ask.
	choices []*keeper
	spill   *spill.Policy
	retries *retry.Budget
	hedge   *retry.Hedge
	turn    int
}

func newKept(w *world) *kept {
	k := &kept{world: w, hosts: map[hostPlace]*keptHost{}}
	for _, place := range w.hostPlaces() {
		h := &keptHost{
			place:   place,
			spill:   spill.New(spill.Settings{Reserve: spillReserve, OutShare: w.deployment.SpillShare}),
			retries: retry.NewBudget(retryShare, retryMost),
			hedge:   retry.NewHedge(hedgeShare, hedgeMost),
		}
		k.hosts[place] = h
		k.order = append(k.order, h)
	}
	return k
}

func (k *kept) router() router {
	return router{arrive: k.arrive, decided: k.decided, failed: k.failed, first: k.first, done: k.done}
}

// start plans ticks, reports and digests, and what follows a cut.
func (k *kept) start() {
	for _, one := range k.keepers {
		k.world.every(0, tickPeriod, one.tick)
		k.world.every(0, reportPeriod, func() { k.digestFrom(one) })
	}
	for i, h := range k.order {
		offset := clock.Millis(i) * reportPeriod / clock.Millis(len(k.order))
		k.world.every(offset, reportPeriod, func() { k.reportFrom(h) })
	}
	k.world.keepers = k.keepers
	k.world.onCut = k.dropUnreachable
}

func (k *kept) host(r *request) *keptHost { return k.hosts[r.hostPlace()] }

// arrive asks the own domain's keeper, or another domain's where the own one
// would let the request wait past its target.
func (k *kept) arrive(r *request) {
	h := k.host(r)
	if to := k.spillTo(h, r); to != nil {
		k.askElsewhere(h, r, to)
		return
	}
	k.world.newAsk(r, h.choose(), askFirst, nil).send()
}

func (k *kept) spillTo(h *keptHost, r *request) *keeper {
	local, slots := sched.Digest{}, 0
	for _, one := range h.choices {
		local = addDigests(local, one.digest)
		slots += one.slots * len(one.servers)
	}
	probe := &ask{request: r, kind: askFirst}
	name := h.spill.Choose(k.world.now, spill.Ask{Request: probe.form(), Local: local, Slots: slots})
	for _, one := range k.keepers {
		if name != "" && k.world.domains[one.place.domain].Name == name {
			return one
		}
	}
	return nil
}

func addDigests(a, b sched.Digest) sched.Digest {
	return sched.Digest{
		FreeSlots:    a.FreeSlots + b.FreeSlots,
		Waiting:      a.Waiting + b.Waiting,
		Running:      a.Running + b.Running,
		WaitEstimate: max(a.WaitEstimate, b.WaitEstimate),
	}
}

// askElsewhere asks another domain once; without an answer in time the own one.
func (k *kept) askElsewhere(h *keptHost, r *request, to *keeper) {
	h.spill.Sent(k.domainOf(to))
	a := k.world.newAsk(r, to, askSpill, nil)
	a.send()
	k.world.after(spillTimeout, func() {
		if !a.closed && a.attempt == nil {
			a.withdraw()
			k.spillRefused(h, a)
		}
	})
}

func (k *kept) spillRefused(h *keptHost, a *ask) {
	a.closed = true
	h.spill.Refused(k.world.now, k.domainOf(a.keeper))
	k.world.newAsk(a.request, h.choose(), askFirst, nil).send()
}

func (k *kept) domainOf(one *keeper) string { return k.world.domains[one.place.domain].Name }

// choose takes the better of two keepers by their digests, which lag.
func (h *keptHost) choose() *keeper {
	h.turn++
	a := h.choices[(h.turn*7919)%len(h.choices)]
	b := h.choices[(h.turn*104729+1)%len(h.choices)]
	if digestLoad(b.digest) < digestLoad(a.digest) {
		return b
	}
	return a
}

func digestLoad(d sched.Digest) int { return d.Waiting - d.FreeSlots }

// decided takes a decision that has reached the host.
func (k *kept) decided(a *ask, d sched.Decision) {
	h := k.host(a.request)
	if d.Kind == sched.DecisionRefuse {
		k.refused(h, a, d)
		return
	}
	s := a.keeper.server(d.Server)
	if a.closed || a.request.ended != "" || (a.kind == askHedge && a.request.got > 0) {
		a.release(sched.Progress{}, sched.OutcomeCancelled, "")
		return
	}
	a.attempt = a.request.send(s, a.request.class.Tier, true)
	a.attempt.ask = a
	k.planHedge(h, a)
}

func (k *kept) refused(h *keptHost, a *ask, d sched.Decision) {
	switch {
	case a.closed || a.request.ended != "":
	case a.kind == askSpill:
		k.spillRefused(h, a)
	case a.kind == askHedge:
		a.closed = true
	case a.request.got > 0:
		a.request.end(endingBroken, d.Reason)
	default:
		a.request.end(endingRefused, d.Reason)
	}
}

// planHedge sends a second attempt where the first token is late.
func (k *kept) planHedge(h *keptHost, a *ask) {
	r, first := a.request, a.attempt
	delay := h.hedge.Delay(r.class.Name, "")
	if delay == 0 || a.kind == askHedge {
		return
	}
	k.world.after(delay, func() {
		facts := retry.Facts{MayRepeat: true, Sent: retry.SentWhole, Reached: r.got > 0}
		if first.over || !h.hedge.Start(k.world.now, first.sent, r.giveUp(), r.class.Name, "", facts) {
			return
		}
		r.hedge = k.world.newAsk(r, h.choose(), askHedge, []string{first.server.name})
		r.hedge.send()
	})
}

// first takes an attempt's first token: other attempts of the request are
// cancelled.
func (k *kept) first(a *attempt) {
	r := a.request
	if a.offset == 0 {
		k.host(r).hedge.FirstToken(r.class.Name, "", a.first)
	}
	if r.hedge != nil && r.hedge.attempt == nil && !r.hedge.closed {
		r.hedge.withdraw()
	}
	for _, other := range r.attempts {
		if other != a && !other.over {
			other.cancel()
			other.ask.release(sched.Progress{FirstToken: -1}, sched.OutcomeCancelled, other.server.name)
		}
	}
}

func (k *kept) done(a *attempt) {
	h := k.host(a.request)
	h.retries.Succeeded()
	a.ask.release(a.progress(), sched.OutcomeDone, a.server.name)
	k.spillEnded(h, a)
}

func (k *kept) spillEnded(h *keptHost, a *attempt) {
	if a.ask.kind == askSpill {
		h.spill.Ended(k.domainOf(a.ask.keeper))
	}
}

// failed frees the slot and asks again: a stream goes on elsewhere.
func (k *kept) failed(a *attempt) {
	r, h := a.request, k.host(a.request)
	a.ask.release(a.progress(), sched.OutcomeFailed, a.server.name)
	k.spillEnded(h, a)
	if slices.ContainsFunc(r.attempts, func(other *attempt) bool { return !other.over }) {
		return
	}
	rule := retry.Decide(retry.Facts{MayRepeat: true, Sent: retry.SentWhole, Reached: r.got > 0, Resumable: true})
	inTime := r.got > 0 || retry.InTime(k.world.now, 0, r.giveUp())
	if !rule.Action.Sends() || !inTime || !h.retries.Take() {
		r.end(endingBroken, "Failed")
		return
	}
	k.world.newAsk(r, h.choose(), askRetry, []string{a.server.name}).send()
}

// reportFrom sends a host's bundles of progress, one to each keeper.
func (k *kept) reportFrom(h *keptHost) {
	for _, to := range k.keepers {
		var list []sched.Progress
		for _, a := range k.world.openAttempts(h.place) {
			if a.ask.keeper == to {
				list = append(list, a.progress())
			}
		}
		if len(list) > 0 {
			k.world.send(h.place, to.place, list, func() { to.report(list) })
		}
	}
}

// digestFrom sends a keeper's digest to the hosts that choose by it: those of
// the own domain and, for spilling, those of other domains.
func (k *kept) digestFrom(from *keeper) {
	d := from.decider.Digest(k.world.now)
	for _, h := range k.order {
		if h.place.domain != from.place.domain {
			name, slots := k.domainOf(from), from.slots*len(from.servers)
			k.world.send(from.place, h.place, d, func() { h.spill.Heard(k.world.now, name, d, slots) })
		} else if slices.Contains(h.choices, from) {
			k.world.count(from.place, h.place, d)
		}
	}
	k.world.after(k.world.deployment.Network.InDomainMilliseconds, func() { from.digest = d })
}

// dropUnreachable lets keepers forget hosts that a cut has separated.
func (k *kept) dropUnreachable() {
	k.world.after(silentTimeout, func() {
		for _, one := range k.keepers {
			for _, h := range k.order {
				if k.world.cut(one.place.domain, h.place.domain) {
					one.dropHost(h.place)
				}
			}
		}
	})
}
