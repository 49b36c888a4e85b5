// Package guard keeps a list of quarantined prompt segments, those that crash backend
// servers, and shares it among all hosts.
//
// The host that decides where a prompt runs, its keeper or the prompt's own host, feeds
// the events of the prompt to this package. What it finds out about a crash goes to the
// analysts of the service too: the hosts that keep its first pool, now and next. So the
// crashes in all pools count together, and the observations survive a keeper. A host whose
// observations show a poisoned segment tells all hosts, retries those that cannot be
// reached, and writes a record into the table of hosts, which each host reads at its start.
//
// # Usage
//
//	g := &guard.Guard{Self: "host-1", Members: registry.Members, Analysts: b.Analysts, Link: node, Clock: clk, Log: l, Count: set}
//	g.Register()                     // before the link runs
//	go g.Run(ctx)
//	segment, left := g.Quarantined("canvas-llm", segments)
//	g.Granted("canvas-llm", id, server, segments, timeLeft)
//	g.Started("canvas-llm", id)
//	g.Ended("canvas-llm", id, place.OutcomeBroken)
package guard

import (
	"context"
	"strconv"
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/poison"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
)

const (
	// quarantineTime is how long a segment is refused, in milliseconds: some time in
	// which operators can mend the servers or the caller.
	quarantineTime = 60 * clock.Minute
	// maxQuarantined bounds the number of quarantined segments of a service. Above it
	// the one that ends first is dropped.
	maxQuarantined = 200
)

// segmentKey names a segment of a service.
type segmentKey struct{ service, segment string }

// Guard holds the observations and the quarantine of all services. Its exported fields are
// set before Register.
type Guard struct {
	Self string
	// Members and Link are nil for a host without others.
	Members func() []member.Member
	// Analysts returns the hosts that collect the observations about a service.
	Analysts func(service string) []string
	Link     *link.Node
	// Commit writes to the store, nil for a host without one. Table is the table of
	// hosts.
	Commit func(ctx context.Context, c rows.Change) (rows.Reply, error)
	Table  string
	Clock  clock.Clock
	Log    *logs.Limited
	Count  *count.Set

	mu         sync.Mutex
	detectors  map[string]*poison.Detector
	quarantine map[string]map[string]clock.Millis // by service and segment: the end by Clock.Boot
	settling   map[string]bool
	// detected are the entries that this host has found, whose records it writes, by the
	// end of their quarantine by Clock.Boot.
	detected map[segmentKey]clock.Millis
	// expired are the keys of records whose quarantine has ended.
	expired map[string]bool
	// pending are the entries that Run has yet to share.
	pending chan Entry
}

// Register installs the handlers for messages of other hosts. It is called before the
// link runs.
func (g *Guard) Register() {
	g.detectors = map[string]*poison.Detector{}
	g.quarantine = map[string]map[string]clock.Millis{}
	g.settling = map[string]bool{}
	g.detected = map[segmentKey]clock.Millis{}
	g.expired = map[string]bool{}
	g.pending = make(chan Entry, maxQuarantined)
	if g.Link != nil {
		g.Link.Handle(kindObservations, g.handleObservations)
		g.Link.Handle(kindQuarantine, g.handleQuarantine)
		g.Link.Handle(kindList, g.handleList)
	}
}

// detector returns the detector of a service. The caller holds the lock.
func (g *Guard) detector(service string) *poison.Detector {
	t := g.detectors[service]
	if t == nil {
		t = poison.New(poison.Defaults())
		g.detectors[service] = t
	}
	return t
}

// Quarantined returns the first of a prompt's prefix segments that is quarantined and the
// rest of its quarantine in milliseconds, or "".
func (g *Guard) Quarantined(service string, segments []place.Segment) (string, clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.quarantine[service]
	if len(all) == 0 {
		return "", 0
	}
	now := g.Clock.Boot()
	for _, s := range place.PrefixSegments(segments) {
		until, ok := all[s.Name]
		if ok && now < until {
			return s.Name, until - now
		}
		if ok {
			delete(all, s.Name)
			g.detector(service).Forget(s.Name)
		}
	}
	return "", 0
}

