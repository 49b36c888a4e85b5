package broker

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
)

// If each message were followed by a round, a message would take as long as a round.
func TestLongRoundsTakeAtMostHalfOfTheTime(t *testing.T) {
	for _, took := range []clock.Millis{0, 1, decidePeriod - 1, decidePeriod, 50, 1_000} {
		c := qt.New(t)
		const messages = 10_000
		now, inRounds := clock.Millis(0), clock.Millis(0)
		p := pace{}
		for range messages {
			now++
			if p.due(now) {
				p = pace{beganAt: now, endedAt: now + took}
				now += took
				inRounds += took
			}
		}
		c.Assert(2*inRounds <= now, qt.IsTrue, qt.Commentf("rounds of %d ms take %d of %d ms", took, inRounds, now))
		c.Assert(inRounds >= took*(messages/(max(decidePeriod, 2*took)+1)), qt.IsTrue)
	}
}
