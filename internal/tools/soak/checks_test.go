package soak

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/refuse"
)

// validRecord returns a record that violates no invariant and is close to the bounds.
func validRecord() Record {
	r := Record{
		Revoked:    map[string]clock.Millis{"old": 10_000},
		Departures: []Departure{{Server: "i-1", At: 10_000}},
		Versions:   []Versions{{Host: 0, Versions: []int64{1, 4, 5}}, {Host: 0, Versions: []int64{5}}},
		Faults: []Span{
			{Kind: KindStop, Host: 0, From: 30_000, Until: 31_000},
			{Kind: KindPause, Host: 1, From: 9_000, Until: 11_000},
			{Kind: KindStoreRestored, From: 60_000, Until: 61_000},
		},
		Leaks:      []Leak{{Host: 0, Resource: "descriptors", Before: 40, After: 60}},
		PeakMemory: map[int]int64{0: hostMemoryBytes},
		End:        150_000,
	}
	r.add(Request{ID: "book", Kind: route.KindUnsafe, At: 1_000, Ended: 1_050, Status: 200, Whole: true, Body: "answer of i-2", Stamp: "stamp-i-2", AnswerID: "book"}, 1)
	r.add(Request{ID: "full", Kind: route.KindUnsafe, At: 1_000, Ended: 1_050, Status: 503, Whole: true}, 0)
	r.add(Request{ID: "unknown", Kind: route.KindUnsafe, At: 1_000, Ended: 1_050, Status: 502, Whole: true}, 1)
	r.add(Request{ID: "ask", Kind: route.KindStream, At: 2_000, Ended: 2_050, Status: 200, Whole: true, Body: wholeStream, Stamp: "stamp-i-2", AnswerID: "ask"}, 2)
	r.add(Request{ID: "torn", Kind: route.KindStream, At: 2_000, Ended: 2_050, Status: 200, Body: "id: 1", AnswerID: "torn"}, 1)
	r.add(Request{ID: "old-key", Key: "old", At: 14_900, Ended: 15_000, Status: 200, Whole: true, Body: "answer of i-2", Stamp: "stamp-i-2", AnswerID: "old-key"}, 1)
	r.add(Request{ID: "refused-key", Key: "old", At: 15_100, Ended: 15_200, Status: 401, Whole: true}, 0)
	r.add(Request{ID: "paused", Host: 1, At: 12_500, Ended: 12_600, Status: 502, Whole: true}, 0)
	r.Arrivals = append(r.Arrivals, Arrival{ID: "paused", Server: "i-1", At: 12_550, Runs: true})
	r.addPoison(crashLimit-1, allowedAfterLimit)
	r.addLimited("i-app-7", 80_000, 2, 17)
	r.addUnconfirmed("in-time", 61_000+boundRestore)
	r.addLimited("i-app-5", 90_000, 2, 3)
	r.Notices = append(r.Notices, Notice{Server: "i-app-5", From: 89_000, Until: 95_000})
	r.addLeaving("i-6", 0)
	r.addHeldOff("i-7", 0)
	r.add(Request{ID: "crossed", Host: 0, At: 30_500, Ended: 30_600}, 0)
	return r
}

// addUnconfirmed records a request to a host that cannot confirm its manifest.
func (r *Record) addUnconfirmed(id string, at clock.Millis) {
	r.add(Request{ID: id, At: at, Ended: at, Status: 503, Whole: true, Body: string(refuse.New(refuse.ReasonUnconfirmed).Body())}, 0)
}

// addLeaving records an answer that says its server is leaving, and a request to it that is
// late by a time beyond the bound.
func (r *Record) addLeaving(server string, late clock.Millis) {
	at := 70_000 + boundDrain + late
	r.add(Request{ID: server + "-told", Kind: route.KindSafe, At: 69_900, Ended: 70_000, Status: 502, Whole: true, Stamp: "stamp-" + server, Leaving: true}, 1)
	r.add(Request{ID: server + "-late", Kind: route.KindSafe, At: at, Ended: at + 100, Status: 502, Whole: true}, 0)
	r.Arrivals = append(r.Arrivals, Arrival{ID: server + "-late", Server: server, At: at + 10, Runs: true})
}

