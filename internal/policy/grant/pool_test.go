package grant_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

func newEngines(n int) []fleet.Server {
	var all []fleet.Server
	for i := range n {
		all = append(all, fleet.Server{ID: fmt.Sprintf("i-%03d", i), Service: "llm"})
	}
	return all
}

func newPrompt(segment int) []place.Segment {
	return []place.Segment{{Name: fmt.Sprint("part-", segment), Tokens: 13_000}, {Name: "own", Tokens: 700}}
}

func TestSmallServiceHasOnePool(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{0, 1, 9, 64} {
		s := grant.NewSplit("llm", newEngines(n))
		c.Assert(s.Count(), qt.Equals, 1)
		c.Assert(s.Pool(newPrompt(1)), qt.Equals, 0)
	}
}

// Each pool gets prompts in proportion to its servers, and every server is in exactly
// one pool.
func TestPoolsGetPromptsInProportionToServers(t *testing.T) {
	c := qt.New(t)
	all := newEngines(200)
	s := grant.NewSplit("llm", all)
	c.Assert(s.Count(), qt.Equals, 4)
	serverCounts := make([]int, s.Count())
	for _, f := range all {
		in := 0
		for p := range s.Count() {
			if s.Has(p, f.ID) {
				serverCounts[p]++
				in++
			}
		}
		c.Assert(in, qt.Equals, 1)
	}
	const prompts = 20_000
	promptCounts := make([]int, s.Count())
	for i := range prompts {
		promptCounts[s.Pool(newPrompt(i))]++
	}
	for p := range serverCounts {
		expected := float64(prompts*serverCounts[p]) / float64(len(all))
		c.Assert(float64(promptCounts[p]) > 0.9*expected && float64(promptCounts[p]) < 1.1*expected, qt.IsTrue,
			qt.Commentf("pool %d: %d servers, %d prompts", p, serverCounts[p], promptCounts[p]))
	}
}

// Removing a server moves no other server to another pool, and only the prompts for
// which the removed server ranked first.
func TestServerRemovalMovesFewPrompts(t *testing.T) {
	c := qt.New(t)
	all := newEngines(90)
	before, after := grant.NewSplit("llm", all), grant.NewSplit("llm", all[1:])
	for _, f := range all[1:] {
		for p := range before.Count() {
			c.Assert(after.Has(p, f.ID), qt.Equals, before.Has(p, f.ID))
		}
	}
	moved := 0
	for i := range 9_000 {
		if before.Pool(newPrompt(i)) != after.Pool(newPrompt(i)) {
			moved++
		}
	}
	c.Assert(moved < 200, qt.IsTrue, qt.Commentf("%d of 9000 moved", moved))
}
