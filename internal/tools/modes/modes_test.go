package modes

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/keeper"
)

// TestGroupKeepersNeverExceedServerSlots runs a short script: every request is
// counted, no tier has all its requests refused, and no server gets more grants
// than it has slots.
func TestGroupKeepersNeverExceedServerSlots(t *testing.T) {
	c := qt.New(t)
	// Long timeouts, so that a slow machine does not make a keeper look crashed.
	patient := keeper.Timeouts{GrantRequest: clock.Minute, Report: clock.Minute, Rebuild: clock.Minute}
	o := Options{Mode: ModeGroup, Hosts: 4, Servers: 4, Slots: 4, Seed: 1, Seconds: 1, Timeouts: patient}
	r, err := Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Requests, qt.Equals, len(arrivals(o)))
	c.Assert(r.OverGrants, qt.Equals, 0)
	for tier := range tierCount {
		c.Assert(r.Refused[tier] < r.Arrived[tier], qt.IsTrue)
	}
}

// BenchmarkModes prints a report for each mode. Run it with -benchtime=1x.
func BenchmarkModes(b *testing.B) {
	for _, o := range []Options{
		{Mode: ModeAlone},
		{Mode: ModeServer},
		{Mode: ModeGroup},
		{Mode: ModeWhole},
		{Mode: ModeGroup, FlushDelay: 1},
		{Mode: ModeGroup, FlushDelay: 2},
		{Mode: ModeGroup, CrashKeeper: true},
		{Mode: ModeWhole, CrashKeeper: true},
	} {
		o.Hosts, o.Servers, o.Slots, o.Seed, o.Seconds = 7, 10, 8, 1, 6
		b.Run(fmt.Sprintf("%s/bundle=%d/lose=%t", o.Mode, o.FlushDelay, o.CrashKeeper), func(b *testing.B) {
			for range b.N {
				r, err := Run(context.Background(), o)
				if err != nil {
					b.Fatal(err)
				}
				fmt.Println(r)
			}
		})
	}
}