// addHeldOff records a refusal with a hold-off, as many later requests as are allowed, and
// some more.
func (r *Record) addHeldOff(server string, more int) {
	r.Notices = append(r.Notices, Notice{Server: server, Wait: 2_000, From: 74_000, Until: 76_000})
	for i := range 1 + maxHeldOff + more {
		id, at := fmt.Sprint(server, "-", i), 75_000+clock.Millis(i)*600
		r.add(Request{ID: id, Kind: route.KindSafe, At: at, Ended: at + 10, Status: 502, Whole: true}, 0)
		r.Arrivals = append(r.Arrivals, Arrival{ID: id, Server: server, At: at})
	}
}

// addPoison records crashes by a segment, with prompts that come late after the last one, and
// sound prompts that are served before and after.
func (r *Record) addPoison(crashes, late int) {
	for i := range crashes {
		at := 40_000 + clock.Millis(i)*500
		r.Crashes = append(r.Crashes, Crash{Server: fmt.Sprint("i-", i), Segment: "poison", At: at})
		r.add(Request{ID: fmt.Sprint("poison", i), Kind: route.KindStream, Segments: []string{"first", "poison"}, At: at, Status: 502, Whole: true}, 1)
	}
	for i := range late {
		r.add(Request{ID: fmt.Sprint("late-poison", i), Kind: route.KindStream, Segments: []string{"first", "poison"}, At: 40_000 + clock.Millis(crashes-1)*500 + boundContact + 1, Status: 502, Whole: true}, 1)
	}
	for i := range minSample {
		for _, at := range []clock.Millis{5_000, 55_000} {
			r.add(Request{ID: fmt.Sprint("sound", i, "-", at), Kind: route.KindStream, Segments: []string{"first"}, At: at, Status: 200, Whole: true, Body: wholeStream, AnswerID: fmt.Sprint("sound", i, "-", at)}, 1)
		}
	}
}

// addLimited records a server that names a rate for 8 s and gets a number of requests in
// the last 4 s, and many after it has lifted the rate.
func (r *Record) addLimited(server string, from clock.Millis, rate float64, requests int) {
	l := Limit{Server: server, Rate: rate, From: from, Until: from + 8_000}
	r.Limits = append(r.Limits, l)
	id := func(n int) string { return fmt.Sprint(server, "-", from, "-", n) }
	for n := range requests + 40 {
		at := from + 4_000 + clock.Millis(n)*200
		if n >= requests {
			at = l.Until + boundContact + clock.Millis(n-requests)*50
		}
		s := Request{ID: id(n), Kind: route.KindSafe, At: at, Ended: at, Status: 200, Whole: true, Body: "answer of " + server, Stamp: "stamp-" + server, AnswerID: id(n)}
		r.Requests = append(r.Requests, s)
		r.Arrivals = append(r.Arrivals, Arrival{ID: s.ID, Server: server, At: at, Runs: true})
	}
	told := Request{ID: id(-1), Kind: route.KindSafe, At: from, Ended: from, Status: 200, Whole: true, Body: "answer of " + server, Stamp: "stamp-" + server, AnswerID: id(-1), Limit: fmt.Sprint(rate)}
	r.Requests = append(r.Requests, told)
}

// add records a request that ran a number of times.
func (r *Record) add(s Request, runs int) {
	r.Requests = append(r.Requests, s)
	for range runs {
		r.Arrivals = append(r.Arrivals, Arrival{ID: s.ID, Server: "i-2", At: s.At, Runs: true})
	}
}

func TestRecordWithinBoundsHasNoViolations(t *testing.T) {
	qt.Assert(t, validRecord().Check(), qt.HasLen, 0)
}

