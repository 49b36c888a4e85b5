package lease_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/flaky"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/lease"
)

var ctx = context.Background()

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	duration = 600
	margin   = 100
)

// fixture is three hosts that compete for one lease, each with its own clock, and
// a reference model: the first holder of each fencing number.
type fixture struct {
	table       *flaky.Table
	hosts       []*lease.Lease
	clocks      []*clock.Manual
	firstHolder map[uint64]int
	faulty      bool
}

func newFixture(draw func() flaky.Fault) *fixture {
	f := &fixture{firstHolder: map[uint64]int{}}
	f.table = &flaky.Table{Store: table.NewMemory(), NextFault: func() flaky.Fault {
		if !f.faulty {
			return flaky.None
		}
		return draw()
	}}
	for i := range 3 {
		m := clock.NewManual(clock.Millis(i * 100_000))
		f.clocks = append(f.clocks, m)
		f.hosts = append(f.hosts, &lease.Lease{
			Table: f.table.Wrap(), Clock: m.Clock(), Name: "canvas-llm/prairie-a",
			Host: fmt.Sprint("host-", i), Duration: duration, Margin: margin,
		})
	}
	return f
}

func (f *fixture) advance(by clock.Millis) {
	for _, m := range f.clocks {
		m.Advance(by)
	}
}

// holders checks that each fencing number belongs to one host and never
// decreases, and returns the hosts that hold the lease.
func (f *fixture) holders(t interface{ Fatalf(string, ...any) }) []int {
	var found []int
	for i, l := range f.hosts {
		fence, ok := l.Holds()
		if !ok {
			continue
		}
		found = append(found, i)
		if owner, known := f.firstHolder[fence]; known && owner != i {
			t.Fatalf("hosts %d and %d have both held the lease under fencing number %d", owner, i, fence)
		}
		f.firstHolder[fence] = i
		for other := range f.firstHolder {
			if other > fence {
				t.Fatalf("fencing number %d is held after %d", fence, other)
			}
		}
	}
	if len(found) > 1 {
		t.Fatalf("hosts %v hold the lease at once", found)
	}
	return found
}

// At most one host holds the lease under table faults, and one host acquires it
// after the faults. A host that does not step stands for one that is paused, cut
// off or dead; time advances for all hosts.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SampledFrom(append([]flaky.Fault{flaky.None, flaky.None, flaky.None, flaky.None}, flaky.AllFaults...))
		f := newFixture(func() flaky.Fault { return faults.Draw(t, "fault") })
		f.faulty = true
		t.Repeat(map[string]func(*rapid.T){
			"Step": func(t *rapid.T) {
				f.hosts[rapid.IntRange(0, 2).Draw(t, "host")].Step(ctx)
			},
			"Pass": func(t *rapid.T) {
				f.advance(clock.Millis(rapid.SampledFrom([]int{50, 200, 450, 700}).Draw(t, "time")))
			},
			"Release": func(t *rapid.T) {
				f.hosts[rapid.IntRange(0, 2).Draw(t, "host")].Release(ctx)
			},
			"Deliver": func(*rapid.T) { f.table.ApplyDelayed() },
			"":        func(t *rapid.T) { f.holders(t) },
		})
		f.faulty = false
		f.table.ApplyDelayed()
		for range 12 {
			for _, l := range f.hosts {
				l.Step(ctx)
				f.holders(t)
			}
			f.advance(duration / 3)
		}
		f.hosts[0].Step(ctx)
		f.hosts[1].Step(ctx)
		f.hosts[2].Step(ctx)
		if len(f.holders(t)) != 1 {
			t.Fatalf("no host holds the lease after the faults")
		}
	})
}

// A holder's lease expires before another host can take over, also when the holder
// is cut off from the table. A release allows an immediate takeover.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func() flaky.Fault { return flaky.Delayed })
	a, b := f.hosts[0], f.hosts[1]
	a.Step(ctx)
	fence, ok := a.Holds()
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, uint64(1))
	b.Step(ctx)
	f.advance(duration - margin - 1)
	_, ok = a.Holds()
	c.Assert(ok, qt.IsTrue)
	f.advance(1)
	_, ok = a.Holds()
	c.Assert(ok, qt.IsFalse)
	b.Step(ctx)
	_, ok = b.Holds()
	c.Assert(ok, qt.IsFalse)
	f.advance(2 * margin)
	b.Step(ctx)
	fence, ok = b.Holds()
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, uint64(2))

	b.Release(ctx)
	_, ok = b.Holds()
	c.Assert(ok, qt.IsFalse)
	a.Step(ctx)
	fence, ok = a.Holds()
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, uint64(3))

	// A host whose release is delayed no longer holds the lease.
	f.faulty = true
	a.Release(ctx)
	f.faulty = false
	a.Step(ctx)
	_, ok = a.Holds()
	c.Assert(ok, qt.IsFalse)
}

// BenchmarkStep measures the table operations of a holder's renewal and of a
// watcher's read.
func BenchmarkStep(b *testing.B) {
	for i, name := range []string{"Holder", "Watcher"} {
		b.Run(name, func(b *testing.B) {
			f := newFixture(nil)
			f.hosts[0].Step(ctx)
			before := f.table.Counts()
			for range b.N {
				f.hosts[i].Step(ctx)
			}
			after := f.table.Counts()
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/step")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/step")
			b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(b.N), "tableB/step")
		})
	}
}
