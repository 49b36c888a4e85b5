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

// jobsFit reports whether the jobs in the bit set can all complete by their
// deadlines under the work model.
func jobsFit(jobs []*job, set uint, m workModel) bool {
	var chosen []*job
	for i, j := range jobs {
		if set&(1<<i) > 0 {
			chosen = append(chosen, j)
		}
	}
	slices.SortFunc(chosen, func(x, y *job) int { return cmp.Compare(m.deadline(x), m.deadline(y)) })
	total := 0.0
	for _, j := range chosen {
		total += m.work(j)
		if total > m.capacity(m.deadline(j)) {
			return false
		}
	}
	return true
}

// TestBoundEqualsBestSubsetOfJobs compares the greedy selection with an
// exhaustive search over all sets of jobs.
func TestBoundEqualsBestSubsetOfJobs(t *testing.T) {
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
		m := workModel{
			work:         func(j *job) float64 { return j.work(settings) },
			maxIteration: 15,
			capacity:     func(until clock.Millis) float64 { return speed * float64(until) },
		}
		maxJobs, wantUrgent, wantTiered := 0, 0, 0
		urgent := uint(0)
		for i, j := range jobs {
			if j.class.Tier == 1 {
				urgent |= 1 << i
			}
		}
		for set := range uint(1) << len(jobs) {
			if !jobsFit(jobs, set, m) {
				continue
			}
			maxJobs = max(maxJobs, bits.OnesCount(set))
			if n := bits.OnesCount(set & urgent); n > wantUrgent {
				wantUrgent, wantTiered = n, bits.OnesCount(set)
			} else if n == wantUrgent {
				wantTiered = max(wantTiered, bits.OnesCount(set))
			}
		}
		if got := m.maxJobs(jobs, false); got != maxJobs {
			r.Fatalf("bound is %d, the best set has %d", got, maxJobs)
		}
		if got := m.maxJobs(jobs, true); got != wantTiered {
			r.Fatalf("bound by tier is %d, the best set with %d urgent has %d", got, wantUrgent, wantTiered)
		}
	})
}

func TestGapTrackerMeasuresLongestWaitWithoutService(t *testing.T) {
	c := qt.New(t)
	class := &ClassPlan{Name: "a"}
	g := newGapTracker()
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
