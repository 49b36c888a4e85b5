package claim_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/flaky"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/claim"
)

var ctx = context.Background()

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	os.Exit(m.Run())
}

// world is a service, the hosts before it, and what a naive version without
// faults would know: who ran what.
type world struct {
	table   *flaky.Table
	objects object.Store
	time    *clock.Manual
	faulty  bool
	kind    claim.Order
	desks   []*claim.Desk
	gone    map[uint64]bool
	next    uint64
	open    []*open
	runs    map[string]int
	highest map[string]uint64
	// unsure holds the keys of which the owner lost the outcome and lives on.
	unsure map[string]bool
}

// open is a ticket whose holder has not acted yet, and may be paused.
type open struct {
	desk   *claim.Desk
	key    string
	ticket claim.Ticket
}

func newWorld(kind claim.Order, draw func() flaky.Fault) *world {
	w := &world{
		objects: object.NewMemory(), time: clock.NewManual(1_000), kind: kind,
		gone: map[uint64]bool{}, runs: map[string]int{}, highest: map[string]uint64{}, unsure: map[string]bool{},
	}
	w.table = &flaky.Table{Store: table.NewMemory(), Next: func() flaky.Fault {
		if !w.faulty {
			return flaky.None
		}
		return draw()
	}}
	for range 2 {
		w.desks = append(w.desks, w.newDesk())
	}
	return w
}

func (w *world) newDesk() *claim.Desk {
	w.next++
	return &claim.Desk{
		Table: w.table.Wrap(), Objects: w.objects, Clock: w.time.Clock(), Host: "host", Incarnation: w.next,
		Gone:        func(_ string, incarnation uint64) bool { return w.gone[incarnation] },
		LookUp:      w.lookUp,
		InlineBytes: 8,
	}
}

func (w *world) order(key string) claim.Order {
	o := w.kind
	o.Workspace, o.Service, o.Key = "kestrel", "yard-app", key
	o.Hash = claim.HashOf("POST", "/bookings", []byte(key))
	return o
}

func answerTo(key string) claim.Response {
	return claim.Response{Status: 201, Body: []byte("booked " + key + " with a body beyond the record")}
}

func (w *world) lookUp(_ context.Context, o claim.Order, fence uint64) claim.LookUp {
	w.highest[o.Key] = max(w.highest[o.Key], fence)
	if w.runs[o.Key] > 0 {
		return claim.LookUp{Kind: claim.LookUpRan, Response: answerTo(o.Key)}
	}
	return claim.LookUp{Kind: claim.LookUpNotRun}
}

// run is the service's part. It refuses an old number where it checks them.
func (w *world) run(key string, fence uint64) bool {
	if w.kind.ChecksFencing && fence < w.highest[key] {
		return false
	}
	w.highest[key] = fence
	w.runs[key]++
	return true
}

func (w *world) claim(t interface{ Fatalf(string, ...any) }, desk *claim.Desk, key string) claim.Verdict {
	v := desk.Claim(ctx, w.order(key))
	switch {
	case v.Kind == claim.VerdictSend:
		w.open = append(w.open, &open{desk: desk, key: key, ticket: v.Ticket})
	case v.Kind == claim.VerdictReplay:
		if w.runs[key] != 1 || string(v.Response.Body) != string(answerTo(key).Body) || v.Response.Status != 201 {
			t.Fatalf("replayed %q after %d runs", v.Response.Body, w.runs[key])
		}
	case v.Ran == claim.RanYes && w.runs[key] != 1:
		t.Fatalf("Ran is Yes after %d runs", w.runs[key])
	case v.Ran == claim.RanNo && v.Reason == claim.ReasonInProgress:
		t.Fatalf("%s says that nothing ran", v.Reason)
	}
	return v
}

// act lets a ticket's holder send, or not, and report what it saw.
func (w *world) act(o *open, how string) {
	if how == "NotSent" {
		o.desk.NotSent(o.ticket)
		return
	}
	ran := w.run(o.key, o.ticket.Fence)
	switch {
	case how == "Crash":
		w.unsure[o.key] = true
	case !ran:
		o.desk.Finish(o.ticket, claim.Response{Status: 409})
	case how == "Lost":
		o.desk.Unknown(o.ticket)
	default:
		o.desk.Finish(o.ticket, answerTo(o.key))
	}
}

var kinds = map[string]claim.Order{
	"Plain":   {},
	"LookUp":  {HasLookUp: true},
	"Fencing": {HasLookUp: true, ChecksFencing: true},
}

// Hosts that pause, are taken for dead and wake, over a table that loses,
// delays and refuses writes: no request runs twice and nobody is told wrong.
// Once the faults end, each key has the verdict of a version without faults.
func TestAgainstNaive(t *testing.T) {
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkRandom(t, kind) })
		})
	}
}

