package grant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

const limitWindow = 4 * clock.Second

// maxRequests is what the users allow within limitWindow for a rate.
func maxRequests(rate float64) float64 { return 1.5*rate*4 + 5 }

// mostInWindow returns the largest number of times within limitWindow.
func mostInWindow(times []clock.Millis) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Servers name, change and lift rates while calls and prompts arrive, more than they take.
func TestRateLimitsHoldUnderLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		rates := []float64{rapid.Float64Range(0.3, 20).Draw(rt, "rate"), rapid.Float64Range(0.3, 20).Draw(rt, "other rate")}
		plain := rapid.Bool().Draw(rt, "plain")
		c := New(Defaults())
		var all []fleet.Server
		for i := range 4 {
			all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Slots: 64})
		}
		c.SetServers(all)
		for i, r := range rates {
			c.SetLimit(1, Limit{Server: fmt.Sprint("s", i), Rate: r})
		}
		granted := map[string][]clock.Millis{}
		sent := 0
		for now := clock.Millis(1); now < 12*clock.Second; now += 10 {
			if random.IntN(2) == 0 {
				sent++
				r := Request{
					ID: fmt.Sprint("r", sent), Class: "c", Target: 300, TimeLeft: 3_000, Plain: plain,
				}
				if !plain {
					r.Tokens = 100
					r.Segments = []place.Segment{{Name: fmt.Sprint("p", random.IntN(20)), Tokens: 90}, {Name: "own", Tokens: 10}}
				}
				c.Enqueue(now, r)
			}
			for _, d := range c.Next(now) {
				if d.Server != "" {
					granted[d.Server] = append(granted[d.Server], now)
					c.FirstEvent(now, d.ID)
					c.Ended(now, d.ID, place.OutcomeServed)
				}
			}
		}
		for i, rate := range rates {
			if n := mostInWindow(granted[fmt.Sprint("s", i)]); float64(n) > maxRequests(rate) {
				rt.Fatalf("server %d with rate %g got %d requests in %d ms", i, rate, n, limitWindow)
			}
		}
		// The other two servers take what is left. Calls go to idle servers in turn, so that a
		// limited one may be one call ahead.
		others := []int{len(granted["s2"]), len(granted["s3"])}
		ahead := 0
		if plain {
			ahead = 1
			if most := max(len(granted["s0"]), len(granted["s1"])); slices.Min(others) < most-ahead {
				rt.Fatalf("%d calls at a limited server, %d at the others", most, others)
			}
		}
		if others[0]+others[1] < sent/2-ahead {
			rt.Fatalf("%d of %d requests at servers without a limit", others, sent)
		}
	})
}

// Calls arrive one after the other, so that all servers are idle at each.
func TestLimitedServerGetsItsShareBesideIdleServers(t *testing.T) {
	const (
		servers  = 3
		rate     = 2
		duration = 20 * clock.Second
		interval = 12
	)
	for limited := range servers {
		t.Run(fmt.Sprint("s", limited), func(t *testing.T) {
			c := qt.New(t)
			core := New(Defaults())
			var all []fleet.Server
			for i := range servers {
				all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Slots: 64})
			}
			core.SetServers(all)
			core.SetLimit(1, Limit{Server: fmt.Sprint("s", limited), Rate: rate})
			granted := map[string]int{}
			for now := clock.Millis(1); now < duration; now += interval {
				core.Enqueue(now, Request{ID: fmt.Sprint(now), Class: "c", Target: 300, TimeLeft: 2_000, Plain: true})
				for _, d := range core.Next(now) {
					granted[d.Server]++
					core.Ended(now+interval/2, d.ID, place.OutcomeServed)
				}
			}
			c.Assert(granted[""], qt.Equals, 0)
			c.Assert(granted[fmt.Sprint("s", limited)] >= int(duration/clock.Second)*rate/2, qt.IsTrue, qt.Commentf("%v", granted))
		})
	}
}

func TestLimitedServersServeUrgentRequestsFirst(t *testing.T) {
	c := qt.New(t)
	const rate = 2
	core := New(Defaults())
	core.SetServers([]fleet.Server{{ID: "s0", Slots: 6}, {ID: "s1", Slots: 6}})
	core.SetLimit(1, Limit{Server: "s0", Rate: rate})
	core.SetLimit(1, Limit{Server: "s1", Rate: rate})
	var granted [2]int
	total := 0
	for now := clock.Millis(1); now < 20*clock.Second; now += 10 {
		// Two of three requests are of the less urgent tier.
		for n := range 3 {
			tier := min(n, 1)
			core.Enqueue(now, Request{ID: fmt.Sprint(now, "-", n), Class: fmt.Sprint(tier), Tier: tier, Target: 300, TimeLeft: 2_000, Plain: true})
		}
		for _, d := range core.Next(now) {
			if d.Server == "" {
				c.Assert(d.RetryAfter > 0, qt.IsTrue)
				continue
			}
			tier := 1
			if d.ID[len(d.ID)-1] == '0' {
				tier = 0
			}
			granted[tier]++
			total++
			core.Ended(now, d.ID, place.OutcomeServed)
		}
	}
	c.Assert(total >= 20*2*rate*9/10, qt.IsTrue, qt.Commentf("%d granted", total))
	c.Assert(granted[1], qt.Equals, 0, qt.Commentf("%d urgent ones", granted[0]))
}

func TestLiftedLimitEnds(t *testing.T) {
	c := qt.New(t)
	core := New(Defaults())
	core.SetServers([]fleet.Server{{ID: "s0", Born: 5, Slots: 64}})
	core.SetLimit(1_000, Limit{Server: "s0", Born: 4, Rate: 1})
	c.Assert(core.Limits(1_000), qt.HasLen, 0)
	core.SetLimit(1_000, Limit{Server: "s0", Born: 5, Rate: 1})
	// An answer to a request that was sent before the limit was named.
	core.SetLimit(1_100, Limit{Server: "s0", Born: 5, Age: 200})
	c.Assert(core.Limits(1_100), qt.HasLen, 1)
	core.SetLimit(1_200, Limit{Server: "s0", Born: 5, Age: 100})
	c.Assert(core.Limits(1_200), qt.HasLen, 0)
	// A host that does not know of it yet.
	core.SetLimit(1_300, Limit{Server: "s0", Born: 5, Rate: 1, Age: 300})
	c.Assert(core.Limits(1_300), qt.HasLen, 0)
}
