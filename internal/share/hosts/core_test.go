package hosts

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/link"
)

// group simulates several cores on one clock. Messages arrive without delay unless
// the path is cut.
type group struct {
	now   clock.Millis
	cores map[string]*core
	cut   func(from, to string) bool
}

func newGroup(domains ...string) *group {
	g := &group{now: 1000, cores: map[string]*core{}, cut: func(string, string) bool { return false }}
	var listed []Host
	for i, domain := range domains {
		h := Host{Name: fmt.Sprintf("host-%02d", i), FailureDomain: domain, Incarnation: 1, Address: "x"}
		listed = append(listed, h)
		g.cores[h.Name] = newCore(h, DefaultTiming())
	}
	for _, c := range g.cores {
		c.updateListed(g.now, listed)
	}
	return g
}

// run advances time in steps of 50 ms and performs the actions of each core.
func (g *group) run(duration clock.Millis) {
	for end := g.now + duration; g.now < end; g.now += 50 {
		for _, name := range slices.Sorted(maps.Keys(g.cores)) {
			c := g.cores[name]
			c.tick(g.now)
			g.perform(name, c)
		}
	}
}

func (g *group) perform(name string, c *core) {
	for _, a := range c.takeActions() {
		peer, up := g.cores[a.Peer]
		open := up && !g.cut(name, a.Peer)
		switch a.Kind {
		case actionProbe:
			c.recordProbe(g.now, a.Peer, open, false)
		case actionHeartbeat:
			b, ok := c.heartbeatTo(a.Peer)
			if !ok || !open {
				continue
			}
			reply := peer.handleHeartbeat(g.now, link.Peer{Name: name, Incarnation: c.self.Incarnation}, &b)
			peer.rebuildView()
			c.handleReply(g.now, a.Peer, &reply)
		case actionSync:
			if open {
				c.mergeHosts(g.now, peer.knownHosts())
			}
		}
		c.rebuildView()
	}
}

// countInState returns how many cores see the host in the state.
func (g *group) countInState(name string, state string) int {
	count := 0
	for _, c := range g.cores {
		h, ok := c.view.Find(name)
		if (!ok && state == "Dead") || (ok && string(h.State) == state) {
			count++
		}
	}
	return count
}

func repeatDomain(count int, domain string) []string {
	var all []string
	for range count {
		all = append(all, domain)
	}
	return all
}

func TestMembershipConverges(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{2, 7, 20, 70} {
		g := newGroup(append(repeatDomain(size, "prairie-a"), "prairie-b", "prairie-b", "prairie-c")...)
		// Each tick probes a limited number of hosts; news spreads the rest.
		g.run(clock.Second)
		for name, core := range g.cores {
			c.Assert(core.view.hosts, qt.HasLen, size+3, qt.Commentf("%s of %d", name, size))
			c.Assert(core.view.Joined, qt.IsTrue)
			c.Assert(len(ringPeers(name, core.view.In("prairie-a"))) <= FanOut, qt.IsTrue)
		}

		// Every host detects a crash within two seconds.
		delete(g.cores, "host-01")
		g.run(2 * clock.Second)
		c.Assert(
			g.countInState("host-01", "Dead"), qt.Equals, len(g.cores), qt.Commentf("%d hosts", size),
		)
		for _, core := range g.cores {
			c.Assert(core.view.hosts, qt.HasLen, size+2)
		}

		// The host restarts; news of its earlier incarnation is ignored.
		restarted := Host{Name: "host-01", FailureDomain: "prairie-a", Incarnation: 2, Address: "y"}
		g.cores["host-01"] = newCore(restarted, DefaultTiming())
		g.cores["host-01"].updateListed(g.now, []Host{g.cores["host-00"].self})
		g.run(2 * clock.Second)
		c.Assert(
			g.countInState("host-01", "Alive"), qt.Equals, len(g.cores), qt.Commentf("%d hosts", size),
		)
		outdated := restarted
		outdated.Incarnation, outdated.Refutation, outdated.State = 1, 9, StateDead
		g.cores["host-00"].applyNews(g.now, outdated)
		g.run(100)
		c.Assert(g.countInState("host-01", "Alive"), qt.Equals, len(g.cores))

		// A leaving host keeps running without duties; after it stops, it is dead at once.
		g.cores["host-01"].leave(StateLeaving)
		g.run(clock.Second)
		c.Assert(g.countInState("host-01", "Leaving"), qt.Equals, len(g.cores))
		g.cores["host-01"].leave(StateDead)
		g.perform("host-01", g.cores["host-01"])
		delete(g.cores, "host-01")
		g.run(500)
		c.Assert(g.countInState("host-01", "Dead"), qt.Equals, len(g.cores))
	}
}

func TestHostJoinsAfterSyncOrTimeout(t *testing.T) {
	c := qt.New(t)
	g := newGroup(repeatDomain(3, "prairie-a")...)
	g.cut = func(from, to string) bool { return from == "host-00" || to == "host-00" }
	g.run(JoinTimeout)
	c.Assert(g.cores["host-01"].view.Joined, qt.IsTrue)
	c.Assert(g.cores["host-00"].view.Joined, qt.IsFalse)
	g.run(100)
	c.Assert(
		g.cores["host-00"].view.Joined, qt.IsTrue,
		qt.Commentf("host must assume that it is the only one"),
	)
}

