package bench

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// fits tells whether a machine of this speed can complete the jobs of the set
// by their deadlines.
func fits(jobs []*job, set uint, a account) bool {
	var chosen []*job
	for i, j := range jobs {
		if set&(1<<i) > 0 {
			chosen = append(chosen, j)
		}
	}
	slices.SortFunc(chosen, func(x, y *job) int { return cmp.Compare(a.deadline(x), a.deadline(y)) })
	total := 0.0
	for _, j := range chosen {
		total += a.work(j)
		if total > a.capacity(a.deadline(j)) {
			return false
		}
	}
	return true
}

// TestBoundAgainstEverySubset compares with trying every set of jobs.
func TestBoundAgainstEverySubset(t *testing.T) {
	settings := batch.Settings{}.WithDefaults()
	classes := []*ClassPlan{
		{Name: "a", Tier: 1, FirstTokenMilliseconds: 20, BetweenTokensMilliseconds: 1},
		{Name: "b", Tier: 2, FirstTokenMilliseconds: 50, BetweenTokensMilliseconds: 30},
	}
	rapid.Check(t, func(r *rapid.T) {
		var jobs []*job
		for range rapid.IntRange(1, 9).Draw(r, "jobs") {
			jobs = append(jobs, &job{
				at:     clock.Millis(rapid.IntRange(0, 50).Draw(r, "at")),
				class:  rapid.SampledFrom(classes).Draw(r, "class"),
				prompt: rapid.IntRange(1, 3000).Draw(r, "prompt"),
				output: rapid.IntRange(1, 100).Draw(r, "output"),
			})
		}
		speed := float64(rapid.IntRange(1, 2).Draw(r, "speed"))
		a := account{
			work:      func(j *job) float64 { return j.work(settings) },
			iteration: 15,
			capacity:  func(until clock.Millis) float64 { return speed * float64(until) },
		}
		most, mostUrgent, mostTiered := 0, 0, 0
		urgent := uint(0)
		for i, j := range jobs {
			if j.class.Tier == 1 {
				urgent |= 1 << i
			}
		}
		for set := range uint(1) << len(jobs) {
			if !fits(jobs, set, a) {
				continue
			}
			most = max(most, bits.OnesCount(set))
			if n := bits.OnesCount(set & urgent); n > mostUrgent {
				mostUrgent, mostTiered = n, bits.OnesCount(set)
			} else if n == mostUrgent {
				mostTiered = max(mostTiered, bits.OnesCount(set))
			}
		}
		if got := a.most(jobs, false); got != most {
			r.Fatalf("bound is %d, the best set has %d", got, most)
		}
		if got := a.most(jobs, true); got != mostTiered {
			r.Fatalf("bound by tier is %d, the best set with %d urgent has %d", got, mostUrgent, mostTiered)
		}
	})
}

func TestGaps(t *testing.T) {
	c := qt.New(t)
	class := &ClassPlan{Name: "a"}
	g := newGaps()
	all := make([]*request, 4)
	for i := range all {
		all[i] = &request{job: &job{id: fmt.Sprint(i), class: class}}
	}
	g.arrive(100, all[0])
	g.serve(150, all[0])
	c.Assert(g.longest("a"), qt.Equals, clock.Millis(50))
	g.arrive(1000, all[1])
	g.arrive(1050, all[2])
	g.serve(1080, all[2])
	c.Assert(g.longest("a"), qt.Equals, clock.Millis(80), qt.Commentf("nothing waited from 150 to 1000"))
	g.end(1200, all[1])
	c.Assert(g.longest("a"), qt.Equals, clock.Millis(120), qt.Commentf("a request that was never served ends a gap"))
	g.arrive(5000, all[3])
	g.serve(5010, all[3])
	c.Assert(g.longest("a"), qt.Equals, clock.Millis(120))
}

func TestPercentile(t *testing.T) {
	c := qt.New(t)
	c.Assert(percentile([]float64{}, 0.5), qt.Equals, 0.0)
	c.Assert(percentile([]float64{3, 1, 2, 4}, 0.5), qt.Equals, 2.0)
	c.Assert(percentile([]float64{3, 1, 2, 4}, 0.99), qt.Equals, 4.0)
}
