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

// group is three hosts at one lease, each with a clock of its own, and the
// naive version: who first held each number.
type group struct {
	table  *flaky.Table
	hosts  []*lease.Lease
	clocks []*clock.Manual
	first  map[uint64]int
	faulty bool
}

func newGroup(draw func() flaky.Fault) *group {
	g := &group{first: map[uint64]int{}}
	g.table = &flaky.Table{Store: table.NewMemory(), Next: func() flaky.Fault {
		if !g.faulty {
			return flaky.None
		}
		return draw()
	}}
	for i := range 3 {
		m := clock.NewManual(clock.Millis(i * 100_000))
		g.clocks = append(g.clocks, m)
		g.hosts = append(g.hosts, &lease.Lease{
			Table: g.table.Wrap(), Clock: m.Clock(), Name: "canvas-llm/prairie-a",
			Host: fmt.Sprint("host-", i), Duration: duration, Margin: margin,
		})
	}
	return g
}

func (g *group) advance(by clock.Millis) {
	for _, m := range g.clocks {
		m.Advance(by)
	}
}

// holders checks that each number belongs to one host, and returns who holds.
func (g *group) holders(t interface{ Fatalf(string, ...any) }) []int {
	var found []int
	for i, l := range g.hosts {
		fence, ok := l.Holds()
		if !ok {
			continue
		}
		found = append(found, i)
		if owner, known := g.first[fence]; known && owner != i {
			t.Fatalf("hosts %d and %d have both held number %d", owner, i, fence)
		}
		g.first[fence] = i
		for other := range g.first {
			if other > fence {
				t.Fatalf("number %d holds after %d", fence, other)
			}
		}
	}
	if len(found) > 1 {
		t.Fatalf("hosts %v hold at once", found)
	}
	return found
}

// A host that does not step is paused, cut off or dead. Time passes for all.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SampledFrom(append([]flaky.Fault{flaky.None, flaky.None, flaky.None, flaky.None}, flaky.All...))
		g := newGroup(func() flaky.Fault { return faults.Draw(t, "fault") })
		g.faulty = true
		t.Repeat(map[string]func(*rapid.T){
			"Step": func(t *rapid.T) {
				g.hosts[rapid.IntRange(0, 2).Draw(t, "host")].Step(ctx)
			},
			"Pass": func(t *rapid.T) {
				g.advance(clock.Millis(rapid.SampledFrom([]int{50, 200, 450, 700}).Draw(t, "time")))
			},
			"Release": func(t *rapid.T) {
				g.hosts[rapid.IntRange(0, 2).Draw(t, "host")].Release(ctx)
			},
			"Deliver": func(*rapid.T) { g.table.Deliver() },
			"":        func(t *rapid.T) { g.holders(t) },
		})
		g.faulty = false
		g.table.Deliver()
		for range 12 {
			for _, l := range g.hosts {
				l.Step(ctx)
				g.holders(t)
			}
			g.advance(duration / 3)
		}
		g.hosts[0].Step(ctx)
		g.hosts[1].Step(ctx)
		g.hosts[2].Step(ctx)
		if len(g.holders(t)) != 1 {
			t.Fatalf("nobody holds the lease after the faults")
		}
	})
}

// The holder's right ends before anybody else's can begin, also when it is cut
// off from the table, and a release hands over at once.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	g := newGroup(func() flaky.Fault { return flaky.Delayed })
	a, b := g.hosts[0], g.hosts[1]
	a.Step(ctx)
	fence, ok := a.Holds()
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, uint64(1))
	b.Step(ctx)
	g.advance(duration - margin - 1)
	_, ok = a.Holds()
	c.Assert(ok, qt.IsTrue)
	g.advance(1)
	_, ok = a.Holds()
	c.Assert(ok, qt.IsFalse)
	b.Step(ctx)
	_, ok = b.Holds()
	c.Assert(ok, qt.IsFalse)
	g.advance(2 * margin)
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

	// A release on its way must not leave its host a right.
	g.faulty = true
	a.Release(ctx)
	g.faulty = false
	a.Step(ctx)
	_, ok = a.Holds()
	c.Assert(ok, qt.IsFalse)
}

// BenchmarkStep measures what a holder's renewal and a watcher's look cost.
func BenchmarkStep(b *testing.B) {
	for i, name := range []string{"Holder", "Watcher"} {
		b.Run(name, func(b *testing.B) {
			g := newGroup(nil)
			g.hosts[0].Step(ctx)
			before := g.table.Counts()
			for range b.N {
				g.hosts[i].Step(ctx)
			}
			after := g.table.Counts()
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/step")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/step")
			b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(b.N), "tableB/step")
		})
	}
}