// Granted records that a prompt is sent to a server. TimeLeft is the time until its
// deadline in milliseconds.
func (g *Guard) Granted(service, id string, server fleet.Server, segments []place.Segment, timeLeft clock.Millis) {
	prefix := place.PrefixSegments(segments)
	names := make([]string, 0, len(prefix))
	for _, s := range prefix {
		names = append(names, s.Name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.detector(service).Granted(now, poison.Request{ID: id, Server: incarnation(server), Segments: names, Until: now + timeLeft})
}

// incarnation names a server between two of its starts.
func incarnation(s fleet.Server) string {
	return s.ID + "@" + s.Address + "#" + strconv.FormatInt(s.Born, 10)
}

// Started records the first event of a prompt's answer.
func (g *Guard) Started(service, id string) {
	g.mu.Lock()
	t := g.detector(service)
	t.Started(g.Clock.Now(), id)
	e := t.TakeObservations()
	g.mu.Unlock()
	g.shareObservations(service, e)
}

// Ended records how a prompt ended at its server.
func (g *Guard) Ended(service, id string, o place.Outcome) {
	g.mu.Lock()
	t := g.detector(service)
	suspect := t.Ended(g.Clock.Now(), id, o)
	e := t.TakeObservations()
	g.mu.Unlock()
	g.shareObservations(service, e)
	if suspect {
		g.settle(service)
	}
}

// settle detects poisoned segments once the suspects of a crash are known.
func (g *Guard) settle(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settling[service] {
		return
	}
	g.settling[service] = true
	go func() {
		// One tick more, since a crash is settled only after the whole time.
		<-g.Clock.After(poison.Defaults().SettleTime + 1)
		g.detect(service)
	}()
}

// detect quarantines the segments that the observations show to be poisoned, and shares
// them.
func (g *Guard) detect(service string) {
	g.mu.Lock()
	g.settling[service] = false
	t := g.detector(service)
	var entries []Entry
	for _, name := range t.Detect(g.Clock.Now()) {
		g.Log.Warn("A prompt segment is quarantined: prompts with it crash servers.", "service", service, "segment", name, "for", quarantineTime)
		v := Entry{Service: service, Segment: name, Left: quarantineTime}
		g.add(v)
		g.detected[segmentKey{service, name}] = g.Clock.Boot() + v.Left
		entries = append(entries, v)
	}
	e := t.TakeObservations()
	g.mu.Unlock()
	g.shareObservations(service, e)
	g.enqueue(entries)
}

// enqueue lets Run share entries.
func (g *Guard) enqueue(entries []Entry) {
	for _, v := range entries {
		select {
		case g.pending <- v:
		default:
			g.Log.Warn("A quarantine is not shared: too many wait.", "service", v.Service, "segment", v.Segment)
		}
	}
}

// StoreRestored shares the entries that this host has found again, since their records may
// be lost.
func (g *Guard) StoreRestored() {
	now := g.Clock.Boot()
	var entries []Entry
	g.mu.Lock()
	for k, until := range g.detected {
		if until <= now {
			delete(g.detected, k)
			continue
		}
		entries = append(entries, Entry{Service: k.service, Segment: k.segment, Left: until - now})
	}
	g.mu.Unlock()
	g.enqueue(entries)
}

// add quarantines a segment, and reports whether it was not. The caller holds the lock.
func (g *Guard) add(v Entry) bool {
	all := g.quarantine[v.Service]
	if all == nil {
		all = map[string]clock.Millis{}
		g.quarantine[v.Service] = all
	}
	until := g.Clock.Boot() + min(v.Left, quarantineTime)
	old, known := all[v.Segment]
	all[v.Segment] = max(until, old)
	g.detector(v.Service).SetPoisoned(v.Segment)
	for len(all) > maxQuarantined {
		first := ""
		for name, end := range all {
			if first == "" || end < all[first] {
				first = name
			}
		}
		delete(all, first)
		g.detector(v.Service).Forget(first)
	}
	g.updateGauge()
	return !known
}

// Adopt quarantines the segments that another host or the store knows of.
func (g *Guard) Adopt(entries []Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range entries {
		if v.Left > 0 && g.add(v) {
			g.Log.Warn("A prompt segment is quarantined by another host.", "service", v.Service, "segment", v.Segment, "for", v.Left)
		}
	}
}

// Entries returns the quarantined segments of a service.
func (g *Guard) Entries(service string) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Boot()
	var all []Entry
	for name, until := range g.quarantine[service] {
		if until > now {
			all = append(all, Entry{Service: service, Segment: name, Left: until - now})
		}
	}
	return all
}

// updateGauge sets the gauge of quarantined segments. The caller holds the lock.
func (g *Guard) updateGauge() {
	n := 0
	for _, all := range g.quarantine {
		n += len(all)
	}
	g.Count.Set(meter.QuarantinedSegments, int64(n))
}
