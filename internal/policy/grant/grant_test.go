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

func newServers(n int) []fleet.Server {
	var all []fleet.Server
	for i := range n {
		all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 64})
	}
	return all
}

func newCore(n int) *grant.Core {
	c := grant.New(grant.Defaults())
	c.SetServers(newServers(n))
	return c
}

// newLongRequest returns a grant request for a long prompt that starts with a segment.
func newLongRequest(id, segment string) grant.Request {
	return grant.Request{
		ID: id, Host: "h", Class: "review", Tier: 2, Tokens: 17_000, Target: 2_500, TimeLeft: 8_000,
		Segments: []place.Segment{{Name: segment, Tokens: 13_300}, {Name: "own-" + id, Tokens: 3_700}},
	}
}

func newShortRequest(id string) grant.Request {
	return grant.Request{
		ID: id, Host: "h", Class: "chat", Tier: 0, Tokens: 1_460, Target: 500, TimeLeft: 8_000,
		Segments: []place.Segment{{Name: "system", Tokens: 350}, {Name: "own-" + id, Tokens: 1_110}},
	}
}

func onlyDecision(c *qt.C, d []grant.Decision) grant.Decision {
	c.Assert(d, qt.HasLen, 1)
	return d[0]
}

// Requests with a segment that a server is prefilling must wait for that server, not
// repeat the prefill on another one.
func TestPrefixSegmentIsPrefilledOnOneServerOnly(t *testing.T) {
	c := qt.New(t)
	k := newCore(4)
	k.Enqueue(0, newLongRequest("a", "thing"))
	first := onlyDecision(c, k.Next(0))
	k.Enqueue(10, newLongRequest("b", "thing"))
	c.Assert(k.Next(10), qt.HasLen, 0)
	c.Assert(k.Next(200), qt.HasLen, 0)
	k.FirstEvent(400, "a")
	second := onlyDecision(c, k.Next(500))
	c.Assert(second.Server, qt.Equals, first.Server)
	c.Assert(second.Reason, qt.Equals, "Cached")
}

func TestUncachedPromptGoesToLeastLoadedServer(t *testing.T) {
	c := qt.New(t)
	// One of the five servers is reserved for short prompts.
	k := newCore(5)
	used := map[string]bool{}
	for i := range 4 {
		k.Enqueue(0, newLongRequest(fmt.Sprint("r", i), fmt.Sprint("thing", i)))
		used[onlyDecision(c, k.Next(0)).Server] = true
	}
	c.Assert(used, qt.HasLen, 4)
}

// A stalled server must not hold up the requests that wait for its cache: they move to
// another server before the failure is reported.
func TestPromptMovesToAnotherServerWhenFirstIsSilent(t *testing.T) {
	c := qt.New(t)
	k := newCore(2)
	k.Enqueue(0, newLongRequest("a", "thing"))
	first := onlyDecision(c, k.Next(0))
	k.Enqueue(10, newLongRequest("b", "thing"))
	moved := grant.Decision{}
	for now := clock.Millis(10); now < 4_000 && moved.Server == ""; now += 20 {
		if d := k.Next(now); len(d) > 0 {
			moved = d[0]
		}
	}
	c.Assert(moved.Server, qt.Not(qt.Equals), "")
	c.Assert(moved.Server, qt.Not(qt.Equals), first.Server)
}

func TestMoreUrgentTierIsGrantedFirst(t *testing.T) {
	c := qt.New(t)
	k := newCore(1)
	k.Enqueue(0, newLongRequest("a", "thing0"))
	onlyDecision(c, k.Next(0))
	k.Enqueue(1, newLongRequest("low", "thing1"))
	urgent := newLongRequest("high", "thing2")
	urgent.Tier = 1
	k.Enqueue(2, urgent)
	c.Assert(k.Next(2), qt.HasLen, 0)
	k.FirstEvent(400, "a")
	c.Assert(onlyDecision(c, k.Next(500)).ID, qt.Equals, "high")
}

