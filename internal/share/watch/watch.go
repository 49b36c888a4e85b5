// Package watch follows what operators and backend servers write to the
// platform's store: the manifest and the list of servers.
//
// Each of the two tables has a follower. It reads everything once and then
// watches for changes; a watch that fails, or whose history is gone, is begun
// again with a full read. A watch always asks for the changes after the last
// one that was seen, so that a change which the store left out of a reply is in
// a later one.
//
// A watch that is silent confirms nothing, since the store may leave changes
// out for a while. The manifest is therefore read again and again beside its
// watch; each read confirms it as of the moment at which the read was sent. How
// old that confirmation is decides whether keys may be let through. Ages are
// read off a clock that counts suspension.
//
// Not every host has to read the store: Adopt takes what another host knows,
// and Run may end and be called again.
//
// # Usage
//
//	n := &watch.News{Store: store, Clock: clock.System(), Source: source, Log: logger}
//	go n.Run(ctx)          // reads the store
//	n.Adopt(view, known)   // or takes another host's view
//	view := n.View()
//	if view.Manifest == nil { ... }
//	age := n.Age(now) // of the manifest's confirmation
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

// Source says where the records stand and how they are decoded.
type Source struct {
	ManifestRange rows.Range
	ServersRange  rows.Range
	// Manifest returns nil without an error where the rows hold none.
	Manifest func([]rows.Row) (*route.Manifest, error)
	// Server returns an error for a record that names no server to use.
	Server func(rows.Row) (fleet.Server, error)
}

// View is what is known. It is immutable.
type View struct {
	// Manifest is nil before the first one is known.
	Manifest *route.Manifest
	// Row is the store's version of the manifest, ManifestRows what it was
	// decoded from.
	Row          int64
	ManifestRows []rows.Row
	// Servers are by ID; ServersKnown tells that they were read at least once,
	// ServersRow the store's version of the last change that is in them.
	Servers      []fleet.Server
	ServersKnown bool
	ServersRow   int64
	// Missing are the servers whose record has vanished, with the time of the
	// clock that counts suspension at which each is dropped.
	Missing map[string]clock.Millis
	// Away tells that the last two calls about servers failed.
	Away bool
}

// The settings where they are 0.
const (
	// serversWait is how long a watch may be silent before a lost connection is
	// found out: hosts have Contact and Drain together, 5 s, to take in that a
	// server leaves after all connections fell silent.
	serversWait = 3_200 * clock.Millis(1)
	// serversGather is a tenth of the 2 s that a leaving server may get
	// requests: servers come and go many at a time, and each call has its price.
	serversGather = 200 * clock.Millis(1)
	// manifestWait is long, since reads beside the watch find out the same.
	manifestWait = 20_000 * clock.Millis(1)
	// defaultConfirm is the time between two reads of the manifest: within the
	// 2 s that a change may take to be in force.
	defaultConfirm = 1_400 * clock.Millis(1)
	// settling is the time after which the platform promises that the records
	// of living servers are back.
	settling = 2_000 * clock.Millis(1)
	// doubt is how long a record that was seen to vanish is still believed to
	// be a victim of the last outage: within the 2 s that a leaving server may
	// get requests.
	doubt = 1_200 * clock.Millis(1)
)

// News holds the followers. Its fields are set before Run.
type News struct {
	Store  rows.Store
	Clock  clock.Clock
	Source Source
	Log    *logs.Limited
	// ConfirmEvery is the time between two reads of the manifest, in milliseconds.
	ConfirmEvery clock.Millis
	// Changed is called after each change of the view, one call at a time.
	Changed func(View)
	// Patient tells that failed reads are to be repeated slowly, since others
	// read as well; nil for never.
	Patient func() bool

	once      sync.Once
	view      atomic.Pointer[View]
	edition   atomic.Int64
	confirmed atomic.Int64
	// direct is the last confirmation by a read of this host's own.
	direct atomic.Int64
	mu     sync.Mutex
	fleet  *fleet.Fleet
	away   bool
	// up rings when a read of the manifest succeeds after one that failed,
	// fresh at each change and confirmation.
	up    bell
	fresh bell
}

func (n *News) prepare() {
	n.once.Do(func() {
		n.fleet = fleet.New(settling, doubt)
		n.edition.Store(rand.Int64())
	})
}

