// Package hostd makes one entry host out of its parts and runs it.
//
//	callers -> entry -> relay or calls -> wire -> backend servers
//	                         |
//	                       keeper (grants)      platform (list, table, objects)
//
// # Usage
//
//	h := &hostd.Host{Settings: s, List: list, Table: records, Objects: bodies, Log: l}
//	if err := h.Start(ctx); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	h.Stop(context.Background()) // graceful: finishes what is in progress
package hostd

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/confs"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/roll"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/calls"
	"siskinsaddle/internal/serve/entry"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/mfest"
)

// Host is one entry host. Set the exported fields before Start.
type Host struct {
	Settings confs.Settings
	List     roll.List
	Table    table.Store
	Objects  object.Store
	Clock    clock.Clock
	Count    *count.Set
	Log      *log.Logger

	pool   *ants.Pool
	client *wire.Client
	entry  *entry.Entry
	index  *mfest.Index
	solos  map[string]*solo
	tries  *tries
	cancel context.CancelFunc
	// listed tells that the platform's list was read at least once.
	listed  atomic.Bool
	stopped chan struct{}
}

// poolShare is how many attempts one caller connection may have at once.
const poolShare = 2

// Start opens the callers' address and begins to serve.
func (h *Host) Start(ctx context.Context) error {
	pool, err := ants.NewPool(poolShare*h.Settings.Callers.MaxConnections, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "pool of attempts")
	}
	h.pool = pool
	h.index = mfest.NewIndex(mfest.Default())
	h.client = &wire.Client{
		DialTimeout:     h.Settings.Backend.DialTimeoutMilliseconds,
		ProgressTimeout: h.Settings.Backend.ProgressTimeoutMilliseconds,
		MaxBodyBytes:    h.Settings.Backend.MaxAnswerBytes,
	}
	h.startSolos()
	h.tries = newTries(h.Clock, h.Settings.Backend.MaxAttempts, h.index)
	h.entry = h.newEntry()
	if err := h.entry.Listen(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(ctx)
	h.cancel = cancel
	h.stopped = make(chan struct{})
	go h.readList(background)
	go h.serve()
	return nil
}

func (h *Host) serve() {
	defer close(h.stopped)
	if err := h.entry.Serve(); err != nil {
		h.Log.Error("Stopped taking callers.", "error", err)
	}
}

// Address is the callers' address.
func (h *Host) Address() string {
	return h.entry.Address()
}

// Open is how many requests are open.
func (h *Host) Open() int {
	return h.entry.Open()
}

// Stop ends the host in order: readiness fails, the balancer gets its time,
// new requests are refused, and those in progress finish. Nothing in progress
// is cut off unless ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	h.entry.Refuse()
	select {
	case <-h.Clock.After(h.Settings.Stop.BalancerMilliseconds):
	case <-ctx.Done():
	}
	err := h.entry.Drain(ctx)
	<-h.stopped
	h.cancel()
	h.pool.Release()
	return err
}

func (h *Host) newEntry() *entry.Entry {
	return &entry.Entry{
		Settings: h.Settings.Callers,
		View:     func() entry.View { return entry.View{Index: h.index, Generation: 1} },
		Relay:    h.newRelay(),
		Calls:    h.newCalls(),
		Ready:    h.listed.Load,
		Clock:    h.Clock,
		Count:    h.Count,
		Log:      h.Log.WithPrefix("entry"),
	}
}

func (h *Host) newRelay() *relay.Relay {
	return &relay.Relay{
		Ask:          h.ask,
		Progress:     h.progress,
		Done:         h.done,
		Send:         h.client.Do,
		MayRetry:     h.tries.mayRetry,
		HedgeAfter:   h.tries.hedgeAfter,
		MayHedge:     h.tries.mayHedge,
		FirstToken:   h.tries.firstToken,
		Finished:     func(sched.Request) { h.tries.succeeded() },
		FirstTimeout: h.Settings.Backend.FirstTimeoutMilliseconds,
		Clock:        h.Clock,
		Count:        h.Count,
		Pool:         h.pool,
	}
}

func (h *Host) newCalls() *calls.Calls {
	return &calls.Calls{
		Ask:            h.ask,
		Done:           h.done,
		Send:           h.client.Do,
		MayRetry:       h.tries.mayRetry,
		Keyed:          h.keyed,
		FirstTimeout:   h.Settings.Backend.FirstTimeoutMilliseconds,
		MaxAnswerBytes: h.Settings.Backend.MaxAnswerBytes,
		Clock:          h.Clock,
		Count:          h.Count,
	}
}

// keyed sends once.
func (h *Host) keyed(ctx context.Context, c calls.Call, send calls.SendOnce) (calls.Answer, *refuse.Refusal) {
	tried := send(ctx, c.Method, c.Path, 0)
	if tried.Err == nil {
		return tried.Answer, nil
	}
	if tried.Sent == wire.SentNothing {
		return calls.Answer{}, refuse.New(refuse.ReasonBackendRefused)
	}
	return calls.Answer{}, refuse.New(refuse.ReasonOutcomeUnknown)
}
