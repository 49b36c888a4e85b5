package bench

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/decide"
	"siskinsaddle/internal/policy/sched"
)

const (
	// tickPeriod is how often a keeper lets time pass without a message.
	tickPeriod = 10 * clock.Millis(1)
	// reportPeriod is how often a host bundles its progress reports, and a
	// keeper sends its digest.
	reportPeriod = 200 * clock.Millis(1)
	// groupSize is how many servers a group has at the most.
	groupSize = 8
	// retries bounds how often a request is sent again.
	retries = 2
)

// keeper decides for some servers, at one of the entry hosts.
type keeper struct {
	world   *world
	place   hostPlace
	slots   int
	servers []*server
	decider *decide.Decider
	health  *health
	// digest is what hosts have last heard.
	digest sched.Digest
}

func newKeeper(w *world, place hostPlace, servers []*server, slots int) *keeper {
	k := &keeper{world: w, place: place, slots: slots, servers: servers}
	k.health = newHealth(servers)
	k.decider = decide.New(schedSettings(w.deployment))
	k.setServers()
	return k
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

func (k *keeper) setServers() {
	list := make([]sched.Server, 0, len(k.servers))
	for _, s := range k.servers {
		list = append(list, sched.Server{Name: s.name, State: k.health.state(s.name), Slots: k.slots})
	}
	k.decider.SetServers(k.world.now, list)
}

// tick lets time pass.
func (k *keeper) tick() {
	if k.health.recover(k.world.now) {
		k.setServers()
	}
	k.decider.Tick(k.world.now)
	k.flush()
}

func (k *keeper) offer(ask sched.Request) {
	k.decider.Offer(k.world.now, ask)
	k.flush()
}

func (k *keeper) report(list []sched.Progress) {
	for _, p := range list {
		k.decider.Progress(k.world.now, p)
	}
	k.flush()
}

func (k *keeper) release(d sched.Done, server string) {
	k.decider.Release(k.world.now, d)
	if d.Outcome == sched.OutcomeFailed {
		k.health.fail(k.world.now, server)
		k.setServers()
	}
	k.flush()
}

// flush sends the decisions to the hosts that wait for them.
func (k *keeper) flush() {
	for _, d := range k.decider.Take(k.world.now) {
		r := k.world.byID[d.ID]
		k.world.send(k.place, r.hostPlace(), d, func() { k.decided(r, d) })
	}
}

// decided is a decision's arrival at the host.
func (k *keeper) decided(r *request, d sched.Decision) {
	if d.Kind == sched.DecisionRefuse {
		if r.got > 0 {
			r.end(endingBroken, d.Reason)
			return
		}
		r.end(endingRefused, d.Reason)
		return
	}
	at := slices.IndexFunc(k.servers, func(s *server) bool { return s.name == d.Server })
	r.keeper = k
	r.send(k.servers[at], r.class.Tier, true)
}

// kept is the policies that decide through keepers.
type kept struct {
	world   *world
	keepers []*keeper
	// choices are the keepers that a host may ask.
	choices map[hostPlace][]*keeper
	asks    int
}

func (k *kept) router() router {
	return router{arrive: k.arrive, failed: k.failed, done: k.done}
}

// start plans ticks, reports and digests.
func (k *kept) start() {
	for _, one := range k.keepers {
		k.world.every(0, tickPeriod, one.tick)
	}
	for i, place := range k.world.hostPlaces() {
		offset := clock.Millis(i) * reportPeriod / 7
		k.world.every(offset, reportPeriod, func() { k.reportFrom(place) })
	}
	for _, one := range k.keepers {
		k.world.every(0, reportPeriod, func() { k.digestFrom(one) })
	}
}

func (k *kept) arrive(r *request) { k.ask(r, nil) }

func (k *kept) ask(r *request, avoid []string) {
	to := k.choose(r)
	ask := sched.Request{
		ID:           r.id,
		Host:         k.world.hostName(r.hostPlace()),
		Service:      "llm",
		Class:        r.class.Name,
		Workspace:    r.workspace,
		Arrived:      r.at,
		Deadline:     r.at + r.class.FirstTokenMilliseconds,
		GiveUp:       r.giveUp(),
		PromptTokens: r.prompt,
		Prefix:       r.prefix,
		Avoid:        avoid,
	}
	if r.got > 0 {
		ask.GiveUp = max(ask.GiveUp, k.world.now+r.class.MaxWaitMilliseconds)
	}
	k.world.send(r.hostPlace(), to.place, ask, func() { to.offer(ask) })
}

// choose takes the better of two keepers by their digests, which lag.
func (k *kept) choose(r *request) *keeper {
	among := k.choices[r.hostPlace()]
	k.asks++
	a := among[(k.asks*7919)%len(among)]
	b := among[(k.asks*104729+1)%len(among)]
	if digestLoad(b.digest) < digestLoad(a.digest) {
		return b
	}
	return a
}

func digestLoad(d sched.Digest) int { return d.Waiting - d.FreeSlots }

func (k *kept) done(a *attempt) { k.release(a, sched.OutcomeDone) }

func (k *kept) release(a *attempt, how sched.Outcome) {
	r := a.request
	d := sched.Done{Progress: a.progress(), Outcome: how}
	to := r.keeper
	k.world.send(r.hostPlace(), to.place, d, func() { to.release(d, a.server.name) })
}

// failed frees the slot and asks again: the stream goes on elsewhere.
func (k *kept) failed(a *attempt) {
	k.release(a, sched.OutcomeFailed)
	r := a.request
	if r.tries > retries {
		r.end(endingBroken, "Failed")
		return
	}
	k.ask(r, []string{a.server.name})
}

// reportFrom sends a host's bundles of progress, one to each keeper.
func (k *kept) reportFrom(place hostPlace) {
	for _, to := range k.choices[place] {
		var list []sched.Progress
		for _, r := range k.world.requests {
			if r.keeper == to && r.hostPlace() == place && r.ended == "" && r.attempt != nil && !r.attempt.over {
				list = append(list, r.attempt.progress())
			}
		}
		if len(list) > 0 {
			k.world.send(place, to.place, list, func() { to.report(list) })
		}
	}
}

func (k *kept) digestFrom(from *keeper) {
	d := from.decider.Digest(k.world.now)
	for place, among := range k.choices {
		if len(among) > 1 && slices.Contains(among, from) {
			k.world.count(from.place, place, d)
		}
	}
	k.world.after(k.world.deployment.Network.InDomainMilliseconds, func() { from.digest = d })
}
