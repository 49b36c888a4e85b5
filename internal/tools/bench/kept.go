package bench

import (
	"math/rand/v2"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/keeper"
	"siskinsaddle/internal/share/link"
)

const (
	// retryShare and savedRetries bound restarts, hedgeShare and savedHedges
	// hedges: as a share of successes, and as how many may be saved up.
	retryShare   = 0.1
	savedRetries = 100
	hedgeShare   = 0.02
	savedHedges  = 20
	// maxAttempts bounds how often a request is sent.
	maxAttempts = 3
	// beatPeriod is how often a host tells other failure domains of its own.
	beatPeriod = 200 * clock.Millis(1)
	// beatsAbroad is how many hosts of each other domain it tells.
	beatsAbroad = 2
	// frameBytes is what the link adds to each message.
	frameBytes = 16
)

// kept is the policies that decide with the code of production: each host runs
// a keeper.Machine, which asks keepers and keeps groups.
type kept struct {
	world  *world
	hosts  []*keptHost
	byName map[string]*keptHost
	view   uint64
	probes *probes
}

// keptHost is an entry host.
type keptHost struct {
	place   hostPlace
	name    string
	machine *keeper.Machine
	retries *retry.Budget
	hedge   *retry.Hedge
}

// newKept makes the hosts. Groups have groupSize servers at the most; with 0
// every host decides alone on its share.
func newKept(w *world, groupSize int) router {
	k := &kept{world: w, byName: map[string]*keptHost{}, probes: newProbes(w)}
	random := rand.New(rand.NewPCG(uint64(w.scenario.Seed), 1))
	settings := schedSettings(w.deployment)
	for _, place := range w.hostPlaces() {
		h := &keptHost{
			place:   place,
			name:    w.hostName(place),
			retries: retry.NewBudget(retryShare, savedRetries),
			hedge:   retry.NewHedge(hedgeShare, savedHedges),
		}
		h.machine = keeper.NewMachine(keeper.MachineSettings{
			Name:          h.name,
			FailureDomain: w.domains[place.domain].Name,
			GroupSize:     groupSize,
			Services:      func() []string { return []string{service} },
			Servers:       func(_, domain string) []sched.Server { return k.servers(domain) },
			Settings:      func(string) (sched.Settings, uint64) { return settings, 1 },
			Random:        random.IntN,
			NewAuditor:    w.watch,
		})
		k.hosts = append(k.hosts, h)
		k.byName[h.name] = h
	}
	k.start()
	return router{arrive: k.arrive, report: k.report, failed: k.failed, first: k.first, done: k.done}
}

// watch returns an auditor that the figures look at.
func (w *world) watch(s sched.Settings) *audit.Auditor {
	a := audit.New(s)
	w.audits = append(w.audits, a)
	return a
}

func schedSettings(d Deployment) sched.Settings {
	s := sched.Settings{
		LongTokens: d.LongTokens,
		LongShare:  d.LongShare,
		SpillShare: d.SpillShare,
		Headroom:   sched.Headroom{Slots: d.HeadroomSlots, Tier: d.HeadroomTier},
	}
	for _, c := range d.Classes {
		s.Classes = append(s.Classes, sched.Class{
			Name:                c.Name,
			Tier:                c.Tier,
			FirstTokenTarget:    c.FirstTokenMilliseconds,
			BetweenTokensTarget: c.BetweenTokensMilliseconds,
			FloorPeriod:         c.FloorPeriodMilliseconds,
			MaxWaiting:          c.MaxWaiting,
		})
	}
	for _, p := range d.Workspaces {
		s.Workspaces = append(s.Workspaces, sched.Workspace{Name: p.Name, Weight: p.Weight})
	}
	return s
}

// servers lists a failure domain's servers as the probes know them.
func (k *kept) servers(domain string) []sched.Server {
	var all []sched.Server
	for _, s := range k.world.servers {
		if k.world.domains[s.domain].Name == domain {
			all = append(all, sched.Server{Name: s.name, State: k.probes.state(s), Slots: k.world.deployment.SlotsPerServer})
		}
	}
	return all
}

// start plans ticks and beats, and what follows a cut.
func (k *kept) start() {
	k.follow()
	for i, h := range k.hosts {
		stagger := clock.Millis(i) * keeper.TickInterval / clock.Millis(len(k.hosts))
		k.world.every(stagger, keeper.TickInterval, func() {
			k.step(h, func(now clock.Millis) { h.machine.Tick(now) })
		})
		k.world.every(stagger, beatPeriod, func() { k.beat(h) })
	}
	k.world.onCut = func() { k.world.after(silentTimeout, k.follow) }
}

// follow gives each host a view of the hosts that it can reach.
func (k *kept) follow() {
	k.view++
	for _, h := range k.hosts {
		var seen []hosts.Host
		for _, other := range k.hosts {
			if !k.world.cut(h.place.domain, other.place.domain) {
				domain := k.world.domains[other.place.domain].Name
				seen = append(seen, hosts.Host{Name: other.name, FailureDomain: domain, Incarnation: 1, State: hosts.StateAlive})
			}
		}
		v := hosts.NewView(k.view, seen...)
		k.step(h, func(now clock.Millis) { h.machine.ViewChanged(now, v) })
	}
}

// step gives a host's machine something and carries out what follows.
func (k *kept) step(h *keptHost, do func(now clock.Millis)) {
	do(k.world.now)
	packets, err := h.machine.Packets(k.world.now)
	if err != nil {
		panic(err) // the machine's own types can be encoded
	}
	for _, p := range packets {
		k.send(h, k.byName[p.To], p.Body)
	}
	for _, d := range h.machine.Decisions() {
		k.decided(h, k.world.asks[d.ID], d)
	}
}

