package watch_test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/share/watch"
)

// source decodes manifests that consist of their version number, and servers that
// consist of their address.
var source = watch.Source{
	ManifestRange: rows.Range{Table: "op", From: "manifest", To: "manifest\x00"},
	ServersRange:  rows.Range{Table: "servers"},
	Manifest: func(all []rows.Row) (*route.Manifest, error) {
		for _, r := range all {
			if r.Key == "manifest" {
				version, err := strconv.ParseInt(string(r.Value), 10, 64)
				if err != nil {
					return nil, err
				}
				return route.NewManifest(route.Parts{Version: version}), nil
			}
		}
		return nil, nil
	},
	Server: func(r rows.Row) (fleet.Server, error) {
		if len(r.Value) == 0 {
			return fleet.Server{}, errors.New("an empty record")
		}
		address, leaving := strings.CutSuffix(string(r.Value), " leaving")
		return fleet.Server{ID: r.Key, Address: address, Leaving: leaving}, nil
	},
}

func startWatcher(c *qt.C, s *memdb.Store) *watch.Watcher {
	w := newWatcher(s)
	run(c, w)
	return w
}

func newWatcher(s *memdb.Store) *watch.Watcher {
	return &watch.Watcher{
		Store:        s.For("host"),
		Clock:        clock.System(),
		Source:       source,
		Log:          logs.Limit(logs.Discard(), clock.System(), nil),
		ConfirmEvery: 10,
	}
}

func run(c *qt.C, w *watch.Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-done
	})
}

// eventually waits until a condition holds. If it never does, the test times out.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func version(w *watch.Watcher) int64 {
	if v := w.View(); v.Manifest != nil {
		return v.Manifest.Version()
	}
	return 0
}

func TestChangesAreApplied(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	eventually(func() bool { return version(w) == 1 && len(w.View().Servers) == 1 })
	s.Put("op", "manifest", []byte("2"))
	s.Delete("servers", "a")
	eventually(func() bool { return version(w) == 2 && len(w.View().Servers) == 0 })
}

func TestInvalidServerRecordRemovesOnlyThatServer(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	s.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool { return len(w.View().Servers) == 2 })
	s.Put("servers", "b", nil)
	eventually(func() bool { return len(w.View().Servers) == 1 })
	c.Assert(w.View().Servers[0].ID, qt.Equals, "a")
}

func TestInvalidManifestKeepsThePreviousOne(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	eventually(func() bool { return version(w) == 1 })
	s.Put("op", "manifest", []byte("x"))
	s.Put("op", "manifest", []byte("3"))
	eventually(func() bool { return version(w) == 3 })
}

// The watch gets no changes, and then the store has lost the history. The periodic
// reads must still find the new manifest, and a snapshot read the new server.
func TestChangesAreFoundWhenTheWatchGetsNone(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	eventually(func() bool { return version(w) == 1 })
	s.SetFaults(memdb.Faults{MuteWatches: true})
	s.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return version(w) == 2 })
	s.Compact()
	s.SetFaults(memdb.Faults{})
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	eventually(func() bool { return len(w.View().Servers) == 1 })
}

// While the store refuses this host, the manifest's confirmation must age, and the
// age must drop when the store accepts the host again.
func TestConfirmationAgesDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	w := startWatcher(c, s)
	c.Assert(w.Age(clk.Boot()) > clock.Minute, qt.IsTrue)
	s.Put("op", "manifest", []byte("1"))
	eventually(func() bool { return version(w) == 1 && w.Age(clk.Boot()) < clock.Minute })
	s.SetFaults(memdb.Faults{RefusedHosts: map[string]bool{"host": true}})
	eventually(func() bool { return w.Age(clk.Boot()) > 300 })
	s.Put("op", "manifest", []byte("2"))
	c.Assert(version(w), qt.Equals, int64(1))
	s.SetFaults(memdb.Faults{})
	eventually(func() bool { return version(w) == 2 && w.Age(clk.Boot()) < 250 })
}

// A stale reply must neither confirm the manifest nor revert it.
func TestStaleReadDoesNotConfirmTheManifest(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	s.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return version(w) == 2 })
	s.SetFaults(memdb.Faults{StaleBy: 1})
	eventually(func() bool { return w.Age(clk.Boot()) > 300 })
	c.Assert(version(w), qt.Equals, int64(2))
	s.SetFaults(memdb.Faults{})
	eventually(func() bool { return w.Age(clk.Boot()) < 250 })
}

// Records may expire during an outage of the store because servers cannot renew
// them. The servers must stay in the list after the outage.
func TestServersWhoseRecordsExpiredDuringStoreOutageAreKept(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	eventually(func() bool { return len(w.View().Servers) == 1 })
	s.SetFaults(memdb.Faults{Down: true})
	calls := s.Calls()
	eventually(func() bool { return s.Calls() > calls+4 })
	s.Delete("servers", "a")
	s.Compact()
	s.SetFaults(memdb.Faults{})
	calls = s.Calls()
	eventually(func() bool { return s.Calls() > calls+4 })
	c.Assert(w.View().Servers, qt.HasLen, 1)
	s.Put("servers", "a", []byte("10.0.0.1:2"))
	eventually(func() bool { v := w.View(); return len(v.Servers) == 1 && v.Servers[0].Address == "10.0.0.1:2" })
}

