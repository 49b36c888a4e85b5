// Package audit checks the decisions of a scheduler against the two guarantees
// given to callers. It shares no state with the scheduler: it receives every input
// and every decision, and tracks the waiting and running requests on its own.
//
// # No higher tier is shed or preempted in favour of a lower one
//
// A slot is usable for a request if the server is up, has the request's model
// loaded, is not one that the request avoids, and, for a long request, runs fewer
// long requests than its cap. Then:
//
//   - A grant not marked Floor is made only while no request of a more urgent tier
//     is waiting for which the same slot is usable.
//   - A grant marked Floor is made only to a class that has waiting requests and
//     has received no slot for at least half of its FloorPeriod.
//   - A request is shed only while each class of a less urgent tier has at most
//     one waiting request. That one is reserved for the class's floor: without it,
//     a continuous burst of urgent requests would shed every request of the class
//     on arrival, and its floor would have nothing to serve. A request of a lower
//     tier that waits for its floor, or runs by its floor, therefore does not count
//     as favoured over a shed request; any second one does.
//   - A request whose answer has begun to reach its caller counts as running: it
//     is never shed, is not one of the waiting requests above, and has a separate
//     floor of the same class.
//   - Only the host ends a running request. The scheduler has no decision that
//     revokes a slot.
//   - A request from another failure domain is granted only while no local request
//     is waiting.
//
// # No class starves
//
//   - While a class has waiting requests and has received no slot for half of its
//     FloorPeriod, a slot that is usable for it does not go to a class that is less
//     overdue. So the gap between two grants is at most the FloorPeriod as long as
//     a usable slot becomes free in each half of it. A grant that produced no token
//     because its server was lost does not count.
//   - A server that runs nothing is not left idle while a request is waiting for
//     which it is usable.
//
// The reason of a refusal must also be correct: Expired only after GiveUp, NoServer
// only while no server that is up or suspect has the model, NoSpill only for a
// request from another failure domain.
//
// # Usage
//
//	a := audit.New(settings)
//	a.SetServers(now, servers)
//	a.Offer(now, request)               // mirrors every call to the group
//	a.CheckDecisions(now, group.Take()) // after every step
//	for _, f := range a.Findings() {    // empty if no rule was violated
//	}
package audit

