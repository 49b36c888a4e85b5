package notice

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
)

var server = fleet.Server{ID: "i-1", Born: 7, Service: "app", Address: "10.0.0.1:1"}

func TestLeavingServerStaysMarkedWhenItsRecordLapses(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	c.Assert(table.AddLeaving(100, EntryOf(server)), qt.IsTrue)
	c.Assert(table.AddLeaving(101, EntryOf(server)), qt.IsFalse)
	table.Retain(200, nil)
	all := []fleet.Server{server, {ID: "i-2"}}
	marked := table.Mark(all)
	c.Assert([]bool{marked[0].Leaving, marked[1].Leaving, all[0].Leaving}, qt.DeepEquals, []bool{true, false, false})
	table.Retain(200+absentTime, all[1:])
	c.Assert(table.Entries(), qt.HasLen, 0)
}

func TestRestartedServerIsNotLeaving(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.AddLeaving(100, EntryOf(server))
	table.AddHoldOff(100, server, 4_000, 0)
	for _, again := range []fleet.Server{
		{ID: "i-1", Born: 8, Service: "app", Address: "10.0.0.1:1"},
		{ID: "i-1", Born: 7, Service: "app", Address: "10.0.0.2:1"},
	} {
		c.Check(table.Leaving(again), qt.IsFalse)
		c.Check(table.HeldOff(101, again), qt.Equals, clock.Millis(0))
	}
}

func TestShorterHoldOffEndsNoLongerOne(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.AddHoldOff(100, server, 4_000, 0)
	table.AddHoldOff(200, server, 500, 0)
	c.Assert(table.HeldOff(300, server), qt.Equals, clock.Millis(3_800))
	c.Assert(table.HoldOffs(300), qt.Equals, 1)
	c.Assert(table.HeldOff(4_100, server), qt.Equals, clock.Millis(0))
	table.AddHoldOff(5_000, server, 4_000, 0.5)
	c.Assert(table.HeldOff(5_000, server), qt.Equals, clock.Millis(4_500))
}

func TestNoticesAreBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for i := range maxEntries + 10 {
		table.AddLeaving(clock.Millis(i), Entry{Server: "i", Born: int64(i)})
	}
	c.Assert(table.Entries(), qt.HasLen, maxEntries)
	c.Assert(table.Entries()[0].Born, qt.Equals, int64(10))
}

func TestParseHoldOffReadsSecondsOnly(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		values string
		wait   clock.Millis
		ok     bool
	}{
		{"4", 4_000, true},
		{" 0.25 ", 250, true},
		{"0.0001", 1, true},
		{"1.0000", 1_000, true},
		{"0", 0, true},
		{"007", 7_000, true},
		{"3600", maxHoldOff, true},
		{"99999999999999999999", maxHoldOff, true},
		{"-1", 0, false},
		{"+1", 0, false},
		{"1e3", 0, false},
		{".5", 0, false},
		{"1.", 0, false},
		{"1,2", 0, false},
		{"NaN", 0, false},
		{"soon", 0, false},
		{"", 0, false},
		{"Wed, 21 Oct 2026 07:28:00 GMT", 0, false},
		{"2|2", 2_000, true},
		{"2|3", 3_000, false},
		{"2|soon", 2_000, false},
	}
	for _, k := range cases {
		wait, ok := ParseHoldOff(strings.Split(k.values, "|"))
		c.Check(wait, qt.Equals, k.wait, qt.Commentf("%q", k.values))
		c.Check(ok, qt.Equals, k.ok, qt.Commentf("%q", k.values))
	}
	wait, ok := ParseHoldOff(nil)
	c.Check(wait == 0 && ok, qt.IsTrue)
}

func TestParseLeavingReadsOneAndZero(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string][2]bool{"1": {true, true}, "": {false, true}, "0": {false, true}, "yes": {false, false}, "1, 1": {false, false}} {
		leaving, ok := ParseLeaving(text)
		c.Check([2]bool{leaving, ok}, qt.Equals, want, qt.Commentf("%q", text))
	}
}
