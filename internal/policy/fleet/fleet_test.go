package fleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
)

const (
	recoveryGrace = 2_000 * clock.Millis(1)
	missingGrace  = 1_200 * clock.Millis(1)
	restoreGrace  = 6_000 * clock.Millis(1)
)

func ids(f *fleet.Fleet) []string {
	var all []string
	for _, s := range f.List() {
		all = append(all, s.ID)
	}
	return all
}

func newFleet() *fleet.Fleet {
	f := fleet.New(recoveryGrace, missingGrace, restoreGrace)
	f.StoreSucceeded(0)
	f.Replace(0, []fleet.Server{{ID: "a"}, {ID: "b"}})
	return f
}

func TestMissingRecordDropsServerAtOnceWhileStoreIsUp(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.Remove(10, "a")
	c.Assert(ids(f), qt.DeepEquals, []string{"b"})
}

func TestRecordsExpiredDuringOutageAreKeptForRecoveryGrace(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.StoreFailed(100)
	f.StoreSucceeded(5_000)
	f.Replace(5_000, nil)
	f.DropExpired(5_000)
	c.Assert(ids(f), qt.DeepEquals, []string{"a", "b"})
	f.Put(6_000, fleet.Server{ID: "a"})
	f.DropExpired(7_000)
	c.Assert(ids(f), qt.DeepEquals, []string{"a"})
}

func TestNothingIsDroppedDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.StoreFailed(100)
	f.Remove(200, "a")
	f.DropExpired(60_000)
	c.Assert(ids(f), qt.DeepEquals, []string{"a", "b"})
	_, ok := f.UntilNextDrop(60_000)
	c.Assert(ok, qt.IsFalse)
	f.StoreSucceeded(60_000)
	f.DropExpired(60_000)
	c.Assert(ids(f), qt.DeepEquals, []string{"a", "b"})
	f.DropExpired(62_000)
	c.Assert(ids(f), qt.DeepEquals, []string{"b"})
}

// A server's record is removed shortly after the host's connection to the store
// recovered. The host must not keep the server for the whole recovery grace of 2 s,
// as if the record had expired in the outage.
func TestServerLeavingRightAfterOutageIsDroppedWithinMissingGrace(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.StoreFailed(100)
	f.StoreSucceeded(5_000)
	f.Replace(5_000, []fleet.Server{{ID: "a"}, {ID: "b"}})
	f.Remove(5_300, "a")
	in, ok := f.UntilNextDrop(5_300)
	c.Assert(ok, qt.IsTrue)
	c.Assert(in < recoveryGrace, qt.IsTrue)
	f.DropExpired(5_300 + in)
	c.Assert(ids(f), qt.DeepEquals, []string{"b"})
}

func TestLeavingServerIsDroppedWithItsRecord(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.Put(10, fleet.Server{ID: "a", Leaving: true})
	f.StoreFailed(100)
	f.StoreSucceeded(200)
	f.Remove(250, "a")
	c.Assert(ids(f), qt.DeepEquals, []string{"b"})
}

func TestRestartUnderSameIDReplacesRecord(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.Put(10, fleet.Server{ID: "a", Born: 7, Address: "10.0.0.9:1"})
	c.Assert(f.List()[0].Born, qt.Equals, int64(7))
}

// A host that adopts another host's list, including a server without a record,
// drops that server itself when its time is over.
func TestAdoptedListKeepsMissingServers(t *testing.T) {
	c := qt.New(t)
	first := fleet.New(2_000, 1_000, 6_000)
	first.Put(0, fleet.Server{ID: "a"})
	first.Put(0, fleet.Server{ID: "b"})
	first.StoreFailed(100)
	first.StoreSucceeded(1_000)
	first.Replace(1_000, []fleet.Server{{ID: "a"}})
	c.Assert(first.List(), qt.HasLen, 2)

	second := fleet.New(2_000, 1_000, 6_000)
	second.Adopt(1_100, first.List(), first.Missing(), false)
	second.DropExpired(2_900)
	c.Assert(second.List(), qt.HasLen, 2)
	second.DropExpired(3_100)
	c.Assert(second.List(), qt.DeepEquals, []fleet.Server{{ID: "a"}})
}

