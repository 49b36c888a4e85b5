package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// checkSegments compares the segments of a Core with the caches and prefill queues of its
// servers, and checks that no unused segment is left.
func checkSegments(c *qt.C, k *Core) {
	users, holders, prefilling := map[string]int{}, map[string]int{}, map[string]int{}
	for _, q := range k.queue {
		for _, p := range place.PrefixSegments(q.Segments) {
			users[p.Name]++
		}
	}
	for _, g := range k.granted {
		for _, p := range place.PrefixSegments(g.Segments) {
			users[p.Name]++
		}
	}
	for _, s := range k.rankedServers {
		pending := map[string]int{}
		for name := range s.cached {
			holders[name]++
			c.Assert(k.segments[name].isCached(s), qt.IsTrue)
		}
		for _, g := range s.prefillQueue {
			for _, p := range place.PrefixSegments(g.Segments) {
				prefilling[p.Name]++
				pending[p.Name]++
			}
		}
		for name, p := range k.segments {
			c.Assert(p.isPending(s), qt.Equals, pending[name] > 0)
		}
	}
	for name, p := range k.segments {
		c.Assert(p.users, qt.Equals, users[name])
		c.Assert(p.holders, qt.Equals, holders[name])
		c.Assert(p.prefilling, qt.Equals, prefilling[name])
		c.Assert(p.users+p.holders > 0, qt.IsTrue, qt.Commentf("%s is unused", name))
	}
	c.Assert(len(k.segments) >= len(users), qt.IsTrue)
}

func TestSegmentsMatchCachesAndQueues(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		k := New(Defaults())
		now := clock.Millis(1_000)
		var ids []string
		for step := range 2_000 {
			now += clock.Millis(random.IntN(20))
			id := fmt.Sprint("r", step)
			segments := []place.Segment{
				{Name: fmt.Sprint("shared", random.IntN(3)), Tokens: 800},
				{Name: fmt.Sprint("thing", random.IntN(20)), Tokens: 9_000},
				{Name: "own-" + id, Tokens: 2_000},
			}
			r := Request{ID: id, Host: "h", Class: "review", Segments: segments, Tokens: 11_800, Target: 800, TimeLeft: 5_000}
			switch action := random.IntN(100); {
			case action < 40:
				k.Enqueue(now, r)
				ids = append(ids, id)
			case action < 45:
				k.AddRunning(now, r, fmt.Sprint("s", random.IntN(6)), random.IntN(2) == 0)
				ids = append(ids, id)
			case action < 50:
				k.AddCached(now, []CachedSegments{{Server: fmt.Sprint("s", random.IntN(6)), Segments: segments}})
			case action < 55:
				k.SetServers(randomServers(random))
			case len(ids) == 0:
			case action < 75:
				k.FirstEvent(now, ids[random.IntN(len(ids))])
			case action < 80:
				k.Cancel(now, ids[random.IntN(len(ids))])
			default:
				k.Ended(now, ids[random.IntN(len(ids))], place.OutcomeServed)
			}
			k.Next(now)
			checkSegments(c, k)
		}
		k.SetServers(nil)
		k.Next(now + clock.Minute)
		c.Assert(k.segments, qt.HasLen, 0)
	}
}

// randomServers returns some of six servers; some have restarted.
func randomServers(random *rand.Rand) []fleet.Server {
	var all []fleet.Server
	for i := range 6 {
		if random.IntN(4) > 0 {
			all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Slots: 64, Born: int64(random.IntN(2))})
		}
	}
	return all
}
