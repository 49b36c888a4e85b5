package sched_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func testSettings() sched.Settings {
	return sched.Settings{
		Classes: []sched.Class{
			{Name: "urgent", Tier: 1, FloorPeriod: 400, MaxWaiting: 5},
			{Name: "chat", Tier: 2, FloorPeriod: 600, MaxWaiting: 6},
			{Name: "note", Tier: 2, FloorPeriod: 700, MaxWaiting: 3},
			{Name: "draft", Tier: 3, FloorPeriod: 900, MaxWaiting: 6},
		},
		Workspaces: []sched.Workspace{{Name: "w0", Weight: 1}, {Name: "w1", Weight: 2}, {Name: "w2", Weight: 1}},
		LongTokens: 100,
		LongShare:  0.4,
		Headroom:   sched.Headroom{Slots: 1, Tier: 1},
	}
}

// harness drives the scheduler, the naive implementation and the auditor in
// parallel.
type harness struct {
	now   clock.Millis
	group *sched.Group
	naive *naive
	audit *audit.Auditor
	next  int
	// open lists the requests that are granted and not yet released.
	open []string
}

func newHarness() *harness {
	s := testSettings()
	return &harness{
		group: sched.New(s), audit: audit.New(s),
		naive: newNaive(s),
	}
}

func (h *harness) check(t *rapid.T) {
	got, want := h.group.Take(), h.naive.take()
	if !slices.Equal(got, want) {
		t.Fatalf("at %d ms the scheduler decided\n%+v\nthe naive implementation\n%+v", h.now, got, want)
	}
	h.audit.CheckDecisions(h.now, got)
	for _, f := range h.audit.Findings() {
		t.Fatalf("%s", f)
	}
	for _, d := range got {
		if d.Kind == sched.DecisionGrant {
			h.open = append(h.open, d.ID)
		}
	}
	if w := h.group.Digest(h.now).Waiting; w != len(h.naive.waiting) {
		t.Fatalf("%d requests waiting, but %d in the naive implementation", w, len(h.naive.waiting))
	}
}

func (h *harness) setServers(t *rapid.T) {
	models := [][]string{{"m1"}, {"m1", "m2"}, {"m2"}}
	states := []sched.ServerState{sched.ServerUp, sched.ServerUp, sched.ServerUp, sched.ServerSuspect, sched.ServerLeaving}
	var list []sched.Server
	for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
		list = append(list, sched.Server{
			Name: fmt.Sprint("s", i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"),
			State: rapid.SampledFrom(states).Draw(t, "state"), Models: rapid.SampledFrom(models).Draw(t, "models"),
		})
	}
	h.group.SetServers(h.now, list)
	h.naive.setServers(h.now, list)
	h.audit.SetServers(h.now, list)
}

func (h *harness) offer(t *rapid.T) {
	h.next++
	r := sched.Request{
		ID:        fmt.Sprint("r", h.next),
		Class:     rapid.SampledFrom(testSettings().Classes).Draw(t, "class").Name,
		Workspace: rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"}).Draw(t, "workspace"),
		Model:     rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "model"),
		Arrived:   h.now, Deadline: h.now + clock.Millis(rapid.IntRange(0, 300).Draw(t, "deadline")),
		GiveUp:          h.now + clock.Millis(rapid.IntRange(200, 1_500).Draw(t, "giveUp")),
		PredictedTokens: rapid.SampledFrom([]int{10, 10, 150}).Draw(t, "tokens"),
		Begun:           rapid.IntRange(0, 5).Draw(t, "begun") == 0,
		Avoid:           rapid.SampledFrom([][]string{nil, nil, nil, {"s0"}}).Draw(t, "avoid"),
	}
	h.group.Offer(h.now, r)
	h.naive.offer(h.now, r)
	h.audit.Offer(h.now, r)
}

func (h *harness) release(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	at := rapid.IntRange(0, len(h.open)-1).Draw(t, "open")
	how := rapid.SampledFrom([]sched.Outcome{sched.OutcomeDone, sched.OutcomeDone, sched.OutcomeFailed, sched.OutcomeUnreachable}).Draw(t, "how")
	d := sched.Done{Progress: sched.Progress{ID: h.open[at]}, Outcome: how}
	h.open = slices.Delete(h.open, at, at+1)
	h.group.Release(h.now, d)
	h.naive.release(h.now, d.ID, how != sched.OutcomeDone)
	h.audit.Release(h.now, d)
}

