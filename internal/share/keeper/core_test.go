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

func TestLocalSharesAddUpToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := hostsNamed(1, "", hostNames(rapid.IntRange(1, 80).Draw(t, "hosts"))...)
		g := group{}
		for i := range rapid.IntRange(1, GroupSize).Draw(t, "servers") {
			slots := rapid.IntRange(1, 40).Draw(t, "slots")
			g.Servers = append(g.Servers, sched.Server{
				Name: fmt.Sprintf("llm-%d", i), State: sched.ServerUp, Slots: slots,
			})
		}
		for i, s := range g.Servers {
			sum, singleSlot := 0, 0
			for _, h := range live {
				shared := localShare(g, h.Name, live)
				sum += shared.Servers[i].Slots
				if slotsOf(shared) == 1 {
					singleSlot++ // possibly the one slot that every host gets
				}
			}
			if sum < s.Slots || sum > s.Slots+singleSlot {
				t.Fatalf(
					"shares of %s add up to %d; it has %d slots, and %d hosts have a single slot",
					s.Name, sum, s.Slots, singleSlot,
				)
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

// domainPair is two failure domains of one host each, without network delay.
type domainPair struct {
	now   clock.Millis
	cores map[string]*core
}

func newDomainPair() *domainPair {
	p := &domainPair{now: 1000, cores: map[string]*core{}}
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
		p.cores[name] = newCore(link.Peer{Name: name, Incarnation: 1}, domain, GroupSize, dependencies{
			services: func() []string { return []string{"canvas-llm"} }, servers: servers, settings: settings,
			random: func(int) int { return 0 },
		})
		all = append(all, hosts.Host{
			Name: name, FailureDomain: domain, Incarnation: 1, State: hosts.StateAlive,
		})
	}
	p.each(func(c *core) { c.setView(p.now, hosts.NewView(1, all...)) })
	p.deliverAll()
	return p
}

func (p *domainPair) each(do func(*core)) {
	for _, name := range sortedKeys(p.cores) {
		do(p.cores[name])
	}
}

func (p *domainPair) deliverAll() {
	for busy := true; busy; {
		busy = false
		p.each(func(c *core) {
			for to, packet, ok := c.takePacket(); ok; to, packet, ok = c.takePacket() {
				busy = true
				p.cores[to].receive(p.now, c.self, packet)
			}
		})
	}
}

// requestGrants places requests and returns the number of results by failure domain.
func (p *domainPair) requestGrants(host string, count int) map[string]int {
	c := p.cores[host]
	for range count {
		c.requestGrant(p.now, sched.Request{
			ID:      fmt.Sprintf("%s-%d", host, c.lastSeq),
			Service: "canvas-llm", Class: "class-1", Workspace: "stall",
			PredictedTokens: 10, Arrived: p.now, Deadline: p.now + 100, GiveUp: p.now + 5*clock.Second,
		})
		p.deliverAll()
	}
	at := map[string]int{}
	for _, r := range c.results {
		at[r.grant.FailureDomain]++
	}
	c.results = nil
	return at
}

func (p *domainPair) endAll(host string) {
	c := p.cores[host]
	for _, lr := range c.sortedRequests() {
		c.done(p.now, sched.Done{
			Progress: sched.Progress{ID: lr.request.ID, Tokens: 10, FirstToken: 5}, Outcome: sched.OutcomeDone,
		})
	}
	p.deliverAll()
}

func TestSpillIsBoundedAndRefusedSpillQueuesLocally(t *testing.T) {
	c := qt.New(t)
	p := newDomainPair()
	a, b := p.cores["host-a"], p.cores["host-b"]
	c.Assert(p.requestGrants("host-b", 1), qt.DeepEquals, map[string]int{"prairie-b": 1})
	p.endAll("host-b")
	// The own domain is full, and its queue has a long wait estimate: at most two
	// requests, a fifth of the own slots, may be spilled at a time. The rest waits.
	c.Assert(p.requestGrants("host-a", 10), qt.DeepEquals, map[string]int{"prairie-a": 10})
	knownFree := b.domainDigests(p.now)
	spill := func() map[string]int {
		a.digests[groupIDOf("canvas-llm/prairie-a/0")] = cachedDigest{
			digest: sched.Digest{Running: 10, Waiting: 1, WaitEstimate: 400}, at: p.now,
		}
		a.recordDomainDigests(p.now, "prairie-b", knownFree)
		return p.requestGrants("host-a", 1)
	}
	for _, want := range []map[string]int{{"prairie-b": 1}, {"prairie-b": 1}, {}} {
		c.Assert(spill(), qt.DeepEquals, want)
	}

	// The other domain decides by its own state: while its own requests wait it
	// refuses, and the request is queued in its own domain.
	last := a.sortedRequests()[len(a.sortedRequests())-3]
	c.Assert(last.request.Spilled, qt.IsTrue)
	a.done(p.now, sched.Done{
		Progress: sched.Progress{ID: last.request.ID, Tokens: 10}, Outcome: sched.OutcomeDone,
	})
	p.deliverAll()
	c.Assert(p.requestGrants("host-b", 12), qt.DeepEquals, map[string]int{"prairie-b": 9})
	c.Assert(spill(), qt.DeepEquals, map[string]int{})
	last = a.sortedRequests()[len(a.sortedRequests())-1]
	c.Assert(last.spillDomain, qt.Equals, "prairie-b")
	c.Assert(last.group, qt.Equals, "canvas-llm/prairie-a/0")
	c.Assert(last.state, qt.Equals, stateQueued)
}

// TestKeepersFollowMembershipView guards against keepers cached in one view that are
// still used in a later one.
func TestKeepersFollowMembershipView(t *testing.T) {
	c := qt.New(t)
	core := newCore(link.Peer{Name: "host-0", Incarnation: 1}, "prairie-a", GroupSize, dependencies{
		services: func() []string { return nil },
		servers:  func(string, string) []sched.Server { return nil }, settings: testSettings,
	})
	moved := map[string]bool{}
	for number, live := range [][]hosts.Host{
		hostsNamed(1, "", hostNames(8)...),
		hostsNamed(1, "", hostNames(5)...),
		append(
			hostsNamed(1, "", "host-0", "host-1"), hostsNamed(1, "Leaving", "host-2", "host-3", "host-4")...,
		),
		hostsNamed(1, "", hostNames(8)...),
		nil,
	} {
		view := hosts.NewView(uint64(number+1), live...)
		core.setView(1000, view)
		c.Check(core.domainHosts, qt.Equals, len(view.In("prairie-a")))
		for i := range 20 {
			name := fmt.Sprintf("canvas-llm/prairie-a/%d", i)
			want, live := hosts.RendezvousWinner(name, view.Eligible("prairie-a"))
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

// TestGroupsFollowServerList guards against cached groups that outlive the next read of
// the server list.
func TestGroupsFollowServerList(t *testing.T) {
	c := qt.New(t)
	var servers []sched.Server
	core := newCore(link.Peer{Name: "host-0", Incarnation: 1}, "prairie-a", GroupSize, dependencies{
		services: func() []string { return []string{"canvas-llm"} },
		servers:  func(string, string) []sched.Server { return servers },
		settings: testSettings,
	})
	now := clock.Millis(1000)
	core.setView(now, hosts.NewView(1, hostsNamed(1, "", "host-0")...))
	for _, count := range []int{0, 3, 20, 5} {
		servers = make([]sched.Server, count)
		for i := range servers {
			servers[i].Name = fmt.Sprint("llm-", i)
		}
		now += serverRefreshInterval
		core.tick(now)
		found := 0
		for _, g := range core.groups("canvas-llm", "prairie-a") {
			found += len(g.Servers)
		}
		c.Check(found, qt.Equals, count)
	}
}
