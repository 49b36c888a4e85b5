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
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/serve/admin"
	"siskinsaddle/internal/serve/calls"
	"siskinsaddle/internal/serve/entry"
	"siskinsaddle/internal/serve/probe"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/claim"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/keeper"
	"siskinsaddle/internal/share/link"
)

// Host is one entry host. Set the exported fields before Start.
type Host struct {
	Settings config.Settings
	List     disco.List
	Table    table.Store
	Objects  object.Store
	Clock    clock.Clock
	Count    *count.Set
	Log      *log.Logger

	pool      *ants.Pool
	client    *wire.Client
	machines  *machines
	governed  *governed
	tries     *tries
	link      *link.Node
	members   *hosts.Node
	holder    *accept.Holder
	watch     *accept.Watch
	collector *accept.Collector
	keeper    *keeper.Node
	prober    *probe.Prober
	desk      *claim.Desk
	calls     *calls.Calls
	entry     *entry.Entry
	admin     *admin.Server

	orders  sync.WaitGroup
	cancel  context.CancelFunc
	stopped chan struct{}
}

// poolShare is how many attempts one caller connection may have at once.
const poolShare = 2

// Start makes the parts, opens the addresses and begins to serve. It returns
// before the host is ready: readiness waits for the platform's list and for a
// manifest that is known to be in force.
func (h *Host) Start(ctx context.Context) error {
	pool, err := ants.NewPool(poolShare*h.Settings.Callers.MaxConnections, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "pool of attempts")
	}
	h.pool = pool
	h.client = &wire.Client{
		DialTimeout:     h.Settings.Backend.DialTimeoutMilliseconds,
		ProgressTimeout: h.Settings.Backend.ProgressTimeoutMilliseconds,
		MaxBodyBytes:    h.Settings.Backend.MaxAnswerBytes,
	}
	h.tries = newTries(h.Clock, h.Count, h.Settings.Backend.MaxAttempts)
	h.governed = &governed{changed: h.tries.govern}
	h.machines = &machines{
		read:   h.List,
		clock:  h.Clock,
		period: h.Settings.Platform.ListPeriodMilliseconds,
		log:    h.Log.WithPrefix("platform"),
	}
	h.machines.refresh(ctx)
	if err := h.startPeers(ctx); err != nil {
		return err
	}
	h.startManifest()
	h.startGroups()
	h.desk = h.newDesk()
	h.calls = h.newCalls()
	h.entry = h.newEntry()
	if err := h.entry.Listen(); err != nil {
		return err
	}
	h.admin = h.newAdmin()
	if err := h.admin.Start(); err != nil {
		return err
	}
	return h.run(ctx)
}

// run starts the loops of all parts.
func (h *Host) run(ctx context.Context) error {
	background, cancel := context.WithCancel(ctx)
	h.cancel = cancel
	if err := h.link.Start(background); err != nil {
		cancel()
		return errors.Wrap(err, "links")
	}
	h.loop(background, "link", h.link.Run)
	// The first view was made before the keeper could follow it.
	h.keeper.ViewChanged(h.members.View())
	go h.machines.run(background)
	h.loop(background, "hosts", h.members.Run)
	h.loop(background, "keeper", h.keeper.Run)
	h.loop(background, "claims", h.desk.Run)
	go h.sweepClaims(background)
	go h.runManifest(background)
	go h.prober.Run(background)
	h.orders.Add(1)
	go func() {
		defer h.orders.Done()
		h.runOrders(background)
	}()
	h.stopped = make(chan struct{})
	go h.serve()
	return nil
}

// loop runs a part until the context ends and logs any other end.
func (h *Host) loop(ctx context.Context, name string, run func(context.Context) error) {
	go func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			h.Log.WithPrefix(name).Error("Stopped.", "error", err)
		}
	}()
}

func (h *Host) serve() {
	defer close(h.stopped)
	if err := h.entry.Serve(); err != nil {
		h.Log.WithPrefix("host").Error("Stopped taking callers.", "error", err)
	}
}

// Address is the callers' address.
func (h *Host) Address() string {
	return h.entry.Address()
}

// OperatorAddress is the operators' address.
func (h *Host) OperatorAddress() string {
	return h.admin.Listening()
}

// LinkAddress is the address of the links.
func (h *Host) LinkAddress() string {
	return h.link.Addr()
}

// Open is how many requests are open.
func (h *Host) Open() int {
	return h.entry.Open()
}

// Stop ends the host in order: readiness fails, the balancer gets its time,
// duties pass to other hosts, new requests are refused, those in progress
// finish, and the other hosts are told. Nothing in progress is cut off unless
// ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	h.entry.Refuse()
	select {
	case <-h.Clock.After(h.Settings.Stop.BalancerMilliseconds):
	case <-ctx.Done():
	}
	h.members.Leave()
	err := h.entry.Drain(ctx)
	<-h.stopped
	h.watch.Leave(ctx)
	if stopErr := h.members.Stop(ctx); stopErr != nil {
		h.Log.WithPrefix("host").Warn("Could not remove the registration.", "error", stopErr)
	}
	h.cancel()
	h.admin.Stop()
	h.orders.Wait()
	h.pool.Release()
	return err
}

// ready tells whether the host knows the backend servers and who decides for
// them. Before that it could only decide alone, on a small share of the slots.
func (h *Host) ready() bool {
	return h.machines.ready() && h.keeper.Settled()
}

func (h *Host) newEntry() *entry.Entry {
	return &entry.Entry{
		Settings: h.Settings.Callers,
		View:     h.view,
		Relay:    h.newRelay(),
		Calls:    h.calls,
		Ready:    h.ready,
		Clock:    h.Clock,
		Count:    h.Count,
		Log:      h.Log.WithPrefix("entry"),
	}
}

func (h *Host) newRelay() *relay.Relay {
	return &relay.Relay{
		Ask:             h.ask,
		Progress:        h.progress,
		Done:            h.done,
		Send:            h.client.Do,
		MayRetry:        h.tries.mayRetry,
		HedgeAfter:      h.tries.hedgeAfter,
		MayHedge:        h.tries.mayHedge,
		FirstToken:      h.tries.firstToken,
		Finished:        h.tries.finished,
		FirstTimeout:    h.Settings.Backend.FirstTimeoutMilliseconds,
		ProgressTimeout: h.Settings.Backend.ProgressTimeoutMilliseconds,
		Clock:           h.Clock,
		Count:           h.Count,
		Pool:            h.pool,
	}
}

func (h *Host) newCalls() *calls.Calls {
	return &calls.Calls{
		Ask:            h.ask,
		Done:           h.done,
		Send:           h.client.Do,
		MayRetry:       h.tries.mayRetry,
		Finished:       h.tries.finished,
		Keyed:          h.keyed,
		FirstTimeout:   h.Settings.Backend.FirstTimeoutMilliseconds,
		MaxAnswerBytes: h.Settings.Backend.MaxAnswerBytes,
		Clock:          h.Clock,
		Count:          h.Count,
	}
}
