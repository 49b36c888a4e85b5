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
	// retryShare and hedgeShare are the budgets for restarts and hedges as a
	// share of successful requests; maxSavedRetries and maxSavedHedges limit
	// how much unused budget accumulates.
	retryShare      = 0.1
	maxSavedRetries = 100
	hedgeShare      = 0.02
	maxSavedHedges  = 20
	// maxAttempts is the number of attempts, including hedges, after which a
	// failed request is not retried.
	maxAttempts = 3
	// summaryPeriod is how often a host sends the capacity of its failure
	// domain to the other domains.
	summaryPeriod = 200 * clock.Millis(1)
	// summaryHostsPerDomain is how many hosts of each other domain it sends to.
	summaryHostsPerDomain = 2
	// frameBytes is the framing overhead of the link per message.
	frameBytes = 16
)

// production implements the policies that run production code: each host runs a
// keeper.Machine, which sends grant requests to keepers and acts as keeper of
// groups.
type production struct {
	simulation *simulation
	hosts      []*entryHost
	byName     map[string]*entryHost
	view       uint64
	probes     *probes
}

// entryHost is an entry host with its machine and its retry and hedge budgets.
type entryHost struct {
	place   hostPlace
	name    string
	machine *keeper.Machine
	retries *retry.Budget
	hedge   *retry.Hedge
}

// newProduction creates the hosts. Groups have at most groupSize servers; with 0
// every host decides alone on its share of the slots.
func newProduction(sm *simulation, groupSize int) router {
	pr := &production{simulation: sm, byName: map[string]*entryHost{}, probes: newProbes(sm)}
	random := rand.New(rand.NewPCG(uint64(sm.scenario.Seed), 1))
	settings := schedSettings(sm.deployment)
	for _, place := range sm.hostPlaces() {
		h := &entryHost{
			place:   place,
			name:    sm.hostName(place),
			retries: retry.NewBudget(retryShare, maxSavedRetries),
			hedge:   retry.NewHedge(hedgeShare, maxSavedHedges),
		}
		h.machine = keeper.NewMachine(keeper.MachineSettings{
			Name:          h.name,
			FailureDomain: sm.domains[place.domain].Name,
			GroupSize:     groupSize,
			Services:      func() []string { return []string{service} },
			Servers:       func(_, domain string) []sched.Server { return pr.servers(domain) },
			Settings:      func(string) (sched.Settings, uint64) { return settings, 1 },
			Random:        random.IntN,
			NewAuditor:    sm.newAuditor,
		})
		pr.hosts = append(pr.hosts, h)
		pr.byName[h.name] = h
	}
	pr.start()
	return router{
		arrive: pr.handleArrival, progress: pr.recordProgress, failed: pr.handleFailure,
		firstToken: pr.handleFirstToken, done: pr.handleDone,
	}
}

