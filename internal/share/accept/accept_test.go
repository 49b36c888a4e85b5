package accept

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/share/mfest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// manifest returns a manifest of the domains a and b; weight makes it distinct.
func manifest(base int64, weight int) mfest.Manifest {
	m := mfest.Default()
	m.Base = base
	m.FailureDomains = []mfest.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	m.Workspaces[0].Weight = weight
	return m
}

func alwaysReachable() bool { return true }

// newSettledSimulation returns a simulation with a hosts in domain a and b hosts in
// domain b, in which generation 1 is in force.
func newSettledSimulation(c *qt.C, a, b int) *simulation {
	s := newSimulation(map[string]int{"a": a, "b": b})
	u := s.push(manifest(0, 1), alwaysReachable)
	s.run(4 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, Accepted, qt.Commentf("%v", u.answer))
	s.expect(c, ModeReady, 1)
	return s
}

// expect asserts the mode and generation of the named hosts, by default of all.
func (s *simulation) expect(c *qt.C, mode Mode, generation int64, hosts ...string) {
	c.Helper()
	if len(hosts) == 0 {
		hosts = s.names()
	}
	for _, name := range hosts {
		v := s.hosts[name].watcher.Holder.View()
		c.Check(fmt.Sprintf("%s %s %d", name, v.Mode, v.Generation), qt.Equals, fmt.Sprintf("%s %s %d", name, mode, generation))
	}
	c.Assert(s.violations, qt.HasLen, 0)
}

func TestConcurrentPushesAcceptOnlyOne(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 2, 2)
	one, two := s.push(manifest(1, 2), alwaysReachable), s.push(manifest(1, 3), alwaysReachable)
	s.run(6 * clock.Second)
	c.Assert(one.answer.Outcome, qt.Equals, Accepted)
	c.Assert(two.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(two.answer.Reason, qt.Equals, ReasonBase)
	c.Assert(two.answer.Winner, qt.Equals, int64(2))
	c.Assert(two.answer.Diff[0].Path, qt.Equals, "Workspaces[bukal].Weight")
	again := s.push(manifest(0, 2), alwaysReachable)
	s.run(clock.Second)
	c.Assert(again.answer.Outcome, qt.Equals, Accepted)
	c.Assert(again.answer.Repeat, qt.IsTrue)
	c.Assert(again.answer.Generation, qt.Equals, int64(2))
	s.expect(c, ModeReady, 2)
}

// isolateDomain partitions a domain from the platform and from the other domains.
func (s *simulation) isolateDomain(domain string, on bool) {
	for _, name := range s.names() {
		if s.hosts[name].domain != domain {
			continue
		}
		s.hosts[name].platformCut = on
		for _, other := range s.names() {
			if s.hosts[other].domain != domain {
				s.partition(name, other, on)
			}
		}
	}
}

func TestPushWhileDomainIsPartitioned(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 2, 2)
	s.isolateDomain("b", true)
	u := s.push(manifest(1, 2), alwaysReachable)
	s.run(12 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(u.answer.Reason, qt.Equals, ReasonUnconfirmed)
	c.Assert(u.answer.Text, qt.Matches, ".*not confirmed in time by b; generation 1 stays in force")
	s.expect(c, ModeReady, 1)

	u = s.push(manifest(1, 2), alwaysReachable)
	s.run(clock.Second)
	u.cancel()
	s.run(clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(u.answer.Reason, qt.Equals, ReasonCancelled)

	// The operator leaves b behind. Its hosts keep serving generation 1, also one
	// that restarts and learns it from a peer.
	u = s.push(manifest(1, 2), alwaysReachable, "b")
	s.run(4 * clock.Second)
	c.Assert(u.answer.Text, qt.Equals, "generation 4 is accepted; left behind: b")
	s.start("b-1", "b")
	s.run(2 * clock.Second)
	s.expect(c, ModeReady, 4, "a-0", "a-1")
	s.expect(c, ModeReady, 1, "b-0", "b-1")
	s.isolateDomain("b", false)
	s.run(2 * clock.Second)
	s.expect(c, ModeReady, 4)
}

// newSimulationCutAfterConfirm stages a manifest and partitions b between its
// confirmation and the outcome.
func newSimulationCutAfterConfirm(c *qt.C) *simulation {
	s := newSettledSimulation(c, 2, 2)
	for _, name := range []string{"a-0", "a-1"} {
		s.hosts[name].paused = true
	}
	s.push(manifest(1, 2), alwaysReachable)
	for len(s.history[len(s.history)-1].Confirmed) == 0 || s.history[len(s.history)-1].Number != 2 {
		s.step()
	}
	s.isolateDomain("b", true)
	for _, name := range []string{"a-0", "a-1"} {
		s.hosts[name].paused = false
	}
	s.run(6 * clock.Second)
	return s
}

func TestDomainPartitionedAfterConfirming(t *testing.T) {
	c := qt.New(t)
	s := newSimulationCutAfterConfirm(c)
	s.expect(c, ModeReady, 2, "a-0", "a-1")
	s.expect(c, ModeBoth, 1, "b-0", "b-1")

	// A host that restarts in the partitioned domain may learn from its peer, but
	// nobody it can ask reaches the platform.
	s.start("b-1", "b")
	s.hosts["b-1"].platformCut = true
	s.run(2 * clock.Second)
	c.Assert(s.hosts["b-1"].watcher.Holder.View().Mode, qt.Not(qt.Equals), ModeReady)
	s.isolateDomain("b", false)
	s.run(3 * clock.Second)
	s.expect(c, ModeReady, 2)
}

func TestRestartedHostsInPartitionedDomainAreNotReady(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 2, 2)
	s.isolateDomain("b", true)
	s.start("b-0", "b")
	s.start("b-1", "b")
	s.run(10 * clock.Second)
	s.expect(c, ModeNotReady, 0, "b-0", "b-1")
}

