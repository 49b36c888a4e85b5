package batch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// drain steps until the engine is idle and returns when each job ended, and the
// ids in the order in which the jobs ended.
func drain(b *batch.Batch, now clock.Millis) (ends map[string]clock.Millis, order []string) {
	ends = map[string]clock.Millis{}
	for it := b.Step(now); !it.Idle; it = b.Step(it.End) {
		for _, t := range it.Tokens {
			if t.Last {
				ends[t.ID] = it.End
				order = append(order, t.ID)
			}
		}
	}
	return ends, order
}

// completionTime returns when a job of 10 prompt and 10 output tokens ends that is
// submitted after the given jobs.
func completionTime(s batch.Settings, slowdown float64, before ...batch.Job) clock.Millis {
	b := batch.New(s)
	b.SetSlowdown(slowdown)
	for _, j := range before {
		b.Submit(0, j)
	}
	b.Submit(0, batch.Job{ID: "x", PromptTokens: 10, OutputTokens: 10})
	ends, _ := drain(b, 0)
	return ends["x"]
}

func TestIterationLengthGrowsWithLoadAndSlowdown(t *testing.T) {
	c := qt.New(t)
	other := batch.Job{ID: "other", PromptTokens: 10, OutputTokens: 10}
	longPrompt := batch.Job{ID: "reading", PromptTokens: 3000, OutputTokens: 1}
	alone := completionTime(batch.Settings{}, 1)
	c.Assert(alone, qt.Equals, clock.Millis(93),
		qt.Commentf("ten iterations of 9.2 ms, the first prefills ten prompt tokens"))
	c.Assert(completionTime(batch.Settings{}, 1, other), qt.Equals, clock.Millis(95))
	c.Assert(completionTime(batch.Settings{}, 1, longPrompt) > alone+50, qt.IsTrue)
	c.Assert(completionTime(batch.Settings{}, 4), qt.Equals, clock.Millis(369))
}

func TestMoreUrgentJobsRunFirst(t *testing.T) {
	c := qt.New(t)
	b := batch.New(batch.Settings{MaxBatch: 1})
	for i, id := range []string{"none", "low", "high"} {
		b.Submit(0, batch.Job{ID: id, Priority: []int{0, 2, 1}[i], PromptTokens: 1, OutputTokens: 2})
	}
	_, order := drain(b, 0)
	c.Assert(order, qt.DeepEquals, []string{"high", "low", "none"})
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	b := batch.New(batch.Settings{CacheTokens: 2000, ChunkTokens: 100})
	completionTimeWithPrefix := func(prefix uint64) clock.Millis {
		b.Submit(0, batch.Job{ID: "x", PromptTokens: 1000, OutputTokens: 1, Prefix: prefix, PrefixTokens: 1000})
		ends, _ := drain(b, 0)
		return ends["x"]
	}
	uncached := completionTimeWithPrefix(1)
	c.Assert(completionTimeWithPrefix(1) < uncached/5, qt.IsTrue)
	completionTimeWithPrefix(2)
	c.Assert(completionTimeWithPrefix(1) < uncached/5, qt.IsTrue)
	completionTimeWithPrefix(3)
	c.Assert(completionTimeWithPrefix(2), qt.Equals, uncached)
	c.Assert(b.CacheEvents(10000, 0, 0), qt.HasLen, 6)
	c.Assert(b.CacheEvents(10000, 10001, 0), qt.HasLen, 0)
}

func TestLoadReportIsDelayedByLag(t *testing.T) {
	c := qt.New(t)
	b := batch.New(batch.Settings{LoadLag: 100})
	b.Submit(1000, batch.Job{ID: "x", PromptTokens: 1, OutputTokens: 50})
	b.Step(1000)
	c.Assert(b.Load(1050).Running, qt.Equals, 0)
	c.Assert(b.Load(1100).Running, qt.Equals, 1)
}

// Submits, cancels and steps at random. Each job that is not cancelled emits each
// of its tokens once, in order, starting at its offset.
func TestEachTokenIsEmittedOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := batch.New(batch.Settings{MaxBatch: rapid.IntRange(1, 4).Draw(r, "MaxBatch")})
		now := clock.Millis(0)
		nextIndex := map[string]int{}
		length := map[string]int{}
		step := func() bool {
			it := b.Step(now)
			now = it.End
			for _, out := range it.Tokens {
				if out.Index != nextIndex[out.ID] {
					r.Fatalf("job %s: got token %d, want %d", out.ID, out.Index, nextIndex[out.ID])
				}
				nextIndex[out.ID]++
				if out.Last {
					if nextIndex[out.ID] != length[out.ID] {
						r.Fatalf("job %s ended after %d of %d tokens", out.ID, nextIndex[out.ID], length[out.ID])
					}
					delete(length, out.ID)
				}
			}
			return !it.Idle
		}
		r.Repeat(map[string]func(*rapid.T){
			"submit": func(r *rapid.T) {
				j := batch.Job{ID: rapid.StringMatching("[a-f]").Draw(r, "ID"), PromptTokens: 5}
				j.OutputTokens = rapid.IntRange(1, 9).Draw(r, "OutputTokens")
				j.Offset = rapid.IntRange(0, j.OutputTokens-1).Draw(r, "Offset")
				j.Priority = rapid.IntRange(0, 3).Draw(r, "Priority")
				nextIndex[j.ID], length[j.ID] = j.Offset, j.OutputTokens
				b.Submit(now, j)
			},
			"cancel": func(r *rapid.T) {
				id := rapid.StringMatching("[a-f]").Draw(r, "ID")
				_, there := length[id]
				if b.Cancel(now, id) != there {
					r.Fatalf("Cancel(%s) did not report whether the job existed", id)
				}
				delete(length, id)
			},
			"step": func(*rapid.T) { step() },
		})
		for step() {
		}
		if len(length) > 0 {
			r.Fatalf("jobs that did not end: %v", length)
		}
	})
}
