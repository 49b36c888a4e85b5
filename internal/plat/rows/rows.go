// Package rows is the interface of a table store with reads, watches and conditional
// transactions. It contains no client: an implementation of the store's protocol sets
// the functions of a Store.
//
// # Usage
//
//	reply, err := store.Read(ctx, rows.Range{Table: "op"})
//	later, err := store.Watch(ctx, "op", reply.Version, 10*clock.Second)
//	if errors.Is(err, rows.ErrHistoryGone) {
//		// make a new snapshot read
//	}
package rows

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// The errors of a Store's functions.
var (
	// ErrHistoryGone reports that the store no longer has the changes after the
	// requested version, so that a new snapshot read is needed.
	ErrHistoryGone = errors.New("the store no longer has the requested history")
	// ErrRefused reports that the store refused the call and changed nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrConflict reports that a condition did not hold and nothing was changed.
	ErrConflict = errors.New("write conflict: a row does not have the expected version")
	// ErrOutcomeUnknown reports that it is unknown whether the call took effect.
	ErrOutcomeUnknown = errors.New("the store gave no answer")
)

// Row is one row of a table. Version is 0 for a row that does not exist.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
	Deleted   bool
}

// Range is a range of keys in one partition of a table: From is included, To is not. An
// empty bound is open.
type Range struct {
	Table     string
	Partition string
	From      string
	To        string
}

// Reply is the reply to a call. Version is the store's newest version, Now the time of
// its monotonic clock in milliseconds.
type Reply struct {
	Rows    []Row
	Era     int64
	Version int64
	Now     clock.Millis
}

// Revision returns the reply's position in the history of the store.
func (r Reply) Revision() Revision { return Revision{Era: r.Era, Version: r.Version} }

// Revision is a position in the history of the store. Each restore of the store from a copy
// begins a new era, in which the versions after the copy's are given out again.
type Revision struct {
	Era     int64
	Version int64
}

// Before reports whether the position is older than another one.
func (r Revision) Before(other Revision) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	return r.Version < other.Version
}

// Change is a transaction: it applies Writes and Removes if every row of Expect has the
// version given in it.
type Change struct {
	Expect  []Row
	Writes  []Row
	Removes []Row
}

// Store is the platform's table store.
type Store struct {
	// Read returns a snapshot of the rows of a range.
	Read func(ctx context.Context, r Range) (Reply, error)
	// Watch returns the rows of a table that changed after a version. If there
	// are none, it waits for a change, and returns no rows when the wait, in
	// milliseconds, is over.
	Watch func(ctx context.Context, table string, after int64, wait clock.Millis) (Reply, error)
	// Commit applies a transaction.
	Commit func(ctx context.Context, c Change) (Reply, error)
}
