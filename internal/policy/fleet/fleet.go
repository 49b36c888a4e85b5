// Package fleet keeps the list of backend servers from the records in the
// platform's store, through outages of that store.
//
// A server's record is removed when the server leaves, but it also expires when
// an outage of the store keeps the server from renewing it. A live server renews
// its record within the recovery grace period after an outage, so a server whose
// record is missing stays in the list until then. While the store is up, a server
// is dropped as soon as its record is missing.
//
// # Usage
//
//	f := fleet.New(2*clock.Second, 1*clock.Second)
//	f.Replace(now, servers)
//	f.Put(now, server)
//	f.Remove(now, id)
//	f.StoreFailed(now)
//	f.StoreSucceeded(now)
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
	// ColdLeft is the rest of the slow period after the server's start, in
	// milliseconds.
	ColdLeft clock.Millis
}

// Fleet is the list of servers. It is not safe for concurrent use.
type Fleet struct {
	recoveryGrace clock.Millis
	missingGrace  clock.Millis
	servers       map[string]Server
	// missing maps the ID of each server without a record to the time at which
	// the server is dropped.
	missing   map[string]clock.Millis
	storeDown bool
	// recoveredAt is the end of the store's last outage.
	recoveredAt clock.Millis
	hadOutage   bool
	list        []Server
}

// New returns an empty Fleet. A server whose record is missing is dropped at the
// latest recoveryGrace after the end of an outage, and missingGrace after the
// record's removal if that was seen after the outage. Both are in milliseconds.
func New(recoveryGrace, missingGrace clock.Millis) *Fleet {
	return &Fleet{
		recoveryGrace: recoveryGrace,
		missingGrace:  missingGrace,
		servers:       map[string]Server{},
		missing:       map[string]clock.Millis{},
	}
}

// StoreFailed records that a call to the store failed.
func (f *Fleet) StoreFailed(_ clock.Millis) { f.storeDown = true }

// StoreSucceeded records that a call to the store succeeded.
func (f *Fleet) StoreSucceeded(now clock.Millis) {
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
// without a record, and whether it cannot reach the store.
func (f *Fleet) Adopt(
	now clock.Millis, list []Server, missing map[string]clock.Millis, storeDown bool,
) {
	if f.storeDown && !storeDown {
		f.recoveredAt = now
		f.hadOutage = true
	}
	f.storeDown = storeDown
	f.servers = make(map[string]Server, len(list))
	for _, s := range list {
		f.servers[s.ID] = s
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
func (f *Fleet) Put(_ clock.Millis, s Server) {
	delete(f.missing, s.ID)
	if old, ok := f.servers[s.ID]; ok && old == s {
		return
	}
	f.servers[s.ID] = s
	f.list = nil
}

// Remove handles the removal of a server's record: it drops the server, or marks it
// as missing while an outage may be the cause.
func (f *Fleet) Remove(now clock.Millis, id string) {
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
	f.drop(id)
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

// DropExpired drops the servers whose records were not renewed in time. It does
// nothing while the store is down.
func (f *Fleet) DropExpired(now clock.Millis) {
	if f.storeDown {
		return
	}
	for id, dropAt := range f.missing {
		if now >= dropAt {
			f.drop(id)
		}
	}
}

// UntilNextDrop returns the time in milliseconds until DropExpired drops the next
// server. It returns false if no record is missing or the store is down.
func (f *Fleet) UntilNextDrop(now clock.Millis) (clock.Millis, bool) {
	first, ok := clock.Millis(0), false
	for _, dropAt := range f.missing {
		if !ok || dropAt < first {
			first, ok = dropAt, true
		}
	}
	return max(first-now, 0), ok && !f.storeDown
}

func (f *Fleet) drop(id string) {
	delete(f.servers, id)
	delete(f.missing, id)
	f.list = nil
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
