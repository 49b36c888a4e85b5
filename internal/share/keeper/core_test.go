package keeper

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := named(1, "", numbered(rapid.IntRange(1, 80).Draw(t, "hosts"))...)
		g := group{}
		for i := range rapid.IntRange(1, GroupSize).Draw(t, "servers") {
			slots := rapid.IntRange(1, 40).Draw(t, "slots")
			g.Servers = append(g.Servers, sched.Server{Name: fmt.Sprintf("llm-%d", i), State: sched.ServerUp, Slots: slots})
		}
		for i, s := range g.Servers {
			sum, alone := 0, 0
			for _, h := range live {
				shared := shareOf(g, h.Name, live)
				sum += shared.Servers[i].Slots
				if slotsOf(shared) == 1 {
					alone++ // may be the one slot that every host has
				}
			}
			if sum < s.Slots || sum > s.Slots+alone {
				t.Fatalf("shares of %s add up to %d, it has %d slots and %d hosts have one slot", s.Name, sum, s.Slots, alone)
			}
		}
	})
}

func slotsOf(g group) int {
	sum := 0
	for _, s := range g.Servers {
		sum += s.Slots
	}
	return sum
}

func TestSplitIsEven(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		servers int
		sizes   []int
	}{{0, nil}, {1, []int{1}}, {8, []int{8}}, {9, []int{4, 5}}, {10, []int{5, 5}}, {17, []int{5, 6, 6}}} {
		var all []sched.Server
		for i := range test.servers {
			all = append(all, sched.Server{Name: fmt.Sprintf("llm-%02d", test.servers-i)})
		}
		var sizes []int
		for _, g := range split("canvas-llm", "prairie-a", GroupSize, all) {
			sizes = append(sizes, len(g.Servers))
		}
		c.Check(sizes, qt.DeepEquals, test.sizes, qt.Commentf("%d servers", test.servers))
	}
}

// pair is two domains of one host each, which pass their packets at once.
type pair struct {
	now   clock.Millis
	cores map[string]*core
}

func newPair() *pair {
	p := &pair{now: 1000, cores: map[string]*core{}}
	var all []hosts.Host
	for name, domain := range map[string]string{"host-a": "prairie-a", "host-b": "prairie-b"} {
		servers := func(_, of string) []sched.Server {
			return []sched.Server{{Name: "llm-" + of, State: sched.ServerUp, Slots: 10}}
		}
		settings := func(string) (sched.Settings, uint64) {
			s, version := testSettings("")
			s.SpillShare = 0.5
			return s, version
		}
		p.cores[name] = newCore(link.Peer{Name: name, Incarnation: 1}, domain, GroupSize, seams{
			services: func() []string { return []string{"canvas-llm"} }, servers: servers, settings: settings,
			random: func(int) int { return 0 },
		})
		all = append(all, hosts.Host{Name: name, FailureDomain: domain, Incarnation: 1, State: hosts.StateAlive})
	}
	p.each(func(c *core) { c.setView(p.now, hosts.NewView(1, all...)) })
	p.settle()
	return p
}

func (p *pair) each(do func(*core)) {
	for _, name := range sortedKeys(p.cores) {
		do(p.cores[name])
	}
}

func (p *pair) settle() {
	for busy := true; busy; {
		busy = false
		p.each(func(c *core) {
			for to, packet, ok := c.take(); ok; to, packet, ok = c.take() {
				busy = true
				p.cores[to].receive(p.now, c.self, packet)
			}
		})
	}
}

// ask places requests and returns where they were granted.
func (p *pair) ask(host string, count int) map[string]int {
	c := p.cores[host]
	for range count {
		c.ask(p.now, sched.Request{
			ID: fmt.Sprintf("%s-%d", host, c.lastSeq), Service: "canvas-llm", Class: "class-1", Workspace: "stall",
			PredictedTokens: 10, Arrived: p.now, Deadline: p.now + 100, GiveUp: p.now + 5*clock.Second,
		})
		p.settle()
	}
	at := map[string]int{}
	for _, r := range c.ended {
		at[r.grant.FailureDomain]++
	}
	c.ended = nil
	return at
}

func (p *pair) endAll(host string) {
	c := p.cores[host]
	for _, a := range c.sorted() {
		c.done(p.now, sched.Done{Progress: sched.Progress{ID: a.request.ID, Tokens: 10, FirstToken: 5}, Outcome: sched.OutcomeDone})
	}
	p.settle()
}

