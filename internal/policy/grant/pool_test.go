package grant_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

func engines(n int) []fleet.Server {
	var all []fleet.Server
	for i := range n {
		all = append(all, fleet.Server{ID: fmt.Sprintf("i-%03d", i), Service: "llm"})
	}
	return all
}

func prompt(part int) []place.Part {
	return []place.Part{{Name: fmt.Sprint("part-", part), Tokens: 13_000}, {Name: "own", Tokens: 700}}
}

func TestASmallServiceIsOnePool(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{0, 1, 9, 64} {
		s := grant.NewSplit("llm", engines(n))
		c.Assert(s.Count(), qt.Equals, 1)
		c.Assert(s.Pool(prompt(1)), qt.Equals, 0)
	}
}

// Each pool gets prompts by the share of the servers that it has, and no server
// is in two pools.
func TestPoolsShareServersAndPrompts(t *testing.T) {
	c := qt.New(t)
	all := engines(200)
	s := grant.NewSplit("llm", all)
	c.Assert(s.Count(), qt.Equals, 4)
	servers := make([]int, s.Count())
	for _, f := range all {
		in := 0
		for p := range s.Count() {
			if s.Has(p, f.ID) {
				servers[p]++
				in++
			}
		}
		c.Assert(in, qt.Equals, 1)
	}
	const prompts = 20_000
	got := make([]int, s.Count())
	for i := range prompts {
		got[s.Pool(prompt(i))]++
	}
	for p := range servers {
		fair := float64(prompts*servers[p]) / float64(len(all))
		c.Assert(float64(got[p]) > 0.9*fair && float64(got[p]) < 1.1*fair, qt.IsTrue, qt.Commentf("pool %d: %d servers, %d prompts", p, servers[p], got[p]))
	}
}

// A server that goes moves no other server, and only the prompts that a hash
// preferred it for.
func TestAServerThatGoesMovesLittle(t *testing.T) {
	c := qt.New(t)
	all := engines(90)
	before, after := grant.NewSplit("llm", all), grant.NewSplit("llm", all[1:])
	for _, f := range all[1:] {
		for p := range before.Count() {
			c.Assert(after.Has(p, f.ID), qt.Equals, before.Has(p, f.ID))
		}
	}
	moved := 0
	for i := range 9_000 {
		if before.Pool(prompt(i)) != after.Pool(prompt(i)) {
			moved++
		}
	}
	c.Assert(moved < 200, qt.IsTrue, qt.Commentf("%d of 9000 moved", moved))
}
