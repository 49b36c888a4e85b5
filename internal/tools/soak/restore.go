package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/platform"
)

const (
	// copyPeriod is the time between two copies of the store, of which maxCopies are
	// kept, in milliseconds.
	copyPeriod = 500 * clock.Millis(1)
	maxCopies  = 16
	// maxRewriteDelay is the longest time until an operator or a server writes again what
	// a restore has lost, in milliseconds. Operators and hosts have 2 s.
	maxRewriteDelay = 1_500 * clock.Millis(1)
	// silentRecordTime is the time after which the store removes the record of a server
	// that does not write, in milliseconds.
	silentRecordTime = 3_600 * clock.Millis(1)
)

// copyStore copies the store periodically, for restores.
func (hn *harness) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		hn.keepCopy(hn.store.Copy())
		hn.pause(ctx, copyPeriod)
	}
}

func (hn *harness) keepCopy(c memdb.Copy) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.copies = append(hn.copies, c)
	hn.copies = hn.copies[max(len(hn.copies)-maxCopies, 0):]
}

// restoreStore takes the store down and restores it from a copy at the end of the fault.
func restoreStore(ctx context.Context, hn *harness, f Fault) func() {
	up := storeFault(ctx, hn, f)
	random := rand.New(rand.NewPCG(hn.options.Seed, uint64(f.At)))
	return func() {
		hn.mu.Lock()
		old := hn.copies[random.IntN(len(hn.copies))]
		hn.store.Restore(old)
		servers := slices.Concat(hn.servers, hn.crashed)
		hn.mu.Unlock()
		up()
		for _, s := range servers {
			delay := clock.Millis(random.Int64N(int64(maxRewriteDelay)))
			hn.running.Go(func() {
				hn.pause(ctx, delay)
				hn.rewriteServer(ctx, s)
			})
		}
		delay := clock.Millis(random.Int64N(int64(maxRewriteDelay)))
		hn.running.Go(func() {
			hn.pause(ctx, delay)
			if err := hn.putManifest(); err != nil {
				hn.recordError(err)
			}
		})
	}
}

// rewriteServer writes the record of a server again if it is lost. A server that is gone does not, and
// the store removes what the copy has of it.
func (hn *harness) rewriteServer(ctx context.Context, s *server) {
	hn.mu.Lock()
	gone := s.gone || !slices.Contains(hn.servers, s)
	var err error
	if !gone && !hn.store.Has(platform.ServersTable, s.ID, s.written) {
		err = hn.putServer(s)
	}
	hn.mu.Unlock()
	if err != nil {
		hn.recordError(err)
	}
	if gone {
		hn.pause(ctx, silentRecordTime)
		hn.store.Delete(platform.ServersTable, s.ID)
	}
}

// boundRestore is the time after a restore within which hosts accept keys again: 2 s until
// the manifest is settled, and the time within which a change is in force.
const boundRestore = 2*clock.Second + boundApply

// restoresAreOvercome finds requests that a host refused, since it could not confirm its
// manifest, longer than boundRestore after a restore.
func restoresAreOvercome(r Record) []string {
	var found []string
	for _, s := range r.Requests {
		if s.Status != 503 || !strings.Contains(s.Body, `"`+string(refuse.ReasonUnconfirmed)+`"`) {
			continue
		}
		for _, f := range r.Faults {
			if f.Kind == KindStoreRestored && s.At > f.Until+boundRestore && !r.storeUnreachable(s.Host, f.Until, s.Ended) {
				found = append(found, fmt.Sprintf("host %d refused %s %d ms after a restore of the store", s.Host, s.ID, s.At-f.Until))
				break
			}
		}
	}
	return found
}

// storeUnreachable reports whether a fault may have kept a host from the store within a
// time span, or from its process.
func (r Record) storeUnreachable(host int, from, until clock.Millis) bool {
	for _, f := range r.Faults {
		byHost := f.Kind.affectsOneHost() && f.Host == host
		byStore := strings.HasPrefix(string(f.Kind), "Store") || f.Kind == KindKillMany || f.Kind == KindDomainCut
		if (byHost || byStore) && f.From < until && f.Until > from {
			return true
		}
	}
	return r.overlapsLag(from, until)
}
