package soak

import (
	"fmt"
	"sort"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/route"
)

// Sent is one request as its caller saw it. Times are in milliseconds from the
// run's begin.
type Sent struct {
	ID    string
	Kind  route.Kind
	Key   string
	Host  int
	At    clock.Millis
	Ended clock.Millis
	// Status is 0 where no answer came. Refused tells that no connection was
	// made or the request could not be written whole.
	Status  int
	Refused bool
	// Whole tells that the answer was complete by its framing.
	Whole    bool
	Body     string
	Stamp    string
	AnswerID string
}

// The ways in which a request ends for its caller.
const (
	outcomeServed = "Served"
	outcomeTold   = "Told"
	outcomeCut    = "Cut"
	outcomeUnsent = "Unsent"
)

func (s Sent) outcome() string {
	switch {
	case s.Refused:
		return outcomeUnsent
	case s.Status == 0 || !s.Whole:
		return outcomeCut
	case s.Status == 200:
		return outcomeServed
	default:
		return outcomeTold
	}
}

// Arrival is one request as a backend server saw it.
type Arrival struct {
	ID     string
	Server string
	At     clock.Millis
	Runs   bool
}

// Span is a fault as it was played, or a time in which the machine lagged.
type Span struct {
	Kind  Kind
	Host  int
	From  clock.Millis
	Until clock.Millis
}

// Leaving is a server whose word to leave the store has taken.
type Leaving struct {
	Server string
	At     clock.Millis
}

// Versions are the manifests that one process put in force, in order.
type Versions struct {
	Host     int
	Versions []int64
}

// Leak is what one process held before the faults and after them.
type Leak struct {
	Host   int
	What   string
	Before int
	After  int
}

// Record is everything that was seen.
type Record struct {
	Sent     []Sent
	Arrivals []Arrival
	Faults   []Span
	Lag      []Span
	// Revoked holds when the store took the withdrawal of a key.
	Revoked  map[string]clock.Millis
	Left     []Leaving
	Versions []Versions
	Leaks    []Leak
	// Lost are the hosts that served nothing again after the last fault.
	Lost []int
	End  clock.Millis
}

// Finding is a broken promise.
type Finding struct {
	Promise string
	Text    string
}

// String gives one line.
func (f Finding) String() string { return f.Promise + ": " + f.Text }

// The bounds of the promises in milliseconds, as the settings give them to the
// hosts, and beside them what the users allow: a host counts from contact on
// after a fault, and a budget of repeats by its share, number and window.
const (
	boundRevoke  = 5 * clock.Second
	boundApply   = 2 * clock.Second
	boundDrain   = 2 * clock.Second
	boundStop    = 4 * clock.Second
	boundContact = 3 * clock.Second
	boundRecover = 15 * clock.Second

	budgetRatio  = 0.2
	budgetSlack  = 54
	budgetWindow = 10 * clock.Second

	// mostLeft is how many descriptors or goroutines more than before a process
	// may have afterwards: connections to servers and hosts that are kept.
	mostLeft = 150
)

// checks are the promises, each with the function that looks for its breach.
var checks = []struct {
	promise string
	find    func(Record) []string
}{
	{"RunsOnce", runsOnce},
	{"RefusalsAreTrue", refusalsAreTrue},
	{"AnswersAreWhole", answersAreWhole},
	{"WithdrawnKeysEnd", withdrawnKeysEnd},
	{"LeavingServersAreSpared", leavingServersAreSpared},
	{"ManifestsGoForward", manifestsGoForward},
	{"StopsBreakNothing", stopsBreakNothing},
	{"RepeatsAreBounded", repeatsAreBounded},
	{"HostsComeBack", hostsComeBack},
	{"NothingLeaks", nothingLeaks},
}

func promises() []string {
	var names []string
	for _, c := range checks {
		names = append(names, c.promise)
	}
	return names
}

// Check returns every breach.
func (r Record) Check() []Finding {
	var all []Finding
	for _, c := range checks {
		for _, text := range c.find(r) {
			all = append(all, Finding{c.promise, text})
		}
	}
	return all
}

// runs counts how often each request ran.
func (r Record) runs() map[string]int {
	runs := map[string]int{}
	for _, a := range r.Arrivals {
		if a.Runs {
			runs[a.ID]++
		}
	}
	return runs
}

func runsOnce(r Record) []string {
	var found []string
	runs := r.runs()
	for _, s := range r.Sent {
		if s.Kind == route.KindUnsafe && runs[s.ID] > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", s.ID, runs[s.ID]))
		}
	}
	return found
}

// refusalsAreTrue looks for requests that ran though their caller was told that
// they had not and would not.
func refusalsAreTrue(r Record) []string {
	var found []string
	runs := r.runs()
	for _, s := range r.Sent {
		told := s.Status == 429 || s.Status == 503 || s.Status == 408 || s.Status == 421
		if told && s.Kind == route.KindUnsafe && runs[s.ID] > 0 {
			found = append(found, fmt.Sprintf("%s got %d and ran", s.ID, s.Status))
		}
	}
	return found
}

