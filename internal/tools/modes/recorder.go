package modes

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"siskinsaddle/internal/share/keeper"
)

// recorder tracks the waiting and running requests of all hosts together, a
// global view that no host of the system has.
type recorder struct {
	options      Options
	mu           sync.Mutex
	waiting      [tierCount]map[int]time.Time
	running      map[string]int
	steadyWaits  [tierCount][]time.Duration // outside the peak phase
	peakWaits    [tierCount][]time.Duration // in the peak phase
	totals       Report
	samples      int
	idleShareSum float64
}

// Report holds the measurements of one run. Arrays are indexed by tier, from 0.
type Report struct {
	Options       Options
	Requests      int
	Refused       [tierCount]int
	WithinTarget  [tierCount]int
	Arrived       [tierCount]int
	SteadyWaits   [tierCount]Waits
	PeakWaits     [tierCount]Waits
	Messages      int64
	Bytes         int64
	ProcessorTime time.Duration
	// OverGrants counts grants beyond a server's slots. MaxOver is the maximum
	// excess of running requests over slots on one server.
	OverGrants int
	MaxOver    int
	// Inversions counts grants made while a request of a higher tier, on any
	// host, had waited longer than maxMessageDelay. Grants for a floor are not
	// counted.
	Inversions int
	// IdleShare is the mean share of slots that were free while requests waited
	// for them.
	IdleShare float64
}

// Waits summarizes the times from a grant request to its grant.
type Waits struct {
	Median, P99 time.Duration
}

func newRecorder(o Options) *recorder {
	rc := &recorder{options: o, running: map[string]int{}}
	for tier := range rc.waiting {
		rc.waiting[tier] = map[int]time.Time{}
	}
	return rc
}

func (rc *recorder) recordArrival(number, tier int, at time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.waiting[tier][number] = at
	rc.totals.Requests++
	rc.totals.Arrived[tier]++
}

func (rc *recorder) recordRefusal(number int, a arrival) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	delete(rc.waiting[a.tier], number)
	rc.totals.Refused[a.tier]++
}

func (rc *recorder) recordGrant(number int, a arrival, g keeper.Grant, waited time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	delete(rc.waiting[a.tier], number)
	if rc.higherTierWaits(a.tier) && !g.Floor {
		rc.totals.Inversions++
	}
	rc.running[g.Server]++
	if over := rc.running[g.Server] - rc.options.Slots; over > 0 {
		rc.totals.OverGrants++
		rc.totals.MaxOver = max(rc.totals.MaxOver, over)
	}
	if waited <= targets[a.tier].Duration() {
		rc.totals.WithinTarget[a.tier]++
	}
	if a.phase == peakPhase {
		rc.peakWaits[a.tier] = append(rc.peakWaits[a.tier], waited)
	} else {
		rc.steadyWaits[a.tier] = append(rc.steadyWaits[a.tier], waited)
	}
}

func (rc *recorder) higherTierWaits(tier int) bool {
	before := time.Now().Add(-maxMessageDelay)
	for higher := range tier {
		for _, since := range rc.waiting[higher] {
			if since.Before(before) {
				return true
			}
		}
	}
	return false
}

func (rc *recorder) recordEnd(server string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.running[server]--
}

// sampleUntil measures the idle share every samplePeriod until stop is closed.
func (rc *recorder) sampleUntil(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(samplePeriod):
			rc.takeSample()
		}
	}
}

func (rc *recorder) takeSample() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	slots := rc.options.Servers * rc.options.Slots
	free, queued := slots, 0
	for _, running := range rc.running {
		free -= min(running, rc.options.Slots)
	}
	for _, waiting := range rc.waiting {
		queued += len(waiting)
	}
	rc.samples++
	rc.idleShareSum += float64(min(free, queued)) / float64(slots)
}

func (rc *recorder) report(o Options) Report {
	r := rc.totals
	r.Options = o
	r.IdleShare = rc.idleShareSum / float64(max(1, rc.samples))
	for tier := range tierCount {
		r.SteadyWaits[tier] = summarize(rc.steadyWaits[tier])
		r.PeakWaits[tier] = summarize(rc.peakWaits[tier])
	}
	return r
}

func summarize(all []time.Duration) Waits {
	if len(all) == 0 {
		return Waits{}
	}
	slices.Sort(all)
	return Waits{Median: all[len(all)/2], P99: all[len(all)*99/100]}
}

// String returns the report as text, one line for each tier after two lines of
// totals.
func (r Report) String() string {
	var s strings.Builder
	requests := float64(max(1, r.Requests))
	fmt.Fprintf(&s, "%s hosts=%d servers=%d bundle=%dms keeper crash=%t: %d requests, %.2f messages and %.0f bytes each, %.0f us of processor time each\n",
		r.Options.Mode, r.Options.Hosts, r.Options.Servers, r.Options.FlushDelay,
		r.Options.CrashKeeper, r.Requests, float64(r.Messages)/requests,
		float64(r.Bytes)/requests, float64(r.ProcessorTime.Microseconds())/requests)
	fmt.Fprintf(&s, "  grants over slots %d, at most by %d; inversions %d; idle while waiting %.2f%%\n",
		r.OverGrants, r.MaxOver, r.Inversions, 100*r.IdleShare)
	for tier := range tierCount {
		fmt.Fprintf(&s, "  tier %d: within target %.2f%%, refused %d; wait steady %s/%s, peak %s/%s (median/p99)\n", tier+1,
			100*float64(r.WithinTarget[tier])/float64(max(1, r.Arrived[tier])), r.Refused[tier],
			round(r.SteadyWaits[tier].Median), round(r.SteadyWaits[tier].P99),
			round(r.PeakWaits[tier].Median), round(r.PeakWaits[tier].P99))
	}
	return s.String()
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