// A copy of the store has the records of servers from before they left or began to leave.
func TestRestoredRecordOfLeavingServerIsNotUsed(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(recoveryGrace, missingGrace, restoreGrace)
	f.StoreSucceeded(0)
	before := []fleet.Server{{ID: "gone", Born: 5, Sequence: 1}, {ID: "leaving", Born: 5, Sequence: 1}, {ID: "stays", Born: 5, Sequence: 1}}
	f.Replace(0, before)
	f.Put(100, fleet.Server{ID: "leaving", Born: 5, Sequence: 2, Leaving: true})
	f.Remove(200, "gone")

	f.StoreFailed(1_000)
	f.StoreRestored(3_000)
	f.StoreSucceeded(3_000)
	f.Replace(3_000, before)
	f.DropExpired(3_500)
	c.Assert(ids(f), qt.DeepEquals, []string{"leaving", "stays"})
	c.Assert(f.List()[0].Leaving, qt.IsTrue)

	// A restarted server is another incarnation, and a living one goes on counting.
	f.Put(4_000, fleet.Server{ID: "leaving", Born: 6, Sequence: 1})
	f.Put(4_000, fleet.Server{ID: "gone", Born: 5, Sequence: 2})
	c.Assert(ids(f), qt.DeepEquals, []string{"gone", "leaving", "stays"})
	c.Assert(f.List()[1].Leaving, qt.IsFalse)
}

// A record that was held back counts if its server has not replaced it in time, unless the
// store has removed it by then.
func TestHeldRecordCountsAfterRestoreGrace(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(recoveryGrace, missingGrace, restoreGrace)
	f.StoreSucceeded(0)
	before := []fleet.Server{{ID: "lives", Born: 5, Sequence: 1}, {ID: "gone", Born: 5, Sequence: 1}}
	f.Replace(0, before)
	f.Remove(200, "lives")
	f.Remove(200, "gone")
	f.StoreRestored(3_000)
	f.StoreSucceeded(3_000)
	f.Replace(3_000, before)
	c.Assert(f.List(), qt.HasLen, 0)
	f.Remove(6_000, "gone")
	left, ok := f.UntilNextDrop(6_000)
	c.Assert(ok, qt.IsTrue)
	f.DropExpired(6_000 + left)
	c.Assert(ids(f), qt.DeepEquals, []string{"lives"})
}

// The other host missed that these servers left, so that they have no record but are kept for
// the recovery grace.
func TestAdoptedListBringsNoServerBackThatHasLeft(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(recoveryGrace, missingGrace, restoreGrace)
	f.StoreSucceeded(0)
	before := []fleet.Server{{ID: "gone", Born: 5}, {ID: "leaving", Born: 5, Sequence: 1}, {ID: "restarted", Born: 5}, {ID: "stays", Born: 5}}
	f.Replace(0, before)
	f.Put(100, fleet.Server{ID: "leaving", Born: 5, Sequence: 2, Leaving: true})
	f.Remove(200, "gone")
	f.Remove(200, "restarted")

	after := []fleet.Server{before[0], before[1], {ID: "restarted", Born: 6}, before[3]}
	missing := map[string]clock.Millis{"gone": 7_000, "leaving": 7_000, "restarted": 7_000, "stays": 7_000}
	f.Adopt(5_000, after, missing, false)
	c.Assert(ids(f), qt.DeepEquals, []string{"restarted", "stays"})
	f.Adopt(5_100, after, missing, false)
	c.Assert(ids(f), qt.DeepEquals, []string{"restarted", "stays"})

	// A record in the store says that the server is there.
	f.Adopt(5_200, after, nil, false)
	c.Assert(ids(f), qt.DeepEquals, []string{"gone", "leaving", "restarted", "stays"})
}
