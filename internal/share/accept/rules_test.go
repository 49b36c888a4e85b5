package accept

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
)

func rosterOf(names ...string) *roster {
	r := newRoster()
	r.list(names, "self", 0)
	return r
}

func TestRosterVerifiesByAnswers(t *testing.T) {
	c := qt.New(t)
	c.Assert(newRoster().verifiedAt(900), qt.Equals, never) // the peers are not known
	c.Assert(rosterOf("self").verifiedAt(900), qt.Equals, clock.Millis(900))

	r := rosterOf("self", "x", "y", "z")
	c.Assert(r.verifiedAt(2_000), qt.Equals, never)
	r.answered("x", 900)
	c.Assert(r.verifiedAt(2_000), qt.Equals, never) // two of four are no majority
	r.answered("y", 700)
	c.Assert(r.verifiedAt(2_000), qt.Equals, clock.Millis(700))

	// A path that works prolongs an answer, but only without a gap.
	r = rosterOf("self", "x")
	r.answered("x", 1_000)
	r.pathSeen("x", 1_000+CurrencyWindow)
	c.Assert(r.verifiedAt(9_000), qt.Equals, 1_000+CurrencyWindow)
	r.pathSeen("x", 1_001+3*CurrencyWindow)
	c.Assert(r.verifiedAt(9_000), qt.Equals, 1_000+CurrencyWindow)

	// A hello that came after the reading of the registrations stays.
	r.hello("y", 5_000)
	r.list([]string{"self"}, "self", 4_000)
	c.Assert(r.names(), qt.DeepEquals, []string{"y"})
	c.Assert(r.metOf([]string{"x", "y"}), qt.DeepEquals, []string{"y"})
}

func TestCollectionVerdicts(t *testing.T) {
	const late = ExclusionWait + 1
	ok := TellReply{Acked: 7, Met: []string{"x", "y"}}
	stranger := TellReply{Acked: 7}
	for name, v := range map[string]struct {
		replies map[string]TellReply
		awake   clock.Millis
		now     clock.Millis
		want    verdict
	}{
		"all acknowledged":          {replies: map[string]TellReply{"self": ok, "x": ok, "y": ok, "z": ok}, want: verdictConfirm},
		"one fetches":               {replies: map[string]TellReply{"self": ok, "x": {}, "y": ok, "z": ok}, now: late, want: verdictWait},
		"one refuses":               {replies: map[string]TellReply{"self": ok, "x": {Refusal: "unknown field"}}, want: verdictAbort},
		"one silent, not for long":  {replies: map[string]TellReply{"self": ok, "y": ok, "z": ok}, now: ExclusionWait, want: verdictWait},
		"one silent":                {replies: map[string]TellReply{"self": ok, "y": ok, "z": ok}, now: late, want: verdictConfirm},
		"two of four silent":        {replies: map[string]TellReply{"self": ok, "z": ok}, now: late, want: verdictConfirm},
		"three of four silent":      {replies: map[string]TellReply{"self": {Acked: 7, Met: []string{"x", "y", "z"}}}, now: late, want: verdictWait},
		"blocked for long":          {replies: map[string]TellReply{"self": ok}, now: late + BlockedWait, want: verdictAbort},
		"paused meanwhile":          {replies: map[string]TellReply{"self": ok, "y": ok, "z": ok}, now: late, awake: 100, want: verdictWait},
		"this host never met it":    {replies: map[string]TellReply{"self": stranger, "y": ok, "z": ok}, now: late, want: verdictWait},
		"too few of those met them": {replies: map[string]TellReply{"self": ok, "z": stranger}, now: late, want: verdictWait},
	} {
		col := newCollection(7, "self", []string{"self", "x", "y", "z"})
		for _, host := range col.names() {
			if reply, answers := v.replies[host]; answers {
				col.answered(host, reply)
			} else {
				col.unanswered(host, 0)
			}
		}
		got, _ := col.verdict(v.now, v.awake)
		qt.Check(t, got, qt.Equals, v.want, qt.Commentf(name))
	}
}

