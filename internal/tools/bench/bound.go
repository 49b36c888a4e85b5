package bench

import (
	"cmp"
	"container/heap"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// goodputBound returns an upper bound on the number of jobs arriving in a
// window that can be answered within their targets, given every length and all
// future arrivals.
//
// It is optimistic: all servers together are one machine that can be divided
// arbitrarily, runs at the speed of full batches with every prefix cached, and
// has no other work; all jobs of the window are available at its start; only
// the last token has a deadline, the latest time at which it can come if the
// first token just meets its target. On such a machine the Moore-Hodgson
// algorithm keeps the maximum number of jobs: take them in order of their
// deadlines and remove the largest one whenever a deadline would be missed.
// With byTier, each tier is filled before the next, as a policy that never
// sheds a higher tier in favour of a lower one has to.
//
// Engines do not pause a running sequence, so the last token's deadline follows
// from the first token's and the longest possible iteration. Two work models
// are computed, and the lower result is the bound. One includes prefill: the
// longest iteration is a full batch with a full chunk of prompt tokens. The
// other stops the clock during prefill: the longest iteration is a full batch
// alone.
func goodputBound(jobs []*job, w Window, s batch.Settings, servers int, byTier bool) int {
	var within []*job
	for _, j := range jobs {
		if w.contains(j.at) {
			within = append(within, j)
		}
	}
	capacity := func(until clock.Millis) float64 { return float64(servers) * float64(until-w.FromMilliseconds) }
	fullBatch := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(s.MaxBatch)
	withPrompts := workModel{
		work:         func(j *job) float64 { return j.work(s) },
		maxIteration: fullBatch + s.PerPromptTokenMilliseconds*float64(s.ChunkTokens),
		capacity:     capacity,
	}
	withoutPrompts := workModel{
		work:         func(j *job) float64 { return work(s, 0, float64(j.output)) },
		maxIteration: fullBatch,
		capacity:     capacity,
	}
	return min(withPrompts.maxJobs(within, byTier), withoutPrompts.maxJobs(within, byTier))
}

// workModel defines the cost of jobs and the capacity of the servers.
type workModel struct {
	// work is the time that a job takes on one server, in milliseconds.
	work func(j *job) float64
	// maxIteration is the duration of the longest iteration, in milliseconds.
	maxIteration float64
	// capacity is the total server time available until a point in virtual
	// time, in milliseconds.
	capacity func(until clock.Millis) float64
}

// maxJobs returns the maximum number of jobs that meet their deadlines.
func (m workModel) maxJobs(jobs []*job, byTier bool) int {
	if !byTier {
		return len(m.selectJobs(jobs, nil))
	}
	var kept []*job
	for _, tier := range tiersOf(jobs) {
		var more []*job
		for _, j := range jobs {
			if j.class.Tier == tier {
				more = append(more, j)
			}
		}
		kept = m.selectJobs(more, kept)
	}
	return len(kept)
}

// deadline returns the time at which a job's last token is due.
func (m workModel) deadline(j *job) clock.Millis {
	each := min(m.maxIteration, float64(j.class.BetweenTokensMilliseconds))
	return j.at + j.class.FirstTokenMilliseconds + clock.Millis(float64(j.output-1)*each)
}

// selectJobs returns the fixed jobs and as many of the others as meet their
// deadlines along with them. It never removes a fixed job.
func (m workModel) selectJobs(jobs, fixed []*job) []*job {
	all := append(slices.Clone(fixed), jobs...)
	slices.SortStableFunc(all, func(x, y *job) int { return cmp.Compare(m.deadline(x), m.deadline(y)) })
	isFixed := make(map[*job]bool, len(fixed))
	for _, j := range fixed {
		isFixed[j] = true
	}
	removable := &jobHeap{work: m.work}
	dropped := map[*job]bool{}
	total := 0.0
	for _, j := range all {
		total += m.work(j)
		if !isFixed[j] {
			heap.Push(removable, j)
		}
		for total > m.capacity(m.deadline(j)) && removable.Len() > 0 {
			out := heap.Pop(removable).(*job)
			total -= m.work(out)
			dropped[out] = true
		}
	}
	return slices.DeleteFunc(all, func(j *job) bool { return dropped[j] })
}

func tiersOf(jobs []*job) []int {
	var tiers []int
	for _, j := range jobs {
		if !slices.Contains(tiers, j.class.Tier) {
			tiers = append(tiers, j.class.Tier)
		}
	}
	slices.Sort(tiers)
	return tiers
}

// jobHeap is a heap with the job with the most work on top.
type jobHeap struct {
	work func(j *job) float64
	jobs []*job
}

func (h *jobHeap) Len() int { return len(h.jobs) }

func (h *jobHeap) Less(i, j int) bool { return h.work(h.jobs[i]) > h.work(h.jobs[j]) }

func (h *jobHeap) Swap(i, j int) { h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i] }

func (h *jobHeap) Push(x any) { h.jobs = append(h.jobs, x.(*job)) }

func (h *jobHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}
