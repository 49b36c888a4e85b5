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

// manifest is a small one over the domains a and b; weight tells it apart.
func manifest(base int64, weight int) mfest.Manifest {
	m := mfest.Default()
	m.Base = base
	m.FailureDomains = []mfest.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	m.Workspaces[0].Weight = weight
	return m
}

func always() bool { return true }

// settled is a world of domains a and b in which generation 1 is in force.
func settled(c *qt.C, a, b int) *world {
	w := newWorld(map[string]int{"a": a, "b": b})
	u := w.push(manifest(0, 1), always)
	w.run(4 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, Accepted, qt.Commentf("%v", u.answer))
	w.expect(c, ModeReady, 1)
	return w
}

// expect wants the mode and generation on the hosts, all of them by default.
func (w *world) expect(c *qt.C, mode Mode, generation int64, hosts ...string) {
	c.Helper()
	if len(hosts) == 0 {
		hosts = w.names()
	}
	for _, name := range hosts {
		v := w.hosts[name].watch.Holder.View()
		c.Check(fmt.Sprintf("%s %s %d", name, v.Mode, v.Generation), qt.Equals, fmt.Sprintf("%s %s %d", name, mode, generation))
	}
	c.Assert(w.faults, qt.HasLen, 0)
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 2, 2)
	one, two := w.push(manifest(1, 2), always), w.push(manifest(1, 3), always)
	w.run(6 * clock.Second)
	c.Assert(one.answer.Outcome, qt.Equals, Accepted)
	c.Assert(two.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(two.answer.Reason, qt.Equals, ReasonBase)
	c.Assert(two.answer.Winner, qt.Equals, int64(2))
	c.Assert(two.answer.Diff[0].Path, qt.Equals, "Workspaces[bukal].Weight")
	again := w.push(manifest(0, 2), always)
	w.run(clock.Second)
	c.Assert(again.answer.Outcome, qt.Equals, Accepted)
	c.Assert(again.answer.Repeat, qt.IsTrue)
	c.Assert(again.answer.Generation, qt.Equals, int64(2))
	w.expect(c, ModeReady, 2)
}

// isolate cuts a domain off from the platform and from the others.
func (w *world) isolate(domain string, on bool) {
	for _, name := range w.names() {
		if w.hosts[name].domain != domain {
			continue
		}
		w.hosts[name].cutOff = on
		for _, other := range w.names() {
			if w.hosts[other].domain != domain {
				w.cut(name, other, on)
			}
		}
	}
}

func TestPushWhileADomainIsCutOff(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 2, 2)
	w.isolate("b", true)
	u := w.push(manifest(1, 2), always)
	w.run(12 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(u.answer.Reason, qt.Equals, ReasonUnconfirmed)
	c.Assert(u.answer.Text, qt.Matches, ".*not confirmed in time by b; generation 1 stays in force")
	w.expect(c, ModeReady, 1)

	u = w.push(manifest(1, 2), always)
	w.run(clock.Second)
	u.cancel()
	w.run(clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(u.answer.Reason, qt.Equals, ReasonCancelled)

	// The operator leaves b behind, which goes on as before, also on a host
	// that starts there and has its word from a peer.
	u = w.push(manifest(1, 2), always, "b")
	w.run(4 * clock.Second)
	c.Assert(u.answer.Text, qt.Equals, "generation 4 is accepted; left behind: b")
	w.start("b-1", "b")
	w.run(2 * clock.Second)
	w.expect(c, ModeReady, 4, "a-0", "a-1")
	w.expect(c, ModeReady, 1, "b-0", "b-1")
	w.isolate("b", false)
	w.run(2 * clock.Second)
	w.expect(c, ModeReady, 4)
}

// cutAfterConfirm stages a manifest and cuts b off between its confirmation
// and the outcome.
func cutAfterConfirm(c *qt.C) *world {
	w := settled(c, 2, 2)
	for _, name := range []string{"a-0", "a-1"} {
		w.hosts[name].paused = true
	}
	w.push(manifest(1, 2), always)
	for len(w.truth[len(w.truth)-1].Confirmed) == 0 || w.truth[len(w.truth)-1].Number != 2 {
		w.step()
	}
	w.isolate("b", true)
	for _, name := range []string{"a-0", "a-1"} {
		w.hosts[name].paused = false
	}
	w.run(6 * clock.Second)
	return w
}

func TestDomainCutOffAfterConfirming(t *testing.T) {
	c := qt.New(t)
	w := cutAfterConfirm(c)
	w.expect(c, ModeReady, 2, "a-0", "a-1")
	w.expect(c, ModeBoth, 1, "b-0", "b-1")

	// A host that starts in the cut domain has nobody to ask that has not
	// itself been left without the platform, but may learn from its peer.
	w.start("b-1", "b")
	w.hosts["b-1"].cutOff = true
	w.run(2 * clock.Second)
	c.Assert(w.hosts["b-1"].watch.Holder.View().Mode, qt.Not(qt.Equals), ModeReady)
	w.isolate("b", false)
	w.run(3 * clock.Second)
	w.expect(c, ModeReady, 2)
}

func TestFreshHostsInACutDomainAreNotReady(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 2, 2)
	w.isolate("b", true)
	w.start("b-0", "b")
	w.start("b-1", "b")
	w.run(10 * clock.Second)
	w.expect(c, ModeNotReady, 0, "b-0", "b-1")
}

