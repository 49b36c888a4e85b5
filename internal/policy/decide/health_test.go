package decide_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/decide"
	"siskinsaddle/internal/policy/sched"
)

// An unreachable server gets no requests during its backoff, then one request at a
// time, and all of its slots once a request succeeds.
func TestUnreachableServerGetsTrialAfterBackoff(t *testing.T) {
	c := qt.New(t)
	d := decide.New(sched.Settings{Classes: []sched.Class{{Name: "urgent", Tier: 1, FloorPeriod: 1_000}}})
	d.SetServers(0, []sched.Server{{Name: "s1", State: sched.ServerUp, Slots: 4}})
	next := 0
	offer := func(now clock.Millis) (granted []string) {
		for range 3 {
			next++
			d.Offer(now, sched.Request{ID: fmt.Sprint(next), Class: "urgent", Deadline: now + 5_000, GiveUp: now + 60_000})
		}
		d.Tick(now)
		for _, v := range d.Take(now) {
			granted = append(granted, v.ID)
		}
		return granted
	}
	end := func(now clock.Millis, id string, o sched.Outcome) {
		d.Release(now, sched.Done{Progress: sched.Progress{ID: id, FirstToken: -1}, Outcome: o})
	}
	first := offer(0)
	c.Assert(first, qt.HasLen, 3)
	for _, id := range first {
		end(10, id, sched.OutcomeUnreachable)
	}
	c.Assert(offer(20), qt.HasLen, 0)
	trial := offer(510)
	c.Assert(trial, qt.HasLen, 1)
	end(600, trial[0], sched.OutcomeDone)
	c.Assert(offer(610), qt.HasLen, 4)
}
