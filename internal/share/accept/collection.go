package accept

import (
	"fmt"
	"slices"
	"strings"

	"siskinsaddle/internal/base/clock"
)

// verdict is what a failure domain may do with a staged generation.
type verdict string

const (
	verdictWait    verdict = "Wait"
	verdictConfirm verdict = "Confirm"
	// verdictAbort: a host can not hold the generation, or too many are
	// silent.
	verdictAbort verdict = "Abort"
)

// ack is what one registered host has said of a generation.
type ack struct {
	given   bool
	refusal string
	// silentSince is the start of the first request without any answer,
	// never while the host answers.
	silentSince clock.Millis
	met         []string
}

// collection gathers the acknowledgements of one failure domain for one
// generation.
type collection struct {
	number int64
	self   string
	acks   map[string]*ack
}

// newCollection starts with the hosts that were registered after the
// generation was seen staged.
func newCollection(number int64, self string, registered []string) *collection {
	c := &collection{number: number, self: self, acks: map[string]*ack{}}
	for _, name := range registered {
		c.acks[name] = &ack{silentSince: never}
	}
	return c
}

// whomToAsk returns the hosts of the next round: those that have not
// acknowledged, and all while some are silent, to hear who has met them.
func (c *collection) whomToAsk() []string {
	silent := len(c.silent()) > 0
	var ask []string
	for name, a := range c.acks {
		if !a.given || silent {
			ask = append(ask, name)
		}
	}
	slices.Sort(ask)
	return ask
}

func (c *collection) answered(name string, reply TellReply) {
	a := c.acks[name]
	a.silentSince = never
	a.given = a.given || reply.Acked >= c.number || reply.InForce >= c.number
	a.refusal = reply.Refusal
	a.met = reply.Met
}

func (c *collection) unanswered(name string, asked clock.Millis) {
	if a := c.acks[name]; !a.given && a.silentSince == never {
		a.silentSince = asked
	}
}

// silent returns the hosts that have not acknowledged and do not answer.
func (c *collection) silent() []string {
	var names []string
	for name, a := range c.acks {
		if !a.given && a.silentSince != never {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// verdict decides. awakeSince is since when this host has run without a pause:
// a host that was paused has not seen the others silent. Reason is for the
// operator where the answer is Abort.
func (c *collection) verdict(now, awakeSince clock.Millis) (v verdict, reason string) {
	silent := c.silent()
	v = verdictConfirm
	for _, name := range c.names() {
		a := c.acks[name]
		if a.refusal != "" {
			return verdictAbort, fmt.Sprintf("host %s refuses it: %s", name, a.refusal)
		}
		if !a.given && a.silentSince == never {
			v = verdictWait
		}
	}
	var blocked []string
	for _, name := range silent {
		waited := now - max(c.acks[name].silentSince, awakeSince)
		switch {
		case waited <= ExclusionWait:
			v = verdictWait
		case !c.mayExclude(name, len(silent)):
			v = verdictWait
			if waited > ExclusionWait+BlockedWait {
				blocked = append(blocked, name)
			}
		}
	}
	if len(blocked) > 0 {
		return verdictAbort, fmt.Sprintf("%s do not answer, and too few hosts that know them do", strings.Join(blocked, ", "))
	}
	return v, ""
}

// mayExclude tells whether the domain may go on without a silent host. This
// host must have met it, so the silent host counts on hearing from this one.
// And those that acknowledged and have met it must be at least half of all
// that it may count on: themselves, the silent host, and every other silent
// one, which may have met it.
//
// For example, of four hosts two are silent: the other two acknowledged and
// have met both, which is half of four, so they may go on. A silent host
// counts itself current only with more than half.
func (c *collection) mayExclude(name string, silent int) bool {
	acked := 0
	for _, a := range c.acks {
		if a.given && slices.Contains(a.met, name) {
			acked++
		}
	}
	own, ok := c.acks[c.self]
	return ok && slices.Contains(own.met, name) && acked >= silent
}

func (c *collection) names() []string {
	names := make([]string, 0, len(c.acks))
	for name := range c.acks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
