package soak

import (
	"fmt"
	"sort"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/refuse"
)

// Request is one request as its caller saw it. Times are in milliseconds since the
// start of the run.
type Request struct {
	ID    string
	Kind  route.Kind
	Key   string
	Host  int
	At    clock.Millis
	Ended clock.Millis
	// Status is 0 if no response arrived. Unsent is set if no connection was made or
	// the request could not be written completely.
	Status int
	Unsent bool
	// Segments are the prefix segments of a prompt.
	Segments []string
	// Whole is set if the response was complete by its framing.
	Whole    bool
	Body     string
	Stamp    string
	AnswerID string
	// Limit is the rate limit in the response. Leaving is set if the response says that its
	// server is leaving.
	Limit   string
	Leaving bool
	// Fault is what is wrong with the bytes of the host. Spoiled is the way in which the
	// server broke a response that was forwarded all the same.
	Fault   reply.Fault
	Spoiled string
}

// The outcomes of a request for its caller.
const (
	outcomeServed      = "Served"
	outcomeErrorStatus = "Told"
	outcomeIncomplete  = "Cut"
	outcomeUnsent      = "Unsent"
)

// isQuarantined reports whether the request was refused for a segment of its prompt.
func isQuarantined(s Request) bool {
	return s.Status == 503 && strings.Contains(s.Body, `"`+string(refuse.ReasonQuarantined)+`"`)
}

func (s Request) outcome() string {
	switch {
	case s.Unsent:
		return outcomeUnsent
	case s.Status == 0 || !s.Whole:
		return outcomeIncomplete
	case s.Status == 200:
		return outcomeServed
	default:
		return outcomeErrorStatus
	}
}

// Arrival is one request as a backend server saw it. Runs is set if the server ran
// it.
type Arrival struct {
	ID     string
	Server string
	At     clock.Millis
	Runs   bool
}

// Span is the time of an injected fault, or one in which the machine lagged.
type Span struct {
	Kind  Kind
	Host  int
	From  clock.Millis
	Until clock.Millis
}

// Departure is a server and when the store accepted the record that it leaves.
type Departure struct {
	Server string
	At     clock.Millis
}

// Versions holds the manifest versions that one process put in force, in order.
type Versions struct {
	Host     int
	Versions []int64
}

// Leak is the number of descriptors or goroutines of one process before the faults
// and after them.
type Leak struct {
	Host     int
	Resource string
	Before   int
	After    int
}

// Record is the history of a run, on which the invariants are checked.
type Record struct {
	Requests []Request
	Arrivals []Arrival
	Faults   []Span
	Lag      []Span
	// Revoked maps a revoked key to when the store accepted the revocation.
	Revoked    map[string]clock.Millis
	Departures []Departure
	Crashes    []Crash
	Limits     []Limit
	Notices    []Notice
	Versions   []Versions
	Leaks      []Leak
	// Engines is the number of engines.
	Engines int
	// PeakMemory maps a host to the peak of its process's resident memory, in bytes.
	PeakMemory map[int]int64
	// Unrecovered are the hosts that served no request after the last fault.
	Unrecovered []int
	End         clock.Millis
}

// Violation is a violated invariant.
type Violation struct {
	Invariant string
	Text      string
}

// String returns the violation on one line.
func (v Violation) String() string { return v.Invariant + ": " + v.Text }

// The bounds of the invariants in milliseconds. Revoke, apply, stop and the retry
// budget are those in the settings of the hosts. The others are what the users allow:
// a server that leaves is drained within boundDrain; a fault may affect a host until
// boundContact after its end; each host serves again within boundRecover.
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

	// maxResourceGrowth is how many more descriptors or goroutines a process may have
	// after the faults than before, for idle connections to servers and hosts. A run with
	// more engines than engineServers allows one more for each, since the HTTP client
	// has a goroutine for each server with idle connections.
	maxResourceGrowth = 150
)

