package loads

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinsaddle/internal/serve/refuse"
)

const (
	// maxMistakes bounds the wrong texts that are shown.
	maxMistakes     = 20
	histogramMost   = 600_000
	histogramDigits = 3
	// microPerMilli keeps fractions of the time between tokens.
	microPerMilli = 1_000
)

// notes collects what all callers saw.
type notes struct {
	mu       sync.Mutex
	started  int64
	classes  map[string]*classNotes
	order    []string
	directs  *hdrhistogram.Histogram
	bookings map[string]*bookingNotes
	dropped  int
	// cuts and silences count the streams and requests that ended without a
	// word, by the host's address.
	cuts     map[string]int
	silences map[string]int
	mistakes []Mistake
}

type classNotes struct {
	sent     int
	whole    int
	wrong    int
	left     int
	inTime   int
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	refusals map[refuse.Reason]int
}

type bookingNotes struct {
	done   bool
	notRun bool
	unsure bool
	reason map[refuse.Reason]int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}

func newNotes(classes []Class) *notes {
	n := &notes{
		started:  time.Now().UnixNano(),
		classes:  map[string]*classNotes{},
		directs:  newHistogram(),
		bookings: map[string]*bookingNotes{},
		cuts:     map[string]int{},
		silences: map[string]int{},
	}
	for _, c := range classes {
		n.order = append(n.order, c.Name)
		n.classes[c.Name] = &classNotes{first: newHistogram(), between: newHistogram(), refusals: map[refuse.Reason]int{}}
	}
	return n
}

func (n *notes) unsent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped++
}

func (n *notes) cutOff(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[host]++
}

func (n *notes) unanswered(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silences[host]++
}

func (n *notes) refused(class string, t told) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.classes[class]
	c.sent++
	c.refusals[t.Reason]++
}

// ended notes a stream. Values beyond the histogram's range are kept as its
// greatest.
func (n *notes) ended(c Class, h heard) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.classes[c.Name]
	k.sent++
	if h.wrong {
		k.wrong++
		if len(n.mistakes) < maxMistakes {
			n.mistakes = append(n.mistakes, h.mistake)
		}
	}
	if h.abandoned {
		k.left++
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
	_ = h.RecordValue(min(max(value, 1), histogramMost)) // always in range
}

func (n *notes) direct(h heard) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.whole {
		record(n.directs, int64(h.firstToken))
	}
}

func (n *notes) booking(key string) *bookingNotes {
	b, ok := n.bookings[key]
	if !ok {
		b = &bookingNotes{reason: map[refuse.Reason]int{}}
		n.bookings[key] = b
	}
	return b
}

func (n *notes) booked(key string, t told) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.booking(key)
	b.reason[t.Reason]++
	b.notRun = t.Ran == refuse.RanNo
	b.unsure = b.unsure || t.Ran != refuse.RanNo
}

func (n *notes) bookedDone(key string, whole bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.booking(key)
	b.done = b.done || whole
	b.notRun = false
}

// compare holds what callers were told against how often each booking ran.
func (n *notes) compare(runs map[string]int) Bookings {
	n.mu.Lock()
	defer n.mu.Unlock()
	report := Bookings{Refusals: map[refuse.Reason]int{}}
	for key, b := range n.bookings {
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
		if !b.done && b.notRun && !b.unsure {
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

func (n *notes) report(s Settings) Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	report := Report{Dropped: n.dropped, CutOff: n.cuts, NoAnswer: n.silences, Mistakes: n.mistakes}
	names := append([]string(nil), n.order...)
	sort.Strings(names)
	for _, name := range names {
		report.Classes = append(report.Classes, n.classes[name].report(name, s))
	}
	if n.directs.TotalCount() > 0 {
		report.DirectFirstTokenP50 = n.directs.ValueAtQuantile(50)
		report.DirectFirstTokenP99 = n.directs.ValueAtQuantile(99)
	}
	return report
}

func (k *classNotes) report(name string, s Settings) ClassReport {
	seconds := float64(s.DurationMilliseconds) / 1000
	r := ClassReport{
		Name:             name,
		Sent:             k.sent,
		Whole:            k.whole,
		Wrong:            k.wrong,
		Abandoned:        k.left,
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
