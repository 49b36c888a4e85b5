package broker

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

const (
	// deskPeriod is how often a desk decides while requests wait, in
	// milliseconds: what is left to read shrinks meanwhile.
	deskPeriod = 10 * clock.Millis(1)
	// mostAtOnce is how many requests may wait for each event to be followed by
	// a round of decisions; with more there is one each deskPeriod. A round takes
	// some 8 us for each that waits, with 60 servers, and a request three events.
	mostAtOnce = 4
	// standstill is the gap between two looks after which a desk takes it that
	// its host stood still, in milliseconds. What waited has gone elsewhere.
	standstill = 700 * clock.Millis(1)
)

// errForgotten ends the asks of a desk that stood still.
var errForgotten = errors.New("the keeper stood still and has forgotten the request")

// desk decides for one pool while this host is its keeper.
type desk struct {
	pool     pool
	settings grant.Settings
	clock    clock.Clock
	log      *logs.Limited

	mu      sync.Mutex
	core    *grant.Core
	servers []fleet.Server
	waiting map[string]chan grant.Decision
	ticking bool
	looked  clock.Millis
	// holdings asks a server what it has cached, asked are the servers that
	// were asked, by ID and address.
	holdings func(ctx context.Context, s fleet.Server) ([]place.Segment, error)
	asked    map[string]bool
	used     bool
}

func newDesk(p pool, c *Clerk) *desk {
	return &desk{
		pool:     p,
		settings: c.Settings,
		clock:    c.Clock,
		log:      c.Log.With("service", p),
		core:     grant.New(c.Settings),
		waiting:  map[string]chan grant.Decision{},
		holdings: c.Holdings,
		asked:    map[string]bool{},
	}
}

// askHoldings asks each server once what it has cached, so that a keeper which
// takes over, or starts with all other hosts, does not have it read again. The
// lock is held.
func (d *desk) askHoldings() {
	if d.holdings == nil || !d.used {
		return
	}
	for _, s := range d.servers {
		if key := askedKey(s); !d.asked[key] {
			d.asked[key] = true
			go d.learnHoldings(s)
		}
	}
}

func askedKey(s fleet.Server) string { return s.ID + "@" + s.Address }

func (d *desk) learnHoldings(s fleet.Server) {
	parts, err := d.holdings(context.Background(), s)
	if err != nil {
		d.log.Warn("A server did not say what it has cached.", "server", s.ID, "err", err)
		return
	}
	d.log.Info("A server said what it has cached.", "server", s.ID, "parts", len(parts))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.AddCached(d.clock.Now(), []grant.CachedSegments{{Server: s.ID, Parts: parts}})
	d.decide()
}

func (d *desk) setServers(all []fleet.Server, split grant.Split) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = nil
	asked := map[string]bool{}
	for _, s := range all {
		if split.Has(d.pool.index, s.ID) {
			d.servers = append(d.servers, s)
			asked[askedKey(s)] = d.asked[askedKey(s)]
		}
	}
	// A server that left the pool and comes back is asked again.
	d.asked = asked
	d.core.SetServers(d.servers)
	d.askHoldings()
	d.decide()
}

// ask waits for a decision.
func (d *desk) ask(ctx context.Context, a grant.Request) (grant.Decision, error) {
	decided := make(chan grant.Decision, 1)
	d.mu.Lock()
	d.waiting[a.ID] = decided
	if !d.used {
		d.used = true
		d.askHoldings()
	}
	d.core.Enqueue(d.clock.Now(), a)
	d.decide()
	d.mu.Unlock()
	select {
	case got, ok := <-decided:
		if !ok {
			return grant.Decision{}, errForgotten
		}
		return got, nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, a.ID)
		d.core.Cancel(d.clock.Now(), a.ID)
		d.decide()
		return grant.Decision{}, ctx.Err()
	}
}

func (d *desk) note(n noteMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	switch {
	case n.Kind == noteStarted:
		d.core.FirstEvent(now, n.ID)
	case n.Outcome == place.OutcomeCancelled:
		delete(d.waiting, n.ID)
		d.core.Cancel(now, n.ID)
	default:
		d.core.Ended(now, n.ID, n.Outcome)
	}
	d.decide()
}

func (d *desk) report(m reportMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.core.AddCached(now, m.Held)
	for _, r := range m.Running {
		r.Ask.TimeLeft = r.Left
		d.core.AddRunning(now, r.Ask, r.Server, r.Started)
	}
	d.decide()
}

// decide hands out what is ready. The lock is held.
func (d *desk) decide() {
	now := d.clock.Boot()
	if d.ticking && now-d.looked > standstill {
		d.forget(now - d.looked)
	}
	if d.ticking && d.core.Waiting() > mostAtOnce && now-d.looked < deskPeriod {
		return
	}
	d.looked = now
	for _, h := range d.core.TakeChanges() {
		d.log.Info("A server's health changed.", "server", h.Server, "change", string(h.Change), "outcome", string(h.Outcome), "id", h.ID)
	}
	for _, got := range d.core.Next(d.clock.Now()) {
		if decided, ok := d.waiting[got.ID]; ok {
			delete(d.waiting, got.ID)
			decided <- got
		}
	}
	if d.core.Waiting() > 0 && !d.ticking {
		d.ticking = true
		go d.tick()
	}
}

// forget begins anew after a standstill: what was granted may be over, and what
// waited was taken elsewhere. The hosts report again.
func (d *desk) forget(gap clock.Millis) {
	d.log.Warn("This keeper stood still and begins anew.", "gap", gap, "waiting", len(d.waiting))
	for id, decided := range d.waiting {
		close(decided)
		delete(d.waiting, id)
	}
	held := d.core.CachedSegments()
	d.core = grant.New(d.settings)
	d.core.SetServers(d.servers)
	d.core.AddCached(d.clock.Now(), held)
}

// tick decides again and again while requests wait.
func (d *desk) tick() {
	for {
		<-d.clock.After(deskPeriod)
		d.mu.Lock()
		d.decide()
		if d.core.Waiting() == 0 {
			d.ticking = false
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
	}
}