// checks lists the invariants, each with the function that finds its violations.
var checks = []struct {
	invariant string
	find      func(Record) []string
}{
	{"RunsOnce", runsOnce},
	{"RefusalsAreTrue", refusalsAreTrue},
	{"AnswersAreWhole", answersAreWhole},
	{"BrokenAnswersEnd", brokenAnswersEnd},
	{"WithdrawnKeysEnd", withdrawnKeysEnd},
	{"LeavingServersAreSpared", leavingServersAreSpared},
	{"ManifestsGoForward", manifestsGoForward},
	{"StopsBreakNothing", stopsBreakNothing},
	{"RepeatsAreBounded", repeatsAreBounded},
	{"HostsComeBack", hostsComeBack},
	{"NothingLeaks", nothingLeaks},
	{"MemoryIsBounded", memoryIsBounded},
	{"PoisonedPromptsStop", poisonedPromptsStop},
	{"SoundPromptsAreNotRefused", soundPromptsAreNotRefused},
	{"SoundPromptsGoOn", soundPromptsGoOn},
	{"RestoresAreOvercome", restoresAreOvercome},
	{"LimitsHold", limitsHold},
	{"LeavingIsHeeded", leavingIsHeeded},
	{"HoldOffsAreHeeded", holdOffsAreHeeded},
	{"LimitedServersGetTheirShare", limitedServersGetTheirShare},
}

func invariants() []string {
	var names []string
	for _, c := range checks {
		names = append(names, c.invariant)
	}
	return names
}

