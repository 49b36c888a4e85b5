package grant_test

import (
	"fmt"
	"testing"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// BenchmarkNextWithManyWaitingUncachedPrompts measures one round of decisions for 60
// servers in the first seconds of a day, when no prompt is cached. 500 requests with
// 300 distinct prefix segments are offered; the benchmark reports how many still wait.
func BenchmarkNextWithManyWaitingUncachedPrompts(b *testing.B) {
	var servers []fleet.Server
	for i := range 60 {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("i-", i), Slots: 64})
	}
	core := grant.New(grant.Defaults())
	core.SetServers(servers)
	now := clock.Millis(1_000)
	for i := range 500 {
		core.Enqueue(now, grant.Request{
			ID: fmt.Sprint(i), Host: "h", Class: "review", Tokens: 17_000, Tier: 2, Target: 100_000, TimeLeft: 400_000,
			Segments: []place.Segment{{Name: fmt.Sprint("p", i%300), Tokens: 13_300}, {Name: fmt.Sprint("own", i), Tokens: 3_700}},
		})
	}
	for range 6 {
		core.Next(now)
	}
	b.ReportMetric(float64(core.Waiting()), "waiting")
	b.ResetTimer()
	for range b.N {
		core.Next(now)
	}
}
