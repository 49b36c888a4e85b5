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
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/platform"
)

// runPlan injects the faults of a plan and returns when the last one has ended.
func (hn *harness) runPlan(ctx context.Context, plan []Fault, progress io.Writer) {
	begin := hn.now()
	var all sync.WaitGroup
	lastProgress := begin
	for i, f := range plan {
		for ctx.Err() == nil && hn.now() < begin+f.At {
			hn.pause(ctx, min(begin+f.At-hn.now(), progressPeriod))
			if progress != nil && hn.now() >= lastProgress+progressPeriod {
				lastProgress = hn.now()
				hn.mu.Lock()
				_, _ = fmt.Fprintf(progress, "%3d s: %d of %d faults injected, %d requests\n", lastProgress/clock.Second, i, len(plan), len(hn.record.Requests))
				hn.mu.Unlock()
			}
		}
		all.Go(func() { hn.injectFault(ctx, f) })
	}
	all.Wait()
}

// injectFault injects a fault, waits for its duration, undoes it and records its span.
func (hn *harness) injectFault(ctx context.Context, f Fault) {
	from := hn.now()
	undo := injectors[f.Kind](ctx, hn, f)
	hn.pause(ctx, f.Duration)
	if undo != nil {
		undo()
	}
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.record.Faults = append(hn.record.Faults, Span{Kind: f.Kind, Host: f.Target, From: from, Until: hn.now()})
}

// injectors inject each kind of fault and return the function that undoes it, or nil.
var injectors map[Kind]func(ctx context.Context, hn *harness, f Fault) func()

func init() {
	injectors = map[Kind]func(ctx context.Context, hn *harness, f Fault) func(){
		KindStop: func(ctx context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].stop(ctx)
			return nil
		},
		KindKill: func(_ context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].signal(syscall.SIGKILL)
			return nil
		},
		KindKillMany: func(_ context.Context, hn *harness, f Fault) func() {
			for i := range (len(hn.hosts) + 1) / 2 {
				hn.hosts[(f.Target+i)%len(hn.hosts)].signal(syscall.SIGKILL)
			}
			return nil
		},
		KindPause: func(_ context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].signal(syscall.SIGSTOP)
			return func() { hn.hosts[f.Target].signal(syscall.SIGCONT) }
		},
		KindHangup: func(_ context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].signal(syscall.SIGHUP)
			return nil
		},
		KindStoreDown:          storeFault,
		KindStoreSlow:          storeFault,
		KindStoreWatchesSilent: storeFault,
		KindStoreLostAnswers:   storeFault,
		KindStoreRejectsHost:   storeFault,
		KindStoreBroken:        storeFault,
		KindServersTableDown:   storeFault,
		KindStoreRestored:      restoreStore,
		KindStoreReset: func(_ context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].storeRelay.Reset()
			return nil
		},
		KindStoreSilent: func(_ context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].storeRelay.SetAllSilent(true)
			return func() { hn.hosts[f.Target].storeRelay.SetAllSilent(false) }
		},
		KindStoreOneWay: func(_ context.Context, hn *harness, f Fault) func() {
			hn.hosts[f.Target].storeRelay.SetOneWay(true)
			return func() { hn.hosts[f.Target].storeRelay.SetOneWay(false) }
		},
		KindStoreChannelsDead: func(_ context.Context, hn *harness, _ Fault) func() {
			for _, h := range hn.hosts {
				h.storeRelay.SilenceOpen()
			}
			return nil
		},
		KindServerReset: func(_ context.Context, hn *harness, f Fault) func() {
			hn.targetServer(f).relay.Reset()
			return nil
		},
		KindServerSilent: func(_ context.Context, hn *harness, f Fault) func() {
			hn.targetServer(f).relay.SilenceOpen()
			return nil
		},
		KindServerDelayed: func(_ context.Context, hn *harness, f Fault) func() {
			s := hn.targetServer(f)
			s.relay.SetDelay(serverDelay)
			return func() { s.relay.SetDelay(0) }
		},
		KindServerFaulty:  makeServerFaulty,
		KindServerRefuses: makeServerRefuse,
		KindServerLeaves:  replaceServer,
		KindServerRemoved: removeServer,
		KindManifest: func(_ context.Context, hn *harness, _ Fault) func() {
			hn.changeManifest()
			return nil
		},
		KindRevoke:       replaceOldestKey,
		KindDomainCut:    cutDomain,
		KindServersCrash: crashServers,
		KindPoison:       startPoison,
		KindLimit:        limitServer,
		KindSaysLeaving:  announceLeaving,
		KindHoldOff:      holdOff,
		KindOddRecords:   writeOddRecords,
	}
}

