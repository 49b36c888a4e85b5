package spill_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/spill"
)

func TestSpillHonorsReserveBackoffAndOutShare(t *testing.T) {
	c := quicktest.New(t)
	p := spill.New(spill.Settings{Reserve: 0.25, OutShare: 0.05})
	candidate := spill.Candidate{Request: sched.Request{Deadline: 300}, Slots: 40}
	c.Check(p.Choose(0, candidate), quicktest.Equals, "")
	p.UpdateDomain(0, "b", sched.Digest{FreeSlots: 20}, 40)
	p.UpdateDomain(0, "c", sched.Digest{FreeSlots: 10}, 40)
	c.Check(p.Choose(0, candidate), quicktest.Equals, "b")
	p.Sent("b")
	p.Refused(0, "b")
	c.Check(p.Choose(499, candidate), quicktest.Equals, "",
		quicktest.Commentf("b is in backoff, c has only its reserve free"))
	c.Check(p.Choose(500, candidate), quicktest.Equals, "b")
	p.Sent("b")
	p.Refused(500, "b")
	c.Check(p.Choose(1_400, candidate), quicktest.Equals, "", quicktest.Commentf("the backoff doubles"))
	c.Check(p.Choose(1_500, candidate), quicktest.Equals, "b")
	p.Sent("b")
	p.Sent("b")
	c.Check(p.Choose(1_500, candidate), quicktest.Equals, "",
		quicktest.Commentf("two spilled requests reach the limit of 5% of 40 slots"))
	p.Ended("b")
	c.Check(p.Choose(1_500, candidate), quicktest.Equals, "b")
	c.Check(p.Choose(2_001, candidate), quicktest.Equals, "", quicktest.Commentf("the digest has expired"))
	p.UpdateDomain(2_001, "b", sched.Digest{FreeSlots: 20}, 40)
	candidate.Request.Spilled = true
	c.Check(p.Choose(2_001, candidate), quicktest.Equals, "",
		quicktest.Commentf("the request was spilled already"))
	candidate.Request.Spilled, candidate.Local.FreeSlots = false, 1
	c.Check(p.Choose(2_001, candidate), quicktest.Equals, "", quicktest.Commentf("a local slot is free"))
}
