package decide

import (
	_ "embed"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

//go:embed server.chart.hujson
var serverFile []byte

var serverChart = chart.MustParse("server.chart.hujson", serverFile)

const (
	stateSuspect chart.State = "Suspect"
	stateTrial   chart.State = "Trial"

	eventLost   chart.Event = "Lost"
	eventServed chart.Event = "Served"
	eventWaited chart.Event = "Waited"

	actionPause   chart.Action = "Pause"
	actionForgive chart.Action = "Forgive"
)

const (
	// minBackoff and maxBackoff bound how long a suspected server gets no work.
	// Each suspicion doubles the backoff until a request succeeds.
	minBackoff = 500 * clock.Millis(1)
	maxBackoff = 8 * clock.Second
	// maxFailures is the number of consecutive failed requests after which a
	// reachable server is suspected. It is above 1 so that a single request
	// that fails everywhere does not take all servers out of use.
	maxFailures = 3
	// trialSlots is the number of concurrent requests on a server on trial.
	trialSlots = 1
)

// health tracks the health of each server from the outcomes of requests.
type health struct {
	servers map[string]*serverHealth
}

type serverHealth struct {
	state        chart.State
	failures     int
	backoff      clock.Millis
	backoffUntil clock.Millis
}

func newHealth() *health {
	return &health{servers: map[string]*serverHealth{}}
}

func (h *health) at(server string) *serverHealth {
	c, ok := h.servers[server]
	if !ok {
		c = &serverHealth{state: serverChart.Initial, backoff: minBackoff}
		h.servers[server] = c
	}
	return c
}

// ended records the outcome of a request and reports whether the server's state
// changed. A cancelled request is ignored.
func (h *health) ended(now clock.Millis, server string, o sched.Outcome) bool {
	c := h.at(server)
	switch o {
	case sched.OutcomeDone:
		c.failures = 0
		return c.step(now, eventServed)
	case sched.OutcomeUnreachable:
		return c.step(now, eventLost)
	case sched.OutcomeFailed, sched.OutcomeSilent:
		c.failures++
		if c.failures >= maxFailures {
			return c.step(now, eventLost)
		}
	}
	return false
}

// endBackoffs ends the backoffs that have elapsed and reports whether there were any.
func (h *health) endBackoffs(now clock.Millis) bool {
	changed := false
	for _, c := range h.servers {
		if c.state == stateSuspect && now >= c.backoffUntil {
			changed = c.step(now, eventWaited) || changed
		}
	}
	return changed
}

func (c *serverHealth) step(now clock.Millis, e chart.Event) bool {
	move, err := serverChart.Step(c.state, e)
	if err != nil {
		return false // the state does not handle the event, as Up does not handle Waited
	}
	for _, action := range move.Do {
		healthActions[action](c, now)
	}
	changed := move.To != c.state
	c.state = move.To
	return changed
}

var healthActions = map[chart.Action]func(*serverHealth, clock.Millis){
	actionPause: func(c *serverHealth, now clock.Millis) {
		c.backoffUntil = now + c.backoff
		c.backoff = min(2*c.backoff, maxBackoff)
		c.failures = 0
	},
	actionForgive: func(c *serverHealth, _ clock.Millis) {
		c.backoff = minBackoff
	},
}

// apply returns the servers with suspected ones marked, and those on trial limited
// to a single slot. A state other than Up is kept, since the server list and the
// probes take precedence.
func (h *health) apply(list []sched.Server) []sched.Server {
	marked := make([]sched.Server, len(list))
	for i, s := range list {
		switch h.at(s.Name).state {
		case stateSuspect:
			if s.State == sched.ServerUp {
				s.State = sched.ServerSuspect
			}
		case stateTrial:
			s.Slots = min(s.Slots, trialSlots)
		}
		marked[i] = s
	}
	return marked
}

func (h *health) forget(server string) {
	delete(h.servers, server)
}
