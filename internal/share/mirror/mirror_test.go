package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/mirror"
	"siskinsaddle/internal/share/watch"
)

// source decodes manifests that consist of their version number, and servers that
// consist of their address.
var source = watch.Source{
	ManifestRange: rows.Range{Table: "op", From: "manifest", To: "manifest\x00"},
	ServersRange:  rows.Range{Table: "servers"},
	Manifest: func(all []rows.Row) (*route.Manifest, error) {
		if len(all) == 0 {
			return nil, nil
		}
		version, err := strconv.ParseInt(string(all[0].Value), 10, 64)
		if err != nil {
			return nil, err
		}
		return route.NewManifest(route.Parts{Version: version}), nil
	},
	Server: func(r rows.Row) (fleet.Server, error) {
		if len(r.Value) == 0 {
			return fleet.Server{}, errors.New("an empty record")
		}
		return fleet.Server{ID: r.Key, Address: string(r.Value)}, nil
	},
}

// maxApplyDelay is the longest time until a change is in force, in milliseconds.
const maxApplyDelay = 400

// group is a number of linked hosts that share one store.
type group struct {
	c     *qt.C
	store *memdb.Store
	hosts []*host
}

type host struct {
	name    string
	mirror  *mirror.Mirror
	watcher *watch.Watcher
	stop    func()
}

func newGroup(c *qt.C, domains ...string) *group {
	g := &group{c: c, store: memdb.New(clock.System())}
	g.store.Put("op", "manifest", []byte("1"))
	g.store.Put("servers", "a", []byte("10.0.0.1:1"))
	for i, d := range domains {
		g.add(fmt.Sprint("h", i), d)
	}
	// All hosts are registered now, so this second join makes each host know the others
	// without waiting for the reads that follow the start.
	for _, h := range g.hosts {
		_, _, err := h.mirror.Members.Join(context.Background())
		c.Assert(err, qt.IsNil)
	}
	return g
}

func (g *group) add(name, domain string) {
	c := g.c
	clk := clock.System()
	l := logs.Limit(logs.Discard(), clk, nil)
	store := g.store.For(name)
	registry := &member.Registry{Store: store, Table: "hosts", Clock: clk, Log: l}
	node := &link.Node{
		Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: []byte("a secret of the group's hosts"),
		Clock: clk, Log: logs.Discard(), Counters: count.NewSet(), Address: registry.Address,
	}
	w := &watch.Watcher{Store: store, Clock: clk, Source: source, Log: l, ConfirmEvery: maxApplyDelay / 2}
	m := &mirror.Mirror{
		Self: name, FailureDomain: domain, Members: registry, Link: node, Watcher: w, Clock: clk, Log: l, MaxApplyDelay: maxApplyDelay,
		Joined: func() bool { return true },
	}
	m.Register()
	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(node.Start(ctx), qt.IsNil)
	registry.Self = member.Member{Name: name, Address: node.Addr(), FailureDomain: domain, Cores: 1}
	_, _, err := registry.Join(ctx)
	c.Assert(err, qt.IsNil)
	var all sync.WaitGroup
	all.Go(func() { _ = node.Run(ctx) })
	all.Go(func() { m.Run(ctx) })
	h := &host{name: name, mirror: m, watcher: w, stop: sync.OnceFunc(func() { cancel(); all.Wait() })}
	c.Cleanup(h.stop)
	g.hosts = append(g.hosts, h)
}

// eventually waits until a condition holds. If it never does, the test times out.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (h *host) version() int64 {
	if v := h.watcher.View(); v.Manifest != nil {
		return v.Manifest.Version()
	}
	return 0
}

func (g *group) all(condition func(*host) bool) bool {
	for _, h := range g.hosts {
		if !condition(h) {
			return false
		}
	}
	return true
}

func (g *group) readers() []*host {
	var found []*host
	for _, h := range g.hosts {
		if h.mirror.ReadsStore() {
			found = append(found, h)
		}
	}
	return found
}

// awaitOneReader waits until one host reads the store and all hosts have its state.
func (g *group) awaitOneReader() {
	eventually(func() bool {
		return len(g.readers()) == 1 && g.all(func(h *host) bool { return h.version() == 1 && h.watcher.View().ServersKnown })
	})
}

