package grant_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

func servers(n int) []fleet.Server {
	var all []fleet.Server
	for i := range n {
		all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 64})
	}
	return all
}

func core(n int) *grant.Core {
	c := grant.New(grant.Defaults())
	c.SetServers(servers(n))
	return c
}

// review is a long prompt about one thing.
func review(id, thing string) grant.Ask {
	return grant.Ask{
		ID: id, Host: "h", Class: "review", Tier: 2, Tokens: 17_000, Target: 2_500, Left: 8_000,
		Parts: []place.Part{{Name: thing, Tokens: 13_300}, {Name: "own-" + id, Tokens: 3_700}},
	}
}

func chat(id string) grant.Ask {
	return grant.Ask{
		ID: id, Host: "h", Class: "chat", Tier: 0, Tokens: 1_460, Target: 500, Left: 8_000,
		Parts: []place.Part{{Name: "system", Tokens: 350}, {Name: "own-" + id, Tokens: 1_110}},
	}
}

func one(c *qt.C, d []grant.Decision) grant.Decision {
	c.Assert(d, qt.HasLen, 1)
	return d[0]
}

// Requests about one thing wait for the server that reads it, and run there.
func TestASharedPartIsReadOnce(t *testing.T) {
	c := qt.New(t)
	k := core(4)
	k.Ask(0, review("a", "thing"))
	first := one(c, k.Next(0))
	k.Ask(10, review("b", "thing"))
	c.Assert(k.Next(10), qt.HasLen, 0)
	c.Assert(k.Next(200), qt.HasLen, 0)
	k.Started(400, "a")
	second := one(c, k.Next(500))
	c.Assert(second.Server, qt.Equals, first.Server)
	c.Assert(second.Reason, qt.Equals, "Cached")
}

func TestWhatIsCachedNowhereGoesWhereLeastIsUnread(t *testing.T) {
	c := qt.New(t)
	// One of the five is for short prompts.
	k := core(5)
	used := map[string]bool{}
	for i := range 4 {
		k.Ask(0, review(fmt.Sprint("r", i), fmt.Sprint("thing", i)))
		used[one(c, k.Next(0)).Server] = true
	}
	c.Assert(used, qt.HasLen, 4)
}

// A server that stands still is passed over before anybody says so: those that
// wait for it go elsewhere.
func TestASilentServerIsNotWaitedForLong(t *testing.T) {
	c := qt.New(t)
	k := core(2)
	k.Ask(0, review("a", "thing"))
	first := one(c, k.Next(0))
	k.Ask(10, review("b", "thing"))
	moved := grant.Decision{}
	for now := clock.Millis(10); now < 4_000 && moved.Server == ""; now += 20 {
		if d := k.Next(now); len(d) > 0 {
			moved = d[0]
		}
	}
	c.Assert(moved.Server, qt.Not(qt.Equals), "")
	c.Assert(moved.Server, qt.Not(qt.Equals), first.Server)
}

func TestTheMoreUrgentTierGoesFirst(t *testing.T) {
	c := qt.New(t)
	k := core(1)
	k.Ask(0, review("a", "thing0"))
	one(c, k.Next(0))
	k.Ask(1, review("low", "thing1"))
	urgent := review("high", "thing2")
	urgent.Tier = 1
	k.Ask(2, urgent)
	c.Assert(k.Next(2), qt.HasLen, 0)
	k.Started(400, "a")
	c.Assert(one(c, k.Next(500)).ID, qt.Equals, "high")
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	k := core(1)
	late := review("late", "thing")
	late.Left = 100
	k.Ask(0, late)
	d := one(c, k.Next(0))
	c.Assert(d.Server, qt.Equals, "")
	c.Assert(d.Reason, qt.Equals, "OutOfTime")
	tried := review("tried", "thing")
	tried.Avoid = []string{"s0"}
	k.Ask(0, tried)
	c.Assert(one(c, k.Next(0)).Reason, qt.Equals, "NoServer")
	k.SetServers(nil)
	k.Ask(0, chat("none"))
	c.Assert(one(c, k.Next(0)).Reason, qt.Equals, "NoServer")
}

func TestALeavingServerGetsNothing(t *testing.T) {
	c := qt.New(t)
	k := core(2)
	all := servers(2)
	all[0].Leaving = true
	k.SetServers(all)
	for i := range 6 {
		k.Ask(0, chat(fmt.Sprint("c", i)))
	}
	for _, d := range k.Next(0) {
		c.Assert(d.Server, qt.Equals, "s1")
	}
}

