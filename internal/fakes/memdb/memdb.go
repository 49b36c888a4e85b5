// Package memdb is a stand-in of the platform's row store, in memory and with
// faults: it can be away, slow, lose answers, apply changes late, turn single
// hosts away, forget its history, and have watches that hear nothing.
//
// # Usage
//
//	s := memdb.New(clk)
//	s.Put("op", "config", manifest)
//	store := s.For("host-1")
//	reply, err := store.Read(ctx, rows.Range{Table: "op"})
//	s.Set(memdb.Faults{Away: true})
package memdb

import (
	"context"
	"sort"
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/rows"
)

// Faults are what goes wrong. The zero value is a calm day.
type Faults struct {
	// Away refuses every call.
	Away bool
	// TurnedAway are the hosts that are refused while others are served.
	TurnedAway map[string]bool
	// Slow delays each answer, in milliseconds.
	Slow clock.Millis
	// LostAnswers applies changes without answering them.
	LostAnswers bool
	// Late applies a change this much later and does not answer, in
	// milliseconds, if its condition still holds then.
	Late clock.Millis
	// Deaf has watches hear nothing.
	Deaf bool
	// StaleBy has reads answer as of this many versions ago.
	StaleBy int64
}

// Shelf is the store. Take New; it is safe for concurrent use.
type Shelf struct {
	clock clock.Clock

	mu      sync.Mutex
	rows    map[rowKey]rows.Row
	version int64
	// history is every change since forgotten.
	history   []rows.Row
	forgotten int64
	changed   chan struct{}
	faults    Faults
	calls     int
}

type rowKey struct{ table, part, key string }

// New returns an empty Shelf.
func New(c clock.Clock) *Shelf {
	return &Shelf{clock: c, rows: map[rowKey]rows.Row{}, changed: make(chan struct{})}
}

// Set replaces the faults.
func (s *Shelf) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls is the number of calls so far, refused ones included.
func (s *Shelf) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as an operator or a server does, whatever the faults.
func (s *Shelf) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rows.Row{Table: table, Key: key, Value: value, Version: s.version})
	return s.version
}

// Drop removes a row, whatever the faults.
func (s *Shelf) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rows.Row{Table: table, Key: key, Version: s.version, Deleted: true})
}

// Forget drops the history: watches from before have to read everything again.
func (s *Shelf) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.version
	s.wake()
}

// write applies a row and wakes the watches. The lock is held.
func (s *Shelf) write(r rows.Row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	s.wake()
}

func (s *Shelf) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// For returns the store as one host sees it.
func (s *Shelf) For(host string) rows.Store {
	return rows.Store{
		Read: func(ctx context.Context, r rows.Range) (rows.Reply, error) {
			return s.read(ctx, host, r)
		},
		Watch: func(ctx context.Context, table string, after int64, wait clock.Millis) (rows.Reply, error) {
			return s.watch(ctx, host, table, after, wait)
		},
		Commit: func(ctx context.Context, c rows.Change) (rows.Reply, error) {
			return s.commit(ctx, host, c)
		},
	}
}

// enter counts a call and lets it pass or not.
func (s *Shelf) enter(ctx context.Context, host string) (Faults, error) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return f, rows.ErrNoAnswer
		case <-s.clock.After(f.Slow):
		}
	}
	if f.Away || f.TurnedAway[host] {
		return f, rows.ErrRefused
	}
	return f, nil
}

func (s *Shelf) read(ctx context.Context, host string, r rows.Range) (rows.Reply, error) {
	f, err := s.enter(ctx, host)
	if err != nil {
		return rows.Reply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := rows.Reply{Version: s.version - f.StaleBy, Now: s.clock.Now()}
	for _, row := range s.rows {
		if row.Table == r.Table && row.Part == r.Part && row.Key >= r.From && (r.To == "" || row.Key < r.To) && row.Version <= reply.Version {
			reply.Rows = append(reply.Rows, row)
		}
	}
	sort.Slice(reply.Rows, func(i, j int) bool { return reply.Rows[i].Key < reply.Rows[j].Key })
	return reply, nil
}

func (s *Shelf) watch(ctx context.Context, host, table string, after int64, wait clock.Millis) (rows.Reply, error) {
	if _, err := s.enter(ctx, host); err != nil {
		return rows.Reply{}, err
	}
	ended := s.clock.After(wait)
	for {
		s.mu.Lock()
		changed := s.changed
		reply := rows.Reply{Version: s.version, Now: s.clock.Now()}
		gone := after < s.forgotten
		away := s.faults.Away || s.faults.TurnedAway[host]
		if !s.faults.Deaf {
			for _, row := range s.history {
				if row.Table == table && row.Version > after {
					reply.Rows = append(reply.Rows, row)
				}
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			return rows.Reply{}, rows.ErrNoAnswer
		case gone:
			return rows.Reply{}, rows.ErrHistoryGone
		case len(reply.Rows) > 0:
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return rows.Reply{}, rows.ErrNoAnswer
		case <-ended:
			return reply, nil
		case <-changed:
		}
	}
}

func (s *Shelf) commit(ctx context.Context, host string, c rows.Change) (rows.Reply, error) {
	f, err := s.enter(ctx, host)
	if err != nil {
		return rows.Reply{}, err
	}
	if f.Late > 0 {
		go func() {
			<-s.clock.After(f.Late)
			_, _ = s.apply(c) // its caller was told nothing
		}()
		return rows.Reply{}, rows.ErrNoAnswer
	}
	reply, err := s.apply(c)
	if f.LostAnswers {
		return rows.Reply{}, rows.ErrNoAnswer
	}
	return reply, err
}

func (s *Shelf) apply(c rows.Change) (rows.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.Expect {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].Version != e.Version {
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
	return rows.Reply{Version: s.version, Now: s.clock.Now()}, nil
}
