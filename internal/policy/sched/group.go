package sched

import (
	"cmp"
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
)

// Group schedules the requests of a set of backend servers.
// Create one with New; it is not safe for concurrent use.
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
	expiry   indexedHeap[*entry]
	timers   indexedHeap[*queue]
	sequence uint64
	capacity int
	// free is the number of free slots and reserve the number reserved for urgent
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
	g.expiry.index = func(e *entry) *int { return &e.index }
	g.timers.less = func(a, b *queue) bool { return a.entries[a.late].startBy < b.entries[b.late].startBy }
	g.timers.index = func(q *queue) *int { return &q.timerIndex }
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

// SetSettings replaces the settings. Waiting and running requests are kept and
// reassigned to the new classes.
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
		r.usage = g.usageOf(r.Request)
		r.usage.addRunning(1)
	}
	for _, e := range waiting {
		g.add(now, e)
	}
	for name, c := range g.classes {
		if old := before[name]; old != nil {
			c.holdTime, c.unservedSince, c.arrivals = old.holdTime, old.unservedSince, old.arrivals
		}
	}
	g.reschedule(now)
}

// SetServers replaces the list of servers. Requests on a server that is no longer
// listed keep running until they are released, and count again if the server is
// listed again before that.
func (g *Group) SetServers(now clock.Millis, list []Server) {
	before := g.byName
	g.byName = make(map[string]*server, len(list))
	g.servers = g.servers[:0]
	for _, v := range list {
		s := before[v.Name]
		if s == nil {
			s = &server{limiter: newLimiter(v.Slots, now)}
		}
		s.Server = v
		s.limiter.resize(v.Slots)
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
	g.refuseUnservable()
	g.requeueAvoiding(now)
	g.dispatch(now)
}

// SetSpeed sets the speed of a server relative to the others, from 0 to 1. A slower
// server may use only this share of its limit, and at least one slot. Its own load may
// be the cause, so the limit falls below the number of requests running then, and grows
// back in small steps.
func (g *Group) SetSpeed(now clock.Millis, name string, speed float64) {
	if s := g.byName[name]; s != nil {
		s.limiter.setSpeed(now, speed, s.running)
	}
}

// Running returns the number of requests running on a server.
func (g *Group) Running(name string) int {
	if s := g.byName[name]; s != nil {
		return s.running
	}
	return 0
}

// Offer adds a waiting request. A request that is already waiting keeps its place;
// for one that is running the grant is repeated.
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
	e := &entry{Request: r, sequence: g.sequence, startBy: r.Deadline, index: noIndex}
	if g.settings.FirstToken != nil {
		e.startBy -= g.settings.FirstToken(r)
	}
	g.add(now, e)
	e.queue.lane.class.arrivals.record(now)
	g.advance(now)
	g.dispatch(now)
	g.enforceCapacity(now, e)
	g.shedTooLate(now)
}

// Cancel removes a waiting request or frees the slot of a granted one. When the latter
// ended is not known, so that it adds nothing to the hold times of its class.
func (g *Group) Cancel(now clock.Millis, id string) {
	if e, ok := g.waiting[id]; ok {
		g.remove(e)
		g.advance(now)
		return
	}
	if r, ok := g.running[id]; ok {
		g.freeSlot(r)
		g.reschedule(now)
	}
}

// DropHost cancels all requests of a lost entry host. Waiting ones are canceled
// first, so that none of them is granted a freed slot.
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

// Adopt registers a request that is already running, to rebuild lost state.
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

// Progress processes a host's report on a running request.
func (g *Group) Progress(now clock.Millis, p Progress) {
	r, ok := g.running[p.ID]
	if !ok {
		return
	}
	g.observe(now, r, p)
	g.reschedule(now)
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
	g.reschedule(now)
}

// Tick advances the clock: it refuses expired requests and grants due floors.
func (g *Group) Tick(now clock.Millis) { g.reschedule(now) }

func (g *Group) reschedule(now clock.Millis) {
	g.advance(now)
	g.dispatch(now)
	g.shedTooLate(now)
}

// Take returns the decisions since the last call, in the order they were made.
func (g *Group) Take() []Decision {
	taken := g.decisions
	g.decisions = nil
	return taken
}

// Digest returns a summary of the group.
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