import (
	"fmt"
	"slices"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// Rule identifies the rule that a finding violates.
type Rule string

// Rules of the auditor.
const (
	RuleTier     Rule = "Tier"
	RuleFloor    Rule = "Floor"
	RuleShed     Rule = "Shed"
	RulePreempt  Rule = "Preempt"
	RuleSpill    Rule = "Spill"
	RuleStarve   Rule = "Starve"
	RuleIdle     Rule = "Idle"
	RuleServer   Rule = "Server"
	RuleUnknown  Rule = "Unknown"
	RuleTruthful Rule = "Truthful"
)

// Finding is a violation of a rule.
type Finding struct {
	At      clock.Millis
	Rule    Rule
	Request string
	Detail  string
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%d ms: %s: request %s: %s", f.At, f.Rule, f.Request, f.Detail)
}

// maxFindings bounds the findings kept. The first ones are the most useful, since
// later ones may follow from them.
const maxFindings = 100

// Auditor tracks the requests and servers of a group and checks its decisions.
// Create one with New; it is not safe for concurrent use.
type Auditor struct {
	settings   sched.Settings
	classes    map[classKey]*class
	order      []*class
	servers    map[string]*server
	waiting    map[string]*request
	running    map[string]*request
	cohorts    map[cohortKey]*cohort
	cohortList []*cohort
	findings   []Finding
}

// classKey separates a class's requests whose answers have begun from the others.
type classKey struct {
	name  string
	begun bool
}

type class struct {
	sched.Class
	begun      bool
	waiting    int
	unserved   clock.Millis
	longestGap clock.Millis
}

type server struct {
	sched.Server
	running int
	long    int
}

// cohort counts the waiting requests for which the same slots are usable.
type cohort struct {
	cohortKey
	avoid []string
	count int
}

type cohortKey struct {
	class    *class
	model    string
	long     bool
	avoidKey string
}

type request struct {
	sched.Request
	cohort *cohort
	class  *class
	server *server
	long   bool
	// granted is the time of the grant, and unserved the class's unserved time
	// before it.
	granted  clock.Millis
	unserved clock.Millis
}

// New returns an Auditor without servers.
func New(s sched.Settings) *Auditor {
	a := &Auditor{
		settings: s, classes: map[classKey]*class{}, servers: map[string]*server{},
		waiting: map[string]*request{}, running: map[string]*request{}, cohorts: map[cohortKey]*cohort{},
	}
	for _, c := range s.Classes {
		a.addClass(c)
	}
	return a
}

func (a *Auditor) addClass(c sched.Class) {
	for _, begun := range []bool{false, true} {
		added := &class{Class: c, begun: begun}
		a.order = append(a.order, added)
		a.classes[classKey{name: c.Name, begun: begun}] = added
	}
}

// class returns a request's class. A class that is not in the settings ranks below
// all others, as in the scheduler.
func (a *Auditor) class(r sched.Request) *class {
	key := classKey{name: r.Class, begun: r.Begun}
	if c := a.classes[key]; c != nil {
		return c
	}
	last := 0
	for _, c := range a.order {
		last = max(last, c.Tier)
	}
	a.addClass(sched.Class{Name: r.Class, Tier: last + 1, FloorPeriod: sched.DefaultFloorPeriod})
	return a.classes[key]
}

// Findings returns the violations found so far, at most 100.
func (a *Auditor) Findings() []Finding { return a.findings }

// LongestGap returns the longest time, in milliseconds, that the class has had
// waiting requests and no grant.
func (a *Auditor) LongestGap(name string) clock.Millis {
	if c := a.classes[classKey{name: name}]; c != nil {
		return c.longestGap
	}
	return 0
}

// SetServers mirrors sched.Group.SetServers.
func (a *Auditor) SetServers(_ clock.Millis, list []sched.Server) {
	before := a.servers
	a.servers = make(map[string]*server, len(list))
	for _, v := range list {
		s := before[v.Name]
		if s == nil {
			s = &server{}
		}
		s.Server = v
		a.servers[v.Name] = s
	}
	for name, s := range before {
		if a.servers[name] == nil && s.running > 0 {
			s.State = sched.ServerDown
			a.servers[name] = s
		}
	}
}

// Offer mirrors sched.Group.Offer.
func (a *Auditor) Offer(now clock.Millis, r sched.Request) {
	if a.waiting[r.ID] != nil || a.running[r.ID] != nil {
		return
	}
	q := &request{Request: r, class: a.class(r), long: a.isLong(r.PredictedTokens)}
	a.waiting[r.ID] = q
	if r.Spilled {
		return
	}
	q.cohort = a.cohortOf(q)
	q.cohort.count++
	if q.class.waiting == 0 {
		q.class.unserved = now
	}
	q.class.waiting++
}

// Adopt mirrors sched.Group.Adopt.
func (a *Auditor) Adopt(now clock.Millis, r sched.Request, name string) {
	a.Offer(now, r)
	q, s := a.waiting[r.ID], a.servers[name]
	if q == nil {
		return
	}
	if s == nil {
		s = &server{Server: sched.Server{Name: name, State: sched.ServerDown}}
		a.servers[name] = s
	}
	a.dequeue(q)
	a.run(q, s)
}

// Cancel mirrors sched.Group.Cancel.
func (a *Auditor) Cancel(_ clock.Millis, id string) {
	if q := a.waiting[id]; q != nil {
		a.dequeue(q)
		return
	}
	a.stop(id)
}

// Progress mirrors sched.Group.Progress.
func (a *Auditor) Progress(_ clock.Millis, p sched.Progress) {
	q := a.running[p.ID]
	if q != nil && !q.long && a.isLong(p.Tokens) {
		q.long = true
		q.server.long++
	}
}

// Release mirrors sched.Group.Release. A grant that produced no token because its
// server was lost does not count as a grant to the class.
func (a *Auditor) Release(_ clock.Millis, d sched.Done) {
	q := a.running[d.ID]
	if q != nil && d.Outcome.Lost() && d.Tokens == 0 && q.class.unserved == q.granted {
		q.class.unserved = q.unserved
	}
	a.stop(d.ID)
}

// CheckDecisions checks the decisions of one step, in order, and then looks for
// servers left idle.
func (a *Auditor) CheckDecisions(now clock.Millis, decisions []sched.Decision) {
	for _, d := range decisions {
		if d.Kind == sched.DecisionGrant {
			a.granted(now, d)
		} else {
			a.refused(now, d)
		}
	}
	a.checkIdle(now)
	for _, c := range a.order {
		c.updateLongestGap(now)
	}
}

func (a *Auditor) report(now clock.Millis, rule Rule, id, format string, args ...any) {
	if len(a.findings) < maxFindings {
		a.findings = append(a.findings, Finding{At: now, Rule: rule, Request: id, Detail: fmt.Sprintf(format, args...)})
	}
}

func (a *Auditor) isLong(tokens int) bool {
	return a.settings.LongTokens > 0 && tokens >= a.settings.LongTokens
}

func (a *Auditor) cohortOf(q *request) *cohort {
	key := cohortKey{class: q.class, model: q.Model, long: q.long, avoidKey: strings.Join(q.Avoid, "\n")}
	k := a.cohorts[key]
	if k == nil {
		k = &cohort{cohortKey: key, avoid: q.Avoid}
		a.cohorts[key] = k
		a.cohortList = append(a.cohortList, k)
	}
	return k
}

func (a *Auditor) dequeue(q *request) {
	delete(a.waiting, q.ID)
	if q.cohort == nil {
		return
	}
	q.class.waiting--
	q.cohort.count--
	if q.cohort.count == 0 {
		delete(a.cohorts, q.cohort.cohortKey)
		at := slices.Index(a.cohortList, q.cohort)
		a.cohortList = slices.Delete(a.cohortList, at, at+1)
	}
}

func (a *Auditor) run(q *request, s *server) {
	a.running[q.ID] = q
	q.server = s
	s.running++
	if q.long {
		s.long++
	}
}

func (a *Auditor) stop(id string) {
	q := a.running[id]
	if q == nil {
		return
	}
	delete(a.running, id)
	q.server.running--
	if q.long {
		q.server.long--
	}
}

func (c *class) updateLongestGap(now clock.Millis) {
	if c.waiting > 0 {
		c.longestGap = max(c.longestGap, now-c.unserved)
	}
}

func (c *class) floorDue(now clock.Millis) bool {
	return c.waiting > 0 && now-c.unserved >= c.FloorPeriod/2
}

func (s *server) hasModel(model string) bool {
	return len(s.Models) == 0 || model == "" || slices.Contains(s.Models, model)
}

// usable reports whether a slot of the server is certainly usable for the cohort.
// The auditor does not know the server's current slot limit, but a free slot means
// that it is at least one more than the running requests. That gives a lower bound
// of the cap on long requests.
func (a *Auditor) usable(s *server, k *cohort) bool {
	if s.State != sched.ServerUp || !s.hasModel(k.model) || slices.Contains(k.avoid, s.Name) {
		return false
	}
	longCap := max(1, int(a.settings.LongShare*float64(s.running+1)))
	return !k.long || s.long < longCap
}
