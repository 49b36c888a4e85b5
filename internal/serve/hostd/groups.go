package hostd

import (
	"context"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/roll"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/share/mfest"
)

// startSolos makes the group of each service.
func (h *Host) startSolos() {
	h.solos = map[string]*solo{}
	for _, service := range h.index.Manifest.Services {
		h.solos[service.Name] = newSolo(h.Clock, schedSettings(h.index.Manifest, service))
	}
}

// schedSettings is what the manifest says to the scheduler of a service.
func schedSettings(m mfest.Manifest, service mfest.Service) sched.Settings {
	s := sched.Settings{
		LongTokens: service.LongTokens,
		LongShare:  service.LongShare,
		SpillShare: service.SpillShare,
		Headroom:   sched.Headroom{Slots: service.HeadroomSlots, Tier: service.HeadroomTier},
	}
	for _, c := range m.Classes {
		s.Classes = append(s.Classes, sched.Class{
			Name:                c.Name,
			Tier:                c.Tier,
			FirstTokenTarget:    c.FirstTokenMilliseconds,
			BetweenTokensTarget: c.BetweenTokensMilliseconds,
			FloorPeriod:         c.FloorPeriodMilliseconds,
			MaxWaiting:          c.MaxWaiting,
		})
	}
	for _, w := range m.Workspaces {
		if w.Weight > 1 {
			s.Workspaces = append(s.Workspaces, sched.Workspace{Name: w.Name, Weight: w.Weight})
		}
	}
	return s
}

// readList reads the platform's list until the host stops. A list that cannot
// be read leaves the last one in force.
func (h *Host) readList(ctx context.Context) {
	for {
		entries, err := h.List.Read(ctx)
		if err != nil {
			h.Log.Warn("Could not read the platform's list.", "error", err)
		} else {
			h.setServers(entries)
		}
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.After(h.Settings.Platform.ListPeriodMilliseconds):
		}
	}
}

func (h *Host) setServers(entries []roll.Entry) {
	for _, service := range h.index.Manifest.Services {
		var list []sched.Server
		addresses := map[string]string{}
		for _, e := range roll.Servers(entries, service.Name, h.Settings.FailureDomain) {
			list = append(list, schedServer(service, e))
			addresses[e.Name] = e.Address
		}
		h.solos[service.Name].setServers(list, addresses)
	}
	h.listed.Store(true)
}

func schedServer(service mfest.Service, e roll.Entry) sched.Server {
	state := sched.ServerUp
	if e.State == roll.StateLeaving {
		state = sched.ServerLeaving
	}
	server := sched.Server{Name: e.Name, State: state, Slots: service.SlotsPerServer}
	for _, m := range service.Models {
		server.Models = append(server.Models, m.Name)
	}
	return server
}

func (h *Host) ask(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
	return h.solos[r.Service].ask(ctx, r)
}

func (h *Host) progress(service string, p sched.Progress) {
	h.solos[service].change(func(now clock.Millis, g *sched.Group) { g.Progress(now, p) })
}

func (h *Host) done(service string, d sched.Done) {
	h.solos[service].change(func(now clock.Millis, g *sched.Group) { g.Release(now, d) })
}