func (h *harness) progress(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	p := sched.Progress{ID: rapid.SampledFrom(h.open).Draw(t, "grown"), Tokens: 150}
	h.group.Progress(h.now, p)
	h.naive.progress(h.now, p)
	h.audit.Progress(h.now, p)
}

func (h *harness) cancel(t *rapid.T) {
	if h.next == 0 {
		return
	}
	id := fmt.Sprint("r", rapid.IntRange(max(1, h.next-12), h.next).Draw(t, "cancel"))
	h.open = slices.DeleteFunc(h.open, func(o string) bool { return o == id })
	h.group.Cancel(h.now, id)
	h.naive.cancel(h.now, id)
	h.audit.Cancel(h.now, id)
}

func (h *harness) tick(t *rapid.T) {
	h.now += clock.Millis(rapid.IntRange(1, 400).Draw(t, "pass"))
	h.group.Tick(h.now)
	h.naive.reschedule(h.now, "")
}

func TestDecisionsMatchNaiveImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.setServers(t)
		h.check(t)
		steps := []func(*rapid.T){
			h.offer, h.offer, h.offer, h.offer, h.release, h.release,
			h.progress, h.cancel, h.tick, h.setServers,
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			h.now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "gap"))
			step := rapid.IntRange(0, len(steps)-1).Draw(t, "step")
			steps[step](t)
			h.check(t)
		}
	})
}

func TestAuditorReportsEachViolation(t *testing.T) {
	c := quicktest.New(t)
	a := audit.New(testSettings())
	a.SetServers(0, []sched.Server{{Name: "s0", State: sched.ServerUp, Slots: 4, Models: []string{"m1"}}})
	offer := func(id, class string) { a.Offer(0, sched.Request{ID: id, Class: class, Model: "m1", GiveUp: 100}) }
	for _, id := range []string{"d1", "d2", "d3", "d4"} {
		offer(id, "draft")
	}
	offer("u1", "urgent")
	offer("u2", "urgent")
	grant := func(id string, floor bool) sched.Decision {
		return sched.Decision{ID: id, Kind: sched.DecisionGrant, Server: "s0", Floor: floor}
	}
	refuse := func(id string, why sched.Reason) sched.Decision {
		return sched.Decision{ID: id, Kind: sched.DecisionRefuse, Reason: why}
	}
	steps := []struct {
		now      clock.Millis
		decision sched.Decision
		rules    string
	}{
		{1, refuse("d4", sched.ReasonShed), "Idle"},
		{2, grant("d1", false), "Tier"},
		{3, grant("d2", true), "Floor"},
		{4, refuse("u1", sched.ReasonExpired), "Truthful"},
		{5, refuse("u2", sched.ReasonNoServer), "Truthful"},
		{6, grant("nobody", false), "Unknown"},
		{7, sched.Decision{ID: "d1", Kind: sched.DecisionGrant, Server: "s9"}, "Preempt"},
	}
	offer("d5", "draft")
	seen := 0
	for _, s := range steps {
		a.CheckDecisions(s.now, []sched.Decision{s.decision})
		var rules []string
		for _, f := range a.Findings()[seen:] {
			rules = append(rules, string(f.Rule))
		}
		seen = len(a.Findings())
		c.Check(strings.Join(rules, " "), quicktest.Equals, s.rules, quicktest.Commentf("step at %d", s.now))
	}
	offer("u3", "urgent")
	a.CheckDecisions(500, []sched.Decision{refuse("u3", sched.ReasonShed)})
	c.Check(a.Findings()[seen].Rule, quicktest.Equals, audit.RuleShed)
	a.Offer(990, sched.Request{ID: "u4", Class: "urgent", Model: "m1"})
	a.CheckDecisions(1_000, []sched.Decision{grant("u4", false)})
	c.Check(a.Findings()[seen+1].Rule, quicktest.Equals, audit.RuleStarve)
	c.Check(a.LongestGap("draft"), quicktest.Equals, clock.Millis(997))
}
