package bench

import (
	"cmp"
	"container/heap"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// bound returns how many of the jobs that arrive in a window can be answered
// within their targets at the most, by somebody who knows every length and the
// future.
//
// It is optimistic: all servers together are one machine that can be divided
// at will, works at the speed of full batches with every prefix cached, and
// has nothing else to do; all jobs of the window are there at its start; only
// the last token has a deadline, by which it would come if the first one were
// just in time. On such a machine, taking the jobs in order
// of their deadlines and throwing out the largest one whenever a deadline
// would be missed keeps the most jobs (Moore and Hodgson). With byTier, each
// tier is filled before the next, as a policy must that sheds no higher tier
// in favour of a lower one.
func bound(jobs []*job, w Window, s batch.Settings, servers int, byTier bool) int {
	var within []*job
	for _, j := range jobs {
		if w.holds(j.at) {
			within = append(within, j)
		}
	}
	slices.SortStableFunc(within, func(a, b *job) int { return cmp.Compare(a.deadline(s), b.deadline(s)) })
	capacity := func(until clock.Millis) float64 { return float64(servers) * float64(until-w.FromMilliseconds) }
	if !byTier {
		return len(keepMost(within, nil, s, capacity))
	}
	var kept []*job
	for _, tier := range tiersOf(within) {
		var more []*job
		for _, j := range within {
			if j.class.Tier == tier {
				more = append(more, j)
			}
		}
		kept = keepMost(more, kept, s, capacity)
	}
	return len(kept)
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

// deadline is when the last token is due. Engines do not pause a sequence once
// it runs: each of its tokens takes at most the longest iteration, which is
// that of a full batch with a full chunk of prompts, also where the class's
// target would allow more.
func (j *job) deadline(s batch.Settings) clock.Millis {
	longest := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(s.MaxBatch) + s.PerPromptTokenMilliseconds*float64(s.ChunkTokens)
	each := min(longest, float64(j.class.BetweenTokensMilliseconds))
	return j.at + j.class.FirstTokenMilliseconds + clock.Millis(float64(j.output-1)*each)
}

// keepMost adds as many jobs as it can to those that are fixed, and throws
// none of these out.
func keepMost(jobs, fixed []*job, s batch.Settings, capacity func(until clock.Millis) float64) []*job {
	all := append(slices.Clone(fixed), jobs...)
	slices.SortStableFunc(all, func(a, b *job) int { return cmp.Compare(a.deadline(s), b.deadline(s)) })
	isFixed := make(map[*job]bool, len(fixed))
	for _, j := range fixed {
		isFixed[j] = true
	}
	loose := &jobHeap{settings: s}
	dropped := map[*job]bool{}
	total := 0.0
	for _, j := range all {
		total += j.work(s)
		if !isFixed[j] {
			heap.Push(loose, j)
		}
		for total > capacity(j.deadline(s)) && loose.Len() > 0 {
			out := heap.Pop(loose).(*job)
			total -= out.work(s)
			dropped[out] = true
		}
	}
	return slices.DeleteFunc(all, func(j *job) bool { return dropped[j] })
}

// jobHeap has the largest job on top.
type jobHeap struct {
	settings batch.Settings
	jobs     []*job
}

func (h *jobHeap) Len() int { return len(h.jobs) }

func (h *jobHeap) Less(i, j int) bool { return h.jobs[i].work(h.settings) > h.jobs[j].work(h.settings) }

func (h *jobHeap) Swap(i, j int) { h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i] }

func (h *jobHeap) Push(x any) { h.jobs = append(h.jobs, x.(*job)) }

func (h *jobHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}
