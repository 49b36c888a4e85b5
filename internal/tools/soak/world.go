package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/fakes/midbox"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/platform"
)

// world is the store, the servers and the hosts of one run.
type world struct {
	options Options
	clock   clock.Clock
	begin   clock.Millis
	shelf   *memdb.Store
	hosts   []*host
	closers []func()
	running sync.WaitGroup
	end     func()

	mu       sync.Mutex
	record   Record
	err      error
	servers  []*server
	made     int
	faults   []Fault
	manifest route.Parts
	keys     []string
	old      []string
	before   map[int]held
	downAt   map[int]clock.Millis
}

// server is one backend server behind a relay.
type server struct {
	*origin.Origin
	service string
	relay   *midbox.Proxy
	leaving bool
}

// held is what a process had open, and which of a host's it was.
type held struct {
	start  int
	counts map[string]int
}

var domains = []string{"east", "north", "west"}

// The services of the run, with the number of their servers.
const (
	serviceApp    = "app"
	serviceEngine = "engine"
	appServers    = 2
	engineServers = 3
	engineSlots   = 64
	callerHost    = "soak.example"
)

// routes are those of the run, by the way in which requests may be repeated.
var routes = []route.Route{
	{Name: "book", Prefix: "/book/", Kind: route.KindUnsafe, Target: 300, Tier: 2, MaxServers: 1, Shares: []route.Share{{Service: serviceApp, Weight: 1}}},
	{Name: "look-up", Prefix: "/look/", Kind: route.KindSafe, Target: 300, Tier: 2, MaxServers: 2, Shares: []route.Share{{Service: serviceApp, Weight: 1}}},
	{Name: "ask", Prefix: "/ask/", Kind: route.KindStream, Resumable: true, Target: 500, PauseTarget: 500, MaxServers: 2, Shares: []route.Share{{Service: serviceEngine, Weight: 1}}},
}

// timeLimit of the routes in milliseconds: half of the users' shortest.
const timeLimit = 2 * clock.Second

func newWorld(o Options, clk clock.Clock) (*world, error) {
	w := &world{
		options: o, clock: clk, begin: clk.Now(), shelf: memdb.New(clk),
		before: map[int]held{}, downAt: map[int]clock.Millis{}, keys: []string{"key-0", "key-1"},
	}
	w.record.Revoked = map[string]clock.Millis{}
	w.manifest = route.Parts{
		Version:  1,
		Services: []route.Service{{Name: serviceApp, StatusPath: "/health", MaxConnections: 200}, {Name: serviceEngine, StatusPath: "/health", MaxConnections: 200}},
	}
	for _, r := range routes {
		r.Host, r.TimeLimit = callerHost, timeLimit
		w.manifest.Routes = append(w.manifest.Routes, r)
	}
	if err := w.putManifest(); err != nil {
		return nil, err
	}
	for range appServers {
		if err := w.addServer(serviceApp); err != nil {
			return nil, err
		}
	}
	for range engineServers {
		if err := w.addServer(serviceEngine); err != nil {
			return nil, err
		}
	}
	for n := range o.Hosts {
		h, err := w.newHost(n, domains[n%len(domains)])
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

func (w *world) now() clock.Millis { return w.clock.Now() - w.begin }

func (w *world) pause(ctx context.Context, m clock.Millis) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(m):
	}
}

// failed keeps the first error that the run itself met.
func (w *world) failed(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// putManifest writes the manifest with the keys in force. The lock is not held.
func (w *world) putManifest() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manifest.Workspaces = []route.Workspace{{Name: "stall", Keys: slices.Clone(w.keys)}}
	text, err := platform.EncodeManifest(w.manifest)
	if err != nil {
		return err
	}
	w.shelf.Put(platform.OperatorTable, platform.ManifestKey, text)
	return nil
}

func (w *world) addServer(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fmt.Sprintf("i-%s-%d", service, w.made)
	w.made++
	s := &server{service: service}
	s.Origin = &origin.Origin{ID: id, Fields: platform.Headers, Stream: service == serviceEngine, Heard: func(r *http.Request, runs bool) {
		w.arrived(id, r, runs)
	}}
	if err := s.Start(); err != nil {
		return err
	}
	relay, err := midbox.New(s.Bound())
	if err != nil {
		return err
	}
	s.relay = relay
	w.servers = append(w.servers, s)
	return w.putServer(s)
}

