package count

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest recorded latency in milliseconds; longer ones
	// are recorded as this.
	maxLatency = 60_000
	// significantDigits is the precision of latencies in decimal digits.
	significantDigits = 2
	// maxHistograms bounds memory: a histogram takes about 20 KB.
	maxHistograms = 96
)

// quantiles are the percentiles written for each histogram.
var quantiles = []float64{50, 90, 99, 99.9}

// histograms holds latency histograms by series name. Beyond maxHistograms, new
// series are recorded in one histogram per name, without labels.
type histograms struct {
	mu  sync.Mutex
	all map[string]*hdrhistogram.Histogram
}

// Observe records a latency in milliseconds.
func (s *Set) Observe(name string, millis int64, labels ...Label) {
	s.histograms.mu.Lock()
	defer s.histograms.mu.Unlock()
	if s.histograms.all == nil {
		s.histograms.all = map[string]*hdrhistogram.Histogram{}
	}
	key := seriesName(name, labels)
	h := s.histograms.all[key]
	if h == nil && len(s.histograms.all) >= maxHistograms {
		key = name
		h = s.histograms.all[key]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxLatency, significantDigits)
		s.histograms.all[key] = h
	}
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(millis, 1), maxLatency))
}

// Observations returns the number of latencies recorded under a name with these
// labels.
func (s *Set) Observations(name string, labels ...Label) int64 {
	s.histograms.mu.Lock()
	defer s.histograms.mu.Unlock()
	if h := s.histograms.all[seriesName(name, labels)]; h != nil {
		return h.TotalCount()
	}
	return 0
}

func (hs *histograms) write(w io.Writer) error {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	keys := make([]string, 0, len(hs.all))
	for k := range hs.all {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	last := ""
	for _, k := range keys {
		family, rest, labelled := strings.Cut(k, "{")
		inner := ""
		if labelled {
			inner = strings.TrimSuffix(rest, "}") + ","
		}
		if family != last {
			if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", family); err != nil {
				return err
			}
			last = family
		}
		h := hs.all[k]
		for _, q := range quantiles {
			if _, err := fmt.Fprintf(w, "%s{%squantile=\"%g\"} %d\n", family, inner, q/100, h.ValueAtQuantile(q)); err != nil {
				return err
			}
		}
		suffix := ""
		if labelled {
			suffix = "{" + rest
		}
		if _, err := fmt.Fprintf(w, "%s_count%s %d\n", family, suffix, h.TotalCount()); err != nil {
			return err
		}
	}
	return nil
}