// TestMajorityMeetsAcknowledgements goes through every domain of up to seven
// hosts: who has acknowledged, who is silent, and who has met the last host,
// which is silent. Wherever the first host may lead the domain on, the last one
// must not count itself verified by hosts that did not acknowledge.
func TestMajorityMeetsAcknowledgements(t *testing.T) {
	const now = ExclusionWait + 1
	names := []string{"lead", "b", "c", "d", "e", "f", "last"}
	led := 0
	for n := 2; n <= len(names); n++ {
		last := n - 1
		for bits := range 1 << (2 * last) {
			acked := func(i int) bool { return i < last && (i == 0 || bits>>i&1 == 1) }
			met := func(i int) bool { return bits>>(last+i)&1 == 1 }
			col := newCollection(7, "lead", append(names[:last:last], "last"))
			r := newRoster()
			for i, name := range names[:last] {
				knows := names[:last]
				if met(i) {
					knows = append(knows[:last:last], "last")
					r.list(append(r.names(), name), "last", 0)
				}
				if acked(i) {
					col.answered(name, TellReply{Acked: 7, Met: knows})
					continue
				}
				col.unanswered(name, 0)
				r.answered(name, 1)
			}
			r.listed = true
			col.unanswered("last", 0)
			if v, _ := col.verdict(now, 0); v == verdictConfirm {
				led++
				qt.Assert(t, r.verifiedAt(now), qt.Equals, never, qt.Commentf("%d hosts, case %b", n, bits))
			}
		}
	}
	qt.Assert(t, led > 100, qt.IsTrue)
}

func TestWhomToCheck(t *testing.T) {
	c := qt.New(t)
	order := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	c.Assert(whomToCheck(0, order, false, false), qt.HasLen, 0)
	c.Assert(whomToCheck(5, order, false, false), qt.DeepEquals, []string{"b"})
	c.Assert(whomToCheck(0, order, true, false), qt.DeepEquals, order[1:8])
	c.Assert(whomToCheck(0, order, true, true), qt.DeepEquals, order[1:])
	c.Assert(whomToCheck(0, []string{"a"}, true, true), qt.HasLen, 0)
}

// TestWhatAPeersAnswerIsWorth: an answer counts as of when it was asked for,
// less its age. Of another failure domain only the platform's part counts, and
// a peer that started since does not count towards a majority.
func TestWhatAPeersAnswerIsWorth(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(10_000)
	h := NewHolder("self", "a", m.Clock())
	h.roster = rosterOf("self", "x")
	reply := CheckReply{Accepted: Generation{Number: 1}, VerifiedAge: 100, PlatformAge: -1, Solid: true}
	h.Checked("far", 10_000, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, never)
	h.Checked("x", 10_000, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, clock.Millis(9_900))
	c.Assert(h.solid(), qt.IsFalse)

	h.Learn(Sighting{VerifiedAt: 10_000, PlatformAt: 10_000})
	reply.VerifiedAge = -1
	m.Advance(500)
	h.Checked("x", 10_500, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, clock.Millis(10_500))
	reply.Solid = false
	m.Advance(9_000)
	h.Checked("x", 19_500, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, clock.Millis(10_500))
	c.Assert(h.Knowledge().Mode(19_500), qt.Equals, ModeNotCurrent)
}

// TestWhatWasVerifiedBeforeTheStart: before it stopped, the host may have served
// under a generation that its peers had not heard of.
func TestWhatWasVerifiedBeforeTheStart(t *testing.T) {
	c := qt.New(t)
	k := newKnowledge(1_000).With(Sighting{Accepted: Generation{Number: 1}, VerifiedAt: 900, PlatformAt: 900})
	c.Assert(k.Mode(1_100), qt.Equals, ModeNotReady)
	k = k.With(Sighting{VerifiedAt: 1_050, PlatformAt: never})
	c.Assert(k.Mode(1_100), qt.Equals, ModeReady)
	k = k.With(Sighting{Staged: Generation{Number: 2}, VerifiedAt: never, PlatformAt: never})
	c.Assert(k.Mode(1_100), qt.Equals, ModeBoth)
	k = k.With(Sighting{VerifiedAt: 1_050, PlatformAt: 1_050})
	c.Assert(k.Mode(1_100), qt.Equals, ModeReady)
	c.Assert(k.Mode(1_051+CurrencyWindow), qt.Equals, ModeNotCurrent)
}

func TestStoppedMachineShowsOnTheWallClock(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(5_000)
	wall := clock.Millis(0)
	k := m.Clock()
	k.Wall = func() clock.Millis { return k.Now() + wall }
	a := &awake{clock: k}
	c.Assert(a.now(), qt.Equals, clock.Millis(5_000))
	wall = 60_000
	c.Assert(a.now(), qt.Equals, clock.Millis(65_000))
	m.Advance(10)
	c.Assert(a.now(), qt.Equals, clock.Millis(65_010))
}

// In an outage every poll fails in several ways: each is logged once a minute.
func TestFailuresAreLoggedOnceAMinute(t *testing.T) {
	c := qt.New(t)
	w := &Watch{}
	logged := 0
	for now := clock.Millis(0); now < 2*clock.Minute; now += pollOpenEvery {
		for _, what := range []string{"platform", "registrations"} {
			if w.warns(what, now) {
				logged++
			}
		}
	}
	c.Assert(logged, qt.Equals, 4)
}