func TestSpillIsBoundedAndComesBack(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	a, b := p.cores["host-a"], p.cores["host-b"]
	c.Assert(p.ask("host-b", 1), qt.DeepEquals, map[string]int{"prairie-b": 1})
	p.endAll("host-b")
	// The own domain is full, and its queue known to be slow: two requests, a
	// fifth of the own slots, may be elsewhere at a time. The rest waits.
	c.Assert(p.ask("host-a", 10), qt.DeepEquals, map[string]int{"prairie-a": 10})
	knownFree := b.sum(p.now)
	spill := func() map[string]int {
		a.digests[numberOf("canvas-llm/prairie-a/0")] = known{digest: sched.Digest{Running: 10, Waiting: 1, WaitEstimate: 400}, at: p.now}
		a.learn(p.now, "prairie-b", knownFree)
		return p.ask("host-a", 1)
	}
	for _, want := range []map[string]int{{"prairie-b": 1}, {"prairie-b": 1}, {}} {
		c.Assert(spill(), qt.DeepEquals, want)
	}

	// The other domain decides by what it knows itself: while its own work
	// waits it refuses, and the request waits at home.
	last := a.sorted()[len(a.sorted())-3]
	c.Assert(last.request.Spilled, qt.IsTrue)
	a.done(p.now, sched.Done{Progress: sched.Progress{ID: last.request.ID, Tokens: 10}, Outcome: sched.OutcomeDone})
	p.settle()
	c.Assert(p.ask("host-b", 12), qt.DeepEquals, map[string]int{"prairie-b": 9})
	c.Assert(spill(), qt.DeepEquals, map[string]int{})
	last = a.sorted()[len(a.sorted())-1]
	c.Assert(last.abroad, qt.Equals, "prairie-b")
	c.Assert(last.group, qt.Equals, "canvas-llm/prairie-a/0")
	c.Assert(last.state, qt.Equals, stateQueued)
}

// What is remembered of a view is never used under a later one.
func TestKeepersFollowTheView(t *testing.T) {
	c := qt.New(t)
	core := newCore(link.Peer{Name: "host-0", Incarnation: 1}, "prairie-a", GroupSize, seams{
		services: func() []string { return nil }, servers: func(string, string) []sched.Server { return nil }, settings: testSettings,
	})
	moved := map[string]bool{}
	for number, live := range [][]hosts.Host{
		named(1, "", numbered(8)...),
		named(1, "", numbered(5)...),
		append(named(1, "", "host-0", "host-1"), named(1, "Leaving", "host-2", "host-3", "host-4")...),
		named(1, "", numbered(8)...),
		nil,
	} {
		view := hosts.NewView(uint64(number+1), live...)
		core.setView(1000, view)
		c.Check(core.mates, qt.Equals, len(view.In("prairie-a")))
		for i := range 20 {
			name := fmt.Sprintf("canvas-llm/prairie-a/%d", i)
			want, live := hosts.Winner(name, view.Duty("prairie-a"))
			for range 2 {
				keeper, ok := core.keeperOf(name)
				c.Check(ok, qt.Equals, live)
				c.Check(keeper, qt.Equals, want.Name)
			}
			moved[want.Name] = true
		}
	}
	c.Check(len(moved) > 4, qt.IsTrue)
}

// A change in the list of servers is followed with the next look at it.
func TestGroupsFollowTheServers(t *testing.T) {
	c := qt.New(t)
	var servers []sched.Server
	core := newCore(link.Peer{Name: "host-0", Incarnation: 1}, "prairie-a", GroupSize, seams{
		services: func() []string { return []string{"canvas-llm"} },
		servers:  func(string, string) []sched.Server { return servers },
		settings: testSettings,
	})
	now := clock.Millis(1000)
	core.setView(now, hosts.NewView(1, named(1, "", "host-0")...))
	for _, count := range []int{0, 3, 20, 5} {
		servers = make([]sched.Server, count)
		for i := range servers {
			servers[i].Name = fmt.Sprint("llm-", i)
		}
		now += serversWait
		core.tick(now)
		found := 0
		for _, g := range core.groups("canvas-llm", "prairie-a") {
			found += len(g.Servers)
		}
		c.Check(found, qt.Equals, count)
	}
}
