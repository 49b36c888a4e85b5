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
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/platform"
)

// harness holds the store, the servers and the hosts of one run, and records what
// callers and servers see.
type harness struct {
	options Options
	clock   clock.Clock
	begin   clock.Millis
	store   *memdb.Store
	hosts   []*host
	closers []func()
	running sync.WaitGroup
	cancel  func()

	mu          sync.Mutex
	record      Record
	err         error
	servers     []*server
	serversMade int
	faults      []Fault
	// brokenStore is the way in which the store breaks its responses.
	brokenStore spoil.Kind
	manifest    route.Parts
	keys        []string
	revokedKeys []string
	before      map[int]resourceCounts
	downSince   map[int]clock.Millis
	// links are the relays to each host for the hosts of each failure domain.
	links map[linkKey]*midbox.Proxy
	// poisons are the segments that crash engines, crashed the servers that have.
	poisons []string
	crashed []*server
	// copies are the last copies of the store.
	copies []memdb.Copy
	// sendPoison sends the prompts of a poison until the callers stop.
	sendPoison func(segment string)
}

// server is one backend server behind a relay.
type server struct {
	*origin.Origin
	service string
	relay   *midbox.Proxy
	leaving bool
	// gone is set once the record is removed. sequence counts the records.
	gone     bool
	sequence int64
	// written is the last record.
	written []byte
	// limited is set while the server names a rate limit.
	limited bool
}

// resourceCounts holds the open resources of a process, and which start of its host
// it is.
type resourceCounts struct {
	start  int
	counts map[string]int
}

var domains = []string{"east", "north", "west"}

// The services, their numbers of servers and the slots of each server.
const (
	serviceApp    = "app"
	serviceEngine = "engine"
	appServers    = 2
	engineServers = 6
	engineSlots   = 64
	callerHost    = "soak.example"
)

// routes has one route for each way in which requests may be retried.
var routes = []route.Route{
	{Name: "book", Prefix: "/book/", Kind: route.KindUnsafe, Target: 300, Tier: 2, MaxServers: 1, Shares: []route.Share{{Service: serviceApp, Weight: 1}}},
	{Name: "look-up", Prefix: "/look/", Kind: route.KindSafe, Target: 300, Tier: 2, MaxServers: 2, Shares: []route.Share{{Service: serviceApp, Weight: 1}}},
	{Name: "chat", Prefix: "/chat/", Kind: route.KindStream, Prompts: true, Target: 500, PauseTarget: 500, MaxServers: 1, Shares: []route.Share{{Service: serviceEngine, Weight: 1}}},
	{Name: "ask", Prefix: "/ask/", Kind: route.KindStream, Resumable: true, Target: 500, PauseTarget: 500, MaxServers: 2, Shares: []route.Share{{Service: serviceEngine, Weight: 1}}},
}

// timeLimit is the time limit of the routes, in milliseconds: half of the users'
// shortest one.
const timeLimit = 2 * clock.Second

func newHarness(o Options, clk clock.Clock) (*harness, error) {
	hn := &harness{
		options: o, clock: clk, begin: clk.Now(), store: memdb.New(clk),
		before: map[int]resourceCounts{}, downSince: map[int]clock.Millis{}, links: map[linkKey]*midbox.Proxy{}, keys: []string{"key-0", "key-1"},
	}
	hn.record.Revoked = map[string]clock.Millis{}
	hn.record.PeakMemory = map[int]int64{}
	hn.record.Engines = o.Engines
	hn.manifest = route.Parts{
		Version:  1,
		Services: []route.Service{{Name: serviceApp, StatusPath: "/health", MaxConnections: 200}, {Name: serviceEngine, StatusPath: "/health", MaxConnections: 200}},
	}
	for _, r := range routes {
		r.Host, r.TimeLimit = callerHost, timeLimit
		hn.manifest.Routes = append(hn.manifest.Routes, r)
	}
	if err := hn.putManifest(); err != nil {
		return nil, err
	}
	for range appServers {
		if err := hn.addServer(serviceApp); err != nil {
			return nil, err
		}
	}
	for range max(o.Engines, engineServers) {
		if err := hn.addServer(serviceEngine); err != nil {
			return nil, err
		}
	}
	for n := range o.Hosts {
		h, err := hn.newHost(n, domains[n%len(domains)])
		if err != nil {
			return nil, err
		}
		hn.hosts = append(hn.hosts, h)
	}
	return hn, nil
}

func (hn *harness) now() clock.Millis { return hn.clock.Now() - hn.begin }

func (hn *harness) pause(ctx context.Context, m clock.Millis) {
	select {
	case <-ctx.Done():
	case <-hn.clock.After(m):
	}
}

// recordError keeps the first error of the harness itself.
func (hn *harness) recordError(err error) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	if hn.err == nil {
		hn.err = err
	}
}

// putManifest writes the manifest with the keys in force to the store. The caller does
// not hold the lock.
func (hn *harness) putManifest() error {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.manifest.Workspaces = []route.Workspace{{Name: "stall", Keys: slices.Clone(hn.keys)}}
	text, err := platform.EncodeManifest(hn.manifest)
	if err != nil {
		return err
	}
	if !hn.store.Has(platform.OperatorTable, platform.ManifestKey, text) {
		hn.store.Put(platform.OperatorTable, platform.ManifestKey, text)
	}
	return nil
}