func TestOneHostOfADomainReadsForAll(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a", "a")
	g.awaitOneReader()
	g.store.Put("op", "manifest", []byte("2"))
	g.store.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool {
		return g.all(func(h *host) bool { return h.version() == 2 && len(h.watcher.View().Servers) == 2 })
	})
	g.store.Delete("servers", "a")
	eventually(func() bool { return g.all(func(h *host) bool { return len(h.watcher.View().Servers) == 1 }) })
	c.Assert(g.readers(), qt.HasLen, 1)
}

// Network latency must not make a confirmation appear younger on a follower than it is
// on the reader.
func TestConfirmationIsNeverYoungerThanOnTheReader(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a")
	g.awaitOneReader()
	reader := g.readers()[0]
	compared := map[string]bool{}
	for range 500 {
		for _, h := range g.hosts {
			now := clock.System().Boot()
			age := h.watcher.Age(now)
			if h.watcher.DirectAge(now) == age {
				// The last confirmation is a read of its own, from before it followed the reader.
				continue
			}
			compared[h.name] = true
			// Another host may have become a reader if the first one did not answer in time.
			youngest := reader.watcher.DirectAge(now)
			for _, other := range g.hosts {
				youngest = min(youngest, other.watcher.DirectAge(now))
			}
			c.Assert(age >= youngest, qt.IsTrue, qt.Commentf("host %s", h.name))
		}
		time.Sleep(time.Millisecond)
	}
	c.Assert(len(compared) >= len(g.hosts)-1, qt.IsTrue)
}

func TestStoppedReaderIsReplaced(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a")
	g.awaitOneReader()
	old := g.readers()[0]
	old.stop()
	g.hosts = without(g.hosts, old)
	g.store.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 2 }) })
}

// The reader still replies to queries, but the store refuses its reads. Its state
// ages, and the other hosts must get changes from elsewhere.
func TestChangesArriveWhenTheStoreRefusesTheReader(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a")
	g.awaitOneReader()
	reader := g.readers()[0]
	g.store.SetFaults(memdb.Faults{RefusedHosts: map[string]bool{reader.name: true}})
	g.store.Put("op", "manifest", []byte("2"))
	g.store.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool {
		return g.all(func(h *host) bool { return h.version() == 2 && len(h.watcher.View().Servers) == 2 })
	})
}

// The store refuses all hosts of one failure domain. Hosts of another domain must
// confirm the manifest for them.
func TestOtherDomainsConfirmForADomainRefusedByTheStore(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "b")
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 1 }) })
	refused := map[string]bool{}
	for _, h := range g.hosts[:4] {
		refused[h.name] = true
	}
	g.store.SetFaults(memdb.Faults{RefusedHosts: refused})
	since := clock.System().Boot()
	g.store.Put("op", "manifest", []byte("2"))
	eventually(func() bool {
		return g.all(func(h *host) bool {
			now := clock.System().Boot()
			return h.version() == 2 && now-h.watcher.Age(now) > since+2*maxApplyDelay
		})
	})
}

// During a store outage for all hosts, the manifest's confirmation must age on every
// host: hosts must not confirm it to one another.
func TestNoHostConfirmsDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "b")
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 1 }) })
	g.store.SetFaults(memdb.Faults{Down: true})
	since := clock.System().Boot()
	eventually(func() bool { return clock.System().Boot() > since+3*maxApplyDelay })
	for _, h := range g.hosts {
		now := clock.System().Boot()
		c.Assert(now-h.watcher.Age(now) <= since, qt.IsTrue, qt.Commentf("host %s", h.name))
	}
	g.store.SetFaults(memdb.Faults{})
	g.store.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 2 }) })
}

func without(all []*host, removed *host) []*host {
	var left []*host
	for _, h := range all {
		if h != removed {
			left = append(left, h)
		}
	}
	return left
}

// A reader that the store refuses gets fresh state from the other hosts. If they then
// followed it again, no host would read the store until the state is too old on all
// of them at once.
func TestReaderRefusedByTheStoreIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a")
	g.awaitOneReader()
	reader := g.readers()[0]
	g.store.SetFaults(memdb.Faults{RefusedHosts: map[string]bool{reader.name: true}})
	others := func() bool {
		for _, h := range without(g.hosts, reader) {
			if h.mirror.ReadsStore() {
				return true
			}
		}
		return false
	}
	eventually(others)
	for range 600 {
		c.Assert(others(), qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
	}
}

