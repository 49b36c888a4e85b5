// Package fleet keeps the list of backend servers from the records in the
// platform's store, through outages of that store.
//
// A server's record is removed when the server leaves, but it also expires when
// an outage of the store keeps the server from renewing it. A live server renews
// its record within the recovery grace period after an outage, so a server whose
// record is missing stays in the list until then. While the store is up, a server
// is dropped as soon as its record is missing.
//
// One failed call is no outage: it may be that of a connection, or of a host that was
// suspended. A second one in a row, made on another connection, is. The outage ends with the
// next call that is answered, and the recovery grace period counts from there. So calls have
// to be repeated often while they fail. Only calls for the records themselves count, since
// other tables may be up or down by themselves (docs/design/outages.md).
//
// A restore of the store from a copy brings back older records: those of servers that
// have left, and those of leaving servers from before they said so. Until the servers
// have written again, such a record is held back. The order of a server's records is
// that of its own counter.
//
// # Usage
//
//	f := fleet.New(2*clock.Second, 1*clock.Second, 6*clock.Second)
//	f.Replace(now, servers)
//	f.Put(now, server)
//	f.Remove(now, id)
//	f.CallFailed(now)
//	f.StoreSucceeded(now)
//	f.StopReading()
//	f.StoreRestored(now)
//	f.DropExpired(now) // drops servers whose record is still missing
//	list := f.List()
package fleet

