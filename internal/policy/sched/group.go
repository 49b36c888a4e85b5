package sched

import (
	"cmp"
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
)

// Group decides for a few backend servers. Take New; it is not safe for
// concurrent use.
type Group struct {
	settings Settings
	weights  map[string]int
	classes  map[classKey]*class
	tiers    []*tier
	servers  []*server
	byName   map[string]*server
	waiting  map[string]*entry
	running  map[string]*run
	// expiry orders all waiting entries by GiveUp, timers all queues by the
	// time at which their next entry becomes late.
	expiry   indexed[*entry]
	timers   indexed[*queue]
	sequence uint64
	capacity int
	// free and reserve are the group's free slots and those kept for urgent
	// tiers, as of the last updateReserve.
	free      int
	reserve   int
	decisions []Decision
	scratch   []Candidate
}

// New returns a Group without servers.
func New(s Settings) *Group {
	g := &Group{byName: map[string]*server{}, waiting: map[string]*entry{}, running: map[string]*run{}}
	g.expiry.less = func(a, b *entry) bool {
		if a.GiveUp != b.GiveUp {
			return a.GiveUp < b.GiveUp
		}
		return a.sequence < b.sequence
	}
	g.expiry.place = func(e *entry) *int { return &e.place }
	g.timers.less = func(a, b *queue) bool { return a.entries[a.late].startBy < b.entries[b.late].startBy }
	g.timers.place = func(q *queue) *int { return &q.inTimer }
	g.apply(s)
	return g
}

func (g *Group) apply(s Settings) {
	g.settings = s
	g.classes, g.tiers = buildTiers(s.Classes)
	g.weights = make(map[string]int, len(s.Workspaces))
	for _, w := range s.Workspaces {
		g.weights[w.Name] = max(1, w.Weight)
	}
	g.capacity = 0
	for _, c := range s.Classes {
		if c.MaxWaiting <= 0 {
			g.capacity = math.MaxInt
			break
		}
		g.capacity += c.MaxWaiting
	}
}

// SetSettings replaces the settings. Waiting and running requests keep their
// places as far as the new classes allow.
func (g *Group) SetSettings(now clock.Millis, s Settings) {
	waiting := make([]*entry, 0, len(g.waiting))
	for _, e := range g.waiting {
		waiting = append(waiting, e)
	}
	slices.SortFunc(waiting, bySequence)
	before := g.classes
	for _, e := range waiting {
		g.remove(e)
	}
	g.apply(s)
	for _, r := range g.running {
		r.share = g.shareOf(r.Request)
		r.share.addRunning(1)
	}
	for _, e := range waiting {
		g.add(now, e)
	}
	for name, c := range g.classes {
		if old := before[name]; old != nil {
			c.hold, c.unserved, c.surge = old.hold, old.unserved, old.surge
		}
	}
	g.settle(now)
}

// SetServers replaces the list of servers. What runs on a server that is no
// longer named goes on until it is released, and counts again if the server
// comes back before.
func (g *Group) SetServers(now clock.Millis, list []Server) {
	before := g.byName
	g.byName = make(map[string]*server, len(list))
	g.servers = g.servers[:0]
	for _, v := range list {
		s := before[v.Name]
		if s == nil {
			s = &server{slots: newSlots(v.Slots, now)}
		}
		s.Server = v
		s.slots.resize(v.Slots)
		g.byName[v.Name] = s
		g.servers = append(g.servers, s)
	}
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	for name, s := range before {
		if g.byName[name] == nil && s.running > 0 {
			s.State = ServerDown
			g.byName[name] = s
		}
	}
	g.advance(now)
	g.refuseUnserved()
	g.requeueAvoiding(now)
	g.dispatch(now)
}

// SetSpeed leaves a server that is slower than its siblings this share of its
// slots, from 0 to 1, and at least one. As its own load may be the cause, the
// server goes on below what it ran then, and grows back by small steps.
func (g *Group) SetSpeed(now clock.Millis, name string, weight float64) {
	if s := g.byName[name]; s != nil {
		s.slots.slow(now, weight, s.running)
	}
}

// Running is how many requests run on a server.
func (g *Group) Running(name string) int {
	if s := g.byName[name]; s != nil {
		return s.running
	}
	return 0
}