// The followers of a host that has seen a restore get lower versions than before.
func TestFollowersApplyChangesAfterRestore(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "d1", "d1", "d1", "d1", "d1")
	old := g.store.Copy()
	g.store.Put("op", "manifest", []byte("2"))
	g.store.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool {
		return g.all(func(h *host) bool { return h.version() == 2 && len(h.watcher.View().Servers) == 2 })
	})
	g.store.Restore(old)
	g.store.Put("op", "manifest", []byte("3"))
	g.store.Put("servers", "c", []byte("10.0.0.3:1"))
	knows := func(h *host) bool {
		return h.version() == 3 && slices.ContainsFunc(h.watcher.View().Servers, func(s fleet.Server) bool { return s.ID == "c" })
	}
	end := time.Now().Add(2 * time.Second)
	for !g.all(knows) && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	c.Assert(g.all(knows), qt.IsTrue)
	c.Assert(len(g.readers()) < len(g.hosts), qt.IsTrue)
}

// The operator has not yet written the newest manifest again when a host starts.
func TestStartingHostGetsManifestThatTheRestoredStoreLacks(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "d1", "d2", "d3")
	old := g.store.Copy()
	g.store.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 2 }) })
	g.store.Restore(old)
	g.add("h3", "d4")
	started := g.hosts[3]
	c.Assert(inTime(func() bool { return started.version() != 0 }), qt.IsTrue)
	c.Assert(started.version(), qt.Equals, int64(2))
}

// Its own first read cannot tell a starting host that the store was restored.
func TestStartingHostDoesNotConfirmUnsettledManifest(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "d1", "d2", "d3")
	old := g.store.Copy()
	confirmed := func(h *host) bool { return h.watcher.Age(clock.System().Boot()) < maxApplyDelay }
	eventually(func() bool { return g.all(confirmed) })
	g.store.Restore(old)
	c.Assert(inTime(func() bool {
		return g.all(func(h *host) bool { return h.watcher.RestoreUntil() > 0 && !confirmed(h) })
	}), qt.IsTrue)
	g.add("h3", "d4")
	started := g.hosts[3]
	c.Assert(inTime(func() bool { return started.version() != 0 }), qt.IsTrue)
	c.Assert(confirmed(started), qt.IsFalse)
	c.Assert(inTime(func() bool { return confirmed(started) }), qt.IsTrue)
}

// inTime waits until a condition holds and reports whether it does within five seconds.
func inTime(condition func() bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// The servers' table is away, and a server leaves when all hosts are in touch again. Most hosts of
// a domain learn of the end of the outage from the one that reads the store, or from the next one
// if that has died.
func TestHostsBesideAReaderDropServerThatLeavesAfterOutage(t *testing.T) {
	const contact, drain = 3 * time.Second, 2 * time.Second
	for _, readerDies := range []bool{false, true} {
		t.Run(fmt.Sprint("reader dies ", readerDies), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newGroup(c, "a", "a", "a", "a", "a")
			g.store.Put("servers", "b", []byte("10.0.0.2:1"))
			known := func(h *host) bool { return len(h.watcher.View().Servers) == 2 }
			eventually(func() bool { return g.all(known) && len(g.readers()) == 1 })

			g.store.SetFaults(memdb.Faults{DownTables: map[string]bool{"servers": true}})
			eventually(func() bool { return g.readers()[0].watcher.View().StoreDown })
			if readerDies {
				dead := g.readers()[0]
				dead.stop()
				g.hosts = slices.DeleteFunc(g.hosts, func(h *host) bool { return h == dead })
			}
			time.Sleep(3500 * time.Millisecond)
			g.store.SetFaults(memdb.Faults{})
			time.Sleep(contact + 50*time.Millisecond)
			c.Assert(g.all(known), qt.IsTrue)
			g.store.Delete("servers", "b")
			time.Sleep(drain)
			for _, h := range g.hosts {
				c.Check(known(h), qt.IsFalse, qt.Commentf("%s uses the server", h.name))
			}
		})
	}
}
