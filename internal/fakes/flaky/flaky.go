// Package flaky puts faults in front of a table.Store, one for each call, so
// that a test decides which call fails and how.
//
// A delayed write is the worst of them: its caller is told nothing, reads the
// record and does not find it, and the write arrives later all the same.
//
// # Usage
//
//	f := &flaky.Table{Store: table.NewMemory(), Next: func() flaky.Fault { return flaky.LostAnswer }}
//	s := f.Wrap()
//	err := s.Put(ctx, r, c) // table.ErrUnsure, and r is there
//	f.Deliver()             // delayed writes arrive
package flaky

import (
	"context"
	"fmt"
	"sync"

	"siskinsaddle/internal/plat/table"
)

// Fault is what happens to one call.
type Fault string

// The faults. For a read, each but Throttled is like Down.
const (
	None        Fault = "None"
	Down        Fault = "Down"
	Throttled   Fault = "Throttled"
	LostRequest Fault = "LostRequest"
	LostAnswer  Fault = "LostAnswer"
	Delayed     Fault = "Delayed"
)

// All is every fault, for a test to draw from.
var All = []Fault{None, Down, Throttled, LostRequest, LostAnswer, Delayed}

// Counts are the calls so far, faulty ones included.
type Counts struct {
	Reads     int
	Writes    int
	Conflicts int
	// Bytes is the size of the bodies and names written.
	Bytes int
}

// Table is the store with faults. Next is asked before each call; nil is no
// fault.
type Table struct {
	Store table.Store
	Next  func() Fault

	mu      sync.Mutex
	delayed []func()
	counts  Counts
}

// Wrap returns the store that fails.
func (t *Table) Wrap() table.Store {
	return table.Store{
		Get: func(ctx context.Context, kind, name string) (table.Record, error) {
			if err := t.read(); err != nil {
				return table.Record{}, err
			}
			return t.Store.Get(ctx, kind, name)
		},
		List: func(ctx context.Context, kind, after string, limit int) (table.Page, error) {
			if err := t.read(); err != nil {
				return table.Page{}, err
			}
			return t.Store.List(ctx, kind, after, limit)
		},
		Put: func(ctx context.Context, r table.Record, c table.Condition) error {
			return t.write(len(r.Name)+len(r.Body), func() error { return t.Store.Put(ctx, r, c) })
		},
		Delete: func(ctx context.Context, kind, name string, c table.Condition) error {
			return t.write(len(name), func() error { return t.Store.Delete(ctx, kind, name, c) })
		},
	}
}

// Deliver lets every delayed write arrive, in order.
func (t *Table) Deliver() {
	t.mu.Lock()
	due := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	for _, write := range due {
		write()
	}
}

// Counts returns the calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

func (t *Table) next() Fault {
	if t.Next == nil {
		return None
	}
	return t.Next()
}

func (t *Table) count(change func(c *Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counts)
}

func (t *Table) read() error {
	t.count(func(c *Counts) { c.Reads++ })
	switch t.next() {
	case None:
		return nil
	case Throttled:
		return fmt.Errorf("read: %w", table.ErrThrottled)
	default:
		return fmt.Errorf("read: %w", table.ErrUnavailable)
	}
}

func (t *Table) write(size int, apply func() error) error {
	t.count(func(c *Counts) {
		c.Writes++
		c.Bytes += size
	})
	switch t.next() {
	case Down:
		return fmt.Errorf("write: %w", table.ErrUnavailable)
	case Throttled:
		return fmt.Errorf("write: %w", table.ErrThrottled)
	case LostRequest:
		return fmt.Errorf("write: %w", table.ErrOutcomeUnknown)
	case LostAnswer:
		_ = apply()
		return fmt.Errorf("write: %w", table.ErrOutcomeUnknown)
	case Delayed:
		t.mu.Lock()
		t.delayed = append(t.delayed, func() { _ = apply() })
		t.mu.Unlock()
		return fmt.Errorf("write: %w", table.ErrOutcomeUnknown)
	default:
		err := apply()
		if err != nil {
			t.count(func(c *Counts) { c.Conflicts++ })
		}
		return err
	}
}
