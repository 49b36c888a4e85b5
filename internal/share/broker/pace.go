package broker

import "siskinsaddle/internal/base/clock"

// pace decides when the next round of decisions may begin. It is made for the load of a
// keeper whose queue is so long that a round takes longer than decidePeriod: rounds take
// at most half of the time, and the other half is left for arriving requests and events.
// With a round for each message the messages would pile up, urgent ones among them.
type pace struct {
	beganAt clock.Millis
	endedAt clock.Millis
}

// due reports whether a round may begin.
func (p pace) due(now clock.Millis) bool {
	took := p.endedAt - p.beganAt
	return now >= max(p.beganAt+decidePeriod, p.endedAt+took)
}