// send delivers a packet after the delay between the hosts.
func (k *kept) send(from, to *keptHost, body []byte) {
	k.world.traffic.Messages++
	k.world.traffic.Bytes += len(body) + frameBytes
	if k.world.cut(from.place.domain, to.place.domain) {
		return
	}
	k.world.after(k.world.delay(from.place.domain, to.place.domain), func() {
		k.step(to, func(now clock.Millis) {
			if err := to.machine.Receive(now, from.name, body); err != nil {
				panic(err) // the body was encoded above
			}
		})
	})
}

// beat tells other failure domains how much room the own one has. It rides on
// heartbeats, so that it adds bytes and no messages.
func (k *kept) beat(from *keptHost) {
	digests := from.machine.DomainDigests(k.world.now)
	body, err := link.Encode(digests)
	if err != nil {
		panic(err) // the digests are plain data
	}
	own := k.world.domains[from.place.domain].Name
	for _, to := range k.hosts {
		apart := to.place.domain - from.place.domain
		turn := (to.place.host - from.place.host + len(k.hosts)) % k.world.domains[to.place.domain].Hosts
		if apart == 0 || turn >= beatsAbroad || k.world.cut(from.place.domain, to.place.domain) {
			continue
		}
		k.world.traffic.Bytes += len(body)
		k.world.after(k.world.delay(from.place.domain, to.place.domain), func() {
			to.machine.RecordDomainDigests(k.world.now, own, digests)
		})
	}
}

func (k *kept) host(r *request) *keptHost { return k.byName[k.world.hostName(r.hostPlace())] }

func (k *kept) arrive(r *request) { k.ask(r, askFirst, nil) }

func (k *kept) ask(r *request, kind askKind, avoid []string) *ask {
	h := k.host(r)
	a := k.world.newAsk(r, kind, avoid)
	k.step(h, func(now clock.Millis) { h.machine.RequestGrant(now, a.form()) })
	return a
}

// end gives a grant back.
func (k *kept) end(a *ask, p sched.Progress, how sched.Outcome) {
	a.closed = true
	h := k.host(a.request)
	p.ID = a.id
	k.step(h, func(now clock.Millis) { h.machine.Done(now, sched.Done{Progress: p, Outcome: how}) })
}

func (k *kept) decided(h *keptHost, a *ask, d keeper.Decision) {
	r := a.request
	switch {
	case d.Refusal != nil && a.kind == askHedge:
		a.closed = true
	case d.Refusal != nil:
		r.end(refusedOrBroken(r), d.Refusal.Reason)
	case a.closed || r.ended != "" || (a.kind == askHedge && r.got > 0):
		k.end(a, sched.Progress{FirstToken: -1}, sched.OutcomeCancelled)
	default:
		a.attempt = r.send(k.world.server(d.Grant.Server), r.class.Tier, true)
		a.attempt.ask = a
		k.planHedge(h, a)
	}
}

func refusedOrBroken(r *request) ending {
	if r.got > 0 {
		return endingBroken
	}
	return endingRefused
}

// planHedge sends a second attempt where the first token is late.
func (k *kept) planHedge(h *keptHost, a *ask) {
	r, first := a.request, a.attempt
	delay := h.hedge.Delay(r.class.Name, "")
	if delay == 0 || a.kind == askHedge || r.got > 0 {
		return
	}
	k.world.after(delay, func() {
		facts := retry.Facts{MayRepeat: true, Sent: retry.SentWhole, ReachedCaller: r.got > 0}
		if first.over || !h.hedge.Start(k.world.now, first.sent, r.giveUp(), r.class.Name, "", facts) {
			return
		}
		r.hedge = k.ask(r, askHedge, []string{first.server.name})
	})
}

// report notes an attempt's progress at its host.
func (k *kept) report(a *attempt) {
	p := a.progress()
	p.ID = a.ask.id
	k.host(a.request).machine.Progress(p)
}

// first takes an attempt's first token: other attempts of the request are
// cancelled.
func (k *kept) first(a *attempt) {
	r, h := a.request, k.host(a.request)
	if a.offset == 0 {
		h.hedge.FirstToken(r.class.Name, "", a.first)
	}
	if r.hedge != nil && r.hedge.attempt == nil && !r.hedge.closed {
		r.hedge.closed = true
		k.step(h, func(now clock.Millis) { h.machine.Cancel(now, r.hedge.id) })
	}
	for _, other := range r.attempts {
		if other != a && !other.over {
			other.cancel()
			k.end(other.ask, sched.Progress{FirstToken: -1}, sched.OutcomeCancelled)
		}
	}
}

func (k *kept) done(a *attempt) {
	k.host(a.request).retries.Succeeded()
	k.end(a.ask, a.progress(), sched.OutcomeDone)
}

// failed frees the slot and asks again: a stream goes on elsewhere. Only a
// restart is paid from the budget, since a stream that goes on puts no work on
// the servers twice.
func (k *kept) failed(a *attempt, how sched.Outcome) {
	r, h := a.request, k.host(a.request)
	k.end(a.ask, a.progress(), how)
	if slices.ContainsFunc(r.attempts, func(other *attempt) bool { return !other.over }) {
		return
	}
	rule := retry.Decide(retry.Facts{MayRepeat: true, Sent: retry.SentWhole, ReachedCaller: r.got > 0, Resumable: true})
	inTime := r.got > 0 || retry.InTime(k.world.now, 0, r.giveUp())
	free := r.got > 0 || how == sched.OutcomeUnreachable
	if len(r.attempts) >= maxAttempts || !rule.Action.Sends() || !inTime || (!free && !h.retries.Take()) {
		r.end(refusedOrBroken(r), "Failed")
		return
	}
	k.ask(r, askRetry, []string{a.server.name})
}