// newAuditor returns an auditor whose findings are part of the figures.
func (sm *simulation) newAuditor(s sched.Settings) *audit.Auditor {
	a := audit.New(s)
	sm.auditors = append(sm.auditors, a)
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

// servers lists a failure domain's servers in the state that the probes report.
func (pr *production) servers(domain string) []sched.Server {
	var all []sched.Server
	for _, s := range pr.simulation.servers {
		if pr.simulation.domains[s.domain].Name == domain {
			all = append(all, sched.Server{
				Name: s.name, State: pr.probes.state(s), Slots: pr.simulation.deployment.SlotsPerServer,
			})
		}
	}
	return all
}

// start schedules ticks and capacity summaries, and updates the views when
// failure domains are separated or joined.
func (pr *production) start() {
	pr.updateViews()
	for i, h := range pr.hosts {
		stagger := clock.Millis(i) * keeper.TickInterval / clock.Millis(len(pr.hosts))
		pr.simulation.every(stagger, keeper.TickInterval, func() {
			pr.stepMachine(h, func(now clock.Millis) { h.machine.Tick(now) })
		})
		pr.simulation.every(stagger, summaryPeriod, func() { pr.sendCapacitySummary(h) })
	}
	pr.simulation.onPartitionChange = func() { pr.simulation.after(unresponsiveTimeout, pr.updateViews) }
}

// updateViews gives each host a view of the hosts that it can reach.
func (pr *production) updateViews() {
	pr.view++
	for _, h := range pr.hosts {
		var seen []hosts.Host
		for _, other := range pr.hosts {
			if !pr.simulation.partitioned(h.place.domain, other.place.domain) {
				domain := pr.simulation.domains[other.place.domain].Name
				seen = append(seen, hosts.Host{
					Name: other.name, FailureDomain: domain, Incarnation: 1, State: hosts.StateAlive,
				})
			}
		}
		v := hosts.NewView(pr.view, seen...)
		pr.stepMachine(h, func(now clock.Millis) { h.machine.ViewChanged(now, v) })
	}
}

// stepMachine passes an input to a host's machine, then sends its packets and
// handles its decisions.
func (pr *production) stepMachine(h *entryHost, do func(now clock.Millis)) {
	do(pr.simulation.now)
	packets, err := h.machine.Packets(pr.simulation.now)
	if err != nil {
		panic(err) // the machine's packets can always be encoded
	}
	for _, p := range packets {
		pr.send(h, pr.byName[p.To], p.Body)
	}
	for _, d := range h.machine.Decisions() {
		pr.handleDecision(h, pr.simulation.grantRequests[d.ID], d)
	}
}

// send delivers a packet after the delay between the hosts.
func (pr *production) send(from, to *entryHost, body []byte) {
	pr.simulation.traffic.Messages++
	pr.simulation.traffic.Bytes += len(body) + frameBytes
	if pr.simulation.partitioned(from.place.domain, to.place.domain) {
		return
	}
	pr.simulation.after(pr.simulation.delay(from.place.domain, to.place.domain), func() {
		pr.stepMachine(to, func(now clock.Millis) {
			if err := to.machine.Receive(now, from.name, body); err != nil {
				panic(err) // the body was encoded above
			}
		})
	})
}

// sendCapacitySummary sends the free capacity of the host's failure domain to the
// other domains. Heartbeats carry it, so it adds bytes but no messages.
func (pr *production) sendCapacitySummary(from *entryHost) {
	digests := from.machine.DomainDigests(pr.simulation.now)
	body, err := link.Encode(digests)
	if err != nil {
		panic(err) // a summary can always be encoded
	}
	own := pr.simulation.domains[from.place.domain].Name
	for _, to := range pr.hosts {
		apart := to.place.domain - from.place.domain
		turn := (to.place.host - from.place.host + len(pr.hosts)) % pr.simulation.domains[to.place.domain].Hosts
		if apart == 0 || turn >= summaryHostsPerDomain ||
			pr.simulation.partitioned(from.place.domain, to.place.domain) {
			continue
		}
		pr.simulation.traffic.Bytes += len(body)
		pr.simulation.after(pr.simulation.delay(from.place.domain, to.place.domain), func() {
			to.machine.RecordDomainDigests(pr.simulation.now, own, digests)
		})
	}
}

func (pr *production) host(r *request) *entryHost {
	return pr.byName[pr.simulation.hostName(r.hostPlace())]
}

func (pr *production) handleArrival(r *request) { pr.requestGrant(r, attemptFirst, nil) }

func (pr *production) requestGrant(r *request, kind attemptKind, avoid []string) *grantRequest {
	h := pr.host(r)
	g := pr.simulation.newGrantRequest(r, kind, avoid)
	pr.stepMachine(h, func(now clock.Millis) { h.machine.RequestGrant(now, g.schedRequest()) })
	return g
}

// releaseGrant reports the outcome of an attempt and frees its slot.
func (pr *production) releaseGrant(g *grantRequest, p sched.Progress, how sched.Outcome) {
	g.closed = true
	h := pr.host(g.request)
	p.ID = g.id
	pr.stepMachine(h, func(now clock.Millis) {
		h.machine.Done(now, sched.Done{Progress: p, Outcome: how})
	})
}

func (pr *production) handleDecision(h *entryHost, g *grantRequest, d keeper.Decision) {
	r := g.request
	switch {
	case d.Refusal != nil && g.kind == attemptHedge:
		g.closed = true
	case d.Refusal != nil:
		r.end(failureEnding(r), d.Refusal.Reason)
	case g.closed || r.ended != "" || (g.kind == attemptHedge && r.received > 0):
		pr.releaseGrant(g, sched.Progress{FirstToken: -1}, sched.OutcomeCancelled)
	default:
		g.attempt = r.send(pr.simulation.server(d.Grant.Server), r.class.Tier, true)
		g.attempt.grantRequest = g
		pr.scheduleHedge(h, g)
	}
}

func failureEnding(r *request) ending {
	if r.received > 0 {
		return endingBroken
	}
	return endingRefused
}

// scheduleHedge schedules a second attempt in case the first token is late.
func (pr *production) scheduleHedge(h *entryHost, g *grantRequest) {
	r, first := g.request, g.attempt
	delay := h.hedge.Delay(r.class.Name, "")
	if delay == 0 || g.kind == attemptHedge || r.received > 0 {
		return
	}
	pr.simulation.after(delay, func() {
		facts := retry.Facts{MayRepeat: true, Sent: retry.SentWhole, ReachedCaller: r.received > 0}
		if first.finished ||
			!h.hedge.Start(pr.simulation.now, first.sent, r.waitDeadline(), r.class.Name, "", facts) {
			return
		}
		r.hedge = pr.requestGrant(r, attemptHedge, []string{first.server.name})
	})
}

// recordProgress reports an attempt's progress to its host's machine.
func (pr *production) recordProgress(a *attempt) {
	p := a.progress()
	p.ID = a.grantRequest.id
	pr.host(a.request).machine.Progress(p)
}

// handleFirstToken cancels the other attempts of a request whose first token has
// arrived.
func (pr *production) handleFirstToken(a *attempt) {
	r, h := a.request, pr.host(a.request)
	if a.offset == 0 {
		h.hedge.FirstToken(r.class.Name, "", a.first)
	}
	if r.hedge != nil && r.hedge.attempt == nil && !r.hedge.closed {
		r.hedge.closed = true
		pr.stepMachine(h, func(now clock.Millis) { h.machine.Cancel(now, r.hedge.id) })
	}
	for _, other := range r.attempts {
		if other != a && !other.finished {
			other.cancel()
			pr.releaseGrant(other.grantRequest, sched.Progress{FirstToken: -1}, sched.OutcomeCancelled)
		}
	}
}

func (pr *production) handleDone(a *attempt) {
	pr.host(a.request).retries.Succeeded()
	pr.releaseGrant(a.grantRequest, a.progress(), sched.OutcomeDone)
}

// handleFailure releases the slot and requests another one; a stream that has
// begun resumes on another server. Only a restart uses the retry budget, since
// a resumed stream repeats no work on the servers.
func (pr *production) handleFailure(a *attempt, how sched.Outcome) {
	r, h := a.request, pr.host(a.request)
	pr.releaseGrant(a.grantRequest, a.progress(), how)
	if slices.ContainsFunc(r.attempts, func(other *attempt) bool { return !other.finished }) {
		return
	}
	rule := retry.Decide(retry.Facts{
		MayRepeat: true, Sent: retry.SentWhole, ReachedCaller: r.received > 0, Resumable: true,
	})
	inTime := r.received > 0 || retry.InTime(pr.simulation.now, 0, r.waitDeadline())
	free := r.received > 0 || how == sched.OutcomeUnreachable
	if len(r.attempts) >= maxAttempts || !rule.Action.Sends() || !inTime || (!free && !h.retries.Take()) {
		r.end(failureEnding(r), "Failed")
		return
	}
	pr.requestGrant(r, attemptRetry, []string{a.server.name})
}
