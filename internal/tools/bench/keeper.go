package bench

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
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
)

// keeper decides for some servers, at one of the entry hosts.
type keeper struct {
	world   *world
	place   hostPlace
	slots   int
	servers []*server
	decider *decide.Decider
	// audit checks every decision from outside.
	audit  *audit.Auditor
	health *health
	// digest is what hosts have last heard.
	digest sched.Digest
}

func newKeeper(w *world, place hostPlace, servers []*server, slots int) *keeper {
	k := &keeper{world: w, place: place, slots: slots, servers: servers}
	k.health = newHealth(w, k.setServers)
	settings := schedSettings(w.deployment)
	k.decider = decide.New(settings)
	k.audit = audit.New(settings)
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
		list = append(list, sched.Server{Name: s.name, State: k.health.state(s), Slots: k.slots})
	}
	k.audit.SetServers(k.world.now, list)
	k.decider.SetServers(k.world.now, list)
	k.flush()
}

// tick lets time pass.
func (k *keeper) tick() {
	k.decider.Tick(k.world.now)
	k.flush()
}

func (k *keeper) offer(ask sched.Request) {
	ask = k.decider.Predict(ask)
	k.audit.Offer(k.world.now, ask)
	k.decider.Offer(k.world.now, ask)
	k.flush()
}

func (k *keeper) report(list []sched.Progress) {
	for _, p := range list {
		k.audit.Progress(k.world.now, p)
		k.decider.Progress(k.world.now, p)
	}
	k.flush()
}

// release frees a slot. A server that has failed is left before its slot is
// given to another request.
func (k *keeper) release(d sched.Done, server string) {
	if d.Outcome == sched.OutcomeFailed {
		k.health.fail(k.server(server))
	}
	k.audit.Release(k.world.now, d)
	k.decider.Release(k.world.now, d)
	k.flush()
}

func (k *keeper) cancel(id string) {
	k.audit.Cancel(k.world.now, id)
	k.decider.Cancel(k.world.now, id)
	k.flush()
}

// dropHost cancels all requests of a host that cannot be reached any more.
func (k *keeper) dropHost(place hostPlace) {
	for _, a := range k.world.asks {
		if a.keeper == k && a.request.hostPlace() == place {
			k.audit.Cancel(k.world.now, a.id)
		}
	}
	k.decider.DropHost(k.world.now, k.world.hostName(place))
	k.flush()
}

// flush sends the decisions to the hosts that wait for them.
func (k *keeper) flush() {
	decisions := k.decider.Take(k.world.now)
	k.audit.Decided(k.world.now, decisions)
	for _, d := range decisions {
		a := k.world.asks[d.ID]
		k.world.send(k.place, a.request.hostPlace(), d, func() { k.world.router.decided(a, d) })
	}
}

func (k *keeper) server(name string) *server {
	at := slices.IndexFunc(k.servers, func(s *server) bool { return s.name == name })
	return k.servers[at]
}