const (
	// serverDelay delays each piece of a server's response, which adds some tenths of
	// a second to a stream.
	serverDelay = 30 * time.Millisecond
	// storeDelay is the duration of a call to a slow store, in milliseconds: longer
	// than the timeout of hosts for some calls.
	storeDelay = 500 * clock.Millis(1)
	// faultyShare is the share of requests to which a faulty server misbehaves.
	faultyShare = 0.3
)

// storeFault adds a fault to the active faults of the store until it is undone.
func storeFault(_ context.Context, hn *harness, f Fault) func() {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.faults = append(hn.faults, f)
	hn.applyStoreFaults()
	return func() {
		hn.mu.Lock()
		defer hn.mu.Unlock()
		hn.faults = slices.DeleteFunc(hn.faults, func(other Fault) bool { return other == f })
		hn.applyStoreFaults()
	}
}

// applyStoreFaults combines the active faults and sets them on the store. The caller
// holds the lock.
func (hn *harness) applyStoreFaults() {
	all, broken := memdb.Faults{RefusedHosts: map[string]bool{}}, spoil.Kind("")
	for _, f := range hn.faults {
		switch f.Kind {
		case KindStoreDown, KindStoreRestored:
			all.Down = true
		case KindServersTableDown:
			all.DownTables = map[string]bool{platform.ServersTable: true}
		case KindStoreSlow:
			all.Delay = storeDelay
		case KindStoreWatchesSilent:
			all.MuteWatches = true
		case KindStoreLostAnswers:
			all.LoseResponses = true
		case KindStoreBroken:
			broken = spoil.Kinds[int(f.At)%len(spoil.Kinds)]
		case KindStoreRejectsHost:
			all.RefusedHosts[hn.hosts[f.Target].settings.HostName] = true
		}
	}
	hn.store.SetFaults(all)
	hn.brokenStore = broken
}

func (hn *harness) brokenStoreKind() spoil.Kind {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	return hn.brokenStore
}

// targetServer returns the target of a fault among the servers that do not leave.
func (hn *harness) targetServer(f Fault) *server {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	var staying []*server
	for _, s := range hn.servers {
		if !s.leaving {
			staying = append(staying, s)
		}
	}
	return staying[f.Target%len(staying)]
}

// faultyActs are the ways in which a faulty server misbehaves.
var faultyActs = []origin.Behavior{
	origin.Fail, origin.NotRun, origin.Reset, origin.Tear, origin.Stray, origin.Extra, origin.Early,
	origin.EndlessHeader, origin.EndlessBody, origin.EndlessChunks, origin.EndlessEvent, origin.Trickle,
	origin.ZeroStatus, origin.BlankInName, origin.ControlInName, origin.FoldedLine, origin.CutHeader, origin.EarlyCut,
}

// faultyStreams are the ways in which only an engine misbehaves.
var faultyStreams = []origin.Behavior{
	origin.HalfEvent, origin.HalfEventChunks, origin.NoEvent, origin.CutStream, origin.UnframedStream,
	origin.LengthStream, origin.LengthStreamAtOnce, origin.CutLengthStream, origin.LongEvent, origin.MalformedChunk,
}

// resumeActs are the ways in which engines answer a request that resumes a stream of a faulty
// one.
var resumeActs = []origin.Behavior{
	origin.Answer, origin.Fail, origin.ErrorAsSuccess, origin.ErrorHead, origin.NoContent, origin.EmptySuccess, origin.NoEvents, origin.StartOver,
	origin.ZeroStatus, origin.BlankInName, origin.FoldedLine, origin.CutHeader, origin.MalformedChunk,
}