func TestARestartedServerHoldsNothing(t *testing.T) {
	c := qt.New(t)
	k := core(1)
	k.Learn(0, []grant.Held{{Server: "s0", Parts: []place.Part{{Name: "thing", Tokens: 13_300}}}})
	k.Ask(0, review("a", "thing"))
	c.Assert(one(c, k.Next(0)).Reason, qt.Equals, "Cached")
	k.Ended(500, "a", place.OutcomeServed)
	all := servers(1)
	all[0].Born = 7
	k.SetServers(all)
	k.Ask(1_000, review("b", "thing"))
	c.Assert(one(c, k.Next(1_000)).Reason, qt.Equals, "LeastUnread")
}

// One host that is cut off from a server must not take it from all others.
func TestAFailureOfTheWayIsNotTheServers(t *testing.T) {
	c := qt.New(t)
	k := core(1)
	mine := chat("mine")
	mine.Host = "cut-off"
	k.Ask(0, mine)
	one(c, k.Next(0))
	other := chat("other")
	other.Host = "well"
	k.Ask(10, other)
	one(c, k.Next(10))
	k.Started(50, "other")
	k.Ended(60, "mine", place.OutcomeUnreachable)
	both := append(servers(1), fleet.Server{ID: "s9", Address: "10.0.0.9:1", Slots: 64, Leaving: true})
	k.SetServers(both)
	k.Ask(70, chat("next"))
	c.Assert(one(c, k.Next(70)).Server, qt.Equals, "s0")
	c.Assert(k.Sick(70), qt.HasLen, 0)
	k.Ask(80, chat("failing"))
	one(c, k.Next(80))
	k.Ended(90, "failing", place.OutcomeUnreachable)
	c.Assert(k.Sick(91), qt.DeepEquals, []string{"s0"})
}

func TestCancelledAndForgottenRequestsFreeTheirServer(t *testing.T) {
	c := qt.New(t)
	k := core(1)
	k.Ask(0, review("a", "thing0"))
	one(c, k.Next(0))
	k.Ask(0, review("b", "thing1"))
	k.Cancel(10, "b")
	c.Assert(k.Waiting(), qt.Equals, 0)
	k.Cancel(20, "a")
	k.Ask(30, review("c", "thing2"))
	one(c, k.Next(30))
	// The end of "c" is never told.
	k.Ask(20_000, review("d", "thing3"))
	one(c, k.Next(20_000))
}

// What cannot be answered behind what waits ahead of it is refused at once, and
// told to come back when that is read, instead of being held until its end.
func TestAHopelessRequestIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	k := core(1)
	k.Ask(0, review("first", "thing0"))
	one(c, k.Next(0))
	refused := 0
	for i := range 40 {
		k.Ask(1, review(fmt.Sprint("r", i), fmt.Sprint("thing", i+1)))
		for _, d := range k.Next(1) {
			c.Assert(d.Server, qt.Equals, "")
			c.Assert(d.Waited, qt.Equals, clock.Millis(0))
			c.Assert(d.RetryAfter > 1_000, qt.IsTrue)
			refused++
		}
	}
	// A prompt takes some 0.4 s to read: fewer than twenty fit into 8 s.
	c.Assert(refused > 20, qt.IsTrue)
	c.Assert(k.Waiting() > 10, qt.IsTrue)
}

// The first answers of a day to short prompts still run when long prompts come.
// They must not have one token for each piece of those: while as many servers are
// free of them as there are long prompts, none of these goes to theirs.
func TestShortPromptsAreApartFromTheBeginning(t *testing.T) {
	c := qt.New(t)
	const all, long = 8, 6
	k := core(all)
	used := map[string]bool{}
	for i := range 3 {
		id := fmt.Sprint("c", i)
		k.Ask(0, chat(id))
		used[one(c, k.Next(0)).Server] = true
		k.Started(20, id)
	}
	c.Assert(len(used) <= all-long, qt.IsTrue)
	for i := range long {
		k.Ask(50, review(fmt.Sprint("r", i), fmt.Sprint("thing", i)))
		c.Assert(used[one(c, k.Next(50)).Server], qt.IsFalse)
	}
}

// A server whose slots are all taken is waited for, not refused.
func TestAFullServerIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	k := grant.New(grant.Defaults())
	k.SetServers([]fleet.Server{{ID: "s0", Slots: 2}})
	for i := range 2 {
		id := fmt.Sprint("c", i)
		k.Ask(0, chat(id))
		one(c, k.Next(0))
		k.Started(30, id)
	}
	k.Ask(40, chat("waits"))
	c.Assert(k.Next(40), qt.HasLen, 0)
	c.Assert(k.Waiting(), qt.Equals, 1)
	k.Ended(900, "c0", place.OutcomeServed)
	c.Assert(one(c, k.Next(900)).Server, qt.Equals, "s0")
}