func TestRequestIsRefusedWithoutTimeOrServer(t *testing.T) {
	c := qt.New(t)
	k := newCore(1)
	late := newLongRequest("late", "thing")
	late.TimeLeft = 100
	k.Enqueue(0, late)
	d := onlyDecision(c, k.Next(0))
	c.Assert(d.Server, qt.Equals, "")
	c.Assert(d.Reason, qt.Equals, "OutOfTime")
	tried := newLongRequest("tried", "thing")
	tried.Avoid = []string{"s0"}
	k.Enqueue(0, tried)
	c.Assert(onlyDecision(c, k.Next(0)).Reason, qt.Equals, "NoServer")
	k.SetServers(nil)
	k.Enqueue(0, newShortRequest("none"))
	c.Assert(onlyDecision(c, k.Next(0)).Reason, qt.Equals, "NoServer")
}

func TestLeavingServerGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	k := newCore(2)
	all := newServers(2)
	all[0].Leaving = true
	k.SetServers(all)
	for i := range 6 {
		k.Enqueue(0, newShortRequest(fmt.Sprint("c", i)))
	}
	for _, d := range k.Next(0) {
		c.Assert(d.Server, qt.Equals, "s1")
	}
}

func TestRestartedServerHasEmptyCache(t *testing.T) {
	c := qt.New(t)
	k := newCore(1)
	k.AddCached(0, []grant.CachedSegments{{Server: "s0", Segments: []place.Segment{{Name: "thing", Tokens: 13_300}}}})
	k.Enqueue(0, newLongRequest("a", "thing"))
	c.Assert(onlyDecision(c, k.Next(0)).Reason, qt.Equals, "Cached")
	k.Ended(500, "a", place.OutcomeServed)
	all := newServers(1)
	all[0].Born = 7
	k.SetServers(all)
	k.Enqueue(1_000, newLongRequest("b", "thing"))
	c.Assert(onlyDecision(c, k.Next(1_000)).Reason, qt.Equals, "LeastUnread")
}

// If one host cannot reach a server that answers the other hosts, the keeper must not
// avoid the server for all hosts.
func TestConnectionFailureOfOneHostDoesNotMarkServer(t *testing.T) {
	c := qt.New(t)
	k := newCore(1)
	unreachable := newShortRequest("mine")
	unreachable.Host = "cut-off"
	k.Enqueue(0, unreachable)
	onlyDecision(c, k.Next(0))
	other := newShortRequest("other")
	other.Host = "well"
	k.Enqueue(10, other)
	onlyDecision(c, k.Next(10))
	k.FirstEvent(50, "other")
	k.Ended(60, "mine", place.OutcomeUnreachable)
	both := append(newServers(1), fleet.Server{ID: "s9", Address: "10.0.0.9:1", Slots: 64, Leaving: true})
	k.SetServers(both)
	k.Enqueue(70, newShortRequest("next"))
	c.Assert(onlyDecision(c, k.Next(70)).Server, qt.Equals, "s0")
	c.Assert(k.AvoidedServers(70), qt.HasLen, 0)
	k.Enqueue(80, newShortRequest("failing"))
	onlyDecision(c, k.Next(80))
	k.Ended(90, "failing", place.OutcomeUnreachable)
	c.Assert(k.AvoidedServers(91), qt.DeepEquals, []string{"s0"})
}

func TestCancelledAndExpiredRequestsFreeTheirServer(t *testing.T) {
	c := qt.New(t)
	k := newCore(1)
	k.Enqueue(0, newLongRequest("a", "thing0"))
	onlyDecision(c, k.Next(0))
	k.Enqueue(0, newLongRequest("b", "thing1"))
	k.Cancel(10, "b")
	c.Assert(k.Waiting(), qt.Equals, 0)
	k.Cancel(20, "a")
	k.Enqueue(30, newLongRequest("c", "thing2"))
	onlyDecision(c, k.Next(30))
	// The end of "c" is never reported.
	k.Enqueue(20_000, newLongRequest("d", "thing3"))
	onlyDecision(c, k.Next(20_000))
}