import (
	"maps"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// Server is one incarnation of a backend server.
type Server struct {
	// ID names the server. Born is its start time, which distinguishes its
	// incarnations, in milliseconds of Unix time, 0 if the record has none.
	ID      string
	Born    int64
	Service string
	// Address is "IP:port". Another server may reuse it later.
	Address       string
	FailureDomain string
	Release       string
	Slots         int
	// Leaving servers finish their open requests and accept no new ones.
	Leaving bool
	// Sequence counts the records of an incarnation, 0 if the record has no count.
	Sequence int64
	// ColdLeft is the rest of the slow period after the server's start, in
	// milliseconds.
	ColdLeft clock.Millis
}

// Same reports whether two records differ in their count at most.
func (s Server) Same(other Server) bool {
	s.Sequence = other.Sequence
	return s == other
}

// outdates reports whether the record is newer than another one of the same server.
func (s Server) outdates(other Server) bool {
	if s.Born != other.Born {
		return other.Born > 0 && other.Born < s.Born
	}
	if s.Sequence != other.Sequence {
		return other.Sequence < s.Sequence
	}
	return s.Leaving && !other.Leaving
}

// Fleet is the list of servers. It is not safe for concurrent use.
type Fleet struct {
	recoveryGrace clock.Millis
	missingGrace  clock.Millis
	restoreGrace  clock.Millis
	servers       map[string]Server
	// missing maps the ID of each server without a record to the time at which
	// the server is dropped.
	missing   map[string]clock.Millis
	storeDown bool
	// failures is the number of failed calls since the last answered one. reading is set
	// while this host's own calls are answered.
	failures int
	reading  bool
	// recoveredAt is the end of the store's last outage.
	recoveredAt clock.Millis
	hadOutage   bool
	// departed holds the last records of dropped servers.
	departed map[string]departure
	// held are records of a restored store that are older than those seen before,
	// until heldUntil.
	held      map[string]Server
	heldUntil clock.Millis
	list      []Server
}

// departure is the last record of a server, dropped at a time.
type departure struct {
	last Server
	at   clock.Millis
}

// departureMemory is how long dropped servers are remembered, in milliseconds. The copy
// that a store is restored from is some seconds old.
const departureMemory = 2 * clock.Minute

// New returns an empty Fleet. A server whose record is missing is dropped at the
// latest recoveryGrace after the end of an outage, and missingGrace after the
// record's removal if that was seen after the outage. After a restore, outdated records
// are held back for restoreGrace. All are in milliseconds.
func New(recoveryGrace, missingGrace, restoreGrace clock.Millis) *Fleet {
	return &Fleet{
		recoveryGrace: recoveryGrace,
		missingGrace:  missingGrace,
		restoreGrace:  restoreGrace,
		servers:       map[string]Server{},
		missing:       map[string]clock.Millis{},
		departed:      map[string]departure{},
		held:          map[string]Server{},
	}
}

// StoreRestored records that the store was restored from a copy. Records may be missing as
// after an outage.
func (f *Fleet) StoreRestored(now clock.Millis) {
	f.storeDown = true
	f.heldUntil = now + f.restoreGrace
}

// StoreFailed records that the store is down.
func (f *Fleet) StoreFailed(_ clock.Millis) { f.storeDown = true }

// provingFailures is the number of failed calls in a row that show that the store is down.
const provingFailures = 2

// CallFailed records that a call for the records failed.
func (f *Fleet) CallFailed(now clock.Millis) {
	f.failures++
	f.reading = false
	if f.failures >= provingFailures {
		f.StoreFailed(now)
	}
}

// StoreDown reports whether the store is down, as far as this host knows.
func (f *Fleet) StoreDown() bool { return f.storeDown }

// StopReading records that this host does not call the store any more. What its calls have
// shown does not count against the views of other hosts from now on.
func (f *Fleet) StopReading() { f.failures, f.reading = 0, false }

// StoreSucceeded records that a call for the records succeeded.
func (f *Fleet) StoreSucceeded(now clock.Millis) {
	f.failures, f.reading = 0, true
	if f.storeDown {
		f.recoveredAt = now
		f.hadOutage = true
		for id := range f.missing {
			f.missing[id] = now + f.recoveryGrace
		}
	}
	f.storeDown = false
}

// Missing returns the IDs of the servers without a record, each with the time at
// which the server is dropped.
func (f *Fleet) Missing() map[string]clock.Millis { return maps.Clone(f.missing) }

// Adopt replaces the state by that of another Fleet: its servers, those among them
// without a record, and whether it cannot reach the store. The other Fleet may have missed
// that a server without a record has left; what is known here of its leaving stays. Its store
// is not down for a host whose own calls are answered.
func (f *Fleet) Adopt(
	now clock.Millis, list []Server, missing map[string]clock.Millis, storeDown bool,
) {
	storeDown = storeDown && !f.reading
	if f.storeDown && !storeDown {
		f.recoveredAt = now
		f.hadOutage = true
	}
	f.storeDown = storeDown
	before := f.servers
	f.servers = make(map[string]Server, len(list))
	for _, s := range list {
		_, unrecorded := missing[s.ID]
		if s, ok := f.newest(now, before, s, unrecorded); ok {
			f.servers[s.ID] = s
		}
	}
	for id, s := range before {
		if _, ok := f.servers[id]; !ok {
			f.remember(now, s)
		}
	}
	f.missing = map[string]clock.Millis{}
	for id, dropAt := range missing {
		if _, ok := f.servers[id]; ok {
			f.missing[id] = dropAt
		}
	}
	f.list = nil
}

// inRecovery reports whether records may be missing because of an outage.
func (f *Fleet) inRecovery(now clock.Millis) bool {
	return f.storeDown || (f.hadOutage && now < f.recoveredAt+f.recoveryGrace)
}

// Put adds or updates a server from its record.
func (f *Fleet) Put(now clock.Millis, s Server) {
	delete(f.missing, s.ID)
	delete(f.held, s.ID)
	old, ok := f.servers[s.ID]
	if now < f.heldUntil && f.outdated(s) {
		f.held[s.ID] = s
		return
	}
	f.servers[s.ID] = s
	if !ok || !old.Same(s) {
		f.list = nil
	}
}

// newest returns the newest of what another Fleet and this one know of a server. It returns
// false if the server has no record and is known to have left.
func (f *Fleet) newest(now clock.Millis, before map[string]Server, s Server, unrecorded bool) (Server, bool) {
	old, listed := before[s.ID]
	if listed && (unrecorded || now < f.heldUntil) && old.outdates(s) {
		s = old
	}
	left := s.Leaving || (!listed && f.departedSince(s))
	return s, !unrecorded || !left
}

// departedSince reports whether a record is not newer than the last one of a server that was
// dropped.
func (f *Fleet) departedSince(s Server) bool {
	d, ok := f.departed[s.ID]
	return ok && !s.outdates(d.last)
}

// outdated reports whether a record is not newer than the last one of a server that has
// left, or older than that of a server in the list.
func (f *Fleet) outdated(s Server) bool {
	if old, ok := f.servers[s.ID]; ok {
		return old.outdates(s)
	}
	return f.departedSince(s)
}

// Remove handles the removal of a server's record: it drops the server, or marks it
// as missing while an outage may be the cause.
func (f *Fleet) Remove(now clock.Millis, id string) {
	delete(f.held, id)
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if f.inRecovery(now) && !s.Leaving {
		if _, ok := f.missing[id]; !ok {
			f.missing[id] = min(f.recoveredAt+f.recoveryGrace, now+f.missingGrace)
		}
		return
	}
	f.drop(now, id)
}

// Replace updates the list from a snapshot read of all records.
func (f *Fleet) Replace(now clock.Millis, all []Server) {
	present := map[string]bool{}
	for _, s := range all {
		present[s.ID] = true
		f.Put(now, s)
	}
	for _, id := range f.ids() {
		if present[id] {
			continue
		}
		_, known := f.missing[id]
		f.Remove(now, id)
		if _, ok := f.missing[id]; ok && !known {
			// The record may have expired during the outage.
			f.missing[id] = f.recoveredAt + f.recoveryGrace
		}
	}
}

// DropExpired drops the servers whose records were not renewed in time, and applies the
// records that were held back for as long as they may be. It does nothing while the
// store is down.
func (f *Fleet) DropExpired(now clock.Millis) {
	if f.storeDown {
		return
	}
	for id, dropAt := range f.missing {
		if now >= dropAt {
			f.drop(now, id)
		}
	}
	if now < f.heldUntil {
		return
	}
	for _, s := range f.held {
		f.Put(now, s)
	}
}

// UntilNextDrop returns the time in milliseconds until DropExpired drops the next
// server or applies a record that is held back. It returns false if there is none or the
// store is down.
func (f *Fleet) UntilNextDrop(now clock.Millis) (clock.Millis, bool) {
	first, ok := clock.Millis(0), false
	for _, dropAt := range f.missing {
		if !ok || dropAt < first {
			first, ok = dropAt, true
		}
	}
	if len(f.held) > 0 && (!ok || f.heldUntil < first) {
		first, ok = f.heldUntil, true
	}
	return max(first-now, 0), ok && !f.storeDown
}

func (f *Fleet) drop(now clock.Millis, id string) {
	f.remember(now, f.servers[id])
	delete(f.servers, id)
	delete(f.missing, id)
	f.list = nil
}

// remember keeps the last record of a server that is dropped.
func (f *Fleet) remember(now clock.Millis, last Server) {
	for id, d := range f.departed {
		if now > d.at+departureMemory {
			delete(f.departed, id)
		}
	}
	f.departed[last.ID] = departure{last, now}
}

func (f *Fleet) ids() []string {
	ids := make([]string, 0, len(f.servers))
	for id := range f.servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// List returns the servers sorted by ID. The slice is shared until the next change
// and must not be modified.
func (f *Fleet) List() []Server {
	if f.list != nil {
		return f.list
	}
	f.list = make([]Server, 0, len(f.servers))
	for _, id := range f.ids() {
		f.list = append(f.list, f.servers[id])
	}
	return f.list
}
