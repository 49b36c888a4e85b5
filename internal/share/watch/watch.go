// Package watch follows the manifest and the list of servers, which operators and
// backend servers write to the platform's store.
//
// Each of the two tables has a follower. It makes a snapshot read and then
// watches for changes. After a failed watch, or when the store no longer has the
// history, it starts again with a snapshot read. A watch always requests the
// changes after the last one received, so a change that the store left out of a
// reply arrives in a later one.
//
// A watch without changes confirms nothing, since the store may delay changes for
// a while. The manifest is therefore also read periodically. Each read confirms it
// as of the time at which the read was sent. The age of that confirmation decides
// whether API keys are accepted. Ages are measured with the boot-time clock.
//
// Not every host has to read the store: Adopt applies the state of another host,
// and Run may end and be called again.
//
// # Usage
//
//	n := &watch.News{Store: store, Clock: clock.System(), Source: source, Log: logger}
//	go n.Run(ctx)              // reads the store
//	n.Adopt(view, confirmedAt) // or applies the view of another host
//	view := n.View()
//	if view.Manifest == nil { ... }
//	age := n.Age(now) // since the manifest was confirmed
package watch

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
)

// Source holds the ranges of the records and their decoders.
type Source struct {
	ManifestRange rows.Range
	ServersRange  rows.Range
	// Manifest returns nil without an error if the rows contain no manifest.
	Manifest func([]rows.Row) (*route.Manifest, error)
	// Server returns an error for a record without a usable server.
	Server func(rows.Row) (fleet.Server, error)
}

// View is the state of both tables as this host knows it. It is immutable.
type View struct {
	// Manifest is nil until the first one is received.
	Manifest *route.Manifest
	// ManifestRow is the store's version of the manifest's row, ManifestRows are
	// the rows that it was decoded from.
	ManifestRow  int64
	ManifestRows []rows.Row
	// Servers are sorted by ID. ServersKnown is set once they were read,
	// ServersRow is the store's version of the last change that they include.
	Servers      []fleet.Server
	ServersKnown bool
	ServersRow   int64
	// Missing maps the ID of each server without a record to the time at which
	// it is dropped, on the boot-time clock.
	Missing map[string]clock.Millis
	// StoreDown is set when the last two calls for the servers failed.
	StoreDown bool
}

// The defaults and fixed intervals, in milliseconds.
const (
	// serversWait is the longest watch without a reply, and so the time to detect
	// a lost connection. When all connections have stopped answering, hosts have
	// Contact and Drain together, 5 s, to learn that a server leaves.
	serversWait = 3_200 * clock.Millis(1)
	// serversBatchDelay is a tenth of the 2 s for which a leaving server may get
	// requests. Servers start and leave many at a time, and each call has a cost.
	serversBatchDelay = 200 * clock.Millis(1)
	// manifestWait is long, since the periodic reads find the same changes.
	manifestWait = 20_000 * clock.Millis(1)
	// defaultConfirm is the time between two reads of the manifest. It is within
	// the 2 s that a change may take to be in force.
	defaultConfirm = 1_400 * clock.Millis(1)
	// recoveryGrace is the time after an outage within which the platform
	// guarantees that the records of live servers are back.
	recoveryGrace = 2_000 * clock.Millis(1)
	// missingGrace is how long a removed record is still attributed to the last
	// outage. It is within the 2 s for which a leaving server may get requests.
	missingGrace = 1_200 * clock.Millis(1)
)

// Watcher follows the manifest and the list of servers. Its fields are set before Run.
type Watcher struct {
	Store  rows.Store
	Clock  clock.Clock
	Source Source
	Log    *logs.Limited
	// ConfirmEvery is the time between two reads of the manifest, in milliseconds.
	ConfirmEvery clock.Millis
	// Changed is called after each change of the view, one call at a time.
	Changed func(View)
	// SlowRetry reports whether failed reads are retried slowly, since other
	// hosts read the store as well. Nil means never.
	SlowRetry func() bool

	once      sync.Once
	view      atomic.Pointer[View]
	viewID    atomic.Int64
	confirmed atomic.Int64
	// confirmedDirect is the last confirmation by a read of this host itself.
	confirmedDirect atomic.Int64
	mu              sync.Mutex
	fleet           *fleet.Fleet
	storeDown       bool
	// recovered notifies when a read of the manifest succeeds after a failed one,
	// updated at each change and confirmation.
	recovered notifier
	updated   notifier
}

func (n *Watcher) prepare() {
	n.once.Do(func() {
		n.fleet = fleet.New(recoveryGrace, missingGrace)
		n.viewID.Store(rand.Int64())
	})
}

// Updated returns a channel that closes at the next change or confirmation.
func (n *Watcher) Updated() <-chan struct{} { return n.updated.wait() }

// ViewID identifies the current view. It changes with each change of the view, and
// starts from a random number at each start of the host.
func (n *Watcher) ViewID() int64 { return n.viewID.Load() }