func (w *world) putServer(s *server) error {
	value, err := platform.EncodeServer(fleet.Server{
		ID: s.ID, Service: s.service, Address: s.relay.Addr(), FailureDomain: domains[0], Slots: engineSlots, Leaving: s.leaving,
	})
	if err != nil {
		return err
	}
	w.shelf.Put(platform.ServersTable, s.ID, value)
	return nil
}

func (w *world) arrived(id string, r *http.Request, runs bool) {
	a := Arrival{ID: r.Header.Get(platform.Headers.RequestID), Server: id, At: w.now(), Runs: runs}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Arrivals = append(w.record.Arrivals, a)
}

// startHosts starts all processes and waits until they are ready.
func (w *world) startHosts(ctx context.Context) error {
	ctx, w.end = context.WithCancel(ctx)
	for _, h := range w.hosts {
		w.running.Go(func() { h.run(ctx) })
		w.running.Go(func() { h.watchReady(ctx) })
	}
	for _, h := range w.hosts {
		for !h.ready.Load() && ctx.Err() == nil {
			w.mu.Lock()
			err := w.err
			w.mu.Unlock()
			if err != nil {
				return err
			}
			w.pause(ctx, readyPeriod)
		}
	}
	return ctx.Err()
}

// stopHosts ends all processes that are still there.
func (w *world) stopHosts(ctx context.Context) {
	w.end()
	var all sync.WaitGroup
	for _, h := range w.hosts {
		h.mu.Lock()
		h.over = true
		h.mu.Unlock()
		all.Go(func() { h.stop(ctx) })
	}
	all.Wait()
	w.running.Wait()
}

func (w *world) close() {
	if w.end != nil {
		w.stopHosts(context.Background())
	}
	for _, s := range w.servers {
		s.relay.Close()
		s.Stop()
	}
	for _, c := range w.closers {
		c()
	}
}

// noteDown and noteUp keep the time in which a host had no process that was
// ready.
func (w *world) noteDown(host int, at clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.downAt[host]; !ok {
		w.downAt[host] = at
	}
}

func (w *world) noteUp(host int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.downAt[host]; ok {
		delete(w.downAt, host)
		w.record.Faults = append(w.record.Faults, Span{Kind: KindKill, Host: host, From: at, Until: w.now()})
	}
}

// notesLeaks counts what each process has open; only one that lives through all
// is compared.
func (w *world) notesLeaks(when string) {
	for _, h := range w.hosts {
		start, counts := h.holds()
		w.mu.Lock()
		if when == "before" {
			w.before[h.number] = held{start, counts}
		} else if before := w.before[h.number]; before.start == start {
			for what, n := range counts {
				if old, ok := before.counts[what]; ok {
					w.record.Leaks = append(w.record.Leaks, Leak{h.number, what, old, n})
				}
			}
		}
		w.mu.Unlock()
	}
}

// watchLag notes when the machine did not run this process for a while.
func (w *world) watchLag(ctx context.Context) {
	last := w.now()
	for ctx.Err() == nil {
		w.pause(ctx, lagPeriod)
		now := w.now()
		if now-last > lagged {
			w.mu.Lock()
			w.record.Lag = append(w.record.Lag, Span{Host: -1, From: last, Until: now})
			w.mu.Unlock()
		}
		last = now
	}
}

// recover waits until each host serves a new caller.
func (w *world) recover(ctx context.Context) {
	began := w.now()
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	for _, h := range w.hosts {
		served := false
		for n := 0; !served && w.now() < began+boundRecover && ctx.Err() == nil; n++ {
			c := &caller{world: w, name: fmt.Sprintf("last-%d-%d", h.number, n), random: random, host: h}
			served = c.once(routes[1]).outcome() == outcomeServed
			c.hangUp()
			if !served {
				w.pause(ctx, readyPeriod)
			}
		}
		if !served {
			w.mu.Lock()
			w.record.Lost = append(w.record.Lost, h.number)
			w.mu.Unlock()
		}
	}
}

// finish takes from the logs what they say and returns the record, or the first
// error that the run itself met.
func (w *world) finish() (Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.End = w.now()
	for _, h := range w.hosts {
		v, err := h.versions()
		if err != nil {
			return Record{}, err
		}
		w.record.Versions = append(w.record.Versions, v...)
	}
	return w.record, w.err
}

// deadline bounds what one request of a caller may take on its connection.
func deadline() time.Time { return time.Now().Add((timeLimit + 2*clock.Second).Duration()) }
