package watch

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/rows"
)

// The waits after calls that failed, in milliseconds. They end early when the
// reads that confirm the manifest find the store back.
const (
	firstRetry = 100 * clock.Millis(1)
	lastRetry  = 3_200 * clock.Millis(1)
)

// errStale is a reply that is older than what is known, which says nothing.
var errStale = errors.New("the store's reply is older than an earlier one")

// follower keeps up with one range of rows.
type follower struct {
	store rows.Store
	clock clock.Clock
	log   *logs.Limited
	of    rows.Range
	wait  clock.Millis
	// gather is the pause after a change, in which others join the next one.
	gather clock.Millis
	// onAll is given all rows, onChange those that changed, possibly none.
	onAll    func(rows.Reply)
	onChange func(rows.Reply)
	// onLost is given the number of failures in a row.
	onLost func(int)
	// back returns a channel that closes when another caller of the store got
	// an answer again.
	back func() <-chan struct{}

	// read tells that all rows were read, after which version to watch from.
	read  bool
	after int64
	lost  bool
}

func (f *follower) run(ctx context.Context) {
	pause := firstRetry
	failures := 0
	for ctx.Err() == nil {
		back := f.back()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause, failures = firstRetry, 0
			if f.lost {
				f.lost = false
				f.log.Info("The store answers again.")
			}
			continue
		}
		f.read = false
		if historyGone(err) {
			continue
		}
		failures++
		f.onLost(failures)
		if !f.lost {
			f.lost = true
			f.log.Warn("The store does not answer.", "err", err)
		}
		// A jitter of a half keeps hosts apart that lost the store together.
		jittered := pause/2 + clock.Millis(rand.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
		case <-back:
		case <-f.clock.After(jittered):
		}
		pause = min(2*pause, lastRetry)
	}
}

// step makes one call and hands on what it brought.
func (f *follower) step(ctx context.Context) error {
	if !f.read {
		reply, err := f.store.Read(ctx, f.of)
		if err != nil {
			return err
		}
		if reply.Version < f.after {
			return errStale
		}
		f.read, f.after = true, reply.Version
		f.onAll(reply)
		return nil
	}
	reply, err := f.store.Watch(ctx, f.of.Table, f.after, f.wait)
	if err != nil {
		return err
	}
	if len(reply.Rows) > 0 {
		f.after = max(f.after, reply.Version)
	}
	f.onChange(reply)
	if len(reply.Rows) > 0 && f.gather > 0 {
		select {
		case <-ctx.Done():
		case <-f.clock.After(f.gather):
		}
	}
	return nil
}
