// Package news follows what operators and backend servers write to the
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
// # Usage
//
//	n := &news.News{Store: store, Clock: clock.System(), Source: source, Log: logger}
//	go n.Run(ctx)
//	view := n.View()
//	if view.Manifest == nil { ... }
//	age := n.Age(now) // of the manifest's confirmation
package news

import (
	"context"
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
	// Row is the store's version of the manifest.
	Row int64
	// Servers are by ID; ServersKnown tells that they were read at least once.
	Servers      []fleet.Server
	ServersKnown bool
}

// The settings where they are 0.
const (
	// serversWait is how long a watch may be silent before a lost connection is
	// found out: hosts have Contact and Drain together, 5 s, to take in that a
	// server leaves after all connections fell silent.
	serversWait = 3_200 * clock.Millis(1)
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

	view      atomic.Pointer[View]
	confirmed atomic.Int64
	mu        sync.Mutex
	fleet     *fleet.Fleet
	// up is closed and made anew when a read of the manifest succeeds after one
	// that failed.
	up chan struct{}
}

// back returns a channel that closes when the store is back.
func (n *News) back() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// isBack wakes the followers that wait for the store.
func (n *News) isBack() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.up)
	n.up = make(chan struct{})
}

// View returns what is known now.
func (n *News) View() View {
	if v := n.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// never is the time of a confirmation that has not happened.
const never = -clock.Hour

// Age is how long ago the manifest was confirmed, in milliseconds. Now is a
// reading of the clock that counts suspension.
func (n *News) Age(now clock.Millis) clock.Millis {
	at := clock.Millis(n.confirmed.Load())
	if at == 0 {
		at = never
	}
	return now - at
}

// Run follows both tables until the context ends.
func (n *News) Run(ctx context.Context) {
	n.fleet = fleet.New(settling, doubt)
	n.up = make(chan struct{})
	manifest := n.follower("manifest", n.Source.ManifestRange, manifestWait)
	manifest.onAll = func(r rows.Reply) { n.takeManifest(r.Rows) }
	manifest.onChange = func(r rows.Reply) { n.takeManifest(r.Rows) }
	servers := n.follower("servers", n.Source.ServersRange, serversWait)
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
		if int64(at) <= old || n.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

func (n *News) follower(name string, of rows.Range, wait clock.Millis) *follower {
	return &follower{
		back:   n.back,
		store:  n.Store,
		clock:  n.Clock,
		log:    n.Log.With("table", name),
		of:     of,
		wait:   wait,
		onLost: func() {},
	}
}

// confirmAll reads the manifest again and again until the context ends.
func (n *News) confirmAll(ctx context.Context) {
	every := n.ConfirmEvery
	if every == 0 {
		every = defaultConfirm
	}
	lost := false
	for ctx.Err() == nil {
		sent := n.Clock.Boot()
		reply, err := n.Store.Read(ctx, n.Source.ManifestRange)
		wait := every
		if err == nil && lost {
			n.isBack()
		}
		lost = err != nil
		switch {
		case err != nil:
			wait = confirmRetry + clock.Millis(rand.N(int64(confirmRetry)))
		case reply.Version < n.View().Row:
			n.Log.Warn("The store's answer is older than what is known; it confirms nothing.", "version", reply.Version)
			wait = confirmRetry
		default:
			n.takeManifest(reply.Rows)
			n.Confirm(sent)
		}
		select {
		case <-ctx.Done():
		case <-n.Clock.After(wait):
		}
	}
}

// confirmRetry is the wait after a read that failed, in milliseconds: several
// tries have to fit into the age that keys allow.
const confirmRetry = 200 * clock.Millis(1)

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
	n.Adopt(m, row)
}

// Adopt puts a manifest in force unless one of the same or a newer row is.
func (n *News) Adopt(m *route.Manifest, row int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.View()
	if v.Manifest != nil && row <= v.Row {
		return
	}
	v.Manifest, v.Row = m, row
	routes, services, keys := m.Counts()
	n.Log.Info("Manifest in force.", "version", m.Version(), "row", row, "routes", routes, "services", services, "keys", keys)
	n.publish(v)
}

func (n *News) publish(v View) {
	n.view.Store(&v)
	if n.Changed != nil {
		n.Changed(v)
	}
}

func (n *News) takeAllServers(r rows.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.Answered(now)
	var all []fleet.Server
	for _, row := range r.Rows {
		if s, ok := n.server(row); ok {
			all = append(all, s)
		}
	}
	n.fleet.Replace(now, all)
	n.publishServers(now)
}

func (n *News) takeServers(r rows.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Boot()
	n.fleet.Answered(now)
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
	n.publishServers(now)
}

func (n *News) server(row rows.Row) (fleet.Server, bool) {
	s, err := n.Source.Server(row)
	if err != nil {
		n.Log.Warn("A server's record cannot be used.", "err", err)
		return fleet.Server{}, false
	}
	return s, true
}

func (n *News) lostServers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Lost(n.Clock.Boot())
}

func (n *News) publishServers(now clock.Millis) {
	n.fleet.Settle(now)
	if in, ok := n.fleet.SettleIn(now); ok {
		go n.settleLater(in)
	}
	v := n.View()
	list := n.fleet.List()
	if v.ServersKnown && sameList(v.Servers, list) {
		return
	}
	v.Servers, v.ServersKnown = list, true
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
	n.publishServers(n.Clock.Boot())
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