// A check that can never fail would hide violations: each record with one violation
// makes exactly the check of that invariant fail.
func TestEachCheckReportsItsViolation(t *testing.T) {
	violations := map[string]func(*Record){
		"RunsOnce": func(r *Record) {
			r.add(Request{ID: "twice", Kind: route.KindUnsafe, At: 3_000, Status: 502, Whole: true}, 2)
		},
		"RefusalsAreTrue": func(r *Record) {
			r.add(Request{ID: "lied", Kind: route.KindUnsafe, At: 3_000, Status: 503, Whole: true}, 1)
		},
		"AnswersAreWhole": func(r *Record) {
			r.add(Request{ID: "gap", Kind: route.KindStream, Status: 200, Whole: true, AnswerID: "gap", Body: strings.Replace(wholeStream, "token 3", "token 4", 1)}, 1)
		},
		"BrokenAnswersEnd": func(r *Record) {
			r.add(Request{ID: "broken", Kind: route.KindSafe, Status: 502, Whole: true, Spoiled: "ZeroStatus"}, 1)
		},
		"WithdrawnKeysEnd": func(r *Record) {
			r.add(Request{ID: "late-key", Key: "old", At: 15_001, Status: 502, Whole: true}, 1)
		},
		"LeavingServersAreSpared": func(r *Record) {
			r.add(Request{ID: "late", At: 12_001, Ended: 12_010, Status: 502, Whole: true}, 0)
			r.Arrivals = append(r.Arrivals, Arrival{ID: "late", Server: "i-1", At: 12_005, Runs: true})
		},
		"ManifestsGoForward": func(r *Record) {
			r.Versions = append(r.Versions, Versions{Host: 2, Versions: []int64{3, 2}})
		},
		"StopsBreakNothing": func(r *Record) {
			r.add(Request{ID: "cut", Host: 0, At: 30_500, Ended: 30_600}, 1)
		},
		"RepeatsAreBounded": func(r *Record) {
			r.add(Request{ID: "storm", Kind: route.KindSafe, At: 40_000, Status: 502, Whole: true}, 1+budgetSlack+3)
		},
		"HostsComeBack": func(r *Record) { r.Unrecovered = []int{3} },
		"NothingLeaks": func(r *Record) {
			r.Leaks = append(r.Leaks, Leak{Host: 1, Resource: "goroutines", Before: 50, After: 50 + maxResourceGrowth + 1})
		},
		"PoisonedPromptsStop": func(r *Record) {
			r.addPoison(crashLimit, allowedAfterLimit+1)
		},
		"SoundPromptsAreNotRefused": func(r *Record) {
			r.add(Request{ID: "sound", Kind: route.KindStream, Segments: []string{"first"}, At: 41_000, Status: 503, Whole: true, Body: string(refuse.New(refuse.ReasonQuarantined).Body())}, 0)
		},
		"SoundPromptsGoOn": func(r *Record) {
			for i := range minSample + 1 {
				r.add(Request{ID: fmt.Sprint("starved", i), Kind: route.KindStream, Segments: []string{"first"}, At: 55_000, Status: 502, Whole: true}, 1)
			}
		},
		"RestoresAreOvercome": func(r *Record) { r.addUnconfirmed("late", 61_001+boundRestore) },
		"LimitsHold": func(r *Record) {
			r.addLimited("i-app-8", 100_000, 2, 18)
		},
		"LimitedServersGetTheirShare": func(r *Record) {
			r.addLimited("i-app-9", 120_000, 2, 3)
		},
		"LeavingIsHeeded":   func(r *Record) { r.addLeaving("i-8", 1) },
		"HoldOffsAreHeeded": func(r *Record) { r.addHeldOff("i-9", 1) },
		"MemoryIsBounded":   func(r *Record) { r.PeakMemory[1] = hostMemoryBytes + 1 },
	}
	for _, invariant := range invariants() {
		t.Run(invariant, func(t *testing.T) {
			c := qt.New(t)
			r := validRecord()
			violate, ok := violations[invariant]
			c.Assert(ok, qt.IsTrue, qt.Commentf("no record violates this invariant"))
			violate(&r)
			found := r.Check()
			c.Assert(found, qt.HasLen, 1)
			c.Assert(found[0].Invariant, qt.Equals, invariant)
		})
	}
}

// A run can be repeated only if its seed fixes the plan of faults. Every kind of fault
// is drawn and can be injected.
func TestPlanIsFixedBySeed(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewPlan(7, 6, 20_000), qt.DeepEquals, NewPlan(7, 6, 20_000))
	c.Assert(NewPlan(7, 6, 20_000), qt.Not(qt.DeepEquals), NewPlan(8, 6, 20_000))
	kinds := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, f := range NewPlan(seed, 6, 20_000) {
			kinds[f.Kind] = true
			c.Assert(injectors[f.Kind], qt.IsNotNil)
		}
	}
	c.Assert(kinds, qt.HasLen, len(weights))
}