func TestPausedHostIsLeftOutAndWakes(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 3, 2)
	w.hosts["a-0"].paused = true
	began := w.now()
	u := w.push(manifest(1, 2), always)
	w.run(8 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, Accepted)
	c.Assert(w.accepted[2]-began > ExclusionWait, qt.IsTrue)
	c.Assert(w.hosts["a-0"].watch.Holder.View().Mode, qt.Equals, ModeNotCurrent)
	w.hosts["a-0"].paused = false
	w.run(clock.Second) // every step serves, and w.serve checks
	w.expect(c, ModeReady, 2)
}

func TestLongPlatformOutage(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 3, 1)
	for _, name := range w.names() {
		w.hosts[name].cutOff = true
	}
	w.isolate("b", true) // its only host has nobody to ask
	w.run(clock.Minute)
	w.expect(c, ModeReady, 1)
	// One machine is lost without a sign: three go on as a majority of two.
	w.hosts["a-2"].down = true
	for _, name := range []string{"a-0", "a-1"} {
		w.cut("a-2", name, true)
	}
	w.run(clock.Minute)
	w.expect(c, ModeReady, 1, "a-0", "a-1", "b-0")
	u := w.push(manifest(1, 2), func() bool { return false })
	w.run(clock.Second)
	c.Assert(u.answer.Reason, qt.Equals, ReasonUnavailable)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
}

func TestSplitDomainDoesNotConfirmAlone(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 3, 1)
	// a-0 alone reaches the platform, the others only each other.
	for _, name := range []string{"a-1", "a-2"} {
		w.cut("a-0", name, true)
		w.cut("b-0", name, true)
		w.hosts[name].cutOff = true
	}
	u := w.push(manifest(1, 2), always)
	w.run(10 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, NotAccepted)
	c.Assert(u.answer.Text, qt.Matches, ".*a: a-1, a-2 do not answer, and too few hosts that know them do.*")
	w.expect(c, ModeReady, 1)
}

func TestLostAndLateAnswers(t *testing.T) {
	for _, lateness := range []clock.Millis{0, 100, 400} {
		c := qt.New(t)
		w := settled(c, 2, 2)
		w.lost, w.lateness = 5, lateness
		u := w.push(manifest(1, 2), always)
		w.run(12 * clock.Second)
		c.Assert(u.answer.Outcome, qt.Equals, Accepted, qt.Commentf("lateness %d: %v", lateness, u.answer))
		c.Assert(u.answer.Repeat, qt.IsFalse)
		w.expect(c, ModeReady, u.answer.Generation)
		w.checkPushes()
		c.Assert(w.faults, qt.HasLen, 0)
	}
}

