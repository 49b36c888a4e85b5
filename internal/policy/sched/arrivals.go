package sched

import (
	"sort"

	"siskinsaddle/internal/base/clock"
)

const (
	// rateWindow and trendWindow are the windows of the two arrival rates that are
	// compared.
	rateWindow  = 500 * clock.Millis(1)
	trendWindow = 5 * clock.Second
	// minArrivals is the number of arrivals in trendWindow below which its rate is
	// not significant.
	minArrivals = 20
	// maxGrowth bounds the factor by which a rising rate is extrapolated.
	maxGrowth = 2.0
	// maxReserveShare bounds the share of all slots that is reserved.
	maxReserveShare = 0.5
)

// arrivals records the arrival times of a class over the last trendWindow.
type arrivals struct {
	times []clock.Millis
}

func (a *arrivals) record(now clock.Millis) {
	a.times = append(a.times, now)
	if old := a.countUntil(now - trendWindow); old > len(a.times)/2 {
		a.times = append(a.times[:0], a.times[old:]...)
	}
}

// countUntil returns the number of recorded arrivals up to a time.
func (a *arrivals) countUntil(at clock.Millis) int {
	return sort.Search(len(a.times), func(i int) bool { return a.times[i] > at })
}

// demand forecasts the number of slots in use by a class, by Little's law: the
// arrival rate, extrapolated by its current growth, times the hold time.
func (a *arrivals) demand(now clock.Millis, holdTime float64) float64 {
	recent := len(a.times) - a.countUntil(now-rateWindow)
	longer := len(a.times) - a.countUntil(now-trendWindow)
	growth := 1.0
	if longer >= minArrivals {
		growth = float64(recent) * float64(trendWindow/rateWindow) / float64(longer)
		growth = min(maxGrowth, max(1, growth))
	}
	return growth * float64(recent) * holdTime / float64(rateWindow)
}

// updateReserve computes how many slots the tiers up to Headroom.Tier are forecast to
// need beyond those they hold. Less urgent tiers may not use these.
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
			demand += c.arrivals.demand(now, c.holdTime)
		}
	}
	maxReserve := maxReserveShare * float64(g.totalSlots())
	g.reserve = max(0, int(min(maxReserve, demand-float64(running))))
}

func (g *Group) totalSlots() int {
	total := 0
	for _, s := range g.servers {
		if s.State == ServerUp {
			total += s.limiter.limit()
		}
	}
	return total
}
