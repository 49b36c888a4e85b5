package loads

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinsaddle/internal/serve/refuse"
)

const (
	// maxMistakes bounds the wrong texts in the report.
	maxMistakes       = 20
	maxHistogramValue = 600_000
	histogramDigits   = 3
	// microPerMilli scales the time between tokens, which is a fraction of
	// milliseconds, to the integers of a histogram.
	microPerMilli = 1_000
)

// stats collects the outcomes of all callers.
type stats struct {
	mu               sync.Mutex
	started          int64
	classes          map[string]*classStats
	order            []string
	directFirstToken *hdrhistogram.Histogram
	bookings         map[string]*bookingStats
	dropped          int
	// cutOff and noAnswer count the streams and requests whose connection closed
	// without a response or refusal, by host address.
	cutOff   map[string]int
	noAnswer map[string]int
	mistakes []Mistake
}

type classStats struct {
	sent     int
	whole    int
	wrong    int
	abandons int
	inTime   int
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	refusals map[refuse.Reason]int
}

type bookingStats struct {
	done       bool
	notRun     bool
	mayHaveRun bool
	reason     map[refuse.Reason]int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramValue, histogramDigits)
}

func newStats(classes []Class) *stats {
	st := &stats{
		started:          time.Now().UnixNano(),
		classes:          map[string]*classStats{},
		directFirstToken: newHistogram(),
		bookings:         map[string]*bookingStats{},
		cutOff:           map[string]int{},
		noAnswer:         map[string]int{},
	}
	for _, c := range classes {
		st.order = append(st.order, c.Name)
		st.classes[c.Name] = &classStats{first: newHistogram(), between: newHistogram(), refusals: map[refuse.Reason]int{}}
	}
	return st
}

func (st *stats) recordDropped() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropped++
}

func (st *stats) recordCutOff(host string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.cutOff[host]++
}

func (st *stats) recordNoAnswer(host string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.noAnswer[host]++
}

func (st *stats) recordRefusal(class string, t refusal) {
	st.mu.Lock()
	defer st.mu.Unlock()
	c := st.classes[class]
	c.sent++
	c.refusals[t.Reason]++
}

// recordStream records a stream. Values above the range of the histogram count as
// its maximum.
func (st *stats) recordStream(c Class, h streamResult) {
	st.mu.Lock()
	defer st.mu.Unlock()
	k := st.classes[c.Name]
	k.sent++
	if h.wrong {
		k.wrong++
		if len(st.mistakes) < maxMistakes {
			st.mistakes = append(st.mistakes, h.mistake)
		}
	}
	if h.abandoned {
		k.abandons++
		return
	}
	if !h.whole {
		k.refusals[reasonBrokenOff+h.reason]++
		return
	}
	k.whole++
	record(k.first, int64(h.firstToken))
	record(k.between, int64(h.between*microPerMilli))
	if h.firstToken <= c.FirstTokenMilliseconds && h.between <= float64(c.BetweenTokensMilliseconds) {
		k.inTime++
	}
}

func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(min(max(value, 1), maxHistogramValue)) // always in range
}

func (st *stats) recordDirect(h streamResult) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if h.whole {
		record(st.directFirstToken, int64(h.firstToken))
	}
}

func (st *stats) booking(key string) *bookingStats {
	b, ok := st.bookings[key]
	if !ok {
		b = &bookingStats{reason: map[refuse.Reason]int{}}
		st.bookings[key] = b
	}
	return b
}

func (st *stats) recordBookingRefusal(key string, t refusal) {
	st.mu.Lock()
	defer st.mu.Unlock()
	b := st.booking(key)
	b.reason[t.Reason]++
	b.notRun = t.Ran == refuse.RanNo
	b.mayHaveRun = b.mayHaveRun || t.Ran != refuse.RanNo
}

func (st *stats) recordBookingDone(key string, whole bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	b := st.booking(key)
	b.done = b.done || whole
	b.notRun = false
}

// compareRuns compares the responses that callers got with how often each booking
// ran.
func (st *stats) compareRuns(runs map[string]int) Bookings {
	st.mu.Lock()
	defer st.mu.Unlock()
	report := Bookings{Refusals: map[refuse.Reason]int{}}
	for key, b := range st.bookings {
		report.Asked++
		ran := runs[key]
		switch {
		case ran > 1:
			report.RanTwice++
		case ran == 1:
			report.RanOnce++
		}
		if b.done {
			report.ToldDone++
			if ran == 0 {
				report.ToldDoneNotRun++
			}
		}
		if !b.done && b.notRun && !b.mayHaveRun {
			report.ToldNotRun++
			if ran > 0 {
				report.ToldNotRunButRan++
			}
		}
		for reason, count := range b.reason {
			report.Refusals[reason] += count
		}
	}
	return report
}

func (st *stats) report(s Settings) Report {
	st.mu.Lock()
	defer st.mu.Unlock()
	report := Report{Dropped: st.dropped, CutOff: st.cutOff, NoAnswer: st.noAnswer, Mistakes: st.mistakes}
	names := append([]string(nil), st.order...)
	sort.Strings(names)
	for _, name := range names {
		report.Classes = append(report.Classes, st.classes[name].report(name, s))
	}
	if st.directFirstToken.TotalCount() > 0 {
		report.DirectFirstTokenP50 = st.directFirstToken.ValueAtQuantile(50)
		report.DirectFirstTokenP99 = st.directFirstToken.ValueAtQuantile(99)
	}
	return report
}

func (k *classStats) report(name string, s Settings) ClassReport {
	seconds := float64(s.DurationMilliseconds) / 1000
	r := ClassReport{
		Name:             name,
		Sent:             k.sent,
		Whole:            k.whole,
		Wrong:            k.wrong,
		Abandoned:        k.abandons,
		InTime:           k.inTime,
		GoodputPerSecond: float64(k.inTime) / seconds,
		FirstTokenP50:    k.first.ValueAtQuantile(50),
		FirstTokenP95:    k.first.ValueAtQuantile(95),
		FirstTokenP99:    k.first.ValueAtQuantile(99),
		BetweenTokensP95: float64(k.between.ValueAtQuantile(95)) / microPerMilli,
		Refusals:         k.refusals,
	}
	if k.sent > 0 {
		r.Attainment = float64(k.inTime) / float64(k.sent)
	}
	return r
}