// The odd records stand between good ones, replace one, and are read again.
func TestUnusableRecordCostsOnlyItsOwnServer(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	s.Put("op", "manifest", []byte("1"))
	var lines strings.Builder
	for _, key := range []string{"a", "c", "e"} {
		s.Put("servers", key, []byte("10.0.0.1:1"))
	}
	s.Put("servers", "b", nil)
	first := newWatcher(s)
	first.Log = logs.Limit(logs.NewPlain(&lines, logs.LevelInfo), clock.System(), nil)
	run(c, first)
	ids := func(w *watch.Watcher) string {
		all := ""
		for _, s := range w.View().Servers {
			all += s.ID
		}
		return all
	}
	await := func(w *watch.Watcher, want string) {
		for deadline := time.Now().Add(5 * time.Second); ids(w) != want && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
		}
		c.Assert(ids(w), qt.Equals, want)
	}
	await(first, "ace")
	s.Put("servers", "c", nil)
	s.Put("servers", "d", nil)
	s.Put("servers", "f", []byte("10.0.0.1:1"))
	await(first, "aef")
	s.Compact()
	s.Put("servers", "c", []byte("10.0.0.1:1"))
	await(first, "acef")
	c.Assert(strings.Count(lines.String(), "cannot be used"), qt.Equals, 3)
	second := newWatcher(s)
	run(c, second)
	await(second, "acef")
}

// stalling returns the store with calls that get no reply until resume is called, as on a host
// that is suspended. The calls of that time fail.
func stalling(s rows.Store) (stalled rows.Store, stall, resume func()) {
	var mu sync.Mutex
	var held chan struct{}
	stalled = s
	// await reports whether the call was made or answered in the stalled time.
	await := func() bool {
		mu.Lock()
		wait := held
		mu.Unlock()
		if wait == nil {
			return false
		}
		<-wait
		return true
	}
	errSuspended := errors.New("no reply in time")
	stalled.Read = func(ctx context.Context, r rows.Range) (rows.Reply, error) {
		if await() {
			return rows.Reply{}, errSuspended
		}
		return s.Read(ctx, r)
	}
	stalled.Watch = func(ctx context.Context, table string, after int64, wait clock.Millis) (rows.Reply, error) {
		reply, err := s.Watch(ctx, table, after, wait)
		if await() {
			return rows.Reply{}, errSuspended
		}
		return reply, err
	}
	stall = func() {
		mu.Lock()
		defer mu.Unlock()
		held = make(chan struct{})
	}
	resume = func() {
		mu.Lock()
		defer mu.Unlock()
		close(held)
		held = nil
	}
	return stalled, stall, resume
}

// A host that reads the store for others is turned away by it while a server leaves. That looks
// like an outage to it, so it keeps the server for a while without a record.
func TestServerThatLeftIsNotAdoptedFromReaderThatWasTurnedAway(t *testing.T) {
	for _, test := range leavingServers {
		t.Run(test.name, func(t *testing.T) {
			c, s := leaveUnseen(t, test.announced, false)
			eventually(func() bool { return len(s.reader.View().Missing) == 1 })
			s.other.Adopt(s.reader.View(), 1, clock.System().Boot())
			c.Assert(usable(s.other), qt.Equals, 1)
			s.store.Put("servers", "b", []byte("10.0.0.2:1"))
			eventually(func() bool { return len(s.reader.View().Missing) == 0 })
			s.other.Adopt(s.reader.View(), 1, clock.System().Boot())
			c.Assert(usable(s.other), qt.Equals, 2)
		})
	}
}

// A host that reads the store for others is suspended while a server leaves. Its failed calls
// are no outage, so that it does not keep the server.
func TestServerThatLeftIsNotKeptBySuspendedReader(t *testing.T) {
	for _, test := range leavingServers {
		t.Run(test.name, func(t *testing.T) {
			c, s := leaveUnseen(t, test.announced, true)
			eventually(func() bool { return usable(s.reader) == 1 })
			c.Assert(s.kept.Load(), qt.IsFalse)
			s.other.Adopt(s.reader.View(), 1, clock.System().Boot())
			c.Assert(usable(s.other), qt.Equals, 1)
			s.store.Put("servers", "b", []byte("10.0.0.2:1"))
			eventually(func() bool { return usable(s.reader) == 2 })
			s.other.Adopt(s.reader.View(), 1, clock.System().Boot())
			c.Assert(usable(s.other), qt.Equals, 2)
		})
	}
}

var leavingServers = []struct {
	name      string
	announced bool
}{{"a server that announced it", true}, {"a server whose record was removed", false}}

type unseenLeaving struct {
	store         *memdb.Store
	reader, other *watch.Watcher
	// kept is set once the reader has kept a server without a record.
	kept *atomic.Bool
}

