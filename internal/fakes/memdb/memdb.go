// Package memdb is an in-memory stand-in for the platform's row store with fault
// injection: it can be down, wholly or for single tables, or slow, lose responses, apply changes late, refuse
// single hosts, return stale reads, discard its change history, stop delivering
// changes to watches, and be restored from an older copy.
//
// # Usage
//
//	s := memdb.New(clk)
//	s.Put("op", "config", manifest)
//	store := s.For("host-1")
//	reply, err := store.Read(ctx, rows.Range{Table: "op"})
//	s.SetFaults(memdb.Faults{Down: true})
//	old := s.Copy()
//	s.Restore(old) // what was written since is lost
package memdb

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sort"
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/rows"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Down refuses every call.
	Down bool
	// DownTables is the set of tables for which calls are refused.
	DownTables map[string]bool
	// RefusedHosts is the set of hosts whose calls are refused.
	RefusedHosts map[string]bool
	// Delay delays each call before it takes effect, in milliseconds.
	Delay clock.Millis
	// LoseResponses applies each change and returns rows.ErrOutcomeUnknown for it.
	LoseResponses bool
	// ApplyDelay returns rows.ErrOutcomeUnknown for a change at once and applies it this
	// many milliseconds later, if its condition still holds then.
	ApplyDelay clock.Millis
	// MuteWatches keeps every change from the watches.
	MuteWatches bool
	// StaleBy makes reads report a version lower by this much and omit the rows
	// that were written after it.
	StaleBy int64
}

// Store is the in-memory store; New creates it. It is safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	rows    map[rowKey]rows.Row
	era     int64
	version int64
	// history holds every change after the version compacted.
	history   []rows.Row
	compacted int64
	// changed is closed and replaced at every change of rows, history or faults.
	changed chan struct{}
	faults  Faults
	calls   int
}

type rowKey struct{ table, partition, key string }

// New returns an empty Store.
func New(c clock.Clock) *Store {
	return &Store{clock: c, rows: map[rowKey]rows.Row{}, era: 1, changed: make(chan struct{})}
}

// SetFaults replaces the faults; pending watches apply them at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Calls returns the number of calls so far, including refused ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row unconditionally, regardless of the faults, and returns its
// version.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rows.Row{Table: table, Key: key, Value: value, Version: s.version})
	return s.version
}

// Delete removes a row, regardless of the faults.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rows.Row{Table: table, Key: key, Version: s.version, Deleted: true})
}

// Compact discards the change history, so that watches from earlier versions fail
// with rows.ErrHistoryGone and need a new snapshot read.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.version
	s.notifyWatches()
}

// Has reports whether a row has a value.
func (s *Store) Has(table, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table: table, key: key}]
	return ok && bytes.Equal(r.Value, value)
}

// Copy is a copy of the whole store.
type Copy struct {
	rows      map[rowKey]rows.Row
	version   int64
	history   []rows.Row
	compacted int64
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.rows), s.version, slices.Clone(s.history), s.compacted}
}

// Restore replaces the content by a copy and begins a new era. Open watches fail.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.history, s.compacted = maps.Clone(c.rows), c.version, slices.Clone(c.history), c.compacted
	s.era++
	s.notifyWatches()
}

// write applies a row and notifies the watches. The caller holds the lock.
func (s *Store) write(r rows.Row) {
	k := rowKey{r.Table, r.Partition, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	s.notifyWatches()
}

// notifyWatches makes every pending watch check again. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// For returns the store's interface for one host, whose name selects the faults
// that apply.
func (s *Store) For(host string) rows.Store {
	return rows.Store{
		Read: func(ctx context.Context, r rows.Range) (rows.Reply, error) {
			return s.read(ctx, host, r)
		},
		Watch: func(
			ctx context.Context, table string, after int64, wait clock.Millis,
		) (rows.Reply, error) {
			return s.watch(ctx, host, table, after, wait)
		},
		Commit: func(ctx context.Context, c rows.Change) (rows.Reply, error) {
			return s.commit(ctx, host, c)
		},
	}
}

// refuses reports whether a host's calls for some tables are refused.
func (f Faults) refuses(host string, tables []string) bool {
	return f.Down || f.RefusedHosts[host] || slices.ContainsFunc(tables, func(t string) bool { return f.DownTables[t] })
}

// admit counts a call and applies the delay and the refusals. It returns the
// faults in force, or rows.ErrRefused or rows.ErrOutcomeUnknown.
func (s *Store) admit(ctx context.Context, host string, tables ...string) (Faults, error) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return f, rows.ErrOutcomeUnknown
		case <-s.clock.After(f.Delay):
		}
	}
	if f.refuses(host, tables) {
		return f, rows.ErrRefused
	}
	return f, nil
}