// Fresh returns a channel that closes at the next change or confirmation.
func (n *News) Fresh() <-chan struct{} { return n.fresh.wait() }

// Edition is a number that is another one after each change of the view, and
// after each start of the host.
func (n *News) Edition() int64 { return n.edition.Load() }

// View returns what is known now.
func (n *News) View() View {
	if v := n.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Never is the time of a confirmation that has not happened.
const Never = -clock.Hour

// Age is how long ago the manifest was confirmed, in milliseconds. Now is a
// reading of the clock that counts suspension.
func (n *News) Age(now clock.Millis) clock.Millis { return age(&n.confirmed, now) }

// DirectAge is Age for the confirmations by this host's own reads.
func (n *News) DirectAge(now clock.Millis) clock.Millis { return age(&n.direct, now) }

func age(of *atomic.Int64, now clock.Millis) clock.Millis {
	at := clock.Millis(of.Load())
	if at == 0 {
		at = Never
	}
	return now - at
}

// Run follows both tables until the context ends. It may be called again
// afterwards.
func (n *News) Run(ctx context.Context) {
	n.prepare()
	version, ok := n.confirmFirst(ctx)
	if !ok {
		return
	}
	manifest := n.follower("manifest", n.Source.ManifestRange, manifestWait)
	manifest.onAll = func(r rows.Reply) { n.takeManifest(r.Rows) }
	manifest.onChange = func(r rows.Reply) { n.takeManifest(r.Rows) }
	manifest.read, manifest.after = true, version
	servers := n.follower("servers", n.Source.ServersRange, serversWait)
	servers.after = n.View().ServersRow
	servers.gather = serversGather
	servers.onAll = n.takeAllServers
	servers.onChange = n.takeServers
	servers.onLost = n.lostServers
	var both sync.WaitGroup
	both.Go(func() { manifest.run(ctx) })
	both.Go(func() { servers.run(ctx) })
	both.Go(func() { n.confirmAll(ctx) })
	both.Wait()
}

// Confirm notes that the manifest in the view was the newest at a moment of the
// clock that counts suspension.
func (n *News) Confirm(at clock.Millis) {
	for {
		old := n.confirmed.Load()
		if int64(at) <= old {
			return
		}
		if n.confirmed.CompareAndSwap(old, int64(at)) {
			n.fresh.ring()
			return
		}
	}
}

func (n *News) follower(name string, of rows.Range, wait clock.Millis) *follower {
	return &follower{
		back:   n.up.wait,
		store:  n.Store,
		clock:  n.Clock,
		log:    n.Log.With("table", name),
		of:     of,
		wait:   wait,
		onLost: func(int) {},
	}
}

// confirm reads the manifest once and returns the store's version then.
func (n *News) confirm(ctx context.Context) (int64, error) {
	sent := n.Clock.Boot()
	reply, err := n.Store.Read(ctx, n.Source.ManifestRange)
	if err != nil {
		return 0, err
	}
	if reply.Version < n.View().Row {
		n.Log.Warn("The store's answer is older than what is known; it confirms nothing.", "version", reply.Version)
		return 0, errStale
	}
	n.takeManifest(reply.Rows)
	n.direct.Store(int64(sent))
	n.Confirm(sent)
	return reply.Version, nil
}

// confirmFirst tries until a read succeeds or the context ends: while the store
// is away, one kind of call finds out when it is back.
func (n *News) confirmFirst(ctx context.Context) (int64, bool) {
	for first := true; ctx.Err() == nil; first = false {
		version, err := n.confirm(ctx)
		if err == nil {
			return version, true
		}
		if first && ctx.Err() == nil {
			n.Log.Warn("The manifest cannot be read.", "err", err)
		}
		n.pause(ctx, n.retryWait())
	}
	return 0, false
}

// confirmAll reads the manifest again and again until the context ends.
func (n *News) confirmAll(ctx context.Context) {
	every := n.ConfirmEvery
	if every == 0 {
		every = defaultConfirm
	}
	lost := false
	for {
		wait := every
		if lost {
			wait = n.retryWait()
		}
		n.pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		_, err := n.confirm(ctx)
		if err == nil && lost {
			n.up.ring()
		}
		lost = err != nil
	}
}

func (n *News) pause(ctx context.Context, wait clock.Millis) {
	select {
	case <-ctx.Done():
	case <-n.Clock.After(wait):
	}
}

// The waits after a read that failed, in milliseconds, up to twice as long by a
// jitter: several tries have to fit into the age that keys allow. The patient
// one keeps the calls of many hosts apart.
const (
	confirmRetry = 200 * clock.Millis(1)
	patientRetry = 1_500 * clock.Millis(1)
)

func (n *News) retryWait() clock.Millis {
	wait := confirmRetry
	if n.Patient != nil && n.Patient() {
		wait = patientRetry
	}
	return wait + clock.Millis(rand.N(int64(wait)))
}

// takeManifest puts a newer manifest in force. Versions never go back: a row
// that is older than the known one is passed over.
func (n *News) takeManifest(all []rows.Row) {
	m, err := n.Source.Manifest(all)
	if err != nil {
		n.Log.Error("The manifest in the store cannot be read; the known one stays in force.", "err", err)
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
	if v.Manifest != nil && row <= v.Row {
		return
	}
	v.Manifest, v.Row, v.ManifestRows = m, row, all
	routes, services, keys := m.Counts()
	n.Log.Info("Manifest in force.", "version", m.Version(), "row", row, "routes", routes, "services", services, "keys", keys)
	n.publish(v)
}

// Adopt takes what another host knows of the store, and when that host's
// manifest was confirmed, by this host's clock that counts suspension. Of the
// manifest only the rows count; they may be missing where this host has them.
func (n *News) Adopt(v View, confirmed clock.Millis) {
	n.prepare()
	if len(v.ManifestRows) > 0 {
		n.takeManifest(v.ManifestRows)
	}
	n.adoptServers(v)
	if n.View().Row >= v.Row {
		n.Confirm(confirmed)
	}
}

func (n *News) adoptServers(v View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !v.ServersKnown || v.ServersRow < n.View().ServersRow {
		return
	}
	now := n.Clock.Boot()
	n.fleet.Adopt(now, v.Servers, v.Missing, v.Away)
	n.away = v.Away
	n.publishServers(now, v.ServersRow)
}

func (n *News) publish(v View) {
	n.view.Store(&v)
	n.edition.Add(1)
	n.fresh.ring()
	if n.Changed != nil {
		n.Changed(v)
	}
}

func (n *News) takeAllServers(r rows.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.StoreSucceeded(now)
	n.away = false
	var all []fleet.Server
	for _, row := range r.Rows {
		if s, ok := n.server(row); ok {
			all = append(all, s)
		}
	}
	n.fleet.Replace(now, all)
	n.publishServers(now, r.Version)
}

func (n *News) takeServers(r rows.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.StoreSucceeded(now)
	n.away = false
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

func (n *News) server(row rows.Row) (fleet.Server, bool) {
	s, err := n.Source.Server(row)
	if err != nil {
		n.Log.Warn("A server's record cannot be used.", "err", err)
		return fleet.Server{}, false
	}
	return s, true
}

// lostServers notes a failure. One alone may be that of a connection; the list
// counts as unconfirmed from then on, but others hear of it after the second.
func (n *News) lostServers(failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.StoreFailed(now)
	if failures > 1 {
		n.away = true
		n.publishServers(now, n.View().ServersRow)
	}
}

// publishServers makes a view of the list, whose last change is that of a row.
func (n *News) publishServers(now clock.Millis, row int64) {
	n.fleet.DropExpired(now)
	if in, ok := n.fleet.UntilNextDrop(now); ok {
		go n.settleLater(in)
	}
	v := n.View()
	list := n.fleet.List()
	known := v.ServersKnown || row > 0
	same := v.ServersKnown == known && sameList(v.Servers, list)
	missing := n.fleet.Missing()
	if same && v.Away == n.away && v.ServersRow == row && maps.Equal(v.Missing, missing) {
		return
	}
	v.Servers, v.ServersKnown, v.ServersRow, v.Missing, v.Away = list, known, row, missing, n.away
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

// settleLater looks again at records that are missing.
func (n *News) settleLater(in clock.Millis) {
	<-n.Clock.After(in + 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishServers(n.Clock.Boot(), n.View().ServersRow)
}

func sameList(a, b []fleet.Server) bool {
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

// historyGone tells whether everything has to be read again.
func historyGone(err error) bool { return errors.Is(err, rows.ErrHistoryGone) }
