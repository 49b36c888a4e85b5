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
	slopeDomains = 6
	// slopeServers and slopeSlots are those of a failure domain.
	slopeServers = 100
	slopeSlots   = 60
)

// large is a core in a system of six failure domains.
func large(perDomain, serversOf int) *core {
	var servers []sched.Server
	for i := range serversOf {
		servers = append(servers, sched.Server{Name: fmt.Sprintf("llm-%02d", i), State: sched.ServerUp, Slots: slopeSlots})
	}
	c := newCore(link.Peer{Name: "host-0-00", Incarnation: 1}, "domain-0", GroupSize, seams{
		services: func() []string { return []string{"canvas-llm"} },
		servers:  func(string, string) []sched.Server { return servers },
		settings: testSettings,
		random:   func(n int) int { return n / 2 },
	})
	var all []hosts.Host
	for domain := range slopeDomains {
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

// answer plays all keepers: it grants every ask and confirms every report.
func (c *core) answer(now clock.Millis) {
	for peer, p, ok := c.take(); ok; peer, p, ok = c.take() {
		var reply packet
		for _, m := range p.Asks {
			reply.Verdicts = append(reply.Verdicts, verdictMessage{Group: m.Group, Seq: m.Seq, Verdict: string(verdictGrant), Server: "llm-00"})
		}
		for _, m := range p.Reports {
			reply.Backs = append(reply.Backs, backMessage{Group: m.Group, Round: m.Round, Same: true})
		}
		if reply.items() > 0 {
			c.receive(now, link.Peer{Name: peer, Incarnation: 1}, &reply)
		}
	}
	c.ended = nil
}

// BenchmarkTick measures what the passing of 25 ms costs a host, by its running
// requests and by the hosts of each failure domain.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ hosts, running int }{{70, 0}, {70, 30}, {70, 122}, {70, 300}, {70, 680}, {7, 122}, {20, 122}, {35, 122}} {
		b.Run(fmt.Sprintf("hosts=%d/running=%d", size.hosts, size.running), func(b *testing.B) {
			c := large(size.hosts, slopeServers)
			now := clock.Millis(1_000)
			for i := range size.running {
				c.ask(now, sched.Request{
					ID: fmt.Sprint(i), Service: "canvas-llm", Class: "class-1", Arrived: now, Deadline: now + clock.Hour, GiveUp: now + clock.Hour,
				})
				c.answer(now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += tickEvery
				c.tick(now)
				c.answer(now)
			}
			qt.Assert(b, c.asks, qt.HasLen, size.running)
		})
	}
}

// BenchmarkReport measures what one host's report costs a keeper that holds
// requests of 70 hosts.
func BenchmarkReport(b *testing.B) {
	for _, running := range []int{70, 350, 700, 1_400, 2_800} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			c := large(1, slopeServers)
			now := clock.Millis(1_000)
			for i := 0; len(c.desks) == 0; i++ {
				now += serversWait
				c.tick(now)
			}
			now += c.waits.Rebuild
			c.tick(now)
			c.answer(now)
			number := sortedKeys(c.desks)[0]
			for i := range running {
				asker := link.Peer{Name: fmt.Sprintf("host-0-%02d", i%70), Incarnation: 1}
				c.receive(now, asker, &packet{Asks: []askMessage{{Group: number, Seq: uint64(i), Class: "class-1", Due: clock.Hour, Left: clock.Hour}}})
			}
			for _, _, ok := c.take(); ok; _, _, ok = c.take() {
			}
			asker := link.Peer{Name: "host-0-01", Incarnation: 1}
			hash := c.desks[number].hash(asker)
			b.ResetTimer()
			for i := range b.N {
				progress := progressMessage{Seq: 1, Tokens: i, BetweenTokens: 20}
				body, err := link.Encode(&packet{Reports: []reportMessage{{Group: number, Round: uint64(i), Hash: hash, Progress: []progressMessage{progress}}}})
				qt.Assert(b, err, qt.IsNil)
				var p packet
				qt.Assert(b, link.Decode(body, &p), qt.IsNil)
				c.receive(now, asker, &p)
				for _, _, ok := c.take(); ok; _, _, ok = c.take() {
				}
			}
			qt.Assert(b, c.desks[number].differs, qt.HasLen, 0)
		})
	}
}

// BenchmarkAsk measures what one request costs the host that asks, by the
// backend servers of the failure domain: choice of a group, ask, grant and end.
func BenchmarkAsk(b *testing.B) {
	for _, servers := range []int{4, 10, 30, 100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := large(70, servers)
			now := clock.Millis(1_000)
			b.ReportAllocs()
			for i := range b.N {
				id := fmt.Sprint(i)
				c.ask(now, sched.Request{ID: id, Service: "canvas-llm", Class: "class-1", Arrived: now, Deadline: now + clock.Hour, GiveUp: now + clock.Hour})
				c.answer(now)
				c.done(now, sched.Done{Progress: sched.Progress{ID: id, Tokens: 10}})
				c.answer(now)
			}
			qt.Assert(b, c.asks, qt.HasLen, 0)
		})
	}
}