func TestHostStaysAliveWhenOnePathIsCut(t *testing.T) {
	c := qt.New(t)
	g := newGroup(repeatDomain(7, "prairie-a")...)
	g.run(clock.Second)
	g.cut = func(from, to string) bool {
		return min(from, to) == "host-00" && max(from, to) == "host-03"
	}
	for range 100 {
		g.run(100)
		c.Assert(g.countInState("host-03", "Dead"), qt.Equals, 0)
	}
	c.Assert(g.cores["host-03"].self.Refutation > 0, qt.IsTrue)
}

func TestPartitionedDomainsRejoin(t *testing.T) {
	c := qt.New(t)
	g := newGroup(append(repeatDomain(5, "prairie-a"), repeatDomain(5, "prairie-b")...)...)
	g.run(clock.Second)
	domain := func(name string) string { return g.cores[name].self.FailureDomain }
	g.cut = func(from, to string) bool { return domain(from) != domain(to) }
	g.run(10 * clock.Second)
	for _, core := range g.cores {
		c.Assert(core.view.hosts, qt.HasLen, 5)
	}
	g.cut = func(string, string) bool { return false }
	g.run(5 * clock.Second)
	for _, core := range g.cores {
		c.Assert(core.view.hosts, qt.HasLen, 10)
	}
}

func TestWatchedPathIsChecked(t *testing.T) {
	c := qt.New(t)
	g := newGroup(repeatDomain(40, "prairie-a")...)
	g.run(clock.Second)
	core := g.cores["host-00"]
	peers := ringPeers("host-00", core.view.In("prairie-a"))
	c.Assert(peers, qt.DeepEquals, []string{
		"host-01", "host-02", "host-04", "host-08", "host-16", "host-32", "host-03", "host-05",
	})
	core.watchPath(g.now, "host-21")
	g.run(2 * clock.Second)
	at, ok := core.watchPath(g.now, "host-21")
	c.Assert(
		ok && g.now-at <= core.timing.WatchInterval+50, qt.IsTrue,
		qt.Commentf("%d at %d", at, g.now),
	)
}

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestViewsConvergeAfterFaults crashes, restarts and partitions hosts at random and
// then ends all faults: every host must converge to the same view of exactly the
// running hosts.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(append(
			repeatDomain(rapid.IntRange(2, 14).Draw(t, "hosts"), "prairie-a"),
			"prairie-b", "prairie-b",
		)...)
		var listed []Host
		for _, name := range slices.Sorted(maps.Keys(g.cores)) {
			listed = append(listed, g.cores[name].self)
		}
		cut := map[[2]string]bool{}
		g.cut = func(from, to string) bool { return cut[[2]string{from, to}] }
		for incarnation := range rapid.Int64Range(1, 10).Draw(t, "steps") {
			host := rapid.SampledFrom(listed).Draw(t, "host")
			switch rapid.SampledFrom([]string{"crash", "restart", "cut", "leave", "sync"}).Draw(t, "what") {
			case "crash":
				delete(g.cores, host.Name)
			case "restart":
				host.Incarnation = incarnation + 2
				g.cores[host.Name] = newCore(host, DefaultTiming())
				g.cores[host.Name].updateListed(g.now, listed)
			case "cut":
				other := rapid.SampledFrom(listed).Draw(t, "other")
				cut[[2]string{host.Name, other.Name}] = true
			case "leave":
				if core, ok := g.cores[host.Name]; ok {
					core.leave(StateLeaving)
					g.perform(host.Name, core)
				}
			case "sync":
				cut = map[[2]string]bool{}
			}
			g.run(clock.Millis(rapid.IntRange(50, 3000).Draw(t, "run")))
		}
		cut = map[[2]string]bool{}
		g.run(30 * clock.Second)
		for name, core := range g.cores {
			if len(core.view.hosts) != len(g.cores) {
				t.Fatalf("%s has view %v, but %d hosts are running", name, core.view.hosts, len(g.cores))
			}
			for _, h := range core.view.hosts {
				if self := g.cores[h.Name].self; h != self {
					t.Fatalf("%s has entry %v, but the host itself has %v", name, h, self)
				}
			}
		}
	})
}

func TestWinnersAreEvenlyDistributed(t *testing.T) {
	c := qt.New(t)
	g := newGroup(repeatDomain(7, "prairie-a")...)
	g.run(clock.Second)
	wins := map[string]int{}
	for key := range 700 {
		h, _ := RendezvousWinner(fmt.Sprintf("canvas-llm/%d", key), g.cores["host-00"].view.Eligible("prairie-a"))
		wins[h.Name]++
	}
	for name, count := range wins {
		c.Assert(count > 70 && count < 130, qt.IsTrue, qt.Commentf("%s wins %d of 700", name, count))
	}
}
