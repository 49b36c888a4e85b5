package news

import (
	"context"
	"math/rand/v2"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/rows"
)

// The waits after calls that failed, in milliseconds. The last is short enough
// that the store's return is known before the settling time of the servers'
// records ends.
const (
	firstRetry = 100 * clock.Millis(1)
	lastRetry  = 800 * clock.Millis(1)
)

// errStale is a reply that is older than what is known, which says nothing.
var errStale = errors.New("the store's reply is older than an earlier one")

// follower keeps up with one range of rows.
type follower struct {
	store rows.Store
	clock clock.Clock
	log   *log.Logger
	of    rows.Range
	wait  clock.Millis
	// onAll is given all rows, onChange those that changed, possibly none.
	onAll    func(rows.Reply)
	onChange func(rows.Reply)
	onLost   func()
	// onConfirmed is told the moment as of which the rows were complete.
	onConfirmed func(clock.Millis)

	// read tells that all rows were read, after which version to watch from.
	read  bool
	after int64
	lost  bool
	// offset is the least that is known of the local clock that counts
	// suspension over the store's; storeNow is the store's last reading.
	offset   clock.Millis
	hasTimes bool
	storeNow clock.Millis
}

func (f *follower) run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		sent := f.clock.Boot()
		err := f.step(ctx, sent)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = firstRetry
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
		f.onLost()
		if !f.lost {
			f.lost = true
			f.log.Warn("The store does not answer.", "err", err)
		}
		// A jitter of a half keeps hosts apart that lost the store together.
		jittered := pause/2 + clock.Millis(rand.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
		case <-f.clock.After(jittered):
		}
		pause = min(2*pause, lastRetry)
	}
}

// step makes one call and hands on what it brought.
func (f *follower) step(ctx context.Context, sent clock.Millis) error {
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
		f.confirm(sent, reply.Now)
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
	f.confirm(sent, reply.Now)
	return nil
}

// confirm works out the moment at which the store gave an answer. A call that
// waited was sent long before that; the store's clock, set off against calls
// that were answered at once, bounds the moment from below.
func (f *follower) confirm(sent, storeNow clock.Millis) {
	if f.hasTimes && storeNow < f.storeNow {
		f.hasTimes = false
	}
	f.storeNow = storeNow
	if bound := sent - storeNow; !f.hasTimes || bound > f.offset {
		f.offset, f.hasTimes = bound, true
	}
	f.onConfirmed(max(sent, storeNow+f.offset))
}