func checkRandom(t *rapid.T, kind claim.Order) {
	faults := rapid.SampledFrom(append([]flaky.Fault{flaky.None, flaky.None, flaky.None}, flaky.All...))
	w := newWorld(kind, func() flaky.Fault { return faults.Draw(t, "fault") })
	keys := rapid.SampledFrom([]string{"a", "a", "a", "b"})
	w.faulty = true
	t.Repeat(map[string]func(*rapid.T){
		"Claim": func(t *rapid.T) {
			w.claim(t, w.desks[rapid.IntRange(0, 1).Draw(t, "desk")], keys.Draw(t, "key"))
		},
		"Act": func(t *rapid.T) {
			if len(w.open) == 0 {
				t.Skip("nothing is open")
			}
			i := rapid.IntRange(0, len(w.open)-1).Draw(t, "ticket")
			o := w.open[i]
			w.open = append(w.open[:i], w.open[i+1:]...)
			w.act(o, rapid.SampledFrom([]string{"Answered", "Answered", "Lost", "NotSent", "Crash"}).Draw(t, "how"))
		},
		// The process stays as it is and may act later, as a paused one does.
		"TakeForDead": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "desk")
			w.gone[w.desks[i].Incarnation] = true
			w.desks[i] = w.newDesk()
		},
		"Settle":  func(t *rapid.T) { w.desks[rapid.IntRange(0, 1).Draw(t, "desk")].SettleAll(ctx) },
		"Deliver": func(*rapid.T) { w.table.Deliver() },
		"Time":    func(*rapid.T) { w.time.Advance(500) },
		"": func(t *rapid.T) {
			for key, n := range w.runs {
				if n > 1 {
					t.Fatalf("%q ran %d times", key, n)
				}
			}
		},
	})
	w.faulty = false
	w.time.Advance(clock.Second)
	for _, o := range w.open {
		w.act(o, "Answered")
	}
	for _, d := range w.desks {
		if left := d.SettleAll(ctx); left > 0 {
			t.Fatalf("%d claims are left unsettled", left)
		}
	}
	// What arrives after everything is settled must change nothing.
	w.table.Deliver()
	for _, key := range []string{"a", "b"} {
		w.checkEnd(t, key)
	}
}

// checkEnd compares with the naive version, which knows whether a key ran.
func (w *world) checkEnd(t *rapid.T, key string) {
	ran := w.runs[key] > 0
	v := w.claim(t, w.newDesk(), key)
	switch {
	case v.Kind == claim.VerdictSend && ran:
		t.Fatalf("%q ran and may be sent again", key)
	case v.Kind == claim.VerdictReplay && !ran:
		t.Fatalf("%q did not run and is replayed", key)
	case v.Kind != claim.VerdictReplay && ran && w.kind.HasLookUp && len(w.gone) == 0 && !w.unsure[key]:
		t.Fatalf("%q ran, and its outcome was not found: %+v", key, v)
	case v.Kind != claim.VerdictSend && !ran && len(w.gone) == 0:
		t.Fatalf("%q did not run and may not be sent: %+v", key, v)
	}
}

