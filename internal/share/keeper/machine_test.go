package keeper

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
)

// TestQueuedRequestSpillsToOtherDomain fills the own domain while the host's digest still
// shows free slots: the next request is queued there, and must spill as soon as the host
// is told so.
func TestQueuedRequestSpillsToOtherDomain(t *testing.T) {
	c := qt.New(t)
	p := newDomainPair()
	a, b := p.cores["host-a"], p.cores["host-b"]
	c.Assert(p.requestGrants("host-b", 1), qt.DeepEquals, map[string]int{"prairie-b": 1})
	p.endAll("host-b")
	c.Assert(p.requestGrants("host-a", 10), qt.DeepEquals, map[string]int{"prairie-a": 10})
	a.recordDomainDigests(p.now, "prairie-b", b.domainDigests(p.now))
	c.Assert(p.requestGrants("host-a", 1), qt.DeepEquals, map[string]int{"prairie-b": 1})
	queued := a.kept[groupIDOf("canvas-llm/prairie-a/0")]
	c.Assert(queued.decider.inner.Digest(p.now).Waiting, qt.Equals, 0, qt.Commentf(
		"it no longer waits in its own domain",
	))
}

// TestResentGrantRequestAfterRefusalIsWithdrawn resends a grant request while its refusal
// is in flight. The keeper queues it as a new one, which the host must withdraw.
func TestResentGrantRequestAfterRefusalIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	p := newDomainPair()
	a := p.cores["host-a"]
	c.Assert(p.requestGrants("host-a", 11), qt.DeepEquals, map[string]int{"prairie-a": 10})
	waiting := a.sortedRequests()[10]
	c.Assert(waiting.state, qt.Equals, stateQueued)
	refusal := verdictMessage{
		Group: waiting.groupID(), Seq: waiting.seq,
		Verdict: string(verdictRefuse), Reason: string(sched.ReasonShed),
	}
	repeated := &packet{GrantRequests: []grantRequestMessage{newGrantRequestMessage(
		p.now, waiting.groupID(), waiting.seq, waiting.request,
	)}}
	a.receive(p.now, a.self, &packet{Verdicts: []verdictMessage{refusal}})
	a.receive(p.now, a.self, repeated)
	p.deliverAll()
	c.Assert(a.kept[waiting.groupID()].decider.inner.Digest(p.now).Waiting, qt.Equals, 0)
}

// TestMachineIsItsOwnKeeper drives a single Machine, which keeps its own group.
func TestMachineIsItsOwnKeeper(t *testing.T) {
	c := qt.New(t)
	m := NewMachine(MachineSettings{
		Name: "host-a", FailureDomain: "prairie-a", GroupSize: GroupSize,
		Services: func() []string { return []string{"canvas-llm"} },
		Servers:  testServers, Settings: testSettings,
	})
	now := clock.Millis(1000)
	m.ViewChanged(now, hosts.NewView(1, hostsNamed(1, "Alive", "host-a")...))
	m.RequestGrant(now, sched.Request{
		ID: "r1", Service: "canvas-llm", Class: "class-1", Deadline: now + 100, GiveUp: now + 1000,
	})
	packets, err := m.Packets(now)
	c.Assert(err, qt.IsNil)
	c.Assert(packets, qt.HasLen, 0)
	for range 20 {
		now += TickInterval
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