func TestDomainThatIsTakenOut(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 2, 1)
	m := manifest(1, 1)
	m.FailureDomains = m.FailureDomains[:1]
	u := w.push(m, always)
	w.run(4 * clock.Second)
	c.Assert(u.answer.Outcome, qt.Equals, Accepted)
	w.expect(c, ModeReady, 2, "a-0", "a-1")
	w.expect(c, ModeNotReady, 2, "b-0")
}

func TestOldHistoryIsRemoved(t *testing.T) {
	c := qt.New(t)
	w := settled(c, 1, 1)
	p, ctx := w.platform(always), context.Background()
	current, err := p.Read(ctx)
	c.Assert(err, qt.IsNil)
	for i := range int64(historyKept + 2) {
		r := current
		r.Number = 2 + i
		r.Body.Object = fmt.Sprintf("body %d", i/2) // two generations have each body
		c.Assert(p.putBody(ctx, r.Body, nil), qt.IsNil)
		c.Assert(p.keepHistory(ctx, r), qt.IsNil)
	}
	c.Assert(p.keepHistory(ctx, current), qt.IsNil) // generation 1, whose body is in force
	c.Assert(p.trimHistory(ctx), qt.IsNil)
	all, err := p.history(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(len(all), qt.Equals, historyKept)
	c.Assert(all[0].Number, qt.Equals, int64(4))
	_, err = w.objects.Get(ctx, "body 0")
	c.Assert(err, qt.ErrorIs, object.ErrAbsent)
	_, err = p.fetch(ctx, current.Body)
	c.Assert(err, qt.IsNil)
}

// TestAgainstNaiveReader drives hosts and pushers through random faults. After
// each step of a host, a request on it is compared with what a naive reader of
// the record's true history would allow; see world.serve.
func TestAgainstNaiveReader(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		w := settled(c, 3, 2)
		names := w.names()
		weight := 10
		w.gaps = func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "first") }
		for range rapid.IntRange(5, 30).Draw(r, "events") {
			h := w.hosts[rapid.SampledFrom(names).Draw(r, "host")]
			switch rapid.SampledFrom([]string{"push", "push", "stale", "behind", "cut", "platform", "pause", "crash", "start", "isolate", "lose", "heal"}).Draw(r, "event") {
			case "push", "stale", "behind":
				weight++
				var behind []string
				base := w.truth[len(w.truth)-1].InForce().Number
				if rapid.IntRange(0, 4).Draw(r, "odd") == 0 {
					base = max(0, base-1)
					behind = []string{h.domain}
				}
				reach := rapid.Bool().Draw(r, "reach")
				lost := w.now() + clock.Millis(rapid.IntRange(0, 4_000).Draw(r, "lostAt"))
				w.push(manifest(base, weight), func() bool { return reach || w.now() < lost || w.now() > lost+3*clock.Second }, behind...)
			case "cut":
				w.cut(h.name, rapid.SampledFrom(names).Draw(r, "other"), true)
			case "platform":
				h.cutOff = !h.cutOff
			case "pause":
				h.paused = !h.paused
			case "crash":
				h.down = true
			case "start":
				w.start(h.name, h.domain)
			case "isolate":
				w.isolate(h.domain, rapid.Bool().Draw(r, "on"))
			case "lose":
				w.lost = rapid.IntRange(1, 4).Draw(r, "lost")
				w.lateness = clock.Millis(rapid.SampledFrom([]int{0, 0, 300, 2_500}).Draw(r, "lateness"))
			case "heal":
				w.heal()
			}
			w.run(clock.Millis(rapid.IntRange(1, 40).Draw(r, "time")) * 100)
		}
		w.heal()
		w.run(StageLimit + 10*clock.Second)
		w.checkPushes()
		if len(w.faults) > 0 {
			r.Fatalf("%v", w.faults[:min(5, len(w.faults))])
		}
		w.expect(c, ModeReady, w.truth[len(w.truth)-1].InForce().Number)
	})
}

// heal ends every fault. Hosts that are down start again.
func (w *world) heal() {
	w.lost = 0
	clear(w.cuts)
	for _, name := range w.names() {
		h := w.hosts[name]
		h.cutOff, h.paused = false, false
		if h.down {
			w.start(name, h.domain)
		}
	}
}
