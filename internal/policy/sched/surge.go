package sched

import (
	"sort"

	"siskinsaddle/internal/base/clock"
)

const (
	// surgeFast and surgeSlow are the windows of the arrival rates that are
	// compared.
	surgeFast = 500 * clock.Millis(1)
	surgeSlow = 5 * clock.Second
	// surgeLeast is how many arrivals the slow window needs before its rate
	// says something.
	surgeLeast = 20
	// surgeGrowth bounds by how much a rising rate is taken to rise further.
	surgeGrowth = 2.0
	// surgeShare bounds the share of all slots that is kept free.
	surgeShare = 0.5
)

// surge counts the arrivals of a class in the last half and the last five
// seconds.
type surge struct {
	times []clock.Millis
}

func (s *surge) arrive(now clock.Millis) {
	s.times = append(s.times, now)
	if old := s.before(now - surgeSlow); old > len(s.times)/2 {
		s.times = append(s.times[:0], s.times[old:]...)
	}
}

// before counts the kept arrivals up to a time.
func (s *surge) before(at clock.Millis) int {
	return sort.Search(len(s.times), func(i int) bool { return s.times[i] > at })
}

// demand is how many slots a class will hold at once if requests that hold a
// slot for this long go on arriving as they do, and the rate goes on rising as
// it does. By Little's law that is the rate times the hold.
func (s *surge) demand(now clock.Millis, hold float64) float64 {
	fast := len(s.times) - s.before(now-surgeFast)
	slow := len(s.times) - s.before(now-surgeSlow)
	growth := 1.0
	if slow >= surgeLeast {
		growth = float64(fast) * float64(surgeSlow/surgeFast) / float64(slow)
		growth = min(surgeGrowth, max(1, growth))
	}
	return growth * float64(fast) * hold / float64(surgeFast)
}

// updateReserve works out how many slots the tiers of the headroom will need
// beyond those they hold. These are kept from lower tiers.
func (g *Group) updateReserve(now clock.Millis) {
	g.free, g.reserve = g.freeSlots(), 0
	h := g.settings.Headroom
	if h.Slots == 0 {
		return
	}
	demand, running := 0.0, 0
	for _, t := range g.tiers {
		if t.number > h.Tier {
			break
		}
		running += t.running
		for _, c := range t.classes {
			demand += c.surge.demand(now, c.hold)
		}
	}
	most := surgeShare * float64(g.totalSlots())
	g.reserve = max(0, int(min(most, demand-float64(running))))
}

func (g *Group) totalSlots() int {
	total := 0
	for _, s := range g.servers {
		if s.State == ServerUp {
			total += s.slots.limit()
		}
	}
	return total
}
