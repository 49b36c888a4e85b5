package accept

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
)

func rosterOf(names ...string) *roster {
	r := newRoster()
	r.setRegistrations(names, "self", 0)
	return r
}

func TestRosterVerifiedAt(t *testing.T) {
	c := qt.New(t)
	c.Assert(newRoster().verifiedAt(900), qt.Equals, never) // the registrations have not been read
	c.Assert(rosterOf("self").verifiedAt(900), qt.Equals, clock.Millis(900))

	r := rosterOf("self", "x", "y", "z")
	c.Assert(r.verifiedAt(2_000), qt.Equals, never)
	r.recordReply("x", 900)
	c.Assert(r.verifiedAt(2_000), qt.Equals, never) // two of four are not a majority
	r.recordReply("y", 700)
	c.Assert(r.verifiedAt(2_000), qt.Equals, clock.Millis(700))

	// A working path extends an answer, but only without a gap.
	r = rosterOf("self", "x")
	r.recordReply("x", 1_000)
	r.pathSeen("x", 1_000+CurrencyWindow)
	c.Assert(r.verifiedAt(9_000), qt.Equals, 1_000+CurrencyWindow)
	r.pathSeen("x", 1_001+3*CurrencyWindow)
	c.Assert(r.verifiedAt(9_000), qt.Equals, 1_000+CurrencyWindow)

	// A peer that said hello after the registrations were read stays.
	r.hello("y", 5_000)
	r.setRegistrations([]string{"self"}, "self", 4_000)
	c.Assert(r.names(), qt.DeepEquals, []string{"y"})
	c.Assert(r.knownBy([]string{"x", "y"}), qt.DeepEquals, []string{"y"})
}

func TestAckCollectionDecisions(t *testing.T) {
	const late = ExclusionWait + 1
	ok := TellReply{Acked: 7, KnownBy: []string{"x", "y"}}
	unknownToPeers := TellReply{Acked: 7}
	for name, v := range map[string]struct {
		replies      map[string]TellReply
		runningSince clock.Millis
		now          clock.Millis
		want         decision
	}{
		"all acknowledged":                     {replies: map[string]TellReply{"self": ok, "x": ok, "y": ok, "z": ok}, want: decisionConfirm},
		"one still fetches the body":           {replies: map[string]TellReply{"self": ok, "x": {}, "y": ok, "z": ok}, now: late, want: decisionWait},
		"one refuses":                          {replies: map[string]TellReply{"self": ok, "x": {Refusal: "unknown field"}}, want: decisionAbort},
		"one silent, not for long":             {replies: map[string]TellReply{"self": ok, "y": ok, "z": ok}, now: ExclusionWait, want: decisionWait},
		"one silent":                           {replies: map[string]TellReply{"self": ok, "y": ok, "z": ok}, now: late, want: decisionConfirm},
		"two of four silent":                   {replies: map[string]TellReply{"self": ok, "z": ok}, now: late, want: decisionConfirm},
		"three of four silent":                 {replies: map[string]TellReply{"self": {Acked: 7, KnownBy: []string{"x", "y", "z"}}}, now: late, want: decisionWait},
		"blocked for long":                     {replies: map[string]TellReply{"self": ok}, now: late + BlockedTimeout, want: decisionAbort},
		"paused meanwhile":                     {replies: map[string]TellReply{"self": ok, "y": ok, "z": ok}, now: late, runningSince: 100, want: decisionWait},
		"this host exchanged no hello with it": {replies: map[string]TellReply{"self": unknownToPeers, "y": ok, "z": ok}, now: late, want: decisionWait},
		"too few exchanged a hello with them":  {replies: map[string]TellReply{"self": ok, "z": unknownToPeers}, now: late, want: decisionWait},
	} {
		col := newAckCollection(7, "self", []string{"self", "x", "y", "z"})
		for _, host := range col.names() {
			if reply, answers := v.replies[host]; answers {
				col.recordReply(host, reply)
			} else {
				col.recordFailure(host, 0)
			}
		}
		got, _ := col.decision(v.now, v.runningSince)
		qt.Check(t, got, qt.Equals, v.want, qt.Commentf(name))
	}
}

