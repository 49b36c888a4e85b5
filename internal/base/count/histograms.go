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
	// longestSpan is the longest latency that is told from longer ones, in
	// milliseconds.
	longestSpan = 60_000
	// spanDigits is the precision of latencies in decimal digits.
	spanDigits = 2
	// maxSpans bounds the histograms, at some 20 KB each.
	maxSpans = 96
)

// quantiles are what is written of each histogram.
var quantiles = []float64{50, 90, 99, 99.9}

// spans holds latency histograms. When there are too many, further ones share
// one without labels.
type spans struct {
	mu  sync.Mutex
	all map[string]*hdrhistogram.Histogram
}

// Observe notes a latency in milliseconds.
func (s *Set) Observe(name string, millis int64, labels ...Label) {
	s.spans.mu.Lock()
	defer s.spans.mu.Unlock()
	if s.spans.all == nil {
		s.spans.all = map[string]*hdrhistogram.Histogram{}
	}
	key := full(name, labels)
	h := s.spans.all[key]
	if h == nil && len(s.spans.all) >= maxSpans {
		key = name
		h = s.spans.all[key]
	}
	if h == nil {
		h = hdrhistogram.New(1, longestSpan, spanDigits)
		s.spans.all[key] = h
	}
	// A value within the bounds cannot fail to be recorded.
	_ = h.RecordValue(min(max(millis, 1), longestSpan))
}

// Observed is how many latencies were noted under a name with these labels.
func (s *Set) Observed(name string, labels ...Label) int64 {
	s.spans.mu.Lock()
	defer s.spans.mu.Unlock()
	if h := s.spans.all[full(name, labels)]; h != nil {
		return h.TotalCount()
	}
	return 0
}

func (s *spans) write(w io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(s.all))
	for k := range s.all {
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
		h := s.all[k]
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
