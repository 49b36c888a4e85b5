package keeper

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
)

// TestQueuedRequestSpills fills the own domain without the host's knowledge:
// the next request queues there, hears so, and goes elsewhere at once.
func TestQueuedRequestSpills(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	a, b := p.cores["host-a"], p.cores["host-b"]
	c.Assert(p.ask("host-b", 1), qt.DeepEquals, map[string]int{"prairie-b": 1})
	p.endAll("host-b")
	c.Assert(p.ask("host-a", 10), qt.DeepEquals, map[string]int{"prairie-a": 10})
	a.learn(p.now, "prairie-b", b.sum(p.now))
	c.Assert(p.ask("host-a", 1), qt.DeepEquals, map[string]int{"prairie-b": 1})
	queued := a.desks[numberOf("canvas-llm/prairie-a/0")]
	c.Assert(queued.sched.inner.Digest(p.now).Waiting, qt.Equals, 0, qt.Commentf("it no longer waits at home"))
}

// TestRepeatedAskOfRefusedRequestIsWithdrawn lets an ask be repeated while its
// refusal is on the way: the keeper takes it for a new one.
func TestRepeatedAskOfRefusedRequestIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	a := p.cores["host-a"]
	c.Assert(p.ask("host-a", 11), qt.DeepEquals, map[string]int{"prairie-a": 10})
	waiting := a.sorted()[10]
	c.Assert(waiting.state, qt.Equals, stateQueued)
	refusal := verdictMessage{
		Group: waiting.number(), Seq: waiting.seq, Verdict: string(verdictRefuse), Reason: string(sched.ReasonShed),
	}
	repeated := &packet{Asks: []askMessage{newAsk(p.now, waiting.number(), waiting.seq, waiting.request)}}
	a.receive(p.now, a.self, &packet{Verdicts: []verdictMessage{refusal}})
	a.receive(p.now, a.self, repeated)
	p.settle()
	c.Assert(a.desks[waiting.number()].sched.inner.Digest(p.now).Waiting, qt.Equals, 0)
}

// TestMachineDecidesForItself drives one Machine whose keeper is itself.
func TestMachineDecidesForItself(t *testing.T) {
	c := qt.New(t)
	m := NewMachine(MachineSettings{
		Name: "host-a", FailureDomain: "prairie-a", GroupSize: GroupSize,
		Services: func() []string { return []string{"canvas-llm"} }, Servers: testServers, Settings: testSettings,
	})
	now := clock.Millis(1000)
	m.ViewChanged(now, hosts.NewView(1, named(1, "Alive", "host-a")...))
	m.Ask(now, sched.Request{ID: "r1", Service: "canvas-llm", Class: "class-1", Deadline: now + 100, GiveUp: now + 1000})
	packets, err := m.Packets(now)
	c.Assert(err, qt.IsNil)
	c.Assert(packets, qt.HasLen, 0)
	for range 20 {
		now += TickEvery
		m.Tick(now)
		_, err = m.Packets(now)
		c.Assert(err, qt.IsNil)
	}
	decisions := m.Decisions()
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].ID, qt.Equals, "r1")
	c.Assert(decisions[0].Refusal, qt.IsNil)
	c.Assert(decisions[0].Grant.FailureDomain, qt.Equals, "prairie-a")
	c.Assert(m.Decisions(), qt.HasLen, 0)
}
