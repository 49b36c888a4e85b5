package retry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/retry"
)

func TestWindowAllowsRatioOfRequestsAndShareOfSlack(t *testing.T) {
	c := qt.New(t)
	w := retry.NewWindow(0.2, 20, 10_000)
	for range 50 {
		w.Requested(0, "app")
	}
	allowed := 0
	for w.Take(0, "app", 4) {
		allowed++
	}
	c.Assert(allowed, qt.Equals, 15)
	c.Assert(w.Take(0, "other", 4), qt.IsTrue)
	c.Assert(w.Take(5_000, "app", 4), qt.IsFalse)
	c.Assert(w.Take(25_000, "app", 4), qt.IsTrue)
}

// Guards against bursts at the edges of steps: in no span of the window's length may
// all hosts together send more repeats than the slack and the ratio of the requests
// in that span and the one before it.
func TestWindowNeverExceedsBudgetInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, slack, ratio, hosts = 10_000, 54.0, 0.2, 3
		var all []*retry.Window
		for range hosts {
			all = append(all, retry.NewWindow(ratio, slack, length))
		}
		var requests, repeats []clock.Millis
		now := clock.Millis(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "pause"))
			w := all[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "repeat") {
				if w.Take(now, "app", hosts) {
					repeats = append(repeats, now)
				}
			} else {
				w.Requested(now, "app")
				requests = append(requests, now)
			}
		}
		for _, begin := range repeats {
			inSpan, requested := 0, 0
			for _, r := range repeats {
				if r >= begin && r < begin+length {
					inSpan++
				}
			}
			for _, r := range requests {
				if r >= begin-length && r < begin+length {
					requested++
				}
			}
			if float64(inSpan) > ratio*float64(requested)+slack {
				t.Fatalf("%d repeats within a window, %d requests", inSpan, requested)
			}
		}
	})
}