// Offer adds a waiting request. One that is known already keeps its place; if
// it runs, its grant is repeated.
func (g *Group) Offer(now clock.Millis, r Request) {
	if _, ok := g.waiting[r.ID]; ok {
		return
	}
	if known, ok := g.running[r.ID]; ok {
		g.decide(Decision{ID: r.ID, Host: r.Host, Kind: DecisionGrant, Server: known.server.Name})
		return
	}
	if !g.anyServes(r.Model) {
		g.refuse(r, ReasonNoServer)
		return
	}
	if r.Spilled {
		g.advance(now)
		g.offerSpilled(now, r)
		return
	}
	g.sequence++
	e := &entry{Request: r, sequence: g.sequence, startBy: r.Deadline, place: absent}
	if g.settings.FirstToken != nil {
		e.startBy -= g.settings.FirstToken(r)
	}
	g.add(now, e)
	e.queue.lane.class.surge.arrive(now)
	g.advance(now)
	g.dispatch(now)
	g.bound(now, e)
	g.shedHopeless(now)
}

// Cancel withdraws a request that waits, or frees the slot of one that was
// granted.
func (g *Group) Cancel(now clock.Millis, id string) {
	if e, ok := g.waiting[id]; ok {
		g.remove(e)
		g.advance(now)
		return
	}
	g.Release(now, Done{Progress: Progress{ID: id}, Outcome: OutcomeCancelled})
}

// DropHost cancels all requests of an entry host that was lost. Waiting ones go
// first, so that none of them is granted a slot that comes free.
func (g *Group) DropHost(now clock.Millis, host string) {
	var waiting, running []string
	for id, e := range g.waiting {
		if e.Host == host {
			waiting = append(waiting, id)
		}
	}
	for id, r := range g.running {
		if r.Host == host {
			running = append(running, id)
		}
	}
	slices.Sort(waiting)
	slices.Sort(running)
	for _, id := range append(waiting, running...) {
		g.Cancel(now, id)
	}
}

// Adopt enters a request that runs already, after the state was lost.
func (g *Group) Adopt(now clock.Millis, r Request, name string) {
	g.advance(now)
	if _, ok := g.running[r.ID]; ok {
		return
	}
	if e, ok := g.waiting[r.ID]; ok {
		g.remove(e)
	}
	s := g.byName[name]
	if s == nil {
		s = &server{Server: Server{Name: name, State: ServerDown}}
		g.byName[name] = s
	}
	g.start(now, r, s)
}

// Progress takes what a host has seen of a running request.
func (g *Group) Progress(now clock.Millis, p Progress) {
	r, ok := g.running[p.ID]
	if !ok {
		return
	}
	g.observe(now, r, p)
	g.settle(now)
}

// Release ends a granted request and frees its slot. An unknown one is
// ignored.
func (g *Group) Release(now clock.Millis, d Done) {
	r, ok := g.running[d.ID]
	if !ok {
		return
	}
	g.observe(now, r, d.Progress)
	g.stop(now, r, d)
	g.settle(now)
}

// Tick lets time pass: expired requests are refused and due floors served.
func (g *Group) Tick(now clock.Millis) { g.settle(now) }

func (g *Group) settle(now clock.Millis) {
	g.advance(now)
	g.dispatch(now)
	g.shedHopeless(now)
}

// Take returns the decisions since the last call, in the order they were made.
func (g *Group) Take() []Decision {
	taken := g.decisions
	g.decisions = nil
	return taken
}

// Digest returns the group in a few numbers.
func (g *Group) Digest(now clock.Millis) Digest {
	g.updateReserve(now)
	d := Digest{FreeSlots: g.openSlots(), Waiting: len(g.waiting), Running: len(g.running)}
	if len(g.tiers) > 0 && d.FreeSlots == 0 {
		d.WaitEstimate = g.waitEstimate(g.tiers[len(g.tiers)-1])
	}
	return d
}

// openSlots counts the free slots that every tier may use.
func (g *Group) openSlots() int {
	open := 0
	for _, s := range g.servers {
		open += max(0, s.free()-g.settings.Headroom.Slots)
	}
	return max(0, min(open, g.free-g.reserve))
}

func (g *Group) freeSlots() int {
	free := 0
	for _, s := range g.servers {
		free += s.free()
	}
	return free
}

func (g *Group) decide(d Decision) { g.decisions = append(g.decisions, d) }
