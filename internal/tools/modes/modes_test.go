package modes

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/keeper"
)

// TestGroupDecidesForAll runs a short script: every request is answered, and no
// server is ever given more than its slots.
func TestGroupDecidesForAll(t *testing.T) {
	c := qt.New(t)
	// No keeper is taken for lost because the machine is busy.
	patient := keeper.Timeouts{GrantRequest: clock.Minute, Report: clock.Minute, Rebuild: clock.Minute}
	o := Options{Way: WayGroup, Hosts: 4, Servers: 4, Slots: 4, Seed: 1, Seconds: 1, Waits: patient}
	r, err := Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Requests, qt.Equals, len(arrivals(o)))
	c.Assert(r.Over, qt.Equals, 0)
	for tier := range tierCount {
		c.Assert(r.Refused[tier] < r.Asked[tier], qt.IsTrue)
	}
}

// BenchmarkWays prints a report for each way. Run it with -benchtime=1x.
func BenchmarkWays(b *testing.B) {
	for _, o := range []Options{
		{Way: WayAlone},
		{Way: WayServer},
		{Way: WayGroup},
		{Way: WayWhole},
		{Way: WayGroup, BundleWait: 1},
		{Way: WayGroup, BundleWait: 2},
		{Way: WayGroup, LoseKeeper: true},
		{Way: WayWhole, LoseKeeper: true},
	} {
		o.Hosts, o.Servers, o.Slots, o.Seed, o.Seconds = 7, 10, 8, 1, 6
		b.Run(fmt.Sprintf("%s/bundle=%d/lose=%t", o.Way, o.BundleWait, o.LoseKeeper), func(b *testing.B) {
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
