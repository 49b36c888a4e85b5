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
	// leaseDuration and leaseMargin are those of the right to give a service's
	// engines their orders.
	leaseDuration = 15 * clock.Second
	leaseMargin   = 3 * clock.Second
	// orderEvery is the time between two looks at the engines.
	orderEvery = clock.Second
	// dutyEvery is the time between two looks at who leads the orders.
	dutyEvery = clock.Second
	// orderWait bounds one request to an engine.
	orderWait = 2 * clock.Second
)

// leader gives one service's engines in this failure domain their orders.
type leader struct {
	lease  *lease.Lease
	cancel context.CancelFunc
	ended  chan struct{}
}

// runOrders leads the services whose duty falls on this host, until the
// context ends. The duty decides who asks for the lease, so that not every
// host reads it; the lease decides who acts.
func (h *Host) runOrders(ctx context.Context) {
	leaders := map[string]*leader{}
	for ctx.Err() == nil {
		h.reviewOrders(ctx, leaders)
		select {
		case <-ctx.Done():
		case <-h.Clock.Pulse(dutyEvery):
		}
	}
	for _, l := range leaders {
		l.stop()
	}
}

func (h *Host) reviewOrders(ctx context.Context, leaders map[string]*leader) {
	due := map[string]bool{}
	for _, s := range h.governed.index().Manifest.Services {
		if s.Kind != mfest.KindModel || !h.leads(s.Name) {
			continue
		}
		due[s.Name] = true
		if leaders[s.Name] == nil {
			leaders[s.Name] = h.lead(ctx, s)
		}
	}
	for name, l := range leaders {
		if !due[name] {
			l.stop()
			delete(leaders, name)
		}
	}
}

// leads tells whether the duty of a service's orders falls on this host.
func (h *Host) leads(service string) bool {
	view := h.members.View()
	winner, ok := hosts.Winner("orders/"+service, view.Duty(h.Settings.FailureDomain))
	return ok && view.Joined && winner.Name == h.Settings.HostName
}

func (h *Host) lead(ctx context.Context, s mfest.Service) *leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &leader{
		cancel: cancel,
		ended:  make(chan struct{}),
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
		Wants:         func() []order.Want { return h.wants(s.Name) },
		Read:          h.engines().Read,
		Send:          h.sendOrder,
		ChecksFencing: s.ChecksFencing,
		LongestOrder:  h.Settings.Orders.LongestMilliseconds,
		Every:         orderEvery,
		LoadEvery:     h.Settings.Orders.LoadPeriodMilliseconds,
	}
	h.loop(ctx, "lease", l.lease.Run)
	go func() {
		defer close(l.ended)
		if err := driver.Run(ctx); err != nil && ctx.Err() == nil {
			h.Log.WithPrefix("orders").Error("Stopped.", "error", err)
		}
	}()
	return l
}

// stop ends the orders. The lease's own loop gives it back.
func (l *leader) stop() {
	l.cancel()
	<-l.ended
}

// wants is what the manifest wants of each engine of a service that this
// failure domain has.
func (h *Host) wants(service string) []order.Want {
	declared, ok := h.governed.index().Service(service)
	if !ok {
		return nil
	}
	var all []order.Want
	for _, e := range h.machines.servers(service, h.Settings.FailureDomain) {
		if e.State == disco.StateLeaving {
			continue
		}
		w := order.Want{Server: e.Name, Address: e.Address}
		for _, m := range declared.Models {
			w.Models = append(w.Models, order.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
		all = append(all, w)
	}
	return all
}

// sendOrder gives an engine one order, once, and logs what was given.
func (h *Host) sendOrder(ctx context.Context, w order.Want, o order.Order) error {
	err := h.engines().Send(ctx, w, o)
	if err == nil {
		h.Log.WithPrefix("orders").Info("Gave an order.", "server", w.Server, "kind", o.Kind, "model", o.Model, "version", o.Version)
	}
	return err
}

func (h *Host) engines() *orders.Engines {
	return &orders.Engines{Client: h.client, Timeout: orderWait}
}
