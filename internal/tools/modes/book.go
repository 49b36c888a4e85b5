package modes

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"siskinsaddle/internal/share/keeper"
)

// book records what waits and runs over all hosts, as nobody in the system can
// see it at one moment.
type book struct {
	options Options
	mu      sync.Mutex
	waiting [tierCount]map[int]time.Time
	running map[string]int
	waits0  [tierCount][]time.Duration // outside the crest
	waits1  [tierCount][]time.Duration // in the crest
	seen    Report
	samples int
	idle    float64
}

// Report is what one run showed.
type Report struct {
	Options   Options
	Requests  int
	Refused   [tierCount]int
	InTime    [tierCount]int
	Asked     [tierCount]int
	Calm      [tierCount]Waits
	Crest     [tierCount]Waits
	Messages  int64
	Bytes     int64
	Processor time.Duration
	// Over counts grants beyond a server's slots, MostOver the most at once.
	Over     int
	MostOver int
	// Inverted counts grants that were given while a request of a higher tier
	// had waited longer than a message takes, on any host.
	Inverted int
	// Idle is the mean share of the slots that were free while something
	// waited for them.
	Idle float64
}

// Waits sums up the times from asking to the grant.
type Waits struct {
	Median, P99 time.Duration
}

func newBook(o Options) *book {
	b := &book{options: o, running: map[string]int{}}
	for tier := range b.waiting {
		b.waiting[tier] = map[int]time.Time{}
	}
	return b
}

func (b *book) waits(number, tier int, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[tier][number] = at
	b.seen.Requests++
	b.seen.Asked[tier]++
}

func (b *book) refused(number int, a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting[a.tier], number)
	b.seen.Refused[a.tier]++
}

func (b *book) granted(number int, a arrival, g keeper.Grant, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting[a.tier], number)
	if b.higherWaits(a.tier) && !g.Floor {
		b.seen.Inverted++
	}
	b.running[g.Server]++
	if over := b.running[g.Server] - b.options.Slots; over > 0 {
		b.seen.Over++
		b.seen.MostOver = max(b.seen.MostOver, over)
	}
	if waited <= targets[a.tier].Duration() {
		b.seen.InTime[a.tier]++
	}
	if a.part == crest {
		b.waits1[a.tier] = append(b.waits1[a.tier], waited)
	} else {
		b.waits0[a.tier] = append(b.waits0[a.tier], waited)
	}
}

func (b *book) higherWaits(tier int) bool {
	before := time.Now().Add(-flight)
	for higher := range tier {
		for _, since := range b.waiting[higher] {
			if since.Before(before) {
				return true
			}
		}
	}
	return false
}

func (b *book) ended(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[server]--
}

// sample looks now and then at slots that are free while something waits.
func (b *book) sample(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleEvery):
			b.look()
		}
	}
}

func (b *book) look() {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := b.options.Servers * b.options.Slots
	free, waits := slots, 0
	for _, running := range b.running {
		free -= min(running, b.options.Slots)
	}
	for _, waiting := range b.waiting {
		waits += len(waiting)
	}
	b.samples++
	b.idle += float64(min(free, waits)) / float64(slots)
}

func (b *book) report(o Options) Report {
	r := b.seen
	r.Options = o
	r.Idle = b.idle / float64(max(1, b.samples))
	for tier := range tierCount {
		r.Calm[tier] = sumUp(b.waits0[tier])
		r.Crest[tier] = sumUp(b.waits1[tier])
	}
	return r
}

func sumUp(all []time.Duration) Waits {
	if len(all) == 0 {
		return Waits{}
	}
	slices.Sort(all)
	return Waits{Median: all[len(all)/2], P99: all[len(all)*99/100]}
}

// String writes the report in a few lines.
func (r Report) String() string {
	var s strings.Builder
	per := float64(max(1, r.Requests))
	fmt.Fprintf(&s, "%s hosts=%d servers=%d bundle=%dms keeper lost=%t: %d requests, %.2f messages and %.0f bytes each, %.0f us of processor each\n",
		r.Options.Way, r.Options.Hosts, r.Options.Servers, r.Options.BundleWait, r.Options.LoseKeeper, r.Requests,
		float64(r.Messages)/per, float64(r.Bytes)/per, float64(r.Processor.Microseconds())/per)
	fmt.Fprintf(&s, "  over slots %d times, at most by %d; inverted %d; idle while waiting %.2f%%\n",
		r.Over, r.MostOver, r.Inverted, 100*r.Idle)
	for tier := range tierCount {
		fmt.Fprintf(&s, "  tier %d: in time %.2f%%, refused %d; wait calm %s/%s, crest %s/%s (median/p99)\n", tier+1,
			100*float64(r.InTime[tier])/float64(max(1, r.Asked[tier])), r.Refused[tier],
			round(r.Calm[tier].Median), round(r.Calm[tier].P99), round(r.Crest[tier].Median), round(r.Crest[tier].P99))
	}
	return s.String()
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
