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

// group runs cores side by side on one clock; messages arrive at once unless
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
		c.list(g.now, listed)
	}
	return g
}

// run lets time pass in steps of 50 ms and carries out the actions.
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
	for _, a := range c.take() {
		peer, up := g.cores[a.Peer]
		open := up && !g.cut(name, a.Peer)
		switch a.Kind {
		case actionProbe:
			c.probed(g.now, a.Peer, open, false)
		case actionBeat:
			b, ok := c.opening(a.Peer)
			if !ok || !open {
				continue
			}
			reply := peer.answer(g.now, link.Peer{Name: name, Incarnation: c.self.Incarnation}, &b)
			peer.refresh()
			c.closing(g.now, a.Peer, &reply)
		case actionSync:
			if open {
				c.whole(g.now, peer.everything())
			}
		}
		c.refresh()
	}
}

// seen returns how many cores of the group hold the host in the state.
func (g *group) seen(name string, state string) int {
	count := 0
	for _, c := range g.cores {
		h, ok := c.view.Find(name)
		if (!ok && state == "Dead") || (ok && string(h.State) == state) {
			count++
		}
	}
	return count
}

func domainOf(count int, domain string) []string {
	var all []string
	for range count {
		all = append(all, domain)
	}
	return all
}

func TestMembershipConverges(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{2, 7, 20, 70} {
		g := newGroup(append(domainOf(size, "prairie-a"), "prairie-b", "prairie-b", "prairie-c")...)
		// Each tick tries a bounded number of hosts; news does the rest.
		g.run(clock.Second)
		for name, core := range g.cores {
			c.Assert(core.view.hosts, qt.HasLen, size+3, qt.Commentf("%s of %d", name, size))
			c.Assert(core.view.Joined, qt.IsTrue)
			c.Assert(len(ringPeers(name, core.view.In("prairie-a"))) <= FanOut, qt.IsTrue)
		}

		// A crash is known everywhere within two seconds.
		delete(g.cores, "host-01")
		g.run(2 * clock.Second)
		c.Assert(g.seen("host-01", "Dead"), qt.Equals, len(g.cores), qt.Commentf("%d hosts", size))
		for _, core := range g.cores {
			c.Assert(core.view.hosts, qt.HasLen, size+2)
		}

		// It comes back as a new start; news of its past is not taken.
		fresh := Host{Name: "host-01", FailureDomain: "prairie-a", Incarnation: 2, Address: "y"}
		g.cores["host-01"] = newCore(fresh, DefaultTiming())
		g.cores["host-01"].list(g.now, []Host{g.cores["host-00"].self})
		g.run(2 * clock.Second)
		c.Assert(g.seen("host-01", "Alive"), qt.Equals, len(g.cores), qt.Commentf("%d hosts", size))
		past := fresh
		past.Incarnation, past.Refutation, past.State = 1, 9, StateDead
		g.cores["host-00"].tell(g.now, past)
		g.run(100)
		c.Assert(g.seen("host-01", "Alive"), qt.Equals, len(g.cores))

		// One that leaves keeps running without duties, then is gone at once.
		g.cores["host-01"].leave(StateLeaving)
		g.run(clock.Second)
		c.Assert(g.seen("host-01", "Leaving"), qt.Equals, len(g.cores))
		g.cores["host-01"].leave(StateDead)
		g.perform("host-01", g.cores["host-01"])
		delete(g.cores, "host-01")
		g.run(500)
		c.Assert(g.seen("host-01", "Dead"), qt.Equals, len(g.cores))
	}
}

func TestJoining(t *testing.T) {
	c := qt.New(t)
	g := newGroup(domainOf(3, "prairie-a")...)
	g.cut = func(from, to string) bool { return from == "host-00" || to == "host-00" }
	g.run(JoinWait)
	c.Assert(g.cores["host-01"].view.Joined, qt.IsTrue)
	c.Assert(g.cores["host-00"].view.Joined, qt.IsFalse)
	g.run(100)
	c.Assert(g.cores["host-00"].view.Joined, qt.IsTrue, qt.Commentf("it takes itself for the only one"))
}

func TestOneCutPathKillsNobody(t *testing.T) {
	c := qt.New(t)
	g := newGroup(domainOf(7, "prairie-a")...)
	g.run(clock.Second)
	g.cut = func(from, to string) bool { return min(from, to) == "host-00" && max(from, to) == "host-03" }
	for range 100 {
		g.run(100)
		c.Assert(g.seen("host-03", "Dead"), qt.Equals, 0)
	}
	c.Assert(g.cores["host-03"].self.Refutation > 0, qt.IsTrue)
}

func TestCutDomainsFindEachOtherAgain(t *testing.T) {
	c := qt.New(t)
	g := newGroup(append(domainOf(5, "prairie-a"), domainOf(5, "prairie-b")...)...)
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

func TestPathEvidenceIsLookedFor(t *testing.T) {
	c := qt.New(t)
	g := newGroup(domainOf(40, "prairie-a")...)
	g.run(clock.Second)
	core := g.cores["host-00"]
	peers := ringPeers("host-00", core.view.In("prairie-a"))
	c.Assert(peers, qt.DeepEquals, []string{
		"host-01", "host-02", "host-04", "host-08", "host-16", "host-32", "host-03", "host-05",
	})
	core.want(g.now, "host-21")
	g.run(2 * clock.Second)
	at, ok := core.want(g.now, "host-21")
	c.Assert(ok && g.now-at <= core.timing.Want+50, qt.IsTrue, qt.Commentf("%d at %d", at, g.now))
}

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestViewsAgreeInTheEnd lets hosts crash, restart and be cut from each other,
// then nothing more: all hosts hold the same view, of exactly those that live.
func TestViewsAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(append(domainOf(rapid.IntRange(2, 14).Draw(t, "hosts"), "prairie-a"), "prairie-b", "prairie-b")...)
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
				g.cores[host.Name].list(g.now, listed)
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
				t.Fatalf("%s holds %v, %d live", name, core.view.hosts, len(g.cores))
			}
			for _, h := range core.view.hosts {
				if self := g.cores[h.Name].self; h != self {
					t.Fatalf("%s holds %v, which says %v", name, h, self)
				}
			}
		}
	})
}

func TestWinnersSpread(t *testing.T) {
	c := qt.New(t)
	g := newGroup(domainOf(7, "prairie-a")...)
	g.run(clock.Second)
	wins := map[string]int{}
	for key := range 700 {
		h, _ := Winner(fmt.Sprintf("canvas-llm/%d", key), g.cores["host-00"].view.Duty("prairie-a"))
		wins[h.Name]++
	}
	for name, count := range wins {
		c.Assert(count > 70 && count < 130, qt.IsTrue, qt.Commentf("%s wins %d of 700", name, count))
	}
}
