package watch_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/share/watch"
)

// maxApplyTime is the time within which a change has to be in force.
const maxApplyTime = 2 * time.Second

// inTime waits until a condition holds and reports whether it does within maxApplyTime.
func inTime(condition func() bool) bool { return within(maxApplyTime, condition) }

func within(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func knows(w *watch.Watcher, server string) bool {
	return slices.ContainsFunc(w.View().Servers, func(s fleet.Server) bool { return s.ID == server })
}

// The store gives versions out again after a restore, so that later changes have lower
// versions than those that a host has seen.
func TestChangesAfterRestoreAreApplied(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	old := s.Copy()
	s.Put("op", "manifest", []byte("2"))
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	s.Put("servers", "b", []byte("10.0.0.2:1"))
	eventually(func() bool { return version(w) == 2 && len(w.View().Servers) == 2 })
	for range 2 {
		s.Restore(old)
		s.Put("op", "manifest", []byte("3"))
		s.Put("servers", "c", []byte("10.0.0.3:1"))
		c.Check(inTime(func() bool { return version(w) == 3 && w.Age(clk.Boot()) < 500 }), qt.IsTrue)
		c.Check(inTime(func() bool { return knows(w, "c") }), qt.IsTrue)
	}
}

// A version that was given out again may be higher than the one from which a host watches.
func TestChangesBelowTheWatchedVersionAreAppliedAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	old := s.Copy()
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	eventually(func() bool { return len(w.View().Servers) == 1 })
	s.SetFaults(memdb.Faults{Down: true})
	s.Restore(old)
	s.Put("servers", "b", []byte("10.0.0.2:1"))
	for range 8 {
		s.Put("other", "row", nil)
	}
	s.SetFaults(memdb.Faults{})
	c.Assert(inTime(func() bool { return knows(w, "b") }), qt.IsTrue)
}

func TestManifestDoesNotRevertAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	old := s.Copy()
	s.Put("op", "manifest", []byte("2"))
	eventually(func() bool { return version(w) == 2 })
	s.Restore(old)
	for range 8 {
		s.Put("other", "row", nil)
	}
	s.Put("op", "manifest", []byte("1"))
	calls := s.Calls()
	eventually(func() bool { return s.Calls() > calls+8 })
	c.Assert(version(w), qt.Equals, int64(2))
}

// A withdrawn key may stand in the restored manifest until the operator writes the newer
// one again.
func TestRestoredManifestIsNotConfirmedBeforeItIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	eventually(func() bool { return version(w) == 1 && w.Age(clk.Boot()) < 100 })
	old := s.Copy()
	s.Restore(old)
	began := clk.Boot()
	c.Assert(inTime(func() bool { return w.Age(clk.Boot()) > 400 }), qt.IsTrue)
	s.Put("op", "manifest", []byte("2"))
	c.Assert(inTime(func() bool { return version(w) == 2 && w.Age(clk.Boot()) < 400 }), qt.IsTrue)
	c.Assert(clk.Boot()-began < 1_900, qt.IsTrue)
}

func TestRestoredManifestIsConfirmedInTimeWithoutAWrite(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	w := startWatcher(c, s)
	s.Put("op", "manifest", []byte("1"))
	old := s.Copy()
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	eventually(func() bool { return version(w) == 1 && w.Age(clk.Boot()) < 100 && len(w.View().Servers) == 1 })
	s.Restore(old)
	c.Assert(inTime(func() bool { return w.Age(clk.Boot()) > 300 }), qt.IsTrue)
	c.Assert(within(3*time.Second, func() bool { return w.Age(clk.Boot()) < 300 }), qt.IsTrue)
}

// The copy may be from before an earlier restore, after which the manifest got another row.
func TestManifestOfCopyFromEarlierEraIsNotTakenForWrittenAgain(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	empty := s.Copy()
	w := startWatcher(c, s)
	for range 3 {
		s.Put("other", "row", nil)
	}
	s.Put("op", "manifest", []byte("1"))
	c.Assert(inTime(func() bool { return version(w) == 1 }), qt.IsTrue)
	old := s.Copy()
	s.Restore(empty)
	s.Put("op", "manifest", []byte("1"))
	c.Assert(within(3*time.Second, func() bool { return w.View().ManifestRevision.Era == 2 && w.Age(clk.Boot()) < 100 }), qt.IsTrue)
	s.Restore(old)
	c.Assert(inTime(func() bool { return w.Age(clk.Boot()) > 400 }), qt.IsTrue)
}

// A host that starts cannot tell a restored store from one that is settled: its first read
// may be of a manifest whose successor withdrew keys and is lost.
func TestStartingHostConfirmsNothingBeforeTheStoreIsSettled(t *testing.T) {
	for _, test := range []struct {
		name   string
		settle func(s *memdb.Store, era *atomic.Int64)
	}{
		{"the manifest is written again", func(s *memdb.Store, _ *atomic.Int64) { s.Put("op", "manifest", []byte("2")) }},
		{"another host found it settled", func(_ *memdb.Store, era *atomic.Int64) { era.Store(1) }},
		{"the time for writing again is over", func(*memdb.Store, *atomic.Int64) { time.Sleep(1_800 * time.Millisecond) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clk := clock.System()
			s := memdb.New(clk)
			s.Put("op", "manifest", []byte("1"))
			w := newWatcher(s)
			var era atomic.Int64
			w.SettledEra = era.Load
			settled := make(chan int64, 1)
			w.OnSettled = func(era int64) { settled <- era }
			run(c, w)
			c.Assert(inTime(func() bool { return version(w) == 1 }), qt.IsTrue)
			time.Sleep(400 * time.Millisecond)
			c.Assert(w.Age(clk.Boot()) > clock.Minute, qt.IsTrue)
			test.settle(s, &era)
			c.Assert(within(time.Second, func() bool { return w.Age(clk.Boot()) < clock.Minute }), qt.IsTrue)
			c.Assert(<-settled, qt.Equals, int64(1))
		})
	}
}

// The servers must not wait for the confirmation of the manifest.
func TestServersAreKnownWhileRestoredManifestIsUnsettled(t *testing.T) {
	c := qt.New(t)
	clk := clock.System()
	s := memdb.New(clk)
	s.Put("op", "manifest", []byte("1"))
	s.Put("servers", "a", []byte("10.0.0.1:1"))
	w := newWatcher(s)
	w.AdoptRestore(clk.Boot()+2_000, 1)
	run(c, w)
	c.Assert(within(time.Second, func() bool { return len(w.View().Servers) == 1 }), qt.IsTrue)
	c.Assert(w.Age(clk.Boot()) > clock.Minute, qt.IsTrue)
	c.Assert(within(3*time.Second, func() bool { return w.Age(clk.Boot()) < clock.Minute }), qt.IsTrue)
}
