package sched_test

import (
	"fmt"
	"testing"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
)

// loaded returns a group of 8 servers with 32 slots each, all in use, and the given
// number of waiting requests, spread over the given number of workspaces.
func loaded(waiting, workspaces int) (*sched.Group, []string) {
	s := sched.Settings{LongTokens: 1_000, LongShare: 0.25, Headroom: sched.Headroom{Slots: 1, Tier: 1}}
	for tier := 1; tier <= 5; tier++ {
		s.Classes = append(s.Classes, sched.Class{Name: fmt.Sprint("c", tier), Tier: tier, FloorPeriod: 2_000, MaxWaiting: waiting})
	}
	g := sched.New(s)
	var servers []sched.Server
	for i := range 8 {
		models := []string{fmt.Sprint("m", i%4), fmt.Sprint("m", (i+1)%4)}
		servers = append(servers, sched.Server{Name: fmt.Sprint("s", i), State: sched.ServerUp, Slots: 32, Models: models})
	}
	g.SetServers(0, servers)
	for i := range waiting + 256 {
		g.Offer(0, benchRequest(i, workspaces, 0))
	}
	var open []string
	for _, d := range g.Take() {
		open = append(open, d.ID)
	}
	return g, open
}

func benchRequest(i, workspaces int, now clock.Millis) sched.Request {
	return sched.Request{
		ID: fmt.Sprint("r", i), Class: fmt.Sprint("c", 1+i%5), Workspace: fmt.Sprint("w", i%workspaces),
		Model: fmt.Sprint("m", i%4), Arrived: now, Deadline: now + clock.Hour + clock.Millis(i%700), GiveUp: now + 2*clock.Hour,
		PredictedTokens: 100 + 50*(i%25),
	}
}

// BenchmarkDecision measures the life cycle of one request in a fully loaded group:
// offer, grant, one progress report and release.
func BenchmarkDecision(b *testing.B) {
	sizes := []struct{ waiting, workspaces int }{{100, 10}, {1_000, 100}, {5_000, 1_000}, {20_000, 17_000}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", size.waiting, size.workspaces), func(b *testing.B) {
			g, open := loaded(size.waiting, size.workspaces)
			next := size.waiting + 256
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := clock.Millis(i / 10)
				r := benchRequest(next, size.workspaces, now)
				next++
				g.Offer(now, r)
				id := open[0]
				open = open[1:]
				g.Progress(now, sched.Progress{ID: id, Tokens: 50, BetweenTokens: 20})
				g.Release(now, sched.Done{Progress: sched.Progress{ID: id, Tokens: 100}})
				for _, d := range g.Take() {
					if d.Kind == sched.DecisionGrant {
						open = append(open, d.ID)
					}
				}
			}
		})
	}
}

// BenchmarkAudit measures the overhead of the auditor per request.
func BenchmarkAudit(b *testing.B) {
	s := testSettings()
	a := audit.New(s)
	a.SetServers(0, []sched.Server{{Name: "s0", State: sched.ServerUp, Slots: 32}})
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Millis(i)
		r := sched.Request{ID: "r", Class: "urgent", Model: "m1", GiveUp: now + 100}
		a.Offer(now, r)
		a.CheckDecisions(now, []sched.Decision{{ID: "r", Kind: sched.DecisionGrant, Server: "s0"}})
		a.Release(now, sched.Done{Progress: sched.Progress{ID: "r"}})
	}
}
