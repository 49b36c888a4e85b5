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
// just in time. On such a machine, taking the jobs in order of their deadlines
// and throwing out the largest one whenever a deadline would be missed keeps
// the most jobs (Moore and Hodgson). With byTier, each tier is filled before
// the next, as a policy must that sheds no higher tier in favour of a lower
// one.
//
// Engines do not pause a sequence once it runs, so that the last token's
// deadline follows from the first one's by how slow an iteration can be. Two
// accounts are made of that, and the lower result is the bound: with the time
// that prompts take, where the longest iteration is that of a full batch with
// a full chunk of prompts; and on a clock that stands still while prompts are
// read, where the longest iteration is that of a full batch alone.
func bound(jobs []*job, w Window, s batch.Settings, servers int, byTier bool) int {
	var within []*job
	for _, j := range jobs {
		if w.holds(j.at) {
			within = append(within, j)
		}
	}
	capacity := func(until clock.Millis) float64 { return float64(servers) * float64(until-w.FromMilliseconds) }
	fullBatch := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(s.MaxBatch)
	withPrompts := account{
		work:      func(j *job) float64 { return j.work(s) },
		iteration: fullBatch + s.PerPromptTokenMilliseconds*float64(s.ChunkTokens),
		capacity:  capacity,
	}
	withoutPrompts := account{
		work:      func(j *job) float64 { return work(s, 0, float64(j.output)) },
		iteration: fullBatch,
		capacity:  capacity,
	}
	return min(withPrompts.most(within, byTier), withoutPrompts.most(within, byTier))
}

// account is one way to add up the work of jobs.
type account struct {
	// work is a job's time on one server in milliseconds.
	work func(j *job) float64
	// iteration is the longest iteration in milliseconds.
	iteration float64
	// capacity is the servers' time in milliseconds until a point in time.
	capacity func(until clock.Millis) float64
}

// most returns how many of the jobs fit.
func (a account) most(jobs []*job, byTier bool) int {
	if !byTier {
		return len(a.keepMost(jobs, nil))
	}
	var kept []*job
	for _, tier := range tiersOf(jobs) {
		var more []*job
		for _, j := range jobs {
			if j.class.Tier == tier {
				more = append(more, j)
			}
		}
		kept = a.keepMost(more, kept)
	}
	return len(kept)
}

// deadline is when a job's last token is due.
func (a account) deadline(j *job) clock.Millis {
	each := min(a.iteration, float64(j.class.BetweenTokensMilliseconds))
	return j.at + j.class.FirstTokenMilliseconds + clock.Millis(float64(j.output-1)*each)
}

// keepMost adds as many jobs as it can to those that are fixed, and throws
// none of these out.
func (a account) keepMost(jobs, fixed []*job) []*job {
	all := append(slices.Clone(fixed), jobs...)
	slices.SortStableFunc(all, func(x, y *job) int { return cmp.Compare(a.deadline(x), a.deadline(y)) })
	isFixed := make(map[*job]bool, len(fixed))
	for _, j := range fixed {
		isFixed[j] = true
	}
	loose := &jobHeap{work: a.work}
	dropped := map[*job]bool{}
	total := 0.0
	for _, j := range all {
		total += a.work(j)
		if !isFixed[j] {
			heap.Push(loose, j)
		}
		for total > a.capacity(a.deadline(j)) && loose.Len() > 0 {
			out := heap.Pop(loose).(*job)
			total -= a.work(out)
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

// jobHeap has the largest job on top.
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
