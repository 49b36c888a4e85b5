package retry

import "siskinsaddle/internal/base/clock"

// windowSteps is into how many steps a window is cut. A repeat leaves the count
// up to one step after it left the window.
const windowSteps = 20

// Window bounds the repeats that this host sends to each service to its share
// of what all hosts may send: a ratio of the requests that the host got for the
// service, and an equal part of the slack. It answers a load of failures, under
// which repeats would multiply the work of the servers that are left. Take
// NewWindow; it is not safe for concurrent use.
type Window struct {
	ratio  float64
	slack  float64
	length clock.Millis
	// services counts by service and step.
	services map[string]*steps
}

type steps struct {
	first    [windowSteps]int
	repeats  [windowSteps]int
	at       clock.Millis
	requests int
	repeated int
}

// NewWindow returns an empty Window over a length in milliseconds. The slack is
// that of all hosts together.
func NewWindow(ratio, slack float64, length clock.Millis) *Window {
	return &Window{ratio: ratio, slack: slack, length: length, services: map[string]*steps{}}
}

// Same tells whether the window has these bounds.
func (w *Window) Same(ratio, slack float64, length clock.Millis) bool {
	return w.ratio == ratio && w.slack == slack && w.length == length
}

// Requested notes a request for a service.
func (w *Window) Requested(now clock.Millis, service string) {
	s := w.advance(now, service)
	s.first[s.at%windowSteps]++
	s.requests++
}

// Take pays for one repeat, or returns false. Hosts is the number of live hosts
// that share the slack.
func (w *Window) Take(now clock.Millis, service string, hosts int) bool {
	s := w.advance(now, service)
	most := w.ratio*float64(s.requests) + w.slack/float64(max(hosts, 1))
	if float64(s.repeated+1) > most {
		return false
	}
	s.repeats[s.at%windowSteps]++
	s.repeated++
	return true
}

// Left is how many repeats of a service could be paid now.
func (w *Window) Left(now clock.Millis, service string, hosts int) float64 {
	s := w.advance(now, service)
	return w.ratio*float64(s.requests) + w.slack/float64(max(hosts, 1)) - float64(s.repeated)
}

// advance forgets the steps that have left the window. Repeats are kept one
// step longer than requests.
func (w *Window) advance(now clock.Millis, service string) *steps {
	step := now / max(w.length/(windowSteps-1), 1)
	s := w.services[service]
	if s == nil {
		s = &steps{at: step}
		w.services[service] = s
	}
	for range min(step-s.at, windowSteps) {
		s.at++
		i := s.at % windowSteps
		s.requests -= s.first[i]
		s.repeated -= s.repeats[i]
		s.first[i], s.repeats[i] = 0, 0
	}
	s.at = max(s.at, step)
	return s
}
