package sched_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

func classes() []sched.Class {
	return []sched.Class{
		{Name: "urgent", Tier: 1, FirstTokenTarget: 300, BetweenTokensTarget: 32, FloorPeriod: 1_000, MaxWaiting: 4},
		{Name: "draft", Tier: 3, FirstTokenTarget: 3_000, BetweenTokensTarget: 60, FloorPeriod: 2_000, MaxWaiting: 4},
	}
}

func request(id, class, workspace string, at clock.Millis) sched.Request {
	return sched.Request{ID: id, Class: class, Workspace: workspace, Arrived: at, Deadline: at + 300, GiveUp: at + 5_000}
}

// outcomes formats decisions as "id>server" or "id:reason".
func outcomes(g *sched.Group) []string {
	var all []string
	for _, d := range g.Take() {
		if d.Kind == sched.DecisionGrant {
			all = append(all, d.ID+">"+d.Server)
			continue
		}
		all = append(all, d.ID+":"+string(d.Reason))
	}
	return all
}

func oneSlot(s sched.Settings) *sched.Group {
	g := sched.New(s)
	g.SetServers(0, []sched.Server{{Name: "s1", State: sched.ServerUp, Slots: 1}})
	return g
}

func TestUrgentTierGoesFirstUnlessFloorIsDue(t *testing.T) {
	c := quicktest.New(t)
	g := oneSlot(sched.Settings{Classes: classes()})
	g.Offer(0, request("a", "draft", "w", 0))
	g.Offer(0, request("b", "draft", "w", 0))
	g.Offer(1, request("u", "urgent", "w", 1))
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"a>s1"})
	g.Release(10, sched.Done{Progress: sched.Progress{ID: "a"}})
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"u>s1"})
	// The draft class has been unserved for half of its floor period, so its floor
	// is due.
	g.Offer(1_005, request("v", "urgent", "w", 1_005))
	g.Release(1_010, sched.Done{Progress: sched.Progress{ID: "u"}})
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"b>s1"})
	g.Tick(6_005)
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"v:Expired"})
}

func TestTimeUntilHostIsDroppedIsNoHoldTime(t *testing.T) {
	c := quicktest.New(t)
	g := oneSlot(sched.Settings{Classes: classes()})
	lost := request("lost", "draft", "w", 0)
	lost.Host = "h1"
	g.Offer(0, lost)
	g.DropHost(5_000, "h1")
	for _, id := range []string{"a", "b", "d"} {
		g.Offer(5_000, request(id, "draft", "w", 5_000))
	}
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"lost>s1", "a>s1"})
	g.Release(5_020, sched.Done{Progress: sched.Progress{ID: "a"}, Outcome: sched.OutcomeDone})
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"b>s1"})
}

func TestShedsLowestTier(t *testing.T) {
	c := quicktest.New(t)
	g := oneSlot(sched.Settings{Classes: classes()})
	g.Offer(0, request("run", "urgent", "w", 0))
	for _, id := range []string{"d1", "d2", "d3", "d4"} {
		g.Offer(0, request(id, "draft", "w", 0))
	}
	g.Take()
	for _, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"} {
		g.Offer(0, request(id, "urgent", "w", 0))
	}
	// Three drafts are shed, the last one is reserved for its floor, and then the
	// urgent tier itself sheds.
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"d4:Shed", "d3:Shed", "d2:Shed", "u8:Shed"})
	g.Cancel(1, "run")
	c.Assert(outcomes(g), quicktest.DeepEquals, []string{"u1>s1"})
	g.SetServers(2, nil)
	c.Assert(g.Digest(2).Waiting, quicktest.Equals, 0)
}

// fill offers more requests than there are slots and returns how many run.
func fill(g *sched.Group, now clock.Millis) int {
	for i := range 20 {
		g.Offer(now, request(fmt.Sprint("f", now, "-", i), "urgent", "w", now))
	}
	g.Take()
	return g.Running("s1")
}

func TestSlotLimitFollowsTokenLatencyAndSpeed(t *testing.T) {
	c := quicktest.New(t)
	g := sched.New(sched.Settings{Classes: classes()})
	g.SetServers(0, []sched.Server{{Name: "s1", State: sched.ServerUp, Slots: 16}})
	c.Assert(fill(g, 0), quicktest.Equals, 16)
	// The time between tokens is twice the class's target: the limit falls, and
	// running requests continue.
	for now := clock.Millis(0); now <= 1_500; now += 100 {
		g.Progress(now, sched.Progress{ID: "f0-0", Tokens: 5, BetweenTokens: 64})
	}
	for i := range 16 {
		g.Release(1_600, sched.Done{Progress: sched.Progress{ID: fmt.Sprint("f0-", i)}})
	}
	c.Assert(fill(g, 10_000), quicktest.Equals, 9)
	// The server becomes slow, and its limit grows back only while all slots are in
	// use.
	g.SetSpeed(10_000, "s1", 0.25)
	c.Assert(g.Digest(10_000).FreeSlots, quicktest.Equals, 0)
	g.SetSpeed(10_100, "s1", 1)
	g.SetSpeed(10_700, "s1", 1)
	g.SetSpeed(11_300, "s1", 1)
	g.SetSpeed(11_900, "s1", 1)
	g.Tick(11_900)
	c.Assert(fill(g, 11_900), quicktest.Equals, 10)
}
