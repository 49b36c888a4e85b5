package accept

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/table"
)

// BenchmarkSpread pushes manifests to hosts that run on the system's clock, in
// one process, with direct calls. It reports the time to the answer and to the
// last host, and what one idle host costs.
func BenchmarkSpread(b *testing.B) {
	for _, perDomain := range []int{2, 10, 35, 70} {
		b.Run(fmt.Sprintf("hosts=%d", 2*perDomain), func(b *testing.B) { spread(b, perDomain) })
	}
}

func spread(b *testing.B, perDomain int) {
	w := newWorld(map[string]int{"a": perDomain, "b": perDomain})
	pool, err := ants.NewPool(4 * perDomain)
	qt.Assert(b, err, qt.IsNil)
	defer pool.Release()
	var calls, reads atomic.Int64
	var outage atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	system := clock.System()
	for _, name := range w.names() {
		h := w.hosts[name]
		h.watch.Holder = NewHolder(name, h.domain, system)
		p := &h.watch.Platform
		p.Clock = system
		p.Table.Put = w.table.Put
		p.Table.Get = func(ctx context.Context, kind, name string) (table.Record, error) {
			if outage.Load() {
				return table.Record{}, table.ErrUnavailable
			}
			reads.Add(1)
			return w.table.Get(ctx, kind, name)
		}
		h.watch.Peers.Each = Concurrent(pool)
		h.watch.Peers.Call = func(_ context.Context, to, kind string, request, reply any) error {
			calls.Add(1)
			return w.call(h, to, kind, request, reply)
		}
		running.Go(func() { h.watch.Run(ctx) })
		running.Go(func() { h.collector.Run(ctx) })
	}
	time.Sleep(2 * time.Second)
	idleCalls, idleReads, idleCPU, idleFrom := calls.Load(), reads.Load(), processorTime(), system.Now()
	time.Sleep(3 * time.Second)
	perHost := 1 / (float64(len(w.hosts)) * float64(system.Now()-idleFrom) / 1_000)
	idle := map[string]float64{
		"calls/host/s":    float64(calls.Load()-idleCalls) * perHost,
		"reads/host/s":    float64(reads.Load()-idleReads) * perHost,
		"cpu-ms/host/s":   (processorTime() - idleCPU) * perHost,
		"goroutines/host": float64(runtime.NumGoroutine()) / float64(len(w.hosts)),
	}

	var answered, everywhere clock.Millis
	pushes := 0
	for b.Loop() {
		began := system.Now()
		p := &Pusher{Platform: w.hosts["a-0"].watch.Platform, Log: logs.Discard(), By: "bench"}
		p.Registrations = registrations(p.Platform)
		answer := p.Push(ctx, manifest(int64(pushes), pushes+1))
		qt.Assert(b, answer.Outcome, qt.Equals, Accepted, qt.Commentf("%v", answer))
		answered += system.Now() - began
		for _, name := range w.names() {
			for w.hosts[name].watch.Holder.View().Generation < answer.Generation {
				time.Sleep(time.Millisecond)
			}
		}
		everywhere += system.Now() - began
		pushes++
	}
	b.ReportMetric(float64(answered)/float64(pushes), "ms/answer")
	b.ReportMetric(float64(everywhere)/float64(pushes), "ms/everywhere")
	outage.Store(true)
	time.Sleep(3 * time.Second)
	outageCalls := calls.Load()
	time.Sleep(4 * time.Second)
	idle["outage-calls/host/s"] = float64(calls.Load()-outageCalls) / float64(4*len(w.hosts))
	for _, name := range w.names() {
		qt.Check(b, w.hosts[name].watch.Holder.View().Mode, qt.Equals, ModeReady)
	}
	for unit, value := range idle {
		b.ReportMetric(value, unit)
	}
	cancel()
	running.Wait()
}

// processorTime is what this process has used, in milliseconds.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}
