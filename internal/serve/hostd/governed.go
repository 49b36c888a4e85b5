package hostd

import (
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/mfest"
)

// governed holds what the host's parts need of the manifest in force, made
// once for each change.
type governed struct {
	// changed is told of each manifest that comes in force.
	changed func(*mfest.Index)

	mu       sync.Mutex
	in       *mfest.Index
	number   uint64
	settings map[string]sched.Settings
}

// follow puts a manifest in force. The same one again costs a comparison.
func (g *governed) follow(x *mfest.Index) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x == nil || x == g.in {
		return
	}
	g.in = x
	g.number++
	g.settings = map[string]sched.Settings{}
	for _, s := range x.Manifest.Services {
		g.settings[s.Name] = schedSettings(x.Manifest, s)
	}
	g.changed(x)
}

// index is the manifest in force, an empty one before the first.
func (g *governed) index() *mfest.Index {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.in == nil {
		return mfest.NewIndex(mfest.Manifest{})
	}
	return g.in
}

func (g *governed) services() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	if g.in != nil {
		for _, s := range g.in.Manifest.Services {
			names = append(names, s.Name)
		}
	}
	return names
}

// schedule returns what governs a service's scheduler, and a number that
// changes with it.
func (g *governed) schedule(service string) (sched.Settings, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings[service], g.number
}

// retention is how long the outcome of an idempotency key is kept.
func (g *governed) retention() clock.Millis {
	return g.index().Manifest.Limits.ClaimKeepMilliseconds
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
