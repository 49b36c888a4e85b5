package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"siskinsaddle/internal/base/clock"
)

// Limit is the time in which a server named a rate, in requests a second.
type Limit struct {
	Server string
	Rate   float64
	From   clock.Millis
	Until  clock.Millis
}

const (
	// limitWindow is the time over which requests at a limited server are counted. Within
	// it limitRatio times the rate and limitSlack requests are allowed.
	limitWindow = 4 * clock.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitNotice is the time after which a host that passed on a rate counts, in
	// milliseconds.
	limitNotice = 500 * clock.Millis(1)
	// limitDuration is how long a server names a rate at least, in milliseconds.
	limitDuration = boundContact + limitWindow + clock.Second
	// lowestShare is the least share of its rate that a limited server must get.
	lowestShare = 0.5
)

var limitRates = []float64{1, 1.5, 3, 8}

// limitServer has a server name a rate, for limitDuration longer than the fault: a server
// of plain calls for even targets, else any. A server that names one already goes on with
// it.
func limitServer(ctx context.Context, hn *harness, f Fault) func() {
	s := hn.targetServer(f)
	for n := 0; f.Target%2 == 0 && s.service != serviceApp; n++ {
		s = hn.targetServer(Fault{Target: f.Target + n})
	}
	rate := limitRates[rand.New(rand.NewPCG(hn.options.Seed, uint64(f.At))).IntN(len(limitRates))]
	hn.mu.Lock()
	limited := s.limited
	s.limited = true
	hn.mu.Unlock()
	if limited {
		return nil
	}
	s.SetRateLimit(fmt.Sprint(rate))
	from := hn.now()
	return func() {
		hn.pause(ctx, limitDuration)
		s.SetRateLimit("")
		hn.mu.Lock()
		defer hn.mu.Unlock()
		s.limited = false
		hn.record.Limits = append(hn.record.Limits, Limit{Server: s.ID, Rate: rate, From: from, Until: hn.now()})
	}
}

// toldAt returns when each host first passed on the rate of a limit.
func (r Record) toldAt(l Limit) map[int]clock.Millis {
	told := map[int]clock.Millis{}
	for _, s := range r.Requests {
		if s.Limit == "" || strings.TrimPrefix(s.Stamp, "stamp-") != l.Server || s.Ended < l.From || s.Ended > l.Until {
			continue
		}
		if at, ok := told[s.Host]; !ok || s.Ended < at {
			told[s.Host] = s.Ended
		}
	}
	return told
}

// limitsHold finds servers that got more requests than their rate allows, from hosts that
// had passed it on and were not disturbed.
func limitsHold(r Record) []string {
	requests := r.requestsByID()
	var found []string
	for _, l := range r.Limits {
		told := r.toldAt(l)
		var times []clock.Millis
		for _, a := range r.Arrivals {
			host := requests[a.ID].Host
			at, ok := told[host]
			if a.Server == l.Server && a.At >= l.From+boundContact && a.At <= l.Until && ok && a.At > at+limitNotice &&
				!r.hostDisturbed(host, a.At-limitWindow-boundContact, a.At) {
				times = append(times, a.At)
			}
		}
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at < from+limitWindow {
					n++
				}
			}
			if allowed := limitRatio*l.Rate*float64(limitWindow)/float64(clock.Second) + limitSlack; float64(n) > allowed {
				found = append(found, fmt.Sprintf("%s, which named %g a second at %d ms, got %d requests in %d ms from %d ms", l.Server, l.Rate, l.From, n, limitWindow, from))
				break
			}
		}
	}
	return found
}

// limitedServersGetTheirShare finds servers of plain calls that got too little while they
// named a rate, or no more than that after they had lifted it, without other faults.
func limitedServersGetTheirShare(r Record) []string {
	var found []string
	for _, l := range r.Limits {
		if !strings.HasPrefix(l.Server, "i-"+serviceApp+"-") || r.leaves(l.Server, l.Until+boundContact+limitWindow) {
			continue
		}
		if !r.anyFault(l.From-boundContact, l.Until) {
			expected := lowestShare * l.Rate * float64(l.Until-l.From) / float64(clock.Second)
			if n := r.arrivalsAt(l.Server, l.From, l.Until); float64(n) < expected {
				found = append(found, fmt.Sprintf("%s, which named %g a second, got %d requests in %d ms from %d ms", l.Server, l.Rate, n, l.Until-l.From, l.From))
			}
		}
		from := l.Until + boundContact
		if until := from + limitWindow; until < r.End && !r.anyFault(l.Until-boundContact, until) && !r.limitedIn(l.Server, l.Until, until) {
			if n := r.arrivalsAt(l.Server, from, until); float64(n) <= l.Rate*float64(limitWindow)/float64(clock.Second) {
				found = append(found, fmt.Sprintf("%s, which lifted its limit of %g at %d ms, got %d requests in %d ms from %d ms", l.Server, l.Rate, l.Until, n, limitWindow, from))
			}
		}
	}
	return found
}

// leaves reports whether a server said or its record said before a time that it is leaving.
func (r Record) leaves(server string, before clock.Millis) bool {
	for _, n := range r.Notices {
		if n.Server == server && n.Wait == 0 && n.From < before {
			return true
		}
	}
	for _, d := range r.Departures {
		if d.Server == server && d.At < before {
			return true
		}
	}
	return false
}

// limitedIn reports whether a server named a rate in a time span.
func (r Record) limitedIn(server string, from, until clock.Millis) bool {
	for _, l := range r.Limits {
		if l.Server == server && l.From < until && l.Until > from {
			return true
		}
	}
	return false
}

func (r Record) arrivalsAt(server string, from, until clock.Millis) int {
	n := 0
	for _, a := range r.Arrivals {
		if a.Server == server && a.At >= from && a.At < until {
			n++
		}
	}
	return n
}

// anyFault reports whether any fault but a limit, or a lag of the machine, overlaps a time
// span.
func (r Record) anyFault(from, until clock.Millis) bool {
	for _, f := range r.Faults {
		if f.Kind != KindLimit && f.From < until && f.Until > from {
			return true
		}
	}
	return r.overlapsCrash(from, until) || r.overlapsLag(from, until)
}