// Check returns all violations.
func (r Record) Check() []Violation {
	var all []Violation
	for _, c := range checks {
		for _, text := range c.find(r) {
			all = append(all, Violation{c.invariant, text})
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
	for _, s := range r.Requests {
		if s.Kind == route.KindUnsafe && runs[s.ID] > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", s.ID, runs[s.ID]))
		}
	}
	return found
}

// refusalsAreTrue finds requests that ran although the status of their response says
// that they did not and will not run.
func refusalsAreTrue(r Record) []string {
	var found []string
	runs := r.runs()
	for _, s := range r.Requests {
		refused := s.Status == 429 || s.Status == 503 || s.Status == 408 || s.Status == 421
		if refused && s.Kind == route.KindUnsafe && runs[s.ID] > 0 {
			found = append(found, fmt.Sprintf("%s got status %d but ran", s.ID, s.Status))
		}
	}
	return found
}

// answersAreWhole finds responses that are complete by their framing but differ from
// what the server in their stamp sent for this request.
func answersAreWhole(r Record) []string {
	var found []string
	for _, s := range r.Requests {
		if s.Status != 200 || !s.Whole {
			continue
		}
		switch {
		case s.AnswerID != s.ID:
			found = append(found, fmt.Sprintf("%s got the response to %q", s.ID, s.AnswerID))
		case s.Body != expectedBody(s):
			found = append(found, fmt.Sprintf("%s got body %q with stamp %q", s.ID, s.Body, s.Stamp))
		}
	}
	return found
}

// brokenAnswersEnd finds responses that a server had broken, and those that hosts broke
// otherwise than by an early end.
func brokenAnswersEnd(r Record) []string {
	var found []string
	for _, s := range r.Requests {
		if s.Spoiled != "" {
			found = append(found, fmt.Sprintf("%s got a response with the fault %s of its server", s.ID, s.Spoiled))
		}
		if s.Fault != "" && s.Fault != reply.FaultCutHeader && s.Fault != reply.FaultCutBody {
			found = append(found, fmt.Sprintf("%s got a response with the fault %s", s.ID, s.Fault))
		}
	}
	return found
}

// overlapsFault reports whether a fault of the host or of all hosts, or a lag of the
// machine, overlaps a time span. Planned operations count if alsoPlanned is set.
func (r Record) overlapsFault(host int, from, until clock.Millis, alsoPlanned bool) bool {
	for _, f := range r.Faults {
		if (f.Kind.affectsOneHost() && f.Host != host) || (f.Kind.planned() && !alsoPlanned) {
			continue
		}
		if f.From < until && f.Until > from {
			return true
		}
	}
	return r.overlapsLag(from, until)
}

// overlapsLag reports whether the machine lagged within a time span, so that time
// bounds cannot be checked there.
func (r Record) overlapsLag(from, until clock.Millis) bool {
	for _, l := range r.Lag {
		if l.From < until && l.Until > from {
			return true
		}
	}
	return false
}

func (r Record) totalLag() clock.Millis {
	total := clock.Millis(0)
	for _, l := range r.Lag {
		total += l.Until - l.From
	}
	return total
}

// withdrawnKeysEnd finds requests that ran with a key revoked longer ago than the
// bound. It applies to every host, also to one under faults.
func withdrawnKeysEnd(r Record) []string {
	var found []string
	runs := r.runs()
	for _, s := range r.Requests {
		at, ok := r.Revoked[s.Key]
		if ok && s.At > at+boundRevoke && runs[s.ID] > 0 {
			found = append(found, fmt.Sprintf("%s ran, sent to host %d %d ms after its key was revoked", s.ID, s.Host, s.At-at))
		}
	}
	return found
}

func leavingServersAreSpared(r Record) []string {
	var found []string
	sent := map[string]Request{}
	for _, s := range r.Requests {
		sent[s.ID] = s
	}
	for _, l := range r.Departures {
		for _, a := range r.Arrivals {
			s := sent[a.ID]
			if a.Server == l.Server && a.Runs && s.At > l.At+boundDrain && !r.overlapsFault(s.Host, l.At-boundContact, a.At, true) {
				found = append(found, fmt.Sprintf("%s reached %s from host %d %d ms after the server announced that it leaves", a.ID, a.Server, s.Host, a.At-l.At))
			}
		}
	}
	return found
}

func manifestsGoForward(r Record) []string {
	var found []string
	for _, v := range r.Versions {
		if !sort.SliceIsSorted(v.Versions, func(i, j int) bool { return v.Versions[i] < v.Versions[j] }) {
			found = append(found, fmt.Sprintf("host %d put the versions %v in force, which do not increase", v.Host, v.Versions))
		}
	}
	return found
}

// stopsBreakNothing finds requests that a planned stop cut off without another fault, or the
// crash of a server, at that time. A request that did not run may be cut off: it was sent while the host
// closed the connection, and the caller can retry it.
func stopsBreakNothing(r Record) []string {
	var found []string
	runs := r.runs()
	for _, f := range r.Faults {
		if f.Kind != KindStop {
			continue
		}
		for _, s := range r.Requests {
			during := s.Host == f.Host && s.Ended > f.From && s.At < f.From+boundStop
			if during && s.outcome() == outcomeIncomplete && runs[s.ID] > 0 && !r.overlapsCrash(s.At-boundContact, s.Ended+boundContact) && !r.overlapsFault(s.Host, s.At-boundContact, s.Ended, false) {
				found = append(found, fmt.Sprintf("%s was cut off by the stop of host %d, %d ms after the stop began", s.ID, s.Host, s.Ended-f.From))
			}
		}
	}
	return found
}

// repeatsAreBounded counts the arrivals beyond the first of each request in windows
// that start at each such arrival.
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
		for _, s := range r.Requests {
			if s.At >= from-budgetWindow && s.At < from+budgetWindow {
				requests++
			}
		}
		// The highest limit of all windows that contain the first repeat.
		if limit := budgetRatio*float64(requests) + budgetSlack; float64(repeats) > limit {
			return []string{fmt.Sprintf("%d repeats in %d ms from %d ms, for %d requests", repeats, budgetWindow, from, requests)}
		}
	}
	return nil
}

func hostsComeBack(r Record) []string {
	var found []string
	for _, h := range r.Unrecovered {
		found = append(found, fmt.Sprintf("host %d did not serve a request within %d ms after the last fault", h, boundRecover))
	}
	return found
}

func nothingLeaks(r Record) []string {
	var found []string
	for _, l := range r.Leaks {
		if l.After > l.Before+maxResourceGrowth+max(r.Engines-engineServers, 0) {
			found = append(found, fmt.Sprintf("host %d had %d %s before the faults and has %d after them", l.Host, l.Before, l.Resource, l.After))
		}
	}
	return found
}

// memoryIsBounded finds hosts that took more memory than their settings give them, such as
// for the responses of servers that send without end.
func memoryIsBounded(r Record) []string {
	var found []string
	for host, bytes := range r.PeakMemory {
		if bytes > hostMemoryBytes {
			found = append(found, fmt.Sprintf("host %d took %d MB of %d", host, bytes>>20, hostMemoryBytes>>20))
		}
	}
	return found
}

// expectedBody returns the body that the server in the stamp sends for the request.
func expectedBody(s Request) string {
	if s.Kind == route.KindStream {
		return wholeStream
	}
	return "answer of " + strings.TrimPrefix(s.Stamp, "stamp-")
}
