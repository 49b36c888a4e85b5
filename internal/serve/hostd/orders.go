package hostd

import (
	"context"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/serve/orders"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/lease"
	"siskinsaddle/internal/share/mfest"
	"siskinsaddle/internal/share/order"
)

const (
	// leaseDuration and leaseMargin belong to the lease for sending orders to the
	// engines of a service.
	leaseDuration = 15 * clock.Second
	leaseMargin   = 3 * clock.Second
	// orderInterval is the time between two steps of an order driver.
	orderInterval = clock.Second
	// dutyCheckInterval is the time between two checks of which services' orders are
	// this host's duty.
	dutyCheckInterval = clock.Second
	// orderTimeout bounds one request to an engine.
	orderTimeout = 2 * clock.Second
)

// leader runs the lease and the order driver of one service in this failure domain.
type leader struct {
	lease  *lease.Lease
	cancel context.CancelFunc
	done   chan struct{}
}

// runOrders runs a leader for each service whose order duty is on this host, until
// the context ends. The duty decides which host requests the lease, so that not
// every host reads it; the lease decides which host sends orders.
func (h *Host) runOrders(ctx context.Context) {
	leaders := map[string]*leader{}
	for ctx.Err() == nil {
		h.updateLeaders(ctx, leaders)
		select {
		case <-ctx.Done():
		case <-h.Clock.AfterTick(dutyCheckInterval):
		}
	}
	for _, l := range leaders {
		l.stop()
	}
}

// updateLeaders starts and stops leaders as the duties of this host change.
func (h *Host) updateLeaders(ctx context.Context, leaders map[string]*leader) {
	due := map[string]bool{}
	for _, s := range h.manifest.index().Manifest.Services {
		if s.Kind != mfest.KindModel || !h.hasOrderDuty(s.Name) {
			continue
		}
		due[s.Name] = true
		if leaders[s.Name] == nil {
			leaders[s.Name] = h.startLeader(ctx, s)
		}
	}
	for name, l := range leaders {
		if !due[name] {
			l.stop()
			delete(leaders, name)
		}
	}
}

// hasOrderDuty reports whether the orders of a service are this host's duty.
func (h *Host) hasOrderDuty(service string) bool {
	view := h.members.View()
	winner, ok := hosts.RendezvousWinner("orders/"+service, view.Eligible(h.Settings.FailureDomain))
	return ok && view.Joined && winner.Name == h.Settings.HostName
}

// startLeader starts the lease and the order driver of a service.
func (h *Host) startLeader(ctx context.Context, s mfest.Service) *leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &leader{
		cancel: cancel,
		done:   make(chan struct{}),
		lease: &lease.Lease{
			Table:       h.Table,
			Clock:       h.Clock,
			Name:        s.Name + "/" + h.Settings.FailureDomain,
			Host:        h.Settings.HostName,
			Incarnation: uint64(h.link.Incarnation),
			Duration:    leaseDuration,
			Margin:      leaseMargin,
		},
	}
	driver := &order.Driver{
		Clock:         h.Clock,
		Count:         h.Count,
		Holds:         l.lease.Holds,
		DesiredStates: func() []order.DesiredState { return h.desiredStates(s.Name) },
		Read:          h.engines().Read,
		Send:          h.sendOrder,
		ChecksFencing: s.ChecksFencing,
		MaxOrderTime:  h.Settings.Orders.LongestMilliseconds,
		StepInterval:  orderInterval,
		LoadInterval:  h.Settings.Orders.LoadPeriodMilliseconds,
	}
	h.runLoop(ctx, "lease", l.lease.Run)
	go func() {
		defer close(l.done)
		if err := driver.Run(ctx); err != nil && ctx.Err() == nil {
			h.Log.WithPrefix("orders").Error("Stopped.", "error", err)
		}
	}()
	return l
}

// stop stops the order driver and waits for it. The loop of the lease releases it.
func (l *leader) stop() {
	l.cancel()
	<-l.done
}

// desiredStates returns the state that the manifest declares for each engine of a
// service in this failure domain. Engines that are leaving are skipped.
func (h *Host) desiredStates(service string) []order.DesiredState {
	declared, ok := h.manifest.index().Service(service)
	if !ok {
		return nil
	}
	var all []order.DesiredState
	for _, e := range h.discovery.servers(service, h.Settings.FailureDomain) {
		if e.State == disco.StateLeaving {
			continue
		}
		desired := order.DesiredState{Server: e.Name, Address: e.Address}
		for _, m := range declared.Models {
			desired.Models = append(desired.Models, order.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
		all = append(all, desired)
	}
	return all
}

// sendOrder sends an engine one order, once, and logs it on success.
func (h *Host) sendOrder(ctx context.Context, desired order.DesiredState, o order.Order) error {
	err := h.engines().Send(ctx, desired, o)
	if err == nil {
		h.Log.WithPrefix("orders").Info("Sent an order.", "server", desired.Server, "kind", o.Kind, "model", o.Model, "version", o.Version)
	}
	return err
}

// engines returns the client of the engines' order interface.
func (h *Host) engines() *orders.Engines {
	return &orders.Engines{Client: h.client, Timeout: orderTimeout}
}
