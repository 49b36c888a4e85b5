package hosts

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/link"
)

// entryHost is a host that runs only the link and membership.
type entryHost struct {
	*Node
	views  chan View
	crash  func()
	counts *count.Set
}

// startHost starts a host on a real TCP socket.
func startHost(c testing.TB, name, domain string, store table.Store, digests ...Digest) *entryHost {
	system, counters := clock.System(), count.NewSet()
	l := &link.Node{
		Name: name, Listen: "127.0.0.1:0", Secret: []byte("a secret of the tests, long enough"),
		Clock: system, Log: logs.Discard(), Counters: counters,
	}
	if err := l.Bind(); err != nil {
		c.Fatal(err)
	}
	n := &Node{
		Self: Host{Name: name, FailureDomain: domain, Region: "prairie", Address: l.Addr()},
		Link: l, Table: store, Clock: system, Log: logs.Discard(), Counters: counters, digests: digests,
	}
	// The platform's list is read from the store's Seed records.
	n.List = disco.List{Read: func(ctx context.Context) ([]disco.Entry, error) {
		page, err := store.List(ctx, "Seed", "", 100)
		var entries []disco.Entry
		for _, r := range page.Records {
			entries = append(entries, disco.Entry{
				Name: r.Name, Kind: disco.KindHost, FailureDomain: string(r.Body),
				Address: r.Token, State: disco.StateLive,
			})
		}
		return entries, err
	}}
	h := &entryHost{Node: n, views: make(chan View, 1), counts: counters}
	n.OnChange(func(v View) {
		select {
		case <-h.views:
		default:
		}
		h.views <- v
	})
	ctx, cancel := context.WithCancel(context.Background())
	l.Incarnation = n.Register(ctx)
	l.Address, l.Admit, l.OnConnected = n.Address, n.Admit, n.Connected
	if err := n.Prepare(); err != nil {
		c.Fatal(err)
	}
	if err := l.Start(ctx); err != nil {
		c.Fatal(err)
	}
	done := make(chan error, 2)
	go func() { done <- l.Run(ctx) }()
	go func() { done <- n.Run(ctx) }()
	h.crash = func() {
		cancel()
		for range cap(done) {
			if err := <-done; err != nil {
				c.Error(err)
			}
		}
		h.crash = func() {}
	}
	c.Cleanup(func() { h.crash() })
	return h
}

// await waits for a view for which holds returns true.
func (h *entryHost) await(t testing.TB, what string, holds func(View) bool) {
	limit := time.After(30 * time.Second)
	for v := h.View(); !holds(v); {
		select {
		case v = <-h.views:
		case <-limit:
			t.Fatalf("%s: no view with %s, last %v", h.Self.Name, what, h.View())
		}
	}
}

func hasSize(count int) func(View) bool {
	return func(v View) bool { return len(v.hosts) == count }
}

func TestMembershipOverTCP(t *testing.T) {
	c := qt.New(t)
	store := table.NewMemory()
	received := make(chan string, 10_000)
	digest := Digest{
		Name: "Manifest", Read: func() []byte { return []byte("generation 7") },
		OnReceive: func(from string, body []byte) { received <- from + ": " + string(body) },
	}
	var all []*entryHost
	for i := range 3 {
		all = append(all, startHost(c, fmt.Sprintf("host-%d", i), "prairie-a", store, digest))
	}
	for _, h := range all {
		h.await(c, "three hosts", hasSize(3))
	}
	c.Assert(strings.HasSuffix(<-received, ": generation 7"), qt.IsTrue)

	// Host 2 crashes.
	old := all[2].Self.Incarnation
	all[2].crash()
	all[0].await(c, "two hosts after the crash", hasSize(2))
	listed, err := all[0].Registrations(context.Background(), "prairie-a")
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 3)

	// A host with the same name starts on another port.
	restarted := startHost(c, "host-2", "prairie-a", store, digest)
	c.Assert(restarted.Self.Incarnation > old, qt.IsTrue)
	c.Assert(restarted.Registered(), qt.IsTrue)
	for _, h := range all[:2] {
		h.await(c, "the new incarnation", func(v View) bool {
			held, ok := v.Find("host-2")
			return ok && held.Incarnation == restarted.Self.Incarnation
		})
	}
	restarted.await(c, "everyone", hasSize(3))

	// The host leaves and stops.
	restarted.Leave()
	all[0].await(c, "host-2 leaving", func(v View) bool {
		return len(v.Eligible("prairie-a")) == 2 && len(v.In("prairie-a")) == 3
	})
	c.Assert(restarted.Stop(context.Background()), qt.IsNil)
	all[0].await(c, "two hosts after the stop", hasSize(2))
	listed, err = all[0].Registrations(context.Background(), "prairie-a")
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 2)
}

// BenchmarkTraffic reports the membership traffic that one host sends. Run it with
// -benchtime=1x; it measures for ten seconds.
func BenchmarkTraffic(b *testing.B) {
	for _, count := range []int{7, 20, 35, 70} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for range b.N {
				measureTraffic(b, count)
			}
		})
	}
}

const measureSeconds = 10

func measureTraffic(b *testing.B, number int) {
	store := table.NewMemory()
	digest := Digest{
		Name: "M", Read: func() []byte { return []byte("generation 7") }, OnReceive: func(string, []byte) {},
	}
	var all []*entryHost
	for i := range number {
		all = append(all, startHost(b, fmt.Sprintf("host-%02d", i), "prairie-a", store, digest))
	}
	// Only one domain is measured; the 10 far heartbeats a second of a six-domain
	// system have to be added by calculation from the bytes per message.
	for _, h := range all {
		h.await(b, "everyone", hasSize(number))
	}
	<-clock.System().After(5 * clock.Second)
	before := sentTotals(all)
	<-clock.System().After(measureSeconds * clock.Second)
	after := sentTotals(all)
	hostSeconds := float64(number * measureSeconds)
	b.ReportMetric(float64(after.messages-before.messages)/hostSeconds, "messages/s/host")
	b.ReportMetric(float64(after.bytes-before.bytes)/hostSeconds, "bytes/s/host")
	b.ReportMetric(
		float64(after.bytes-before.bytes)/float64(after.messages-before.messages), "bytes/message",
	)
}

type sentCount struct{ messages, bytes int64 }

func sentTotals(all []*entryHost) sentCount {
	var sum sentCount
	for _, h := range all {
		for _, kind := range []string{kindHeartbeat, kindView, "Ping", "Pong"} {
			labels := []count.Label{{Key: "direction", Value: "Out"}, {Key: "kind", Value: kind}}
			sum.messages += h.counts.Count("siskinsaddle_link_messages_total", labels...)
			sum.bytes += h.counts.Count("siskinsaddle_link_bytes_total", labels...)
		}
	}
	return sum
}
