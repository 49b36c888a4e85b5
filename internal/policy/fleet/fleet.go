// Package fleet keeps the list of backend servers as the platform's store tells
// it, through outages of that store.
//
// A server's record vanishes when the server leaves, but also when the store
// was away and the server could not renew it. Which of the two it is shows
// within the settling time after the store's return: a server that lives has
// its record back by then. Until then a missing record is kept in use. While
// the store answers without a break, a missing record counts at once.
//
// # Usage
//
//	f := fleet.New(2*clock.Second, 1*clock.Second)
//	f.Replace(now, servers)
//	f.Put(now, server)
//	f.Remove(now, id)
//	f.Lost(now)     // a call to the store failed
//	f.Answered(now) // a call to the store succeeded
//	f.Settle(now)   // drops what is still missing
//	list := f.List()
package fleet

import (
	"maps"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// Server is one start of a backend server.
type Server struct {
	// ID names the server; Born tells its incarnations apart, in milliseconds
	// of Unix time, 0 where the server does not say.
	ID      string
	Born    int64
	Service string
	// Address is "IP:port". It may later belong to another server.
	Address       string
	FailureDomain string
	Release       string
	Slots         int
	// Leaving servers finish what they have and take nothing new.
	Leaving bool
	// ColdLeft is how much longer the server is slow after its start, in
	// milliseconds.
	ColdLeft clock.Millis
}

// Fleet is the list of servers. It is not safe for concurrent use.
type Fleet struct {
	settling clock.Millis
	doubt    clock.Millis
	servers  map[string]Server
	// missing holds the servers without a record, with the time at which each
	// is dropped.
	missing map[string]clock.Millis
	away    bool
	// back is when the store returned from its last outage.
	back    clock.Millis
	hadBack bool
	list    []Server
}

// New returns an empty Fleet. A record that is missing longer than settling
// after the store's return is dropped, one that vanished since then after doubt
// already. Both are in milliseconds.
func New(settling, doubt clock.Millis) *Fleet {
	return &Fleet{settling: settling, doubt: doubt, servers: map[string]Server{}, missing: map[string]clock.Millis{}}
}

// Lost notes that a call to the store failed.
func (f *Fleet) Lost(_ clock.Millis) { f.away = true }

// Answered notes that a call to the store succeeded.
func (f *Fleet) Answered(now clock.Millis) {
	if f.away {
		f.back = now
		f.hadBack = true
		for id := range f.missing {
			f.missing[id] = now + f.settling
		}
	}
	f.away = false
}

// Missing returns the servers without a record, with the time at which each is
// dropped.
func (f *Fleet) Missing() map[string]clock.Millis { return maps.Clone(f.missing) }

// Adopt takes what another Fleet knows, with its missing servers and whether the
// store is away from it.
func (f *Fleet) Adopt(now clock.Millis, list []Server, missing map[string]clock.Millis, away bool) {
	if f.away && !away {
		f.back = now
		f.hadBack = true
	}
	f.away = away
	f.servers = make(map[string]Server, len(list))
	for _, s := range list {
		f.servers[s.ID] = s
	}
	f.missing = map[string]clock.Millis{}
	for id, until := range missing {
		if _, ok := f.servers[id]; ok {
			f.missing[id] = until
		}
	}
	f.list = nil
}

// settlingNow tells whether records may be missing because of an outage.
func (f *Fleet) settlingNow(now clock.Millis) bool {
	return f.away || (f.hadBack && now < f.back+f.settling)
}

// Put takes in a record, of a new server or a changed one.
func (f *Fleet) Put(_ clock.Millis, s Server) {
	delete(f.missing, s.ID)
	if old, ok := f.servers[s.ID]; ok && old == s {
		return
	}
	f.servers[s.ID] = s
	f.list = nil
}

// Remove takes in that a record has vanished.
func (f *Fleet) Remove(now clock.Millis, id string) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if f.settlingNow(now) && !s.Leaving {
		if _, ok := f.missing[id]; !ok {
			f.missing[id] = min(f.back+f.settling, now+f.doubt)
		}
		return
	}
	f.drop(id)
}

// Replace takes in all records as of one moment.
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
			// When it vanished is not known; it may have been during the outage.
			f.missing[id] = f.back + f.settling
		}
	}
}

// Settle drops the servers whose records did not come back in time. It does
// nothing while the store is away.
func (f *Fleet) Settle(now clock.Millis) {
	if f.away {
		return
	}
	for id, until := range f.missing {
		if now >= until {
			f.drop(id)
		}
	}
}

// SettleIn is how long until Settle has something to do, false where nothing is
// missing.
func (f *Fleet) SettleIn(now clock.Millis) (clock.Millis, bool) {
	first, ok := clock.Millis(0), false
	for _, until := range f.missing {
		if !ok || until < first {
			first, ok = until, true
		}
	}
	return max(first-now, 0), ok && !f.away
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

// List returns the servers by ID. The slice is shared until the next change
// and must not be written to.
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
