package hostd

import (
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/mfest"
)

// activeManifest holds the manifest in force and the scheduler settings derived
// from it, which are computed once for each change.
type activeManifest struct {
	// onChange is called with each manifest that comes into force.
	onChange func(*mfest.Index)

	mu       sync.Mutex
	current  *mfest.Index
	revision uint64
	settings map[string]sched.Settings
}

// set puts a manifest into force. It is called for every request, so that an
// unchanged manifest costs only a comparison.
func (a *activeManifest) set(x *mfest.Index) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if x == nil || x == a.current {
		return
	}
	a.current = x
	a.revision++
	a.settings = map[string]sched.Settings{}
	for _, s := range x.Manifest.Services {
		a.settings[s.Name] = newSchedSettings(x.Manifest, s)
	}
	a.onChange(x)
}

// index returns the manifest in force, or an empty one before the first.
func (a *activeManifest) index() *mfest.Index {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return mfest.NewIndex(mfest.Manifest{})
	}
	return a.current
}

func (a *activeManifest) services() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	if a.current != nil {
		for _, s := range a.current.Manifest.Services {
			names = append(names, s.Name)
		}
	}
	return names
}

// schedSettings returns the settings of a service's scheduler, and a revision that
// changes with them.
func (a *activeManifest) schedSettings(service string) (sched.Settings, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settings[service], a.revision
}

// retention returns how long the outcome of an idempotency key is kept.
func (a *activeManifest) retention() clock.Millis {
	return a.index().Manifest.Limits.ClaimKeepMilliseconds
}

// newSchedSettings derives the scheduler settings of a service from the manifest.
func newSchedSettings(m mfest.Manifest, service mfest.Service) sched.Settings {
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
