// Package rows describes a table store whose rows are read, watched and
// changed under a condition. It holds no client: whoever speaks the store's
// protocol fills in a Store.
//
// # Usage
//
//	reply, err := store.Read(ctx, rows.Range{Table: "op"})
//	later, err := store.Watch(ctx, "op", reply.Version, 10*clock.Second)
//	if errors.Is(err, rows.ErrHistoryGone) {
//		// read everything again
//	}
package rows

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// The errors of a Store's functions.
var (
	// ErrHistoryGone tells that changes after the wanted version are no longer
	// known, so that everything has to be read again.
	ErrHistoryGone = errors.New("the store no longer has the history that was asked for")
	// ErrRefused tells that the store refused the call and did nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrConflict tells that a condition did not hold and nothing was changed.
	ErrConflict = errors.New("a row has another version than expected")
	// ErrNoAnswer tells that it is unknown whether the call took effect.
	ErrNoAnswer = errors.New("the store gave no answer")
)

// Row is one row. Version is 0 for a row that does not exist.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Range is the keys of one part of a table from From up to To without it;
// empty bounds are open.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
}

// Reply is an answer about rows. Version is the store's newest, Now its steady
// clock in milliseconds.
type Reply struct {
	Rows    []Row
	Version int64
	Now     clock.Millis
}

// Change is a transaction: it applies Writes and Removes if every row of Expect
// has the version that is given with it.
type Change struct {
	Expect  []Row
	Writes  []Row
	Removes []Row
}

// Store is the platform's table store.
type Store struct {
	// Read returns the rows of a range as of one moment.
	Read func(ctx context.Context, r Range) (Reply, error)
	// Watch returns the rows of a table that changed after a version, at once
	// or as soon as there is one, and none after the wait in milliseconds.
	Watch func(ctx context.Context, table string, after int64, wait clock.Millis) (Reply, error)
	// Commit applies a change.
	Commit func(ctx context.Context, c Change) (Reply, error)
}