// TestVerificationMajorityOverlapsAcknowledgements enumerates every domain of up to
// seven hosts: which acknowledged, which are silent, and which exchanged a hello
// with the last host, which is silent. Wherever the first host may confirm, the
// last must not count as verified by hosts that did not acknowledge.
func TestVerificationMajorityOverlapsAcknowledgements(t *testing.T) {
	const now = ExclusionWait + 1
	names := []string{"lead", "b", "c", "d", "e", "f", "last"}
	confirmed := 0
	for n := 2; n <= len(names); n++ {
		last := n - 1
		for bits := range 1 << (2 * last) {
			acked := func(i int) bool { return i < last && (i == 0 || bits>>i&1 == 1) }
			exchangedHello := func(i int) bool { return bits>>(last+i)&1 == 1 }
			col := newAckCollection(7, "lead", append(names[:last:last], "last"))
			r := newRoster()
			for i, name := range names[:last] {
				knownBy := names[:last]
				if exchangedHello(i) {
					knownBy = append(knownBy[:last:last], "last")
					r.setRegistrations(append(r.names(), name), "last", 0)
				}
				if acked(i) {
					col.recordReply(name, TellReply{Acked: 7, KnownBy: knownBy})
					continue
				}
				col.recordFailure(name, 0)
				r.recordReply(name, 1)
			}
			r.loaded = true
			col.recordFailure("last", 0)
			if v, _ := col.decision(now, 0); v == decisionConfirm {
				confirmed++
				qt.Assert(t, r.verifiedAt(now), qt.Equals, never, qt.Commentf("%d hosts, case %b", n, bits))
			}
		}
	}
	qt.Assert(t, confirmed > 100, qt.IsTrue)
}

func TestPeersToCheck(t *testing.T) {
	c := qt.New(t)
	order := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	c.Assert(peersToCheck(0, order, false, false), qt.HasLen, 0)
	c.Assert(peersToCheck(5, order, false, false), qt.DeepEquals, []string{"b"})
	c.Assert(peersToCheck(0, order, true, false), qt.DeepEquals, order[1:8])
	c.Assert(peersToCheck(0, order, true, true), qt.DeepEquals, order[1:])
	c.Assert(peersToCheck(0, []string{"a"}, true, true), qt.HasLen, 0)
}

// TestCheckReplyAges checks that a reply counts as of the time its request was sent,
// minus its age. From another failure domain only the platform's verification
// counts, and a peer that has restarted does not count towards a majority.
func TestCheckReplyAges(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(10_000)
	h := NewHolder("self", "a", m.Clock())
	h.roster = rosterOf("self", "x")
	reply := CheckReply{Accepted: Generation{Number: 1}, VerifiedAge: 100, PlatformAge: -1, CountsForMajority: true}
	h.HandleCheckReply("far", 10_000, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, never)
	h.HandleCheckReply("x", 10_000, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, clock.Millis(9_900))
	c.Assert(h.countsForMajority(), qt.IsFalse)

	h.Learn(Observation{VerifiedAt: 10_000, PlatformAt: 10_000})
	reply.VerifiedAge = -1
	m.Advance(500)
	h.HandleCheckReply("x", 10_500, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, clock.Millis(10_500))
	reply.CountsForMajority = false
	m.Advance(9_000)
	h.HandleCheckReply("x", 19_500, reply)
	c.Assert(h.Knowledge().VerifiedAt, qt.Equals, clock.Millis(10_500))
	c.Assert(h.Knowledge().Mode(19_500), qt.Equals, ModeNotCurrent)
}

// TestVerificationBeforeStartIsIgnored guards against going back to an older
// generation: before a restart, the host may have served under one that its peers
// had not heard of.
func TestVerificationBeforeStartIsIgnored(t *testing.T) {
	c := qt.New(t)
	k := newKnowledge(1_000).With(Observation{Accepted: Generation{Number: 1}, VerifiedAt: 900, PlatformAt: 900})
	c.Assert(k.Mode(1_100), qt.Equals, ModeNotReady)
	k = k.With(Observation{VerifiedAt: 1_050, PlatformAt: never})
	c.Assert(k.Mode(1_100), qt.Equals, ModeReady)
	k = k.With(Observation{Staged: Generation{Number: 2}, VerifiedAt: never, PlatformAt: never})
	c.Assert(k.Mode(1_100), qt.Equals, ModeBoth)
	k = k.With(Observation{VerifiedAt: 1_050, PlatformAt: 1_050})
	c.Assert(k.Mode(1_100), qt.Equals, ModeReady)
	c.Assert(k.Mode(1_051+CurrencyWindow), qt.Equals, ModeNotCurrent)
}

func TestBootClockCountsSuspension(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(5_000)
	wall := clock.Millis(0)
	k := m.Clock()
	k.Wall = func() clock.Millis { return k.Now() + wall }
	a := &bootClock{clock: k}
	c.Assert(a.now(), qt.Equals, clock.Millis(5_000))
	wall = 60_000
	c.Assert(a.now(), qt.Equals, clock.Millis(65_000))
	m.Advance(10)
	c.Assert(a.now(), qt.Equals, clock.Millis(65_010))
}

// In an outage every poll fails; each kind of failure is logged once a minute.
func TestFailuresAreLoggedOnceAMinute(t *testing.T) {
	c := qt.New(t)
	w := &Watcher{}
	logged := 0
	for now := clock.Millis(0); now < 2*clock.Minute; now += undecidedPollInterval {
		for _, what := range []string{"platform", "registrations"} {
			if w.shouldWarn(what, now) {
				logged++
			}
		}
	}
	c.Assert(logged, qt.Equals, 4)
}
