// Package notice keeps what backend servers say of themselves in their responses, as far
// as it keeps requests away from them: that they are leaving, and that they want no
// requests from this host for a while (a hold-off).
//
// Both concern one incarnation of a server. A server that was started again under the
// same ID has another start time or address, and nothing is known of it. A notice
// outlives the server's record, since the record of a leaving server may lapse and come
// back.
//
// # Usage
//
//	t := notice.NewTable()
//	if t.AddLeaving(now, notice.EntryOf(server)) { ... }
//	t.AddHoldOff(now, server, wait, rand.Float64())
//	list := t.Mark(servers)             // leaving servers have Leaving set
//	left := t.HeldOff(now, server)      // 0 if it may get requests
//	t.Retain(now, servers)              // on each change of the list
package notice

import (
	"cmp"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
)

// Entry is one incarnation of a server that says it is leaving.
type Entry struct {
	Service string
	Server  string
	Born    int64
	Address string
}

// EntryOf returns the Entry of a server.
func EntryOf(s fleet.Server) Entry {
	return Entry{Service: s.Service, Server: s.ID, Born: s.Born, Address: s.Address}
}

const (
	// absentTime is how long the notice of a server without a record is kept, in
	// milliseconds: longer than outages of the store, after which records come back.
	absentTime = 10 * clock.Minute
	// maxEntries bounds the notices of each kind. Above it those that were seen in the
	// list longest ago are dropped.
	maxEntries = 10_000
	// maxHoldOff bounds a hold-off, in milliseconds. After it the server may say so again.
	maxHoldOff = 10 * clock.Minute
	// maxReturnDelay and returnShare bound the random delay after a hold-off, so that
	// not all hosts return to a server at once: in milliseconds, and as a share of the
	// hold-off.
	maxReturnDelay = 2 * clock.Second
	returnShare    = 0.25
)

// holdOff is when a server may get requests again and when it was last in the list.
type holdOff struct {
	until clock.Millis
	seen  clock.Millis
}

// Table holds the notices. Create it with NewTable; it is not safe for concurrent use.
type Table struct {
	// leaving maps the entries to when their servers were last in the list.
	leaving  map[Entry]clock.Millis
	holdOffs map[Entry]holdOff
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{leaving: map[Entry]clock.Millis{}, holdOffs: map[Entry]holdOff{}}
}

// AddLeaving records that a server is leaving. It reports whether that is new.
func (t *Table) AddLeaving(now clock.Millis, e Entry) bool {
	if _, ok := t.leaving[e]; ok {
		return false
	}
	t.leaving[e] = now
	dropOldest(t.leaving, func(seen clock.Millis) clock.Millis { return seen })
	return true
}

// AddHoldOff records that a server wants no requests for a time in milliseconds. A shorter
// time does not end an earlier one. Random, in [0, 1), delays the return.
func (t *Table) AddHoldOff(now clock.Millis, s fleet.Server, wait clock.Millis, random float64) {
	wait = min(wait, maxHoldOff)
	until := now + wait + clock.Millis(random*min(float64(maxReturnDelay), returnShare*float64(wait)))
	e := EntryOf(s)
	t.holdOffs[e] = holdOff{until: max(until, t.holdOffs[e].until), seen: now}
	dropOldest(t.holdOffs, func(h holdOff) clock.Millis { return h.seen })
}

// dropOldest drops entries above maxEntries.
func dropOldest[T any](all map[Entry]T, seen func(T) clock.Millis) {
	for len(all) > maxEntries {
		var oldest Entry
		found := false
		for e, v := range all {
			if !found || seen(v) < seen(all[oldest]) {
				oldest, found = e, true
			}
		}
		delete(all, oldest)
	}
}

// Leaving reports whether a server has said that it is leaving.
func (t *Table) Leaving(s fleet.Server) bool {
	_, ok := t.leaving[EntryOf(s)]
	return ok
}

// HeldOff returns the time until a server may get requests from this host, in milliseconds.
func (t *Table) HeldOff(now clock.Millis, s fleet.Server) clock.Millis {
	return max(t.holdOffs[EntryOf(s)].until-now, 0)
}

// HoldOffs returns the number of servers that hold this host off.
func (t *Table) HoldOffs(now clock.Millis) int {
	n := 0
	for _, h := range t.holdOffs {
		if h.until > now {
			n++
		}
	}
	return n
}

// Mark returns the servers with Leaving set for those that have said so. It copies the
// list if it changes it.
func (t *Table) Mark(all []fleet.Server) []fleet.Server {
	if len(t.leaving) == 0 {
		return all
	}
	marked := all
	for i, s := range all {
		if s.Leaving || !t.Leaving(s) {
			continue
		}
		if &marked[0] == &all[0] {
			marked = slices.Clone(all)
		}
		marked[i].Leaving = true
	}
	return marked
}

// Entries returns the leaving servers in the order of their IDs.
func (t *Table) Entries() []Entry {
	all := make([]Entry, 0, len(t.leaving))
	for e := range t.leaving {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born)) })
	return all
}

// Retain forgets the notices of servers that have been out of the list for absentTime,
// and hold-offs that have ended.
func (t *Table) Retain(now clock.Millis, all []fleet.Server) {
	if len(t.leaving) == 0 && len(t.holdOffs) == 0 {
		return
	}
	for _, s := range all {
		e := EntryOf(s)
		if _, ok := t.leaving[e]; ok {
			t.leaving[e] = now
		}
	}
	for e, seen := range t.leaving {
		if now > seen+absentTime {
			delete(t.leaving, e)
		}
	}
	for e, h := range t.holdOffs {
		if now > h.until {
			delete(t.holdOffs, e)
		}
	}
}
