package accept

import (
	"fmt"
	"slices"
	"strings"

	"siskinsaddle/internal/base/clock"
)

// decision is what a failure domain may do with a staged generation.
type decision string

const (
	decisionWait    decision = "Wait"
	decisionConfirm decision = "Confirm"
	// decisionAbort: a host refuses the generation, or too many are silent.
	decisionAbort decision = "Abort"
)

// ack is one registered host's response to a generation.
type ack struct {
	acknowledged bool
	refusal      string
	// silentSince is when the first unanswered request was sent, or the constant
	// never if the host answers.
	silentSince clock.Millis
	knownBy     []string
}

// ackCollection holds the acknowledgements of one failure domain for one
// generation.
type ackCollection struct {
	number int64
	self   string
	acks   map[string]*ack
}

// newAckCollection takes the registered hosts, as read after the generation was
// seen staged or accepted.
func newAckCollection(number int64, self string, registered []string) *ackCollection {
	c := &ackCollection{number: number, self: self, acks: map[string]*ack{}}
	for _, name := range registered {
		c.acks[name] = &ack{silentSince: never}
	}
	return c
}

// nextRecipients returns the hosts of the next round: those that have not
// acknowledged, or all while some are silent, to learn which hosts the silent
// ones know.
func (c *ackCollection) nextRecipients() []string {
	silent := len(c.silent()) > 0
	var ask []string
	for name, a := range c.acks {
		if !a.acknowledged || silent {
			ask = append(ask, name)
		}
	}
	slices.Sort(ask)
	return ask
}

func (c *ackCollection) recordReply(name string, reply TellReply) {
	a := c.acks[name]
	a.silentSince = never
	a.acknowledged = a.acknowledged || reply.Acked >= c.number || reply.InForce >= c.number
	a.refusal = reply.Refusal
	a.knownBy = reply.KnownBy
}

func (c *ackCollection) recordFailure(name string, sentAt clock.Millis) {
	if a := c.acks[name]; !a.acknowledged && a.silentSince == never {
		a.silentSince = sentAt
	}
}

// silent returns the hosts that neither acknowledged nor answer.
func (c *ackCollection) silent() []string {
	var names []string
	for name, a := range c.acks {
		if !a.acknowledged && a.silentSince != never {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// decision returns whether the domain confirms, waits or aborts. Silence counts
// from runningSince, the end of this host's last pause, since a paused host
// cannot tell whether others were silent. The reason is set for Abort.
func (c *ackCollection) decision(now, runningSince clock.Millis) (v decision, reason string) {
	silent := c.silent()
	v = decisionConfirm
	for _, name := range c.names() {
		a := c.acks[name]
		if a.refusal != "" {
			return decisionAbort, fmt.Sprintf("host %s refused the generation: %s", name, a.refusal)
		}
		if !a.acknowledged && a.silentSince == never {
			v = decisionWait
		}
	}
	var blocked []string
	for _, name := range silent {
		waited := now - max(c.acks[name].silentSince, runningSince)
		switch {
		case waited <= ExclusionWait:
			v = decisionWait
		case !c.mayExclude(name, len(silent)):
			v = decisionWait
			if waited > ExclusionWait+BlockedTimeout {
				blocked = append(blocked, name)
			}
		}
	}
	if len(blocked) > 0 {
		return decisionAbort, fmt.Sprintf(
			"no answer from %s, and too few acknowledgements from hosts known to them",
			strings.Join(blocked, ", "))
	}
	return v, ""
}

// mayExclude reports whether the domain may confirm without a silent host. The
// silent host must know this host, so that it needs an answer from this host or
// from a majority to stay current. There must also be at least as many hosts that
// acknowledged and are known to it as there are silent hosts, itself included. Then
// the silent hosts are no majority of the hosts that it knows, even if it knows
// every other silent host.
//
// For example, two of four hosts are silent. The other two acknowledged and are
// known to both, which is half of four, so the domain may confirm. A silent host
// considers itself current only with more than half.
func (c *ackCollection) mayExclude(name string, silent int) bool {
	acked := 0
	for _, a := range c.acks {
		if a.acknowledged && slices.Contains(a.knownBy, name) {
			acked++
		}
	}
	own, ok := c.acks[c.self]
	return ok && slices.Contains(own.knownBy, name) && acked >= silent
}

func (c *ackCollection) names() []string {
	names := make([]string, 0, len(c.acks))
	for name := range c.acks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
