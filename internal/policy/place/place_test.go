package place_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

func newPlacer(n int) *place.Placer {
	p := place.New(place.Defaults())
	p.SetServers(newServers(n))
	return p
}

func newServers(n int) []fleet.Server {
	var all []fleet.Server
	for i := range n {
		all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Service: "llm", Address: fmt.Sprint("a", i)})
	}
	return all
}

func newPromptJob(segment string, tokens int) place.Job {
	return place.Job{Service: "llm", Tokens: tokens, Segments: []place.Segment{{Name: segment, Tokens: tokens - 100}, {Name: "own", Tokens: 100}}}
}

func TestHostsChooseSameServerForSamePrefixSegment(t *testing.T) {
	c := qt.New(t)
	a, b := newPlacer(9), newPlacer(9)
	for i := range 50 {
		j := newPromptJob(fmt.Sprint("thing", i), 17_000)
		x, _ := a.Choose(0, j)
		y, _ := b.Choose(0, j)
		c.Assert(x.Server.ID, qt.Equals, y.Server.ID)
	}
}

func TestServerRemovalMovesFewPrefixSegments(t *testing.T) {
	c := qt.New(t)
	before, after := newPlacer(9), newPlacer(8)
	moved := 0
	for i := range 200 {
		j := newPromptJob(fmt.Sprint("thing", i), 17_000)
		x, _ := before.Choose(0, j)
		y, _ := after.Choose(0, j)
		if x.Server.ID != y.Server.ID {
			moved++
		}
	}
	// The removed server had one ninth of the segments. One more server moves
	// across the boundary between the two groups.
	c.Assert(moved < 200/3, qt.IsTrue, qt.Commentf("%d moved", moved))
}

func TestShortAndLongPromptsUseSeparateServers(t *testing.T) {
	c := qt.New(t)
	p := newPlacer(8)
	short, long := map[string]bool{}, map[string]bool{}
	for i := range 100 {
		x, _ := p.Choose(0, newPromptJob(fmt.Sprint("s", i), 1_500))
		y, _ := p.Choose(0, newPromptJob(fmt.Sprint("l", i), 17_000))
		short[x.Server.ID], long[y.Server.ID] = true, true
	}
	c.Assert(short, qt.HasLen, 2)
	c.Assert(long, qt.HasLen, 6)
	for id := range short {
		c.Assert(long[id], qt.IsFalse)
	}
}

func TestPlainCallsGoToServerWithFewestOpenRequests(t *testing.T) {
	c := qt.New(t)
	p := newPlacer(3)
	open := map[string]int{}
	for i := range 9 {
		j := place.Job{Service: "llm", Random: float64(i) / 9}
		choice, _ := p.Choose(0, j)
		p.Sent(choice.Server)
		open[choice.Server.ID]++
	}
	c.Assert(open, qt.DeepEquals, map[string]int{"s0": 3, "s1": 3, "s2": 3})
}

func TestFailingServerIsAvoidedAndRetriedAfterBackoff(t *testing.T) {
	c := qt.New(t)
	p := newPlacer(2)
	j := place.Job{Service: "llm"}
	choice, _ := p.Choose(0, j)
	p.Sent(choice.Server)
	p.Ended(0, choice.Server, place.OutcomeSilent)
	failed := choice.Server.ID
	for range 5 {
		other, _ := p.Choose(100, j)
		c.Assert(other.Server.ID, qt.Not(qt.Equals), failed)
	}
	c.Assert(p.AvoidedServers(100, "llm"), qt.DeepEquals, []string{failed})
	c.Assert(p.AvoidedServers(600, "llm"), qt.HasLen, 0)
	// An avoided server is used if there is no other.
	j.Avoid = []string{"s0", "s1"}
	_, ok := p.Choose(100, j)
	c.Assert(ok, qt.IsFalse)
	for _, id := range []string{"s0", "s1"} {
		if id != failed {
			j.Avoid = []string{id}
		}
	}
	last, ok := p.Choose(100, j)
	c.Assert(ok, qt.IsTrue)
	c.Assert(last.Server.ID, qt.Equals, failed)
}

func TestLeavingServersGetNoRequests(t *testing.T) {
	c := qt.New(t)
	p := place.New(place.Defaults())
	all := newServers(2)
	all[0].Leaving = true
	p.SetServers(all)
	for i := range 20 {
		choice, _ := p.Choose(0, newPromptJob(fmt.Sprint("t", i), 2_000))
		c.Assert(choice.Server.ID, qt.Equals, "s1")
	}
}

func TestPreferredServerIsChosenWithinItsGroup(t *testing.T) {
	c := qt.New(t)
	p := newPlacer(8)
	j := newPromptJob("thing", 17_000)
	usual, _ := p.Choose(0, j)
	followed := 0
	for _, s := range newServers(8) {
		j.Prefer = s.ID
		choice, _ := p.Choose(0, j)
		if choice.Server.ID == s.ID {
			followed++
			continue
		}
		c.Assert(choice.Server.ID, qt.Equals, usual.Server.ID)
	}
	// Two of the eight servers are reserved for short prompts.
	c.Assert(followed, qt.Equals, 6)
}