func (hn *harness) addServer(service string) error {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	id := fmt.Sprintf("i-%s-%d", service, hn.serversMade)
	hn.serversMade++
	s := &server{service: service}
	s.Origin = &origin.Origin{ID: id, Fields: platform.Headers, Stream: service == serviceEngine, OnRequest: func(r *http.Request, runs bool) {
		hn.recordArrival(id, r, runs)
	}}
	s.OnCrash = func(segment string) { hn.serverCrashed(s, segment) }
	s.SetCrashSegments(hn.poisons...)
	if err := s.Start(); err != nil {
		return err
	}
	relay, err := midbox.New(s.ListenAddress())
	if err != nil {
		return err
	}
	s.relay = relay
	hn.servers = append(hn.servers, s)
	return hn.putServer(s)
}

func (hn *harness) putServer(s *server) error {
	s.sequence++
	value, err := platform.EncodeServer(fleet.Server{
		ID: s.ID, Service: s.service, Address: s.relay.Addr(), FailureDomain: domains[0], Slots: engineSlots, Leaving: s.leaving, Sequence: s.sequence,
	})
	if err != nil {
		return err
	}
	s.written = value
	hn.store.Put(platform.ServersTable, s.ID, value)
	return nil
}

func (hn *harness) recordArrival(id string, r *http.Request, runs bool) {
	a := Arrival{ID: r.Header.Get(platform.Headers.RequestID), Server: id, At: hn.now(), Runs: runs}
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.record.Arrivals = append(hn.record.Arrivals, a)
}

// startHosts starts all hosts and waits until they are ready.
func (hn *harness) startHosts(ctx context.Context) error {
	ctx, hn.cancel = context.WithCancel(ctx)
	for _, h := range hn.hosts {
		hn.running.Go(func() { h.run(ctx) })
		hn.running.Go(func() { h.watchReady(ctx) })
	}
	for _, h := range hn.hosts {
		for !h.ready.Load() && ctx.Err() == nil {
			hn.mu.Lock()
			err := hn.err
			hn.mu.Unlock()
			if err != nil {
				return err
			}
			hn.pause(ctx, readyPeriod)
		}
	}
	return ctx.Err()
}

// stopHosts stops all hosts and waits for the background goroutines.
func (hn *harness) stopHosts(ctx context.Context) {
	hn.cancel()
	var all sync.WaitGroup
	for _, h := range hn.hosts {
		h.mu.Lock()
		h.stopping = true
		h.mu.Unlock()
		all.Go(func() { h.stop(ctx) })
	}
	all.Wait()
	hn.running.Wait()
}

func (hn *harness) close() {
	if hn.cancel != nil {
		hn.stopHosts(context.Background())
	}
	for _, s := range append(hn.servers, hn.crashed...) {
		s.relay.Close()
		s.Stop()
	}
	for _, c := range hn.closers {
		c()
	}
}

// recordDown and recordUp record the time in which a host has no ready process as a
// fault of that host.
func (hn *harness) recordDown(host int, at clock.Millis) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	if _, ok := hn.downSince[host]; !ok {
		hn.downSince[host] = at
	}
}

func (hn *harness) recordUp(host int) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	if at, ok := hn.downSince[host]; ok {
		delete(hn.downSince, host)
		hn.record.Faults = append(hn.record.Faults, Span{Kind: KindKill, Host: host, From: at, Until: hn.now()})
	}
}

// recordMemory records the resident memory of a host's process if it is the largest yet.
func (hn *harness) recordMemory(host int, bytes int64) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.record.PeakMemory[host] = max(hn.record.PeakMemory[host], bytes)
}

// recordLeaks counts the open resources of each process. Only a process that runs
// throughout the faults is compared.
func (hn *harness) recordLeaks(when string) {
	for _, h := range hn.hosts {
		start, counts := h.openResources()
		hn.mu.Lock()
		if when == "before" {
			hn.before[h.number] = resourceCounts{start, counts}
		} else if before := hn.before[h.number]; before.start == start {
			for resource, n := range counts {
				if old, ok := before.counts[resource]; ok {
					hn.record.Leaks = append(hn.record.Leaks, Leak{h.number, resource, old, n})
				}
			}
		}
		hn.mu.Unlock()
	}
}

// watchLag records the times in which the machine did not schedule this process.
func (hn *harness) watchLag(ctx context.Context) {
	last := hn.now()
	for ctx.Err() == nil {
		hn.pause(ctx, lagCheckPeriod)
		now := hn.now()
		if now-last > lagThreshold {
			hn.mu.Lock()
			hn.record.Lag = append(hn.record.Lag, Span{Host: -1, From: last, Until: now})
			hn.mu.Unlock()
		}
		last = now
	}
}

// awaitRecovery waits until each host serves a new caller.
func (hn *harness) awaitRecovery(ctx context.Context) {
	began := hn.now()
	random := rand.New(rand.NewPCG(hn.options.Seed, 0))
	for _, h := range hn.hosts {
		served := false
		for n := 0; !served && hn.now() < began+boundRecover && ctx.Err() == nil; n++ {
			c := &caller{harness: hn, name: fmt.Sprintf("last-%d-%d", h.number, n), random: random, host: h}
			served = c.roundTrip(routes[1]).outcome() == outcomeServed
			c.closeConn()
			if !served {
				hn.pause(ctx, readyPeriod)
			}
		}
		if !served {
			hn.mu.Lock()
			hn.record.Unrecovered = append(hn.record.Unrecovered, h.number)
			hn.mu.Unlock()
		}
	}
}

// finish reads the manifest versions from the logs and returns the record, or the
// first error of the harness itself.
func (hn *harness) finish() (Record, error) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.record.End = hn.now()
	for _, h := range hn.hosts {
		v, err := h.versions()
		if err != nil {
			return Record{}, err
		}
		hn.record.Versions = append(hn.record.Versions, v...)
	}
	return hn.record, hn.err
}

// deadline bounds what one request of a caller may take on its connection.
func deadline() time.Time { return time.Now().Add((timeLimit + 2*clock.Second).Duration()) }