func (s *Store) read(ctx context.Context, host string, r rows.Range) (rows.Reply, error) {
	f, err := s.admit(ctx, host, r.Table)
	if err != nil {
		return rows.Reply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := rows.Reply{Era: s.era, Version: s.version - f.StaleBy, Now: s.clock.Now()}
	for _, row := range s.rows {
		if row.Table == r.Table && row.Partition == r.Partition &&
			row.Key >= r.From && (r.To == "" || row.Key < r.To) &&
			row.Version <= reply.Version {
			reply.Rows = append(reply.Rows, row)
		}
	}
	sort.Slice(reply.Rows, func(i, j int) bool { return reply.Rows[i].Key < reply.Rows[j].Key })
	return reply, nil
}

func (s *Store) watch(
	ctx context.Context, host, table string, after int64, wait clock.Millis,
) (rows.Reply, error) {
	if _, err := s.admit(ctx, host, table); err != nil {
		return rows.Reply{}, err
	}
	timeout := s.clock.After(wait)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		reply, changed, err := s.changes(host, table, era, after)
		if err != nil || len(reply.Rows) > 0 {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return rows.Reply{}, rows.ErrOutcomeUnknown
		case <-timeout:
			return reply, nil
		case <-changed:
		}
	}
}

// changes returns the changes of a table after a version for a watch that began in an era,
// and a channel that closes at the next change.
func (s *Store) changes(host, table string, era, after int64) (rows.Reply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.refuses(host, []string{table}) || s.era != era:
		return rows.Reply{}, nil, rows.ErrOutcomeUnknown
	case after < s.compacted || after > s.version:
		return rows.Reply{}, nil, rows.ErrHistoryGone
	}
	reply := rows.Reply{Era: s.era, Version: s.version, Now: s.clock.Now()}
	for _, row := range s.history {
		if !s.faults.MuteWatches && row.Table == table && row.Version > after {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply, s.changed, nil
}

func (s *Store) commit(ctx context.Context, host string, c rows.Change) (rows.Reply, error) {
	var tables []string
	for _, r := range slices.Concat(c.Expect, c.Writes, c.Removes) {
		tables = append(tables, r.Table)
	}
	f, err := s.admit(ctx, host, tables...)
	if err != nil {
		return rows.Reply{}, err
	}
	if f.ApplyDelay > 0 {
		go func() {
			<-s.clock.After(f.ApplyDelay)
			_, _ = s.apply(c) // the caller already has rows.ErrOutcomeUnknown
		}()
		return rows.Reply{}, rows.ErrOutcomeUnknown
	}
	reply, err := s.apply(c)
	if f.LoseResponses {
		return rows.Reply{}, rows.ErrOutcomeUnknown
	}
	return reply, err
}

// apply commits a change if every expected version matches.
func (s *Store) apply(c rows.Change) (rows.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.Expect {
		if s.rows[rowKey{e.Table, e.Partition, e.Key}].Version != e.Version {
			return rows.Reply{}, rows.ErrConflict
		}
	}
	s.version++
	for _, r := range c.Writes {
		r.Version = s.version
		s.write(r)
	}
	for _, r := range c.Removes {
		r.Version, r.Deleted = s.version, true
		s.write(r)
	}
	return rows.Reply{Era: s.era, Version: s.version, Now: s.clock.Now()}, nil
}
