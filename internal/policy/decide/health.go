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
	// pauseFirst and pauseMost bound how long a suspected server gets no work.
	// Each suspicion doubles the pause until a request ends well.
	pauseFirst = 500 * clock.Millis(1)
	pauseMost  = 8 * clock.Second
	// strikes is how many requests in a row have to fail on a server that
	// could be reached, so that one request that fails everywhere does not
	// take the servers out of use.
	strikes = 3
	// trialSlots is how many requests a server on trial runs at a time.
	trialSlots = 1
)

// health is what is believed of each server.
type health struct {
	servers map[string]*condition
}

type condition struct {
	state  chart.State
	failed int
	pause  clock.Millis
	until  clock.Millis
}

func newHealth() *health {
	return &health{servers: map[string]*condition{}}
}

func (h *health) at(server string) *condition {
	c, ok := h.servers[server]
	if !ok {
		c = &condition{state: serverChart.Initial, pause: pauseFirst}
		h.servers[server] = c
	}
	return c
}

// ended takes the end of a request and returns whether the server's state has
// changed. A cancelled request says nothing.
func (h *health) ended(now clock.Millis, server string, o sched.Outcome) bool {
	c := h.at(server)
	switch o {
	case sched.OutcomeDone:
		c.failed = 0
		return c.take(now, eventServed)
	case sched.OutcomeUnreachable:
		return c.take(now, eventLost)
	case sched.OutcomeFailed, sched.OutcomeSilent:
		c.failed++
		if c.failed >= strikes {
			return c.take(now, eventLost)
		}
	}
	return false
}

// waited ends the pauses that are over and returns whether there were any.
func (h *health) waited(now clock.Millis) bool {
	changed := false
	for _, c := range h.servers {
		if c.state == stateSuspect && now >= c.until {
			changed = c.take(now, eventWaited) || changed
		}
	}
	return changed
}

func (c *condition) take(now clock.Millis, e chart.Event) bool {
	move, err := serverChart.Step(c.state, e)
	if err != nil {
		return false // an Up server has no pause to wait for
	}
	for _, action := range move.Do {
		conditionActions[action](c, now)
	}
	changed := move.To != c.state
	c.state = move.To
	return changed
}

var conditionActions = map[chart.Action]func(*condition, clock.Millis){
	actionPause: func(c *condition, now clock.Millis) {
		c.until = now + c.pause
		c.pause = min(2*c.pause, pauseMost)
		c.failed = 0
	},
	actionForgive: func(c *condition, _ clock.Millis) {
		c.pause = pauseFirst
	},
}

// apply returns the servers with a suspected one marked, and one on trial left
// a single slot. A state other than Up stays, since the list and the probes
// know more.
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