// In the usual case a request costs two writes and no read, its replay one
// write that conflicts and one read.
func TestVerdictsAndCost(t *testing.T) {
	c := qt.New(t)
	w := newWorld(claim.Order{}, nil)
	v := w.claim(c, w.desks[0], "a")
	c.Assert(v.Kind, qt.Equals, claim.VerdictSend)
	c.Assert(w.claim(c, w.desks[1], "a").Ran, qt.Equals, claim.RanUnknown)
	before := w.table.Counts()
	w.act(w.open[0], "Answered")
	c.Assert(w.claim(c, w.desks[0], "a").Kind, qt.Equals, claim.VerdictReplay)
	c.Assert(w.desks[0].SettleAll(ctx), qt.Equals, 0)
	c.Assert(w.table.Counts().Writes-before.Writes, qt.Equals, 1)
	c.Assert(w.table.Counts().Reads, qt.Equals, before.Reads)
	before = w.table.Counts()
	c.Assert(w.claim(c, w.desks[1], "a").Kind, qt.Equals, claim.VerdictReplay)
	c.Assert(w.table.Counts().Writes-before.Writes, qt.Equals, 1)
	c.Assert(w.table.Counts().Reads-before.Reads, qt.Equals, 1)

	other := w.order("a")
	other.Hash = claim.HashOf("POST", "/bookings", []byte("other"))
	v = w.desks[1].Claim(ctx, other)
	c.Assert(v.Reason, qt.Equals, claim.ReasonKeyReused)
	c.Assert(v.Ran, qt.Equals, claim.RanNo)

	v = w.claim(c, w.desks[0], "b")
	w.act(&open{desk: w.desks[0], key: "b", ticket: v.Ticket}, "NotSent")
	c.Assert(w.claim(c, w.desks[1], "b").Kind, qt.Equals, claim.VerdictSend)

	// The records and the object go once they have expired, and not before.
	removed, err := w.desks[0].Sweep(ctx, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(removed, qt.Equals, 0)
	w.time.Advance(25 * clock.Hour)
	for _, want := range []int{1, 1, 0} {
		removed, err = w.desks[0].Sweep(ctx, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(removed, qt.Equals, want)
	}
}

// A store that is down is asked a few times, then spared.
func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(claim.Order{}, func() flaky.Fault { return flaky.Down })
	w.faulty = true
	for i := range 100 {
		v := w.claim(c, w.desks[0], fmt.Sprint(i))
		c.Assert(v.Reason, qt.Equals, claim.ReasonStoreDown)
		c.Assert(v.Ran, qt.Equals, claim.RanNo)
	}
	c.Assert(w.table.Counts().Writes, qt.Equals, 3)
	w.faulty = false
	w.time.Advance(clock.Second)
	c.Assert(w.claim(c, w.desks[0], "a").Kind, qt.Equals, claim.VerdictSend)
}

func TestPendingIsBounded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(claim.Order{}, func() flaky.Fault { return flaky.Down })
	d := w.desks[0]
	d.MaxPending, d.MaxHeldBytes = 2, 50
	for _, key := range []string{"a", "b"} {
		c.Assert(w.claim(c, d, key).Kind, qt.Equals, claim.VerdictSend)
	}
	c.Assert(w.claim(c, d, "c").Reason, qt.Equals, claim.ReasonTooManyClaims)
	w.faulty = true
	w.act(w.open[0], "Answered")
	w.act(w.open[1], "Answered")
	c.Assert(w.claim(c, d, "a").Kind, qt.Equals, claim.VerdictReplay)
	v := w.claim(c, d, "b")
	c.Assert(v.Reason, qt.Equals, claim.ReasonAnswerNotKept)
	c.Assert(v.Ran, qt.Equals, claim.RanYes)
	w.faulty = false
	w.time.Advance(clock.Second)
	c.Assert(d.SettleAll(ctx), qt.Equals, 0)
	c.Assert(d.Pending(), qt.Equals, 0)
	c.Assert(w.claim(c, d, "c").Kind, qt.Equals, claim.VerdictSend)
}

// Many callers with the same keys through three hosts at once, which settle in
// the background: each key is sent once, and in the end replayed everywhere.
func TestConcurrentCallers(t *testing.T) {
	c := qt.New(t)
	records := table.NewMemory()
	ctx, stop := context.WithCancel(ctx)
	var desks []*claim.Desk
	var running, callers sync.WaitGroup
	for i := range 3 {
		d := &claim.Desk{
			Table: records, Objects: object.NewMemory(), Clock: clock.System(), Host: fmt.Sprint("host-", i), Incarnation: 1,
			Gone: func(string, uint64) bool { return false },
		}
		desks = append(desks, d)
		running.Go(func() { c.Check(d.Run(ctx), qt.IsNil) })
	}
	const keys = 50
	var sent [keys]atomic.Int64
	w := &world{}
	for i := range 12 {
		callers.Go(func() {
			for k := range keys {
				d := desks[(i+k)%len(desks)]
				v := d.Claim(ctx, w.order(fmt.Sprint(k)))
				if v.Kind == claim.VerdictSend {
					sent[k].Add(1)
					d.Finish(v.Ticket, answerTo(fmt.Sprint(k)))
				}
			}
		})
	}
	callers.Wait()
	stop()
	running.Wait()
	for k := range keys {
		c.Assert(sent[k].Load(), qt.Equals, int64(1))
		c.Assert(desks[k%3].Claim(context.Background(), w.order(fmt.Sprint(k))).Kind, qt.Equals, claim.VerdictReplay)
	}
}

// BenchmarkPending measures the memory of a claim whose outcome waits for the
// table, by the size of its response, and what the table is sent for it.
func BenchmarkPending(b *testing.B) {
	for _, size := range []int{0, 256, 1 << 10, 4 << 10, 8 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newWorld(claim.Order{}, nil)
			w.table.Store.Put = func(context.Context, table.Record, table.Condition) error { return nil }
			d := w.desks[0]
			d.InlineBytes, d.MaxPending, d.MaxHeldBytes = 0, b.N+1, 1<<40
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range b.N {
				v := d.Claim(ctx, w.order(fmt.Sprint(i)))
				d.Finish(v.Ticket, claim.Response{Status: 201, Body: make([]byte, size)})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(b.N), "heapB/claim")
			d.SettleAll(ctx)
			b.ReportMetric(float64(w.table.Counts().Bytes)/float64(b.N), "tableB/claim")
			b.ReportMetric(float64(w.table.Counts().Writes)/float64(b.N), "writes/claim")
			b.ReportMetric(float64(w.table.Counts().Reads)/float64(b.N), "reads/claim")
		})
	}
}
