package batch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// drain steps until the engine is idle and returns the end of each job and
// the order in which the jobs ended.
func drain(b *batch.Batch, now clock.Millis) (ends map[string]clock.Millis, order []string) {
	ends = map[string]clock.Millis{}
	for it := b.Step(now); !it.Idle; it = b.Step(it.Ends) {
		for _, t := range it.Tokens {
			if t.Last {
				ends[t.ID] = it.Ends
				order = append(order, t.ID)
			}
		}
	}
	return ends, order
}

func end(s batch.Settings, slowdown float64, before ...batch.Job) clock.Millis {
	b := batch.New(s)
	b.SetSlowdown(slowdown)
	for _, j := range before {
		b.Submit(0, j)
	}
	b.Submit(0, batch.Job{ID: "x", PromptTokens: 10, OutputTokens: 10})
	ends, _ := drain(b, 0)
	return ends["x"]
}

func TestLengthOfIterations(t *testing.T) {
	c := qt.New(t)
	other := batch.Job{ID: "other", PromptTokens: 10, OutputTokens: 10}
	reading := batch.Job{ID: "reading", PromptTokens: 3000, OutputTokens: 1}
	alone := end(batch.Settings{}, 1)
	c.Assert(alone, qt.Equals, clock.Millis(93), qt.Commentf("ten iterations of 9.2 ms, the first with ten prompt tokens"))
	c.Assert(end(batch.Settings{}, 1, other), qt.Equals, clock.Millis(95))
	c.Assert(end(batch.Settings{}, 1, reading) > alone+50, qt.IsTrue)
	c.Assert(end(batch.Settings{}, 4), qt.Equals, clock.Millis(369))
}

func TestPriorityEntersTheBatchFirst(t *testing.T) {
	c := qt.New(t)
	b := batch.New(batch.Settings{MaxBatch: 1})
	for i, id := range []string{"none", "low", "high"} {
		b.Submit(0, batch.Job{ID: id, Priority: []int{0, 2, 1}[i], PromptTokens: 1, OutputTokens: 2})
	}
	_, order := drain(b, 0)
	c.Assert(order, qt.DeepEquals, []string{"high", "low", "none"})
}

func TestPrefixCacheForgetsTheLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	b := batch.New(batch.Settings{CacheTokens: 2000, ChunkTokens: 100})
	took := func(prefix uint64) clock.Millis {
		b.Submit(0, batch.Job{ID: "x", PromptTokens: 1000, OutputTokens: 1, Prefix: prefix, PrefixTokens: 1000})
		ends, _ := drain(b, 0)
		return ends["x"]
	}
	cold := took(1)
	c.Assert(took(1) < cold/5, qt.IsTrue)
	took(2)
	c.Assert(took(1) < cold/5, qt.IsTrue)
	took(3)
	c.Assert(took(2), qt.Equals, cold)
	c.Assert(b.CacheEvents(10000, 0, 0), qt.HasLen, 6)
	c.Assert(b.CacheEvents(10000, 10001, 0), qt.HasLen, 0)
}

func TestLoadReportLags(t *testing.T) {
	c := qt.New(t)
	b := batch.New(batch.Settings{LoadLag: 100})
	b.Submit(1000, batch.Job{ID: "x", PromptTokens: 1, OutputTokens: 50})
	b.Step(1000)
	c.Assert(b.Load(1050).Running, qt.Equals, 0)
	c.Assert(b.Load(1100).Running, qt.Equals, 1)
}

// TestEveryTokenOnce submits, cancels and steps at random: each job that is
// not cancelled gives each of its tokens once, in order, from its offset on.
func TestEveryTokenOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := batch.New(batch.Settings{MaxBatch: rapid.IntRange(1, 4).Draw(r, "MaxBatch")})
		now := clock.Millis(0)
		next := map[string]int{}
		length := map[string]int{}
		step := func() bool {
			it := b.Step(now)
			now = it.Ends
			for _, out := range it.Tokens {
				if out.Index != next[out.ID] {
					r.Fatalf("job %s: token %d came where %d was due", out.ID, out.Index, next[out.ID])
				}
				next[out.ID]++
				if out.Last {
					if next[out.ID] != length[out.ID] {
						r.Fatalf("job %s ended after %d of %d tokens", out.ID, next[out.ID], length[out.ID])
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
				next[j.ID], length[j.ID] = j.Offset, j.OutputTokens
				b.Submit(now, j)
			},
			"cancel": func(r *rapid.T) {
				id := rapid.StringMatching("[a-f]").Draw(r, "ID")
				_, there := length[id]
				if b.Cancel(now, id) != there {
					r.Fatalf("cancelling %s did not find what there was", id)
				}
				delete(length, id)
			},
			"step": func(*rapid.T) { step() },
		})
		for step() {
		}
		if len(length) > 0 {
			r.Fatalf("jobs without an end: %v", length)
		}
	})
}