func makeServerFaulty(_ context.Context, hn *harness, f Fault) func() {
	s := hn.targetServer(f)
	random := rand.New(rand.NewPCG(hn.options.Seed, uint64(f.At)))
	acts := slices.Concat(faultyActs, strayCalls)
	if s.Stream {
		acts = append(acts, faultyStreams...)
	} else {
		acts = append(acts, lateCalls...)
	}
	s.SetScript(func() (origin.Behavior, bool) {
		return acts[random.IntN(len(acts))], random.Float64() < faultyShare
	})
	setResume := func(b origin.Behavior) {
		hn.mu.Lock()
		defer hn.mu.Unlock()
		for _, other := range hn.servers {
			other.SetResumeBehavior(b)
		}
	}
	if s.Stream {
		setResume(resumeActs[random.IntN(len(resumeActs))])
	}
	return func() {
		s.SetScript(func() (origin.Behavior, bool) { return origin.Answer, false })
		setResume("")
	}
}

// ranRefusals are the ways in which a server refuses a request that it has run.
var ranRefusals = []origin.Behavior{origin.RanUnavailable, origin.RanLimited, origin.RanTimedOut, origin.RanEarly}

// makeServerRefuse has a server run a part of its requests and refuse them.
func makeServerRefuse(_ context.Context, hn *harness, f Fault) func() {
	s := hn.targetServer(f)
	random := rand.New(rand.NewPCG(hn.options.Seed, uint64(f.At)))
	s.SetScript(func() (origin.Behavior, bool) {
		return ranRefusals[random.IntN(len(ranRefusals))], random.Float64() < faultyShare
	})
	return func() { s.SetScript(func() (origin.Behavior, bool) { return origin.Answer, false }) }
}

// replaceServer adds a server and marks another one as leaving. The store drops the
// leaving server once no request may reach it any more.
func replaceServer(ctx context.Context, hn *harness, f Fault) func() {
	hn.departServer(ctx, hn.targetServer(f), hn.putServer)
	return nil
}

// removeServer adds a server and removes the record of another one, which has not said that it
// leaves.
func removeServer(ctx context.Context, hn *harness, f Fault) func() {
	hn.departServer(ctx, hn.targetServer(f), func(s *server) error {
		hn.store.Delete(platform.ServersTable, s.ID)
		return nil
	})
	return nil
}

// departServer replaces a server by a new one. Announce makes the store say that it leaves.
func (hn *harness) departServer(ctx context.Context, s *server, announce func(*server) error) {
	if err := hn.addServer(s.service); err != nil {
		hn.recordError(err)
		return
	}
	hn.mu.Lock()
	s.leaving = true
	err := announce(s)
	hn.record.Departures = append(hn.record.Departures, Departure{Server: s.ID, At: hn.now()})
	hn.mu.Unlock()
	if err != nil {
		hn.recordError(err)
	}
	hn.running.Go(func() {
		hn.pause(ctx, boundDrain+boundContact)
		hn.mu.Lock()
		s.gone = true
		hn.mu.Unlock()
		hn.store.Delete(platform.ServersTable, s.ID)
	})
}

// replaceOldestKey revokes the oldest key and adds a new one.
func replaceOldestKey(_ context.Context, hn *harness, f Fault) func() {
	hn.mu.Lock()
	revoked := hn.keys[0]
	hn.keys = append(slices.Clone(hn.keys[1:]), fmt.Sprintf("key-%d-%d", f.At, hn.manifest.Version))
	hn.revokedKeys = append(hn.revokedKeys, revoked)
	hn.mu.Unlock()
	hn.changeManifest()
	hn.mu.Lock()
	defer hn.mu.Unlock()
	hn.record.Revoked[revoked] = hn.now()
	return nil
}

// changeManifest puts a new manifest in force, whose version is 1 to 3 higher.
func (hn *harness) changeManifest() {
	hn.mu.Lock()
	hn.manifest.Version += 1 + hn.manifest.Version%3
	hn.mu.Unlock()
	if err := hn.putManifest(); err != nil {
		hn.recordError(err)
	}
}