func TestPausedHostIsExcludedAndDoesNotServeStale(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 3, 2)
	s.hosts["a-0"].paused = true
	began := s.now()
	u := s.push(manifest(1, 2), alwaysReachable)
	s.run(8 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, Accepted)
	c.Assert(s.accepted[2]-began > ExclusionWait, qt.IsTrue)
	c.Assert(s.hosts["a-0"].watcher.Holder.View().Mode, qt.Equals, ModeNotCurrent)
	s.hosts["a-0"].paused = false
	s.run(clock.Second) // checkView runs on every host in every step
	s.expect(c, ModeReady, 2)
}

func TestHostsStayCurrentDuringPlatformOutage(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 3, 1)
	for _, name := range s.names() {
		s.hosts[name].platformCut = true
	}
	s.isolateDomain("b", true) // its only host has no peer to ask
	s.run(clock.Minute)
	s.expect(c, ModeReady, 1)
	// One machine fails silently: the other two are a majority of three.
	s.hosts["a-2"].down = true
	for _, name := range []string{"a-0", "a-1"} {
		s.partition("a-2", name, true)
	}
	s.run(clock.Minute)
	s.expect(c, ModeReady, 1, "a-0", "a-1", "b-0")
	u := s.push(manifest(1, 2), func() bool { return false })
	s.run(clock.Second)
	c.Assert(u.answer.Reason, qt.Equals, ReasonUnavailable)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
}

func TestMinorityOfDomainDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 3, 1)
	// In domain a only a-0 reaches the platform; a-1 and a-2 reach only each other.
	for _, name := range []string{"a-1", "a-2"} {
		s.partition("a-0", name, true)
		s.partition("b-0", name, true)
		s.hosts[name].platformCut = true
	}
	u := s.push(manifest(1, 2), alwaysReachable)
	s.run(10 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(u.answer.Text, qt.Matches, ".*a: no answer from a-1, a-2, and too few acknowledgements from hosts known to them.*")
	s.expect(c, ModeReady, 1)
}

func TestLostAndDelayedStagingWrites(t *testing.T) {
	for _, writeDelay := range []clock.Millis{0, 100, 400} {
		c := qt.New(t)
		s := newSettledSimulation(c, 2, 2)
		s.lost, s.writeDelay = 5, writeDelay
		u := s.push(manifest(1, 2), alwaysReachable)
		s.run(12 * clock.Second)
		c.Assert(u.answer.Outcome, qt.Equals, Accepted, qt.Commentf("write delay %d: %v", writeDelay, u.answer))
		c.Assert(u.answer.Repeat, qt.IsFalse)
		s.expect(c, ModeReady, u.answer.Generation)
		s.checkPushes()
		c.Assert(s.violations, qt.HasLen, 0)
	}
}

