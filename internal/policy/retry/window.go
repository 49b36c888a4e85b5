package retry

import "siskinsaddle/internal/base/clock"

// windowSteps is the number of steps of the sliding window. A repeat is counted for
// up to one step after it left the window.
const windowSteps = 20

// Window is a sliding window that bounds the repeats that this host sends to each
// service to its share of the limit for all hosts: a ratio of the requests that the
// host received for the service, and an equal part of the slack. It answers a load
// of failures, under which repeats would multiply the work of the remaining servers.
// Create it with NewWindow; it is not safe for concurrent use.
type Window struct {
	ratio  float64
	slack  float64
	length clock.Millis
	// services holds the counts of each service.
	services map[string]*stepCounts
}

// stepCounts holds a service's counts by step and their sums over the window.
type stepCounts struct {
	requestsByStep [windowSteps]int
	repeatsByStep  [windowSteps]int
	// current is the number of the latest step.
	current  clock.Millis
	requests int
	repeats  int
}

// NewWindow returns an empty Window of the given length in milliseconds. The slack
// is the number of repeats that all hosts together may send beyond the ratio.
func NewWindow(ratio, slack float64, length clock.Millis) *Window {
	return &Window{ratio: ratio, slack: slack, length: length, services: map[string]*stepCounts{}}
}

// HasLimits reports whether the window has these limits.
func (w *Window) HasLimits(ratio, slack float64, length clock.Millis) bool {
	return w.ratio == ratio && w.slack == slack && w.length == length
}

// Requested counts a request for a service.
func (w *Window) Requested(now clock.Millis, service string) {
	s := w.advance(now, service)
	s.requestsByStep[s.current%windowSteps]++
	s.requests++
}

// Take counts one repeat if the limit allows it, and returns false otherwise. The
// slack is divided by hosts, the number of live hosts.
func (w *Window) Take(now clock.Millis, service string, hosts int) bool {
	s := w.advance(now, service)
	allowed := w.ratio*float64(s.requests) + w.slack/float64(max(hosts, 1))
	if float64(s.repeats+1) > allowed {
		return false
	}
	s.repeatsByStep[s.current%windowSteps]++
	s.repeats++
	return true
}

// Remaining returns the number of repeats of a service that the limit allows now.
func (w *Window) Remaining(now clock.Millis, service string, hosts int) float64 {
	s := w.advance(now, service)
	return w.ratio*float64(s.requests) + w.slack/float64(max(hosts, 1)) - float64(s.repeats)
}

// advance subtracts the counts of the steps that have left the window.
func (w *Window) advance(now clock.Millis, service string) *stepCounts {
	step := now / max(w.length/(windowSteps-1), 1)
	s := w.services[service]
	if s == nil {
		s = &stepCounts{current: step}
		w.services[service] = s
	}
	for range min(step-s.current, windowSteps) {
		s.current++
		i := s.current % windowSteps
		s.requests -= s.requestsByStep[i]
		s.repeats -= s.repeatsByStep[i]
		s.requestsByStep[i], s.repeatsByStep[i] = 0, 0
	}
	s.current = max(s.current, step)
	return s
}