func usable(w *watch.Watcher) int {
	return len(slices.DeleteFunc(slices.Clone(w.View().Servers), func(s fleet.Server) bool { return s.Leaving }))
}

// leaveUnseen lets a server leave while one host is suspended, or turned away by the store, and
// another one sees it. It returns when the first host can call the store again and the other one
// has stopped.
func leaveUnseen(t *testing.T, announced, suspended bool) (*qt.C, unseenLeaving) {
	c := qt.New(t)
	store := memdb.New(clock.System())
	store.Put("op", "manifest", []byte("1"))
	store.Put("servers", "a", []byte("10.0.0.1:1"))
	store.Put("servers", "b", []byte("10.0.0.2:1"))
	reader, other := newWatcher(store), newWatcher(store)
	stalled, stall, resume := stalling(store.For("reader"))
	reader.Store = stalled
	if !suspended {
		stall = func() { store.SetFaults(memdb.Faults{RefusedHosts: map[string]bool{"reader": true}}) }
		resume = func() { store.SetFaults(memdb.Faults{}) }
	}
	kept := &atomic.Bool{}
	reader.Changed = func(v watch.View) { kept.Store(kept.Load() || len(v.Missing) > 0) }
	run(c, reader)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); other.Run(ctx) }()
	eventually(func() bool { return usable(reader) == 2 && usable(other) == 2 })

	stall()
	if !suspended {
		eventually(func() bool { return reader.View().StoreDown })
	}
	if announced {
		store.Put("servers", "b", []byte("10.0.0.2:1 leaving"))
		eventually(func() bool { return usable(other) == 1 })
	}
	store.Delete("servers", "b")
	eventually(func() bool { return len(other.View().Servers) == 1 })
	cancel()
	<-done
	resume()
	return c, unseenLeaving{store, reader, other, kept}
}

// A manifest that cannot be read may withdraw keys, so nothing confirms the one before it.
func TestUnreadableManifestConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	store := memdb.New(clock.System())
	store.Put("op", "manifest", []byte("1"))
	store.Put("servers", "a", []byte("10.0.0.1:1"))
	w := startWatcher(c, store)
	follower := newWatcher(store)
	confirmed := func(w *watch.Watcher, since clock.Millis) bool {
		now := clock.System().Boot()
		return now-w.Age(now) > since
	}
	eventually(func() bool { return confirmed(w, 0) && w.View().ServersKnown })

	store.Put("op", "manifest", []byte("unreadable"))
	eventually(w.Unreadable)
	since := clock.System().Boot()
	time.Sleep(100 * time.Millisecond) // ten reads
	store.Put("op", "other", []byte("x"))
	time.Sleep(50 * time.Millisecond)
	c.Check(confirmed(w, since), qt.IsFalse)
	c.Check(w.Unreadable(), qt.IsTrue)
	c.Check(w.View().Manifest.Version(), qt.Equals, int64(1))
	now := clock.System().Boot()
	follower.Adopt(w.View(), 1, now-w.Age(now))
	c.Check(confirmed(follower, since), qt.IsFalse)

	// A host that starts meanwhile knows the servers, and has no manifest.
	started := startWatcher(c, store)
	eventually(func() bool { return started.View().ServersKnown })
	c.Check(started.View().Manifest, qt.IsNil)
	c.Check(confirmed(started, 0), qt.IsFalse)

	store.Put("op", "manifest", []byte("3"))
	since = clock.System().Boot()
	for _, all := range []*watch.Watcher{w, started} {
		eventually(func() bool { return confirmed(all, since) && !all.Unreadable() })
		c.Check(all.View().Manifest.Version(), qt.Equals, int64(3))
	}
}

// A host begins to read the store while it is down, because the host that read it for others
// has gone. Records that expired meanwhile are back soon after the outage.
func TestReaderThatStartsInAnOutageKeepsServersWithExpiredRecords(t *testing.T) {
	c := qt.New(t)
	store := memdb.New(clock.System())
	store.Put("op", "manifest", []byte("1"))
	store.Put("servers", "a", []byte("10.0.0.1:1"))
	store.Put("servers", "b", []byte("10.0.0.2:1"))
	gone, next := newWatcher(store), newWatcher(store)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); gone.Run(ctx) }()
	eventually(func() bool { return len(gone.View().Servers) == 2 })
	cancel()
	<-done
	next.Adopt(gone.View(), 1, clock.System().Boot())
	c.Assert(next.View().Servers, qt.HasLen, 2)

	var mu sync.Mutex
	var after []int // the numbers of servers since the outage
	next.Changed = func(v watch.View) {
		mu.Lock()
		defer mu.Unlock()
		if v.StoreDown {
			after = nil
		} else {
			after = append(after, len(v.Servers))
		}
	}
	store.SetFaults(memdb.Faults{Down: true})
	run(c, next)
	eventually(func() bool { return next.View().StoreDown })
	store.Delete("servers", "b")
	store.SetFaults(memdb.Faults{})
	eventually(func() bool { return len(next.View().Servers) == 1 })
	mu.Lock()
	defer mu.Unlock()
	c.Assert(after, qt.DeepEquals, []int{2, 1})
}
