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
	ask := spill.Ask{Request: sched.Request{Deadline: 300}, Slots: 40}
	c.Check(p.Choose(0, ask), quicktest.Equals, "")
	p.Heard(0, "b", sched.Digest{FreeSlots: 20}, 40)
	p.Heard(0, "c", sched.Digest{FreeSlots: 10}, 40)
	c.Check(p.Choose(0, ask), quicktest.Equals, "b")
	p.Sent("b")
	p.Refused(0, "b")
	c.Check(p.Choose(499, ask), quicktest.Equals, "",
		quicktest.Commentf("b is in backoff, c has only its reserve free"))
	c.Check(p.Choose(500, ask), quicktest.Equals, "b")
	p.Sent("b")
	p.Refused(500, "b")
	c.Check(p.Choose(1_400, ask), quicktest.Equals, "", quicktest.Commentf("the backoff doubles"))
	c.Check(p.Choose(1_500, ask), quicktest.Equals, "b")
	p.Sent("b")
	p.Sent("b")
	c.Check(p.Choose(1_500, ask), quicktest.Equals, "",
		quicktest.Commentf("two spilled requests reach the limit of 5% of 40 slots"))
	p.Ended("b")
	c.Check(p.Choose(1_500, ask), quicktest.Equals, "b")
	c.Check(p.Choose(2_001, ask), quicktest.Equals, "", quicktest.Commentf("the digest has expired"))
	p.Heard(2_001, "b", sched.Digest{FreeSlots: 20}, 40)
	ask.Request.Spilled = true
	c.Check(p.Choose(2_001, ask), quicktest.Equals, "",
		quicktest.Commentf("the request was spilled already"))
	ask.Request.Spilled, ask.Local.FreeSlots = false, 1
	c.Check(p.Choose(2_001, ask), quicktest.Equals, "", quicktest.Commentf("a local slot is free"))
}
