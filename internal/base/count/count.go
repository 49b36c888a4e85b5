// Package count holds the program's counters, gauges and latency histograms and
// writes them in the Prometheus text format. Counters and gauges are kept by
// go-metrics, latencies by HdrHistogram.
//
// The labels are part of a metric's name in the registry, so that each refusal
// and retry reason has its own counter.
//
// # Usage
//
//	s := count.NewSet()
//	s.Add("siskinsaddle_refused_total", 1, count.Label{Key: "reason", Value: "WrongKey"})
//	s.Set("siskinsaddle_open_requests", 12)
//	s.WritePrometheus(w)
package count

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Label is one label of a metric.
type Label struct {
	Key   string
	Value string
}

// Set is a registry of metrics. It is safe for concurrent use.
type Set struct {
	registry   metrics.Registry
	histograms histograms
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Add adds to a counter, which is created at first use.
func (s *Set) Add(name string, by int64, labels ...Label) {
	metrics.GetOrRegisterCounter(seriesName(name, labels), s.registry).Inc(by)
}

// Count returns a counter's value, 0 if it was never added to.
func (s *Set) Count(name string, labels ...Label) int64 {
	c, ok := s.registry.Get(seriesName(name, labels)).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// Set sets a gauge, which is created at first use.
func (s *Set) Set(name string, to int64, labels ...Label) {
	metrics.GetOrRegisterGauge(seriesName(name, labels), s.registry).Update(to)
}

// Gauge returns a gauge's value, 0 if it was never set.
func (s *Set) Gauge(name string, labels ...Label) int64 {
	g, ok := s.registry.Get(seriesName(name, labels)).(metrics.Gauge)
	if !ok {
		return 0
	}
	return g.Value()
}

// seriesName returns the name with its labels in the order given, in Prometheus
// notation: refused_total{reason="WrongKey",class="urgent"}.
func seriesName(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i, l := range labels {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", l.Key, l.Value)
	}
	b.WriteByte('}')
	return b.String()
}

type sample struct {
	name  string
	kind  string
	value int64
}

// WritePrometheus writes every metric in the Prometheus text format, with one
// TYPE line for each family: first counters and gauges, then latencies as
// summaries, each sorted by name.
func (s *Set) WritePrometheus(w io.Writer) error {
	last := ""
	for _, p := range s.samples() {
		family, _, _ := strings.Cut(p.name, "{")
		if family != last {
			if _, err := fmt.Fprintf(w, "# TYPE %s %s\n", family, p.kind); err != nil {
				return err
			}
			last = family
		}
		if _, err := fmt.Fprintf(w, "%s %d\n", p.name, p.value); err != nil {
			return err
		}
	}
	return s.histograms.write(w)
}

func (s *Set) samples() []sample {
	var all []sample
	s.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			all = append(all, sample{name: name, kind: "counter", value: m.Count()})
		case metrics.Gauge:
			all = append(all, sample{name: name, kind: "gauge", value: m.Value()})
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}
