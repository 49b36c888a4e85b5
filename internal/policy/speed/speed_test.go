package speed_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/speed"
)

// feed records samples for ten servers over a period. slow maps a server to the
// factor by which its latencies are longer.
func feed(t *speed.Tracker, from, to clock.Millis, slow map[string]float64) {
	for now := from; now < to; now += 20 {
		for i := range 10 {
			name := fmt.Sprint("s", i)
			factor := max(1, slow[name])
			running := 1 + (i+int(now)/20)%8
			t.InterTokenLatency(now, name, running, factor*float64(15+2*running))
			t.Started(now-1, name, "r", 20*running)
			t.FirstToken(now, name, "r", clock.Millis(factor*float64(40+running)))
		}
	}
}

func TestSlowServersLoseWeightWithinASecond(t *testing.T) {
	c := quicktest.New(t)
	tr := speed.New()
	feed(tr, 0, 2_000, nil)
	for i := range 10 {
		c.Check(tr.Weight(2_000, fmt.Sprint("s", i)), quicktest.Equals, 1.0)
	}
	feed(tr, 2_000, 2_500, map[string]float64{"s3": 4, "s7": 4})
	c.Check(tr.Weight(2_500, "s3") < 0.35, quicktest.IsTrue)
	c.Check(tr.Weight(2_500, "s7") < 0.35, quicktest.IsTrue)
	c.Check(tr.Weight(2_500, "s4"), quicktest.Equals, 1.0)
	c.Check(tr.ProbeDue(2_500, "s3"), quicktest.IsTrue)
	tr.RecordProbe(2_500, "s3")
	c.Check(tr.ProbeDue(2_600, "s3"), quicktest.IsFalse)
	expected := tr.ExpectedFirstToken(100)
	c.Check(expected >= 44 && expected <= 48, quicktest.IsTrue, quicktest.Commentf("45 ms, but %d", expected))
	feed(tr, 2_500, 3_500, nil)
	c.Check(tr.Weight(3_500, "s3"), quicktest.Equals, 1.0)
	// A slowdown of every server marks none of them as slow.
	all := map[string]float64{}
	for i := range 10 {
		all[fmt.Sprint("s", i)] = 3
	}
	feed(tr, 3_500, 5_000, all)
	c.Check(tr.Weight(5_000, "s3"), quicktest.Equals, 1.0)
}

func TestOverdueFirstTokenLowersWeight(t *testing.T) {
	c := quicktest.New(t)
	tr := speed.New()
	feed(tr, 0, 2_000, nil)
	tr.Started(2_000, "s1", "r", 100)
	c.Check(tr.Weight(2_050, "s1"), quicktest.Equals, 1.0)
	c.Check(tr.Weight(2_800, "s1") < 0.2, quicktest.IsTrue)
	tr.FirstToken(2_800, "s1", "r", 800)
	c.Check(tr.Slowness(2_800, "s1") > 2, quicktest.IsTrue)
}
