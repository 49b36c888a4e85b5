package keeper

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

const (
	benchDomains = 6
	// benchServers is the number of servers in a failure domain, and benchSlots the
	// slots of each.
	benchServers = 100
	benchSlots   = 60
)

// newLargeCore returns a core in a system of six failure domains.
func newLargeCore(perDomain, serversOf int) *core {
	var servers []sched.Server
	for i := range serversOf {
		servers = append(servers, sched.Server{
			Name: fmt.Sprintf("llm-%02d", i), State: sched.ServerUp, Slots: benchSlots,
		})
	}
	c := newCore(link.Peer{Name: "host-0-00", Incarnation: 1}, "domain-0", GroupSize, dependencies{
		services: func() []string { return []string{"canvas-llm"} },
		servers:  func(string, string) []sched.Server { return servers },
		settings: testSettings,
		random:   func(n int) int { return n / 2 },
	})
	var all []hosts.Host
	for domain := range benchDomains {
		for i := range perDomain {
			all = append(all, hosts.Host{
				Name: fmt.Sprintf("host-%d-%02d", domain, i), FailureDomain: fmt.Sprintf("domain-%d", domain),
				Incarnation: 1, State: hosts.StateAlive,
			})
		}
	}
	c.setView(1_000, hosts.NewView(1, all...))
	return c
}

// answerAsKeepers simulates all keepers: it grants every request and confirms every
// report.
func (c *core) answerAsKeepers(now clock.Millis) {
	for peer, p, ok := c.takePacket(); ok; peer, p, ok = c.takePacket() {
		var reply packet
		for _, m := range p.GrantRequests {
			reply.Verdicts = append(reply.Verdicts, verdictMessage{
				Group: m.Group, Seq: m.Seq, Verdict: string(verdictGrant), Server: "llm-00",
			})
		}
		for _, m := range p.Reports {
			reply.ReportReplies = append(reply.ReportReplies, reportReplyMessage{
				Group: m.Group, Round: m.Round, Same: true,
			})
		}
		if reply.items() > 0 {
			c.receive(now, link.Peer{Name: peer, Incarnation: 1}, &reply)
		}
	}
	c.results = nil
}

// BenchmarkTick measures the cost of one tick of 25 ms, by the running requests of the
// host and by the hosts of each failure domain.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ hosts, running int }{
		{70, 0}, {70, 30}, {70, 122}, {70, 300}, {70, 680}, {7, 122}, {20, 122}, {35, 122},
	} {
		b.Run(fmt.Sprintf("hosts=%d/running=%d", size.hosts, size.running), func(b *testing.B) {
			c := newLargeCore(size.hosts, benchServers)
			now := clock.Millis(1_000)
			for i := range size.running {
				c.requestGrant(now, sched.Request{
					ID: fmt.Sprint(i), Service: "canvas-llm", Class: "class-1",
					Arrived: now, Deadline: now + clock.Hour, GiveUp: now + clock.Hour,
				})
				c.answerAsKeepers(now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += tickInterval
				c.tick(now)
				c.answerAsKeepers(now)
			}
			qt.Assert(b, c.requests, qt.HasLen, size.running)
		})
	}
}

// BenchmarkReport measures the cost of one host's report at a keeper with requests of 70
// hosts.
func BenchmarkReport(b *testing.B) {
	for _, running := range []int{70, 350, 700, 1_400, 2_800} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			c := newLargeCore(1, benchServers)
			now := clock.Millis(1_000)
			for i := 0; len(c.kept) == 0; i++ {
				now += serverRefreshInterval
				c.tick(now)
			}
			now += c.timeouts.Rebuild
			c.tick(now)
			c.answerAsKeepers(now)
			gid := sortedKeys(c.kept)[0]
			for i := range running {
				requester := link.Peer{Name: fmt.Sprintf("host-0-%02d", i%70), Incarnation: 1}
				c.receive(now, requester, &packet{GrantRequests: []grantRequestMessage{{
					Group: gid, Seq: uint64(i), Class: "class-1", UntilDeadline: clock.Hour, UntilGiveUp: clock.Hour,
				}}})
			}
			for _, _, ok := c.takePacket(); ok; _, _, ok = c.takePacket() {
			}
			requester := link.Peer{Name: "host-0-01", Incarnation: 1}
			hash := c.kept[gid].runningHash(requester)
			b.ResetTimer()
			for i := range b.N {
				progress := progressMessage{Seq: 1, Tokens: i, BetweenTokens: 20}
				body, err := link.Encode(&packet{Reports: []reportMessage{{
					Group: gid, Round: uint64(i), Hash: hash, Progress: []progressMessage{progress},
				}}})
				qt.Assert(b, err, qt.IsNil)
				var p packet
				qt.Assert(b, link.Decode(body, &p), qt.IsNil)
				c.receive(now, requester, &p)
				for _, _, ok := c.takePacket(); ok; _, _, ok = c.takePacket() {
				}
			}
			qt.Assert(b, c.kept[gid].hashMismatches, qt.HasLen, 0)
		})
	}
}

// BenchmarkGrantRequest measures the cost of one request at the requesting host, by the
// backend servers of the failure domain: choice of a group, grant request, grant and end.
func BenchmarkGrantRequest(b *testing.B) {
	for _, servers := range []int{4, 10, 30, 100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newLargeCore(70, servers)
			now := clock.Millis(1_000)
			b.ReportAllocs()
			for i := range b.N {
				id := fmt.Sprint(i)
				c.requestGrant(now, sched.Request{
					ID: id, Service: "canvas-llm", Class: "class-1", Arrived: now,
					Deadline: now + clock.Hour, GiveUp: now + clock.Hour,
				})
				c.answerAsKeepers(now)
				c.done(now, sched.Done{Progress: sched.Progress{ID: id, Tokens: 10}})
				c.answerAsKeepers(now)
			}
			qt.Assert(b, c.requests, qt.HasLen, 0)
		})
	}
}
