// Package flaky injects faults into the calls of a table.Store. A test chooses
// the fault for each call.
//
// A delayed write is the hardest fault to handle: the caller gets
// table.ErrOutcomeUnknown, reads the record and finds no change, and the write is
// applied later all the same.
//
// # Usage
//
//	f := &flaky.Table{Store: table.NewMemory(), NextFault: func() flaky.Fault { return flaky.LostAnswer }}
//	s := f.Wrap()
//	err := s.Put(ctx, r, c) // table.ErrOutcomeUnknown, although r is stored
//	f.ApplyDelayed()        // applies delayed writes
package flaky

import (
	"context"
	"fmt"
	"sync"

	"siskinsaddle/internal/plat/table"
)

// Fault is the fault that is injected into one call.
type Fault string

// The faults. On a read, every fault other than Throttled acts like Down.
const (
	None Fault = "None"
	// Down fails the call with table.ErrUnavailable.
	Down Fault = "Down"
	// Throttled fails the call with table.ErrThrottled.
	Throttled Fault = "Throttled"
	// LostRequest returns table.ErrOutcomeUnknown; the write is never applied.
	LostRequest Fault = "LostRequest"
	// LostAnswer returns table.ErrOutcomeUnknown after the write was applied.
	LostAnswer Fault = "LostAnswer"
	// Delayed returns table.ErrOutcomeUnknown; the write is applied by ApplyDelayed.
	Delayed Fault = "Delayed"
)

// AllFaults lists every value of Fault, None included, for randomized tests.
var AllFaults = []Fault{None, Down, Throttled, LostRequest, LostAnswer, Delayed}

// Counts are totals of the calls so far, those with an injected fault included.
type Counts struct {
	Reads  int
	Writes int
	// Conflicts are the writes without an injected fault that failed in the store.
	Conflicts int
	// Bytes is the total size of the names and bodies in writes.
	Bytes int
}

// Table injects faults into the calls to Store. NextFault chooses the fault of
// each call; if it is nil, there are none.
type Table struct {
	Store     table.Store
	NextFault func() Fault

	mu      sync.Mutex
	delayed []func()
	counts  Counts
}

// Wrap returns a store that injects the faults and otherwise calls t.Store.
func (t *Table) Wrap() table.Store {
	return table.Store{
		Get: func(ctx context.Context, kind, name string) (table.Record, error) {
			if err := t.readFault(); err != nil {
				return table.Record{}, err
			}
			return t.Store.Get(ctx, kind, name)
		},
		List: func(ctx context.Context, kind, after string, limit int) (table.Page, error) {
			if err := t.readFault(); err != nil {
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

// ApplyDelayed applies the delayed writes in the order of their calls.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	pending := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	for _, write := range pending {
		write()
	}
}

// Counts returns the totals so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

func (t *Table) nextFault() Fault {
	if t.NextFault == nil {
		return None
	}
	return t.NextFault()
}

func (t *Table) updateCounts(change func(c *Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counts)
}

func (t *Table) readFault() error {
	t.updateCounts(func(c *Counts) { c.Reads++ })
	switch t.nextFault() {
	case None:
		return nil
	case Throttled:
		return fmt.Errorf("read: %w", table.ErrThrottled)
	default:
		return fmt.Errorf("read: %w", table.ErrUnavailable)
	}
}

func (t *Table) write(size int, apply func() error) error {
	t.updateCounts(func(c *Counts) {
		c.Writes++
		c.Bytes += size
	})
	switch t.nextFault() {
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
			t.updateCounts(func(c *Counts) { c.Conflicts++ })
		}
		return err
	}
}
