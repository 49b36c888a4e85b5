package watch

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/rows"
)

// The bounds of the delay after a failed call, in milliseconds. The delay ends
// early when a read that confirms the manifest succeeds again. It counts from the start of
// the call, which may have taken long without an answer, but at least retryPause follows.
const (
	minRetryDelay = 100 * clock.Millis(1)
	maxRetryDelay = 3_200 * clock.Millis(1)
	retryPause    = 50 * clock.Millis(1)
)

// errStale reports a reply that is older than an earlier one. Its rows are ignored and
// the call counts as failed.
var errStale = errors.New("stale reply: the store's version went back")

// errUnreadable reports a manifest that cannot be decoded.
var errUnreadable = errors.New("the manifest cannot be read")

// errUnsettled reports a manifest of a restored store that may be older than the newest one.
var errUnsettled = errors.New("the restored manifest may lack changes")

// follower reads one range of rows and watches its table for changes.
type follower struct {
	store rows.Store
	clock clock.Clock
	log   *logs.Limited
	span  rows.Range
	// watchWait is the longest time of one Watch call, in milliseconds.
	watchWait clock.Millis
	// batchDelay is the delay before the next Watch call after a change, in
	// milliseconds, so that one reply brings several changes.
	batchDelay clock.Millis
	// onSnapshot gets all rows, onChange the changed ones, possibly none.
	onSnapshot func(rows.Reply)
	onChange   func(rows.Reply)
	// enterEra checks the era of each reply.
	enterEra  func(era int64) error
	onFailure func()
	// retryDelay returns the delay after a failed call from that after the failed call before,
	// 0 if there is none, in milliseconds. Jitter makes it up to half as long again.
	retryDelay func(previous clock.Millis) clock.Millis
	// recovered returns a channel that closes when another caller of the store
	// succeeds after a failure.
	recovered func() <-chan struct{}
	// suspected returns a channel that closes when the store may be down. An open watch
	// is given up for a snapshot read then.
	suspected func() <-chan struct{}

	// hasSnapshot is set after a snapshot read. after is the position from which
	// to watch.
	hasSnapshot bool
	after       rows.Revision
	failing     bool
}

func (f *follower) run(ctx context.Context) {
	delay := clock.Millis(0)
	for ctx.Err() == nil {
		recovered := f.recovered()
		began := f.clock.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			delay = 0
			if f.failing {
				f.failing = false
				f.log.Info("The store answers again.")
			}
			continue
		}
		f.hasSnapshot = false
		if historyGone(err) {
			continue
		}
		f.onFailure()
		if !f.failing {
			f.failing = true
			f.log.Warn("The store does not answer.", "err", err)
		}
		delay = f.retryDelay(delay)
		// Jitter of 50% spreads the retries of hosts that failed at the same time.
		jittered := delay/2 + clock.Millis(rand.Int64N(int64(delay)))
		jittered = max(jittered-(f.clock.Now()-began), retryPause)
		select {
		case <-ctx.Done():
		case <-recovered:
		case <-f.clock.After(jittered):
		}
	}
}

// backOff returns twice the previous delay, from minRetryDelay up to a longest one.
func backOff(previous, longest clock.Millis) clock.Millis {
	return min(max(2*previous, minRetryDelay), longest)
}

// step makes one call to the store and passes its reply to the callbacks.
func (f *follower) step(ctx context.Context) error {
	if !f.hasSnapshot {
		reply, err := f.store.Read(ctx, f.span)
		if err != nil {
			return err
		}
		if err := f.enterEra(reply.Era); err != nil {
			return err
		}
		if reply.Revision().Before(f.after) {
			return errStale
		}
		f.hasSnapshot, f.after = true, reply.Revision()
		f.onSnapshot(reply)
		return nil
	}
	reply, err := f.watch(ctx)
	if err != nil || !f.hasSnapshot {
		return err
	}
	if err := f.enterEra(reply.Era); err != nil {
		return err
	}
	if reply.Era != f.after.Era {
		// The position is one of another history.
		f.hasSnapshot = false
		return nil
	}
	if len(reply.Rows) > 0 {
		f.after.Version = max(f.after.Version, reply.Version)
	}
	f.onChange(reply)
	if len(reply.Rows) > 0 && f.batchDelay > 0 {
		select {
		case <-ctx.Done():
		case <-f.clock.After(f.batchDelay):
		}
	}
	return nil
}

// watch makes one Watch call. It clears hasSnapshot if it gave the call up.
func (f *follower) watch(ctx context.Context) (rows.Reply, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	suspected := f.suspected()
	go func() {
		select {
		case <-suspected:
			cancel()
		case <-callCtx.Done():
		}
	}()
	reply, err := f.store.Watch(callCtx, f.span.Table, f.after.Version, f.watchWait)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		f.hasSnapshot = false
		return rows.Reply{}, nil
	}
	return reply, err
}
