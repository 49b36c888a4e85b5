package mirror_test

import (
	"context"
	"fmt"
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

// source decodes rows whose value is a number or an address.
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

// apply is the time in which a change is to be in force, in milliseconds.
const apply = 400

// group is hosts around one store.
type group struct {
	c     *qt.C
	shelf *memdb.Shelf
	hosts []*host
}

type host struct {
	name  string
	brief *mirror.Brief
	news  *watch.News
	stop  func()
}

func newGroup(c *qt.C, domains ...string) *group {
	g := &group{c: c, shelf: memdb.New(clock.System())}
	g.shelf.Put("op", "manifest", []byte("1"))
	g.shelf.Put("servers", "a", []byte("10.0.0.1:1"))
	for i, d := range domains {
		g.add(fmt.Sprint("h", i), d)
	}
	// Each host knows all others: the reads that follow the start are early here.
	for _, h := range g.hosts {
		_, _, err := h.brief.Crew.Join(context.Background())
		c.Assert(err, qt.IsNil)
	}
	return g
}

func (g *group) add(name, domain string) {
	c := g.c
	clk := clock.System()
	l := logs.Limit(logs.Discard(), clk, nil)
	store := g.shelf.For(name)
	others := &member.Crew{Store: store, Table: "hosts", Clock: clk, Log: l}
	node := &link.Node{
		Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: []byte("a secret of the group's hosts"),
		Clock: clk, Log: logs.Discard(), Counters: count.NewSet(), Address: others.Address,
	}
	n := &watch.News{Store: store, Clock: clk, Source: source, Log: l, ConfirmEvery: apply / 2}
	b := &mirror.Brief{
		Self: name, FailureDomain: domain, Crew: others, Link: node, News: n, Clock: clk, Log: l, Apply: apply,
		Joined: func() bool { return true },
	}
	b.Register()
	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(node.Start(ctx), qt.IsNil)
	others.Self = member.Member{Name: name, Address: node.Addr(), FailureDomain: domain, Cores: 1}
	_, _, err := others.Join(ctx)
	c.Assert(err, qt.IsNil)
	var all sync.WaitGroup
	all.Go(func() { _ = node.Run(ctx) })
	all.Go(func() { b.Run(ctx) })
	h := &host{name: name, brief: b, news: n, stop: sync.OnceFunc(func() { cancel(); all.Wait() })}
	c.Cleanup(h.stop)
	g.hosts = append(g.hosts, h)
}

// eventually waits until something holds; it hangs where it never does.
func eventually(holds func() bool) {
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

func (h *host) version() int64 {
	if v := h.news.View(); v.Manifest != nil {
		return v.Manifest.Version()
	}
	return 0
}

func (g *group) all(holds func(*host) bool) bool {
	for _, h := range g.hosts {
		if !holds(h) {
			return false
		}
	}
	return true
}

func (g *group) readers() []*host {
	var found []*host
	for _, h := range g.hosts {
		if h.brief.Reads() {
			found = append(found, h)
		}
	}
	return found
}

func (g *group) settle() {
	eventually(func() bool {
		return len(g.readers()) == 1 && g.all(func(h *host) bool { return h.version() == 1 && h.news.View().ServersKnown })
	})
}

func TestOneHostOfADomainReadsAndAllKnow(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a", "a")
	g.settle()
	g.shelf.Put("op", "manifest", []byte("2"))
	g.shelf.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool {
		return g.all(func(h *host) bool { return h.version() == 2 && len(h.news.View().Servers) == 2 })
	})
	g.shelf.Drop("servers", "a")
	eventually(func() bool { return g.all(func(h *host) bool { return len(h.news.View().Servers) == 1 }) })
	c.Assert(g.readers(), qt.HasLen, 1)
}

// The way of a message must not make a confirmation younger than it is.
func TestAConfirmationIsNeverYoungerThanTheReaders(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a")
	g.settle()
	reader := g.readers()[0]
	for range 500 {
		for _, h := range g.hosts {
			now := clock.System().Boot()
			age := h.news.Age(now)
			c.Assert(age >= reader.news.Age(now), qt.IsTrue, qt.Commentf("host %s", h.name))
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAReaderThatEndsIsReplaced(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a")
	g.settle()
	old := g.readers()[0]
	old.stop()
	g.hosts = without(g.hosts, old)
	g.shelf.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 2 }) })
}

// The reader goes on answering, but the store turns it away: what it says ages,
// and the others look further.
func TestAReaderThatTheStoreTurnsAwayHidesNoChange(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a")
	g.settle()
	reader := g.readers()[0]
	g.shelf.Set(memdb.Faults{TurnedAway: map[string]bool{reader.name: true}})
	g.shelf.Put("op", "manifest", []byte("2"))
	g.shelf.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool {
		return g.all(func(h *host) bool { return h.version() == 2 && len(h.news.View().Servers) == 2 })
	})
}

// A whole domain is turned away; hosts of another one vouch for what they have
// confirmed.
func TestOtherDomainsVouchForOneThatTheStoreTurnsAway(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "b")
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 1 }) })
	away := map[string]bool{}
	for _, h := range g.hosts[:4] {
		away[h.name] = true
	}
	g.shelf.Set(memdb.Faults{TurnedAway: away})
	since := clock.System().Boot()
	g.shelf.Put("op", "manifest", []byte("2"))
	eventually(func() bool {
		return g.all(func(h *host) bool {
			now := clock.System().Boot()
			return h.version() == 2 && now-h.news.Age(now) > since+2*apply
		})
	})
}

// While the store is away from all, what is known ages on every host.
func TestNobodyVouchesWhileTheStoreIsAway(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "b")
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 1 }) })
	g.shelf.Set(memdb.Faults{Away: true})
	since := clock.System().Boot()
	eventually(func() bool { return clock.System().Boot() > since+3*apply })
	for _, h := range g.hosts {
		now := clock.System().Boot()
		c.Assert(now-h.news.Age(now) <= since, qt.IsTrue, qt.Commentf("host %s", h.name))
	}
	g.shelf.Set(memdb.Faults{})
	g.shelf.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return g.all(func(h *host) bool { return h.version() == 2 }) })
}

func without(all []*host, gone *host) []*host {
	var left []*host
	for _, h := range all {
		if h != gone {
			left = append(left, h)
		}
	}
	return left
}

// A reader that the store turns away is kept fresh by the others. If they then
// followed it again, nobody would read until all news are too old at once.
func TestAReaderThatTheStoreTurnsAwayIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, "a", "a", "a", "a", "a")
	g.settle()
	reader := g.readers()[0]
	g.shelf.Set(memdb.Faults{TurnedAway: map[string]bool{reader.name: true}})
	others := func() bool {
		for _, h := range without(g.hosts, reader) {
			if h.brief.Reads() {
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
