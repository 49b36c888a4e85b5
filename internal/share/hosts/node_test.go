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

// entryHost is a whole host as far as membership goes.
type entryHost struct {
	*Node
	views  chan View
	crash  func()
	counts *count.Set
}

// startHost starts a host on a real socket.
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
	// The platform's list names every domain's first host here.
	n.List = disco.List{Read: func(ctx context.Context) ([]disco.Entry, error) {
		page, err := store.List(ctx, "Seed", "", 100)
		var entries []disco.Entry
		for _, r := range page.Records {
			entries = append(entries, disco.Entry{Name: r.Name, Kind: disco.KindHost, FailureDomain: string(r.Body), Address: r.Token, State: disco.StateLive})
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
	l.Address, l.Admit, l.Connected = n.Address, n.Admit, n.Connected
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

// await waits for a view that holds what is wanted.
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

func size(count int) func(View) bool {
	return func(v View) bool { return len(v.hosts) == count }
}

func TestHostsOnSockets(t *testing.T) {
	c := qt.New(t)
	store := table.NewMemory()
	got := make(chan string, 10_000)
	digest := Digest{
		Name: "Manifest", Read: func() []byte { return []byte("generation 7") },
		Seen: func(from string, body []byte) { got <- from + ": " + string(body) },
	}
	var all []*entryHost
	for i := range 3 {
		all = append(all, startHost(c, fmt.Sprintf("host-%d", i), "prairie-a", store, digest))
	}
	for _, h := range all {
		h.await(c, "three hosts", size(3))
	}
	c.Assert(strings.HasSuffix(<-got, ": generation 7"), qt.IsTrue)

	// A crash.
	old := all[2].Self.Incarnation
	all[2].crash()
	all[0].await(c, "the crash", size(2))
	listed, err := all[0].Registrations(context.Background(), "prairie-a")
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 3)

	// The same name starts again, on another port.
	again := startHost(c, "host-2", "prairie-a", store, digest)
	c.Assert(again.Self.Incarnation > old, qt.IsTrue)
	c.Assert(again.Registered(), qt.IsTrue)
	for _, h := range all[:2] {
		h.await(c, "the new start", func(v View) bool {
			held, ok := v.Find("host-2")
			return ok && held.Incarnation == again.Self.Incarnation
		})
	}
	again.await(c, "everyone", size(3))

	// A planned stop.
	again.Leave()
	all[0].await(c, "the leaving", func(v View) bool { return len(v.Duty("prairie-a")) == 2 && len(v.In("prairie-a")) == 3 })
	c.Assert(again.Stop(context.Background()), qt.IsNil)
	all[0].await(c, "the stop", size(2))
	listed, err = all[0].Registrations(context.Background(), "prairie-a")
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 2)
}

// BenchmarkTraffic reports what one host sends for membership. Run it with
// -benchtime=1x; it watches for ten seconds.
func BenchmarkTraffic(b *testing.B) {
	for _, count := range []int{7, 20, 35, 70} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for range b.N {
				traffic(b, count)
			}
		})
	}
}

const watchSeconds = 10

func traffic(b *testing.B, number int) {
	store := table.NewMemory()
	digest := Digest{
		Name: "M", Read: func() []byte { return []byte("generation 7") }, Seen: func(string, []byte) {},
	}
	var all []*entryHost
	for i := range number {
		all = append(all, startHost(b, fmt.Sprintf("host-%02d", i), "prairie-a", store, digest))
	}
	// One domain is measured; the 10 far beats a second of six domains are
	// added from the size of a beat.
	for _, h := range all {
		h.await(b, "everyone", size(number))
	}
	<-clock.System().After(5 * clock.Second)
	before := sent(all)
	<-clock.System().After(watchSeconds * clock.Second)
	after := sent(all)
	per := float64(number * watchSeconds)
	b.ReportMetric(float64(after.messages-before.messages)/per, "messages/s/host")
	b.ReportMetric(float64(after.bytes-before.bytes)/per, "bytes/s/host")
	b.ReportMetric(float64(after.bytes-before.bytes)/float64(after.messages-before.messages), "bytes/message")
}

type sentCount struct{ messages, bytes int64 }

func sent(all []*entryHost) sentCount {
	var sum sentCount
	for _, h := range all {
		for _, kind := range []string{kindBeat, kindView, "Ping", "Pong"} {
			labels := []count.Label{{Key: "direction", Value: "Out"}, {Key: "kind", Value: kind}}
			sum.messages += h.counts.Count("siskinsaddle_link_messages_total", labels...)
			sum.bytes += h.counts.Count("siskinsaddle_link_bytes_total", labels...)
		}
	}
	return sum
}