// answersAreWhole looks for answers that are complete by their framing but are
// not what the server that stamped them said to this request.
func answersAreWhole(r Record) []string {
	var found []string
	for _, s := range r.Sent {
		if s.Status != 200 || !s.Whole {
			continue
		}
		switch {
		case s.AnswerID != s.ID:
			found = append(found, fmt.Sprintf("%s got the answer of %q", s.ID, s.AnswerID))
		case s.Body != wanted(s):
			found = append(found, fmt.Sprintf("%s got %q, stamped %q", s.ID, s.Body, s.Stamp))
		}
	}
	return found
}

// disturbed tells whether a fault on the host, or on all of them, touches a
// span; planned work is left out where that is wanted.
func (r Record) disturbed(host int, from, until clock.Millis, alsoPlanned bool) bool {
	for _, f := range r.Faults {
		if (f.Kind.onHost() && f.Host != host) || (f.Kind.planned() && !alsoPlanned) {
			continue
		}
		if f.From < until && f.Until > from {
			return true
		}
	}
	return r.lags(from, until)
}

// lags tells whether the machine lagged in a span, so that no bound in time can
// be judged there.
func (r Record) lags(from, until clock.Millis) bool {
	for _, l := range r.Lag {
		if l.From < until && l.Until > from {
			return true
		}
	}
	return false
}

func (r Record) lagTime() clock.Millis {
	total := clock.Millis(0)
	for _, l := range r.Lag {
		total += l.Until - l.From
	}
	return total
}

// withdrawnKeysEnd holds for every host, whatever befell it.
func withdrawnKeysEnd(r Record) []string {
	var found []string
	runs := r.runs()
	for _, s := range r.Sent {
		at, ok := r.Revoked[s.Key]
		if ok && s.At > at+boundRevoke && runs[s.ID] > 0 {
			found = append(found, fmt.Sprintf("%s ran, sent to host %d %d ms after its key was withdrawn", s.ID, s.Host, s.At-at))
		}
	}
	return found
}

func leavingServersAreSpared(r Record) []string {
	var found []string
	sent := map[string]Sent{}
	for _, s := range r.Sent {
		sent[s.ID] = s
	}
	for _, l := range r.Left {
		for _, a := range r.Arrivals {
			s := sent[a.ID]
			if a.Server == l.Server && a.Runs && s.At > l.At+boundDrain && !r.disturbed(s.Host, l.At-boundContact, a.At, true) {
				found = append(found, fmt.Sprintf("%s reached %s from host %d %d ms after it said that it leaves", a.ID, a.Server, s.Host, a.At-l.At))
			}
		}
	}
	return found
}

func manifestsGoForward(r Record) []string {
	var found []string
	for _, v := range r.Versions {
		if !sort.SliceIsSorted(v.Versions, func(i, j int) bool { return v.Versions[i] < v.Versions[j] }) {
			found = append(found, fmt.Sprintf("host %d had the versions %v in force", v.Host, v.Versions))
		}
	}
	return found
}

// stopsBreakNothing looks for requests that a planned stop cut off, with no other
// fault on the way. One that crosses the close of its connection and was not
// read may be sent again.
func stopsBreakNothing(r Record) []string {
	var found []string
	runs := r.runs()
	for _, f := range r.Faults {
		if f.Kind != KindStop {
			continue
		}
		for _, s := range r.Sent {
			during := s.Host == f.Host && s.Ended > f.From && s.At < f.From+boundStop
			if during && s.outcome() == outcomeCut && runs[s.ID] > 0 && !r.disturbed(s.Host, s.At-boundContact, s.Ended, false) {
				found = append(found, fmt.Sprintf("%s was cut by the stop of host %d, %d ms after it began", s.ID, s.Host, s.Ended-f.From))
			}
		}
	}
	return found
}

// repeatsAreBounded counts arrivals beyond the first of each request in windows
// that begin with each of them.
func repeatsAreBounded(r Record) []string {
	first := map[string]bool{}
	var again []clock.Millis
	for _, a := range r.Arrivals {
		if first[a.ID] {
			again = append(again, a.At)
		}
		first[a.ID] = true
	}
	for i, from := range again {
		repeats := 0
		for _, at := range again[i:] {
			if at < from+budgetWindow {
				repeats++
			}
		}
		requests := 0
		for _, s := range r.Sent {
			if s.At >= from-budgetWindow && s.At < from+budgetWindow {
				requests++
			}
		}
		// The most that any of the windows that count can have.
		if most := budgetRatio*float64(requests) + budgetSlack; float64(repeats) > most {
			return []string{fmt.Sprintf("%d repeats in %d ms from %d ms, for %d requests", repeats, budgetWindow, from, requests)}
		}
	}
	return nil
}

func hostsComeBack(r Record) []string {
	var found []string
	for _, h := range r.Lost {
		found = append(found, fmt.Sprintf("host %d served nothing %d ms after the last fault", h, boundRecover))
	}
	return found
}

func nothingLeaks(r Record) []string {
	var found []string
	for _, l := range r.Leaks {
		if l.After > l.Before+mostLeft {
			found = append(found, fmt.Sprintf("host %d had %d %s before and has %d", l.Host, l.Before, l.What, l.After))
		}
	}
	return found
}

// wanted is the body that belongs to an answer's stamp.
func wanted(s Sent) string {
	if s.Kind == route.KindStream {
		return wholeStream
	}
	return "answer of " + strings.TrimPrefix(s.Stamp, "stamp-")
}