// View returns the current view.
func (n *Watcher) View() View {
	if v := n.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// NeverConfirmed is the confirmation time of a manifest without a confirmation.
const NeverConfirmed = -clock.Hour

// Age returns the time since the manifest was confirmed, in milliseconds. Now is a
// time of the boot-time clock.
func (n *Watcher) Age(now clock.Millis) clock.Millis { return age(&n.confirmed, now) }

// DirectAge is like Age, but counts only confirmations by reads of this host itself.
func (n *Watcher) DirectAge(now clock.Millis) clock.Millis { return age(&n.confirmedDirect, now) }

func age(confirmed *atomic.Int64, now clock.Millis) clock.Millis {
	at := clock.Millis(confirmed.Load())
	if at == 0 {
		at = NeverConfirmed
	}
	return now - at
}

// Run follows both tables until the context ends. It may be called again
// afterwards.
func (n *Watcher) Run(ctx context.Context) {
	n.prepare()
	version, ok := n.confirmFirst(ctx)
	if !ok {
		return
	}
	manifest := n.follower("manifest", n.Source.ManifestRange, manifestWait)
	manifest.onSnapshot = func(r rows.Reply) { n.applyManifest(r.Rows) }
	manifest.onChange = func(r rows.Reply) { n.applyManifest(r.Rows) }
	manifest.hasSnapshot, manifest.after = true, version
	servers := n.follower("servers", n.Source.ServersRange, serversWait)
	servers.after = n.View().ServersRow
	servers.batchDelay = serversBatchDelay
	servers.onSnapshot = n.replaceServers
	servers.onChange = n.applyServerChanges
	servers.onFailure = n.recordFailure
	var tasks sync.WaitGroup
	tasks.Go(func() { manifest.run(ctx) })
	tasks.Go(func() { servers.run(ctx) })
	tasks.Go(func() { n.confirmPeriodically(ctx) })
	tasks.Wait()
}

// Confirm records that the manifest in the view was the newest at a time of the
// boot-time clock.
func (n *Watcher) Confirm(at clock.Millis) {
	for {
		old := n.confirmed.Load()
		if int64(at) <= old {
			return
		}
		if n.confirmed.CompareAndSwap(old, int64(at)) {
			n.updated.notify()
			return
		}
	}
}

func (n *Watcher) follower(name string, span rows.Range, watchWait clock.Millis) *follower {
	return &follower{
		recovered: n.recovered.wait,
		store:     n.Store,
		clock:     n.Clock,
		log:       n.Log.With("table", name),
		span:      span,
		watchWait: watchWait,
		onFailure: func(int) {},
	}
}

// confirm reads the manifest once and returns the store's version of that read.
func (n *Watcher) confirm(ctx context.Context) (int64, error) {
	sent := n.Clock.Boot()
	reply, err := n.Store.Read(ctx, n.Source.ManifestRange)
	if err != nil {
		return 0, err
	}
	if reply.Version < n.View().ManifestRow {
		n.Log.Warn("Stale reply from the store ignored; the manifest is not confirmed.",
			"version", reply.Version)
		return 0, errStale
	}
	n.applyManifest(reply.Rows)
	n.confirmedDirect.Store(int64(sent))
	n.Confirm(sent)
	return reply.Version, nil
}

// confirmFirst retries until a read succeeds or the context ends. During a store
// outage, these reads alone detect its end.
func (n *Watcher) confirmFirst(ctx context.Context) (int64, bool) {
	for first := true; ctx.Err() == nil; first = false {
		version, err := n.confirm(ctx)
		if err == nil {
			return version, true
		}
		if first && ctx.Err() == nil {
			n.Log.Warn("Reading the manifest failed; retrying.", "err", err)
		}
		n.pause(ctx, n.retryWait())
	}
	return 0, false
}

// confirmPeriodically reads the manifest at intervals until the context ends.
func (n *Watcher) confirmPeriodically(ctx context.Context) {
	every := n.ConfirmEvery
	if every == 0 {
		every = defaultConfirm
	}
	failing := false
	for {
		wait := every
		if failing {
			wait = n.retryWait()
		}
		n.pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		_, err := n.confirm(ctx)
		if err == nil && failing {
			n.recovered.notify()
		}
		failing = err != nil
	}
}

func (n *Watcher) pause(ctx context.Context, wait clock.Millis) {
	select {
	case <-ctx.Done():
	case <-n.Clock.After(wait):
	}
}

// The delays after a failed read, in milliseconds; jitter makes them up to twice as
// long. Several retries have to fit into the age up to which API keys are accepted.
// The slow delay spreads the calls of many hosts.
const (
	confirmRetryDelay = 200 * clock.Millis(1)
	slowRetryDelay    = 1_500 * clock.Millis(1)
)

func (n *Watcher) retryWait() clock.Millis {
	wait := confirmRetryDelay
	if n.SlowRetry != nil && n.SlowRetry() {
		wait = slowRetryDelay
	}
	return wait + clock.Millis(rand.N(int64(wait)))
}

// applyManifest puts a newer manifest in force. Versions never go back: rows that
// are not newer than those in force are ignored.
func (n *Watcher) applyManifest(all []rows.Row) {
	m, err := n.Source.Manifest(all)
	if err != nil {
		n.Log.Error("Decoding the manifest failed; the previous manifest stays in force.", "err", err)
		return
	}
	if m == nil {
		return
	}
	row := int64(0)
	for _, r := range all {
		row = max(row, r.Version)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.View()
	if v.Manifest != nil && row <= v.ManifestRow {
		return
	}
	v.Manifest, v.ManifestRow, v.ManifestRows = m, row, all
	routes, services, keys := m.Counts()
	n.Log.Info("Manifest in force.", "version", m.Version(), "row", row,
		"routes", routes, "services", services, "keys", keys)
	n.publish(v)
}

// Adopt applies the view of another host. Confirmed is the time at which that host's
// manifest was confirmed, on the boot-time clock of this host. The manifest is
// decoded from ManifestRows alone, which may be missing if this host has them.
func (n *Watcher) Adopt(v View, confirmed clock.Millis) {
	n.prepare()
	if len(v.ManifestRows) > 0 {
		n.applyManifest(v.ManifestRows)
	}
	n.adoptServers(v)
	if n.View().ManifestRow >= v.ManifestRow {
		n.Confirm(confirmed)
	}
}

func (n *Watcher) adoptServers(v View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !v.ServersKnown || v.ServersRow < n.View().ServersRow {
		return
	}
	now := n.Clock.Boot()
	n.fleet.Adopt(now, v.Servers, v.Missing, v.StoreDown)
	n.storeDown = v.StoreDown
	n.publishServers(now, v.ServersRow)
}

func (n *Watcher) publish(v View) {
	n.view.Store(&v)
	n.viewID.Add(1)
	n.updated.notify()
	if n.Changed != nil {
		n.Changed(v)
	}
}

func (n *Watcher) replaceServers(r rows.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.StoreSucceeded(now)
	n.storeDown = false
	var all []fleet.Server
	for _, row := range r.Rows {
		if s, ok := n.server(row); ok {
			all = append(all, s)
		}
	}
	n.fleet.Replace(now, all)
	n.publishServers(now, r.Version)
}

func (n *Watcher) applyServerChanges(r rows.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.StoreSucceeded(now)
	n.storeDown = false
	upTo := n.View().ServersRow
	if len(r.Rows) > 0 {
		upTo = max(upTo, r.Version)
	}
	for _, row := range r.Rows {
		if row.Deleted {
			n.fleet.Remove(now, row.Key)
			continue
		}
		if s, ok := n.server(row); ok {
			n.fleet.Put(now, s)
		} else {
			n.fleet.Remove(now, row.Key)
		}
	}
	n.publishServers(now, upTo)
}

func (n *Watcher) server(row rows.Row) (fleet.Server, bool) {
	s, err := n.Source.Server(row)
	if err != nil {
		n.Log.Warn("A server's record cannot be used.", "err", err)
		return fleet.Server{}, false
	}
	return s, true
}

// recordFailure records a failed call for the servers. From the first failure on the
// list counts as unconfirmed. It is published after the second, since a single
// failure may be that of a connection.
func (n *Watcher) recordFailure(failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.StoreFailed(now)
	if failures > 1 {
		n.storeDown = true
		n.publishServers(now, n.View().ServersRow)
	}
}

// publishServers publishes a view of the list if it changed. Row is the store's
// version of the last change in it.
func (n *Watcher) publishServers(now clock.Millis, row int64) {
	n.fleet.DropExpired(now)
	if delay, ok := n.fleet.UntilNextDrop(now); ok {
		go n.dropExpiredLater(delay)
	}
	v := n.View()
	list := n.fleet.List()
	known := v.ServersKnown || row > 0
	same := v.ServersKnown == known && equalServers(v.Servers, list)
	missing := n.fleet.Missing()
	if same && v.StoreDown == n.storeDown && v.ServersRow == row && maps.Equal(v.Missing, missing) {
		return
	}
	v.Servers, v.ServersKnown, v.ServersRow, v.Missing, v.StoreDown =
		list, known, row, missing, n.storeDown
	if same {
		n.publish(v)
		return
	}
	leaving := 0
	for _, s := range list {
		if s.Leaving {
			leaving++
		}
	}
	n.Log.Info("List of servers changed.", "servers", len(list), "leaving", leaving)
	n.publish(v)
}

// dropExpiredLater drops the servers whose grace for a missing record has expired.
func (n *Watcher) dropExpiredLater(delay clock.Millis) {
	<-n.Clock.After(delay + 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishServers(n.Clock.Boot(), n.View().ServersRow)
}

func equalServers(a, b []fleet.Server) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// historyGone reports whether a new snapshot read is needed.
func historyGone(err error) bool { return errors.Is(err, rows.ErrHistoryGone) }
