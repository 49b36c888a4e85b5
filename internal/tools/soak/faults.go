package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/platform"
)

// play carries out a plan and returns when its last fault is over.
func (w *world) play(ctx context.Context, plan []Fault, progress io.Writer) {
	begin := w.now()
	var all sync.WaitGroup
	told := begin
	for i, f := range plan {
		for ctx.Err() == nil && w.now() < begin+f.At {
			w.pause(ctx, min(begin+f.At-w.now(), progressPeriod))
			if progress != nil && w.now() >= told+progressPeriod {
				told = w.now()
				w.mu.Lock()
				_, _ = fmt.Fprintf(progress, "%3d s: %d of %d faults begun, %d requests\n", told/clock.Second, i, len(plan), len(w.record.Sent))
				w.mu.Unlock()
			}
		}
		all.Go(func() { w.playOne(ctx, f) })
	}
	all.Wait()
}

// playOne begins a fault, waits for its end, and undoes it.
func (w *world) playOne(ctx context.Context, f Fault) {
	from := w.now()
	undo := acts[f.Kind](ctx, w, f)
	w.pause(ctx, f.Length)
	if undo != nil {
		undo()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Faults = append(w.record.Faults, Span{Kind: f.Kind, Host: f.Target, From: from, Until: w.now()})
}

// acts begin each kind of fault and return what undoes it, nil for nothing.
var acts map[Kind]func(ctx context.Context, w *world, f Fault) func()

func init() {
	acts = map[Kind]func(ctx context.Context, w *world, f Fault) func(){
		KindStop: func(ctx context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].stop(ctx)
			return nil
		},
		KindKill: func(_ context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].signal(syscall.SIGKILL)
			return nil
		},
		KindKillMany: func(_ context.Context, w *world, f Fault) func() {
			for i := range (len(w.hosts) + 1) / 2 {
				w.hosts[(f.Target+i)%len(w.hosts)].signal(syscall.SIGKILL)
			}
			return nil
		},
		KindPause: func(_ context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].signal(syscall.SIGSTOP)
			return func() { w.hosts[f.Target].signal(syscall.SIGCONT) }
		},
		KindHangup: func(_ context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].signal(syscall.SIGHUP)
			return nil
		},
		KindStoreAway:  storeFault,
		KindStoreSlow:  storeFault,
		KindStoreDeaf:  storeFault,
		KindStoreLost:  storeFault,
		KindTurnedAway: storeFault,
		KindStoreReset: func(_ context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].store.Reset()
			return nil
		},
		KindStoreSilent: func(_ context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].store.SetAllSilent(true)
			return func() { w.hosts[f.Target].store.SetAllSilent(false) }
		},
		KindStoreOneWay: func(_ context.Context, w *world, f Fault) func() {
			w.hosts[f.Target].store.SetOneWay(true)
			return func() { w.hosts[f.Target].store.SetOneWay(false) }
		},
		KindServerReset: func(_ context.Context, w *world, f Fault) func() {
			w.server(f).relay.Reset()
			return nil
		},
		KindServerSilent: func(_ context.Context, w *world, f Fault) func() {
			w.server(f).relay.SilenceOpen()
			return nil
		},
		KindServerDelayed: func(_ context.Context, w *world, f Fault) func() {
			s := w.server(f)
			s.relay.SetDelay(delay)
			return func() { s.relay.SetDelay(0) }
		},
		KindServerFaulty: serverFaulty,
		KindServerLeaves: serverLeaves,
		KindManifest: func(_ context.Context, w *world, _ Fault) func() {
			w.changeManifest()
			return nil
		},
		KindRevoke: revoke,
	}
}

const (
	// delay of each piece of a server's answer: with the events of a stream some
	// tenths of a second.
	delay = 30 * time.Millisecond
	// slowStore is how long the store takes for a call, in milliseconds: above
	// what a host waits for some of them.
	slowStore = 500 * clock.Millis(1)
	// faultyShare is the share of requests that a faulty server spoils.
	faultyShare = 0.3
)

// storeFault adds the fault to those of the store until it is undone.
func storeFault(_ context.Context, w *world, f Fault) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, f)
	w.setStore()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults = slices.DeleteFunc(w.faults, func(other Fault) bool { return other == f })
		w.setStore()
	}
}

// setStore puts all faults of the store together. The lock is held.
func (w *world) setStore() {
	all := memdb.Faults{RefusedHosts: map[string]bool{}}
	for _, f := range w.faults {
		switch f.Kind {
		case KindStoreAway:
			all.Down = true
		case KindStoreSlow:
			all.Delay = slowStore
		case KindStoreDeaf:
			all.MuteWatches = true
		case KindStoreLost:
			all.LoseResponses = true
		case KindTurnedAway:
			all.RefusedHosts[w.hosts[f.Target].settings.HostName] = true
		}
	}
	w.shelf.SetFaults(all)
}

// server is one of those that do not leave.
func (w *world) server(f Fault) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var staying []*server
	for _, s := range w.servers {
		if !s.leaving {
			staying = append(staying, s)
		}
	}
	return staying[f.Target%len(staying)]
}

// spoiled are the ways in which a faulty server meets a request.
var spoiled = []origin.Act{origin.Fail, origin.NotRun, origin.Reset, origin.Tear, origin.Stray, origin.Extra, origin.Early}

func serverFaulty(_ context.Context, w *world, f Fault) func() {
	s := w.server(f)
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(f.At)))
	s.Direct(func() (origin.Act, bool) {
		return spoiled[random.IntN(len(spoiled))], random.Float64() < faultyShare
	})
	return func() { s.Direct(func() (origin.Act, bool) { return origin.Answer, false }) }
}

// serverLeaves replaces a server: another one comes, this one says that it
// leaves, and ends when nothing may reach it any more.
func serverLeaves(ctx context.Context, w *world, f Fault) func() {
	s := w.server(f)
	if err := w.addServer(s.service); err != nil {
		w.failed(err)
		return nil
	}
	w.mu.Lock()
	s.leaving = true
	err := w.putServer(s)
	w.record.Left = append(w.record.Left, Leaving{Server: s.ID, At: w.now()})
	w.mu.Unlock()
	if err != nil {
		w.failed(err)
	}
	w.running.Go(func() {
		w.pause(ctx, boundDrain+boundContact)
		w.shelf.Delete(platform.ServersTable, s.ID)
	})
	return nil
}

// revoke puts a new key in the place of the oldest one.
func revoke(_ context.Context, w *world, f Fault) func() {
	w.mu.Lock()
	gone := w.keys[0]
	w.keys = append(slices.Clone(w.keys[1:]), fmt.Sprintf("key-%d-%d", f.At, w.manifest.Version))
	w.old = append(w.old, gone)
	w.mu.Unlock()
	w.changeManifest()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Revoked[gone] = w.now()
	return nil
}

// changeManifest puts the next version in force, in uneven steps.
func (w *world) changeManifest() {
	w.mu.Lock()
	w.manifest.Version += 1 + w.manifest.Version%3
	w.mu.Unlock()
	if err := w.putManifest(); err != nil {
		w.failed(err)
	}
}
