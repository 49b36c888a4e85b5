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

// BenchmarkSpread pushes manifests to hosts that run on the system clock in one
// process, with direct calls. It reports the time to the answer and to the last
// host, and the CPU time, calls and reads of an idle host.
func BenchmarkSpread(b *testing.B) {
	for _, perDomain := range []int{2, 10, 35, 70} {
		b.Run(fmt.Sprintf("hosts=%d", 2*perDomain), func(b *testing.B) { benchmarkSpread(b, perDomain) })
	}
}

func benchmarkSpread(b *testing.B, perDomain int) {
	s := newSimulation(map[string]int{"a": perDomain, "b": perDomain})
	pool, err := ants.NewPool(4 * perDomain)
	qt.Assert(b, err, qt.IsNil)
	defer pool.Release()
	var calls, reads atomic.Int64
	var outage atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	system := clock.System()
	for _, name := range s.names() {
		h := s.hosts[name]
		h.watcher.Holder = NewHolder(name, h.domain, system)
		p := &h.watcher.Platform
		p.Clock = system
		p.Table.Put = s.table.Put
		p.Table.Get = func(ctx context.Context, kind, name string) (table.Record, error) {
			if outage.Load() {
				return table.Record{}, table.ErrUnavailable
			}
			reads.Add(1)
			return s.table.Get(ctx, kind, name)
		}
		h.watcher.Peers.ForEachConcurrently = Concurrent(pool)
		h.watcher.Peers.Call = func(_ context.Context, to, kind string, request, reply any) error {
			calls.Add(1)
			return s.call(h, to, kind, request, reply)
		}
		running.Go(func() { h.watcher.Run(ctx) })
		running.Go(func() { h.collector.Run(ctx) })
	}
	time.Sleep(2 * time.Second)
	idleCalls, idleReads, idleCPU, idleFrom := calls.Load(), reads.Load(), cpuTime(), system.Now()
	time.Sleep(3 * time.Second)
	perHost := 1 / (float64(len(s.hosts)) * float64(system.Now()-idleFrom) / 1_000)
	idle := map[string]float64{
		"calls/host/s":    float64(calls.Load()-idleCalls) * perHost,
		"reads/host/s":    float64(reads.Load()-idleReads) * perHost,
		"cpu-ms/host/s":   (cpuTime() - idleCPU) * perHost,
		"goroutines/host": float64(runtime.NumGoroutine()) / float64(len(s.hosts)),
	}

	var toAnswer, toAllHosts clock.Millis
	pushes := 0
	for b.Loop() {
		began := system.Now()
		p := &Pusher{Platform: s.hosts["a-0"].watcher.Platform, Log: logs.Discard(), By: "bench"}
		p.Registrations = registrations(p.Platform)
		answer := p.Push(ctx, manifest(int64(pushes), pushes+1))
		qt.Assert(b, answer.Outcome, qt.Equals, Accepted, qt.Commentf("%v", answer))
		toAnswer += system.Now() - began
		for _, name := range s.names() {
			for s.hosts[name].watcher.Holder.View().Generation < answer.Generation {
				time.Sleep(time.Millisecond)
			}
		}
		toAllHosts += system.Now() - began
		pushes++
	}
	b.ReportMetric(float64(toAnswer)/float64(pushes), "ms/answer")
	b.ReportMetric(float64(toAllHosts)/float64(pushes), "ms/everywhere")
	outage.Store(true)
	time.Sleep(3 * time.Second)
	outageCalls := calls.Load()
	time.Sleep(4 * time.Second)
	idle["outage-calls/host/s"] = float64(calls.Load()-outageCalls) / float64(4*len(s.hosts))
	for _, name := range s.names() {
		qt.Check(b, s.hosts[name].watcher.Holder.View().Mode, qt.Equals, ModeReady)
	}
	for unit, value := range idle {
		b.ReportMetric(value, unit)
	}
	cancel()
	running.Wait()
}

// cpuTime returns the CPU time used by this process in milliseconds.
func cpuTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}
