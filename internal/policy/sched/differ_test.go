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

func differSettings() sched.Settings {
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

// trio drives the scheduler, the naive version and the auditor side by side.
type trio struct {
	now   clock.Millis
	group *sched.Group
	naive *naive
	audit *audit.Auditor
	next  int
	// open are the requests that were granted and not released.
	open []string
}

func newTrio() *trio {
	s := differSettings()
	return &trio{
		group: sched.New(s), audit: audit.New(s),
		naive: newNaive(s),
	}
}

func (tr *trio) check(t *rapid.T) {
	got, want := tr.group.Take(), tr.naive.take()
	if !slices.Equal(got, want) {
		t.Fatalf("at %d the scheduler decides\n%+v\nthe naive version\n%+v", tr.now, got, want)
	}
	tr.audit.Decided(tr.now, got)
	for _, f := range tr.audit.Findings() {
		t.Fatalf("%s", f)
	}
	for _, d := range got {
		if d.Kind == sched.DecisionGrant {
			tr.open = append(tr.open, d.ID)
		}
	}
	if w := tr.group.Digest(tr.now).Waiting; w != len(tr.naive.waiting) {
		t.Fatalf("%d wait, %d in the naive version", w, len(tr.naive.waiting))
	}
}

func (tr *trio) setServers(t *rapid.T) {
	models := [][]string{{"m1"}, {"m1", "m2"}, {"m2"}}
	states := []sched.ServerState{sched.ServerUp, sched.ServerUp, sched.ServerUp, sched.ServerSuspect, sched.ServerLeaving}
	var list []sched.Server
	for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
		list = append(list, sched.Server{
			Name: fmt.Sprint("s", i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"),
			State: rapid.SampledFrom(states).Draw(t, "state"), Models: rapid.SampledFrom(models).Draw(t, "models"),
		})
	}
	tr.group.SetServers(tr.now, list)
	tr.naive.setServers(tr.now, list)
	tr.audit.SetServers(tr.now, list)
}

func (tr *trio) offer(t *rapid.T) {
	tr.next++
	r := sched.Request{
		ID:        fmt.Sprint("r", tr.next),
		Class:     rapid.SampledFrom(differSettings().Classes).Draw(t, "class").Name,
		Workspace: rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"}).Draw(t, "workspace"),
		Model:     rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "model"),
		Arrived:   tr.now, Deadline: tr.now + clock.Millis(rapid.IntRange(0, 300).Draw(t, "deadline")),
		GiveUp:          tr.now + clock.Millis(rapid.IntRange(200, 1_500).Draw(t, "giveUp")),
		PredictedTokens: rapid.SampledFrom([]int{10, 10, 150}).Draw(t, "tokens"),
		Begun:           rapid.IntRange(0, 5).Draw(t, "begun") == 0,
		Avoid:           rapid.SampledFrom([][]string{nil, nil, nil, {"s0"}}).Draw(t, "avoid"),
	}
	tr.group.Offer(tr.now, r)
	tr.naive.offer(tr.now, r)
	tr.audit.Offer(tr.now, r)
}

func (tr *trio) release(t *rapid.T) {
	if len(tr.open) == 0 {
		return
	}
	at := rapid.IntRange(0, len(tr.open)-1).Draw(t, "open")
	how := rapid.SampledFrom([]sched.Outcome{sched.OutcomeDone, sched.OutcomeDone, sched.OutcomeFailed, sched.OutcomeUnreachable}).Draw(t, "how")
	d := sched.Done{Progress: sched.Progress{ID: tr.open[at]}, Outcome: how}
	tr.open = slices.Delete(tr.open, at, at+1)
	tr.group.Release(tr.now, d)
	tr.naive.release(tr.now, d.ID, how != sched.OutcomeDone)
	tr.audit.Release(tr.now, d)
}

func (tr *trio) progress(t *rapid.T) {
	if len(tr.open) == 0 {
		return
	}
	p := sched.Progress{ID: rapid.SampledFrom(tr.open).Draw(t, "grown"), Tokens: 150}
	tr.group.Progress(tr.now, p)
	tr.naive.progress(tr.now, p)
	tr.audit.Progress(tr.now, p)
}

func (tr *trio) cancel(t *rapid.T) {
	if tr.next == 0 {
		return
	}
	id := fmt.Sprint("r", rapid.IntRange(max(1, tr.next-12), tr.next).Draw(t, "cancel"))
	tr.open = slices.DeleteFunc(tr.open, func(o string) bool { return o == id })
	tr.group.Cancel(tr.now, id)
	tr.naive.cancel(tr.now, id)
	tr.audit.Cancel(tr.now, id)
}

func (tr *trio) tick(t *rapid.T) {
	tr.now += clock.Millis(rapid.IntRange(1, 400).Draw(t, "pass"))
	tr.group.Tick(tr.now)
	tr.naive.settle(tr.now, "")
}

func TestSameAsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrio()
		tr.setServers(t)
		tr.check(t)
		steps := []func(*rapid.T){tr.offer, tr.offer, tr.offer, tr.offer, tr.release, tr.release, tr.progress, tr.cancel, tr.tick, tr.setServers}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			tr.now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "gap"))
			step := rapid.IntRange(0, len(steps)-1).Draw(t, "step")
			steps[step](t)
			tr.check(t)
		}
	})
}

func TestAuditFinds(t *testing.T) {
	c := quicktest.New(t)
	a := audit.New(differSettings())
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
		a.Decided(s.now, []sched.Decision{s.decision})
		var rules []string
		for _, f := range a.Findings()[seen:] {
			rules = append(rules, string(f.Rule))
		}
		seen = len(a.Findings())
		c.Check(strings.Join(rules, " "), quicktest.Equals, s.rules, quicktest.Commentf("step at %d", s.now))
	}
	offer("u3", "urgent")
	a.Decided(500, []sched.Decision{refuse("u3", sched.ReasonShed)})
	c.Check(a.Findings()[seen].Rule, quicktest.Equals, audit.RuleShed)
	a.Offer(990, sched.Request{ID: "u4", Class: "urgent", Model: "m1"})
	a.Decided(1_000, []sched.Decision{grant("u4", false)})
	c.Check(a.Findings()[seen+1].Rule, quicktest.Equals, audit.RuleStarve)
	c.Check(a.LongestGap("draft"), quicktest.Equals, clock.Millis(997))
}
