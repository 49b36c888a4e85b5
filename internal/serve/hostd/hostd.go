// Package hostd builds and runs one entry host.
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
//	h.Stop(context.Background()) // graceful: finishes requests in progress
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
	"siskinsaddle/internal/base/reply"
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
	// Faults reports broken responses of backend servers; it may be nil.
	Faults *reply.Faults
	Log    *log.Logger

	pool      *ants.Pool
	client    *wire.Client
	discovery *discovery
	manifest  *activeManifest
	budgets   *budgets
	link      *link.Node
	members   *hosts.Node
	holder    *accept.Holder
	watcher   *accept.Watcher
	collector *accept.Collector
	keeper    *keeper.Node
	prober    *probe.Prober
	claims    *claim.Manager
	calls     *calls.Calls
	entry     *entry.Entry
	admin     *admin.Server

	orders  sync.WaitGroup
	cancel  context.CancelFunc
	stopped chan struct{}
}

// attemptsPerConnection is the maximum number of concurrent attempts for one caller
// connection. It sizes the pool.
const attemptsPerConnection = 2

// Start builds the components, opens the addresses and begins to serve. It returns
// before the host is ready: readiness waits for the platform's list and for a
// manifest that is known to be in force.
func (h *Host) Start(ctx context.Context) error {
	pool, err := ants.NewPool(attemptsPerConnection*h.Settings.Callers.MaxConnections, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "creating the attempt pool")
	}
	h.pool = pool
	h.client = &wire.Client{
		DialTimeout:     h.Settings.Backend.DialTimeoutMilliseconds,
		ProgressTimeout: h.Settings.Backend.ProgressTimeoutMilliseconds,
		MaxBodyBytes:    h.Settings.Backend.MaxAnswerBytes,
		Faults:          h.Faults,
	}
	h.budgets = newBudgets(h.Clock, h.Count, h.Settings.Backend.MaxAttempts)
	h.manifest = &activeManifest{onChange: h.budgets.setManifest}
	h.discovery = &discovery{
		source: h.List,
		clock:  h.Clock,
		period: h.Settings.Platform.ListPeriodMilliseconds,
		log:    h.Log.WithPrefix("platform"),
	}
	h.discovery.refresh(ctx)
	if err := h.startPeers(ctx); err != nil {
		return err
	}
	h.startManifest()
	h.startGroups()
	h.claims = h.newClaimManager()
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

// run starts the background loops of all components.
func (h *Host) run(ctx context.Context) error {
	background, cancel := context.WithCancel(ctx)
	h.cancel = cancel
	if err := h.link.Start(background); err != nil {
		cancel()
		return errors.Wrap(err, "links")
	}
	h.runLoop(background, "link", h.link.Run)
	// The keeper was not yet subscribed when the first view was built.
	h.keeper.ViewChanged(h.members.View())
	go h.discovery.run(background)
	h.runLoop(background, "hosts", h.members.Run)
	h.runLoop(background, "keeper", h.keeper.Run)
	h.runLoop(background, "claims", h.claims.Run)
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

// runLoop runs a component in the background until the context ends, and logs an
// error if it stops earlier.
func (h *Host) runLoop(ctx context.Context, name string, run func(context.Context) error) {
	go func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			h.Log.WithPrefix(name).Error("Stopped.", "error", err)
		}
	}()
}

func (h *Host) serve() {
	defer close(h.stopped)
	if err := h.entry.Serve(); err != nil {
		h.Log.WithPrefix("host").Error("Stopped accepting requests.", "error", err)
	}
}

// Address returns the address that callers connect to.
func (h *Host) Address() string {
	return h.entry.Address()
}

// OperatorAddress returns the address of the operator interface.
func (h *Host) OperatorAddress() string {
	return h.admin.ListenAddress()
}

// LinkAddress returns the address on which the links to other hosts listen.
func (h *Host) LinkAddress() string {
	return h.link.Addr()
}

// Open returns the number of open requests.
func (h *Host) Open() int {
	return h.entry.Open()
}

// Stop shuts the host down gracefully: readiness fails, the balancer gets time to
// notice, duties move to other hosts, new requests are refused, requests in
// progress finish, and the registration is removed. Requests in progress are cut
// off only if ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	h.entry.FailReadiness()
	select {
	case <-h.Clock.After(h.Settings.Stop.BalancerMilliseconds):
	case <-ctx.Done():
	}
	h.members.Leave()
	err := h.entry.Drain(ctx)
	<-h.stopped
	h.watcher.Leave(ctx)
	if stopErr := h.members.Stop(ctx); stopErr != nil {
		h.Log.WithPrefix("host").Warn("Could not remove the registration.", "error", stopErr)
	}
	h.cancel()
	h.admin.Stop()
	h.orders.Wait()
	h.pool.Release()
	return err
}

// ready reports whether the host knows the backend servers and their keepers.
// Before that it could only schedule on its own, on a small share of the slots.
func (h *Host) ready() bool {
	return h.discovery.known() && h.keeper.GroupsReady()
}

func (h *Host) newEntry() *entry.Entry {
	return &entry.Entry{
		Settings: h.Settings.Callers,
		View:     h.currentView,
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
		RequestGrant:    h.requestGrant,
		Progress:        h.progress,
		Done:            h.finishGrant,
		Send:            h.client.Do,
		MayRetry:        h.budgets.mayRetry,
		HedgeAfter:      h.budgets.hedgeAfter,
		MayHedge:        h.budgets.mayHedge,
		FirstToken:      h.budgets.recordFirstToken,
		Finished:        h.budgets.recordFinished,
		FirstTimeout:    h.Settings.Backend.FirstTimeoutMilliseconds,
		ProgressTimeout: h.Settings.Backend.ProgressTimeoutMilliseconds,
		Clock:           h.Clock,
		Count:           h.Count,
		Pool:            h.pool,
	}
}

func (h *Host) newCalls() *calls.Calls {
	return &calls.Calls{
		RequestGrant:   h.requestGrant,
		Done:           h.finishGrant,
		Send:           h.client.Do,
		MayRetry:       h.budgets.mayRetry,
		Finished:       h.budgets.recordFinished,
		DoKeyed:        h.callWithKey,
		FirstTimeout:   h.Settings.Backend.FirstTimeoutMilliseconds,
		MaxAnswerBytes: h.Settings.Backend.MaxAnswerBytes,
		Clock:          h.Clock,
		Count:          h.Count,
	}
}