func TestRemovedDomainStopsServing(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 2, 1)
	m := manifest(1, 1)
	m.FailureDomains = m.FailureDomains[:1]
	u := s.push(m, alwaysReachable)
	s.run(4 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, Accepted)
	s.expect(c, ModeReady, 2, "a-0", "a-1")
	s.expect(c, ModeNotReady, 2, "b-0")
}

func TestOldHistoryIsRemoved(t *testing.T) {
	c := qt.New(t)
	s := newSettledSimulation(c, 1, 1)
	p, ctx := s.platform(alwaysReachable), context.Background()
	current, err := p.Read(ctx)
	c.Assert(err, qt.IsNil)
	for i := range int64(historyLimit + 2) {
		r := current
		r.Number = 2 + i
		r.Body.Object = fmt.Sprintf("body %d", i/2) // two generations have each body
		c.Assert(p.putBody(ctx, r.Body, nil), qt.IsNil)
		c.Assert(p.writeHistory(ctx, r), qt.IsNil)
	}
	c.Assert(p.writeHistory(ctx, current), qt.IsNil) // generation 1, whose body is in force
	c.Assert(p.trimHistory(ctx), qt.IsNil)
	all, err := p.history(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(len(all), qt.Equals, historyLimit)
	c.Assert(all[0].Number, qt.Equals, int64(4))
	_, err = s.objects.Get(ctx, "body 0")
	c.Assert(err, qt.ErrorIs, object.ErrNotFound)
	_, err = p.fetchBody(ctx, current.Body)
	c.Assert(err, qt.IsNil)
}

// TestAgainstNaiveReader runs hosts and pushers through random faults. Before and
// after each step of a host, its view is compared with what a naive reader of the
// record's history would allow; see simulation.checkView.
func TestAgainstNaiveReader(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		s := newSettledSimulation(c, 3, 2)
		names := s.names()
		weight := 10
		s.firstHost = func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "first") }
		for range rapid.IntRange(5, 30).Draw(r, "events") {
			h := s.hosts[rapid.SampledFrom(names).Draw(r, "host")]
			switch rapid.SampledFrom([]string{"push", "push", "stale", "behind", "cut", "platform", "pause", "crash", "start", "isolate", "lose", "heal"}).Draw(r, "event") {
			// The three names stand for the same event. "odd" draws whether the push has
			// an outdated base and leaves a domain behind.
			case "push", "stale", "behind":
				weight++
				var behind []string
				base := s.history[len(s.history)-1].InForce().Number
				if rapid.IntRange(0, 4).Draw(r, "odd") == 0 {
					base = max(0, base-1)
					behind = []string{h.domain}
				}
				reach := rapid.Bool().Draw(r, "reach")
				lost := s.now() + clock.Millis(rapid.IntRange(0, 4_000).Draw(r, "lostAt"))
				s.push(manifest(base, weight), func() bool { return reach || s.now() < lost || s.now() > lost+3*clock.Second }, behind...)
			case "cut":
				s.partition(h.name, rapid.SampledFrom(names).Draw(r, "other"), true)
			case "platform":
				h.platformCut = !h.platformCut
			case "pause":
				h.paused = !h.paused
			case "crash":
				h.down = true
			case "start":
				s.start(h.name, h.domain)
			case "isolate":
				s.isolateDomain(h.domain, rapid.Bool().Draw(r, "on"))
			case "lose":
				s.lost = rapid.IntRange(1, 4).Draw(r, "lost")
				s.writeDelay = clock.Millis(rapid.SampledFrom([]int{0, 0, 300, 2_500}).Draw(r, "lateness"))
			case "heal":
				s.clearFaults()
			}
			s.run(clock.Millis(rapid.IntRange(1, 40).Draw(r, "time")) * 100)
		}
		s.clearFaults()
		s.run(StagingTimeout + 10*clock.Second)
		s.checkPushes()
		if len(s.violations) > 0 {
			r.Fatalf("%v", s.violations[:min(5, len(s.violations))])
		}
		s.expect(c, ModeReady, s.history[len(s.history)-1].InForce().Number)
	})
}

// clearFaults ends every fault. Hosts that are down start again.
func (s *simulation) clearFaults() {
	s.lost = 0
	clear(s.partitions)
	for _, name := range s.names() {
		h := s.hosts[name]
		h.platformCut, h.paused = false, false
		if h.down {
			s.start(name, h.domain)
		}
	}
}
