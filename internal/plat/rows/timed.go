package rows

import (
	"context"

	"siskinsaddle/internal/base/clock"
)

// Call names a function of a Store.
type Call string

// The calls.
const (
	CallRead   Call = "Read"
	CallWatch  Call = "Watch"
	CallCommit Call = "Commit"
)

// WithObserver returns a store that passes the duration of each call, in milliseconds,
// and its error to a function.
func (s Store) WithObserver(c clock.Clock, observe func(call Call, took clock.Millis, err error)) Store {
	return Store{
		Read: func(ctx context.Context, r Range) (Reply, error) {
			began := c.Now()
			reply, err := s.Read(ctx, r)
			observe(CallRead, c.Now()-began, err)
			return reply, err
		},
		Watch: func(ctx context.Context, table string, after int64, wait clock.Millis) (Reply, error) {
			began := c.Now()
			reply, err := s.Watch(ctx, table, after, wait)
			observe(CallWatch, c.Now()-began, err)
			return reply, err
		},
		Commit: func(ctx context.Context, change Change) (Reply, error) {
			began := c.Now()
			reply, err := s.Commit(ctx, change)
			observe(CallCommit, c.Now()-began, err)
			return reply, err
		},
	}
}