// A request that cannot complete in time after the prefill queued before it must be
// refused at once, with the time after which to retry, not held until its deadline.
func TestRequestThatCannotFinishInTimeIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	k := newCore(1)
	k.Enqueue(0, newLongRequest("first", "thing0"))
	onlyDecision(c, k.Next(0))
	refused := 0
	for i := range 40 {
		k.Enqueue(1, newLongRequest(fmt.Sprint("r", i), fmt.Sprint("thing", i+1)))
		for _, d := range k.Next(1) {
			c.Assert(d.Server, qt.Equals, "")
			c.Assert(d.Waited, qt.Equals, clock.Millis(0))
			c.Assert(d.RetryAfter > 1_000, qt.IsTrue)
			refused++
		}
	}
	// The prefill of a prompt takes about 0.4 s: fewer than twenty fit into 8 s.
	c.Assert(refused > 20, qt.IsTrue)
	c.Assert(k.Waiting() > 10, qt.IsTrue)
}

// The first answers of a day to short prompts are still running when long prompts
// arrive. On a shared server they would get one token for each chunk of a long
// prompt's prefill, so long prompts must use other servers while there are enough.
func TestShortPromptsAreApartFromTheBeginning(t *testing.T) {
	c := qt.New(t)
	const servers, long = 8, 6
	k := newCore(servers)
	used := map[string]bool{}
	for i := range 3 {
		id := fmt.Sprint("c", i)
		k.Enqueue(0, newShortRequest(id))
		used[onlyDecision(c, k.Next(0)).Server] = true
		k.FirstEvent(20, id)
	}
	c.Assert(len(used) <= servers-long, qt.IsTrue)
	for i := range long {
		k.Enqueue(50, newLongRequest(fmt.Sprint("r", i), fmt.Sprint("thing", i)))
		c.Assert(used[onlyDecision(c, k.Next(50)).Server], qt.IsFalse)
	}
}

// A request must wait, not be refused, while all slots of the server are taken.
func TestRequestWaitsForServerWithoutFreeSlot(t *testing.T) {
	c := qt.New(t)
	k := grant.New(grant.Defaults())
	k.SetServers([]fleet.Server{{ID: "s0", Slots: 2}})
	for i := range 2 {
		id := fmt.Sprint("c", i)
		k.Enqueue(0, newShortRequest(id))
		onlyDecision(c, k.Next(0))
		k.FirstEvent(30, id)
	}
	k.Enqueue(40, newShortRequest("waits"))
	c.Assert(k.Next(40), qt.HasLen, 0)
	c.Assert(k.Waiting(), qt.Equals, 1)
	k.Ended(900, "c0", place.OutcomeServed)
	c.Assert(onlyDecision(c, k.Next(900)).Server, qt.Equals, "s0")
}

func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	c := qt.New(t)
	s := grant.Defaults()
	s.MaxWaiting = 3
	k := grant.New(s)
	k.SetServers(newServers(1))
	k.Enqueue(0, newLongRequest("running", "thing"))
	onlyDecision(c, k.Next(0))
	for i := range 3 {
		k.Enqueue(1, newLongRequest(fmt.Sprint("low", i), fmt.Sprint("other", i)))
	}
	c.Assert(k.Next(1), qt.HasLen, 0)
	urgent := newLongRequest("high", "another")
	urgent.Tier = 1
	k.Enqueue(2, urgent)
	d := onlyDecision(c, k.Next(2))
	c.Assert(d.ID, qt.Equals, "low2")
	c.Assert(d.Server, qt.Equals, "")
	c.Assert(d.Reason, qt.Equals, "QueueFull")
	c.Assert(d.RetryAfter > 0, qt.IsTrue)
	c.Assert(k.Waiting(), qt.Equals, 3)
	k.FirstEvent(400, "running")
	c.Assert(onlyDecision(c, k.Next(500)).ID, qt.Equals, "high")
}
