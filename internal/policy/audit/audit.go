// Package audit checks the decisions of a scheduler against the two promises
// that callers are given, from outside: it keeps its own account of what
// waits and runs, and is told every input and every decision.
//
// # No higher tier is shed or preempted in favour of a lower one
//
// A slot is usable for a request when the server is up, has the request's
// model loaded, is not one that the request avoids, and, for long work, has
// less long work than its cap. Then:
//
//   - A grant that is not marked Floor is only given while no request of a more
//     urgent tier waits for which the same slot is usable.
//   - A grant marked Floor is only given to a class that has waiting work and
//     has been given no slot for at least half of its FloorPeriod.
//   - A request is only shed while each class of a less urgent tier has at most
//     one waiting request. That one is what the class's floor will be given
//     to: without it, an unbroken burst of urgent work would shed every
//     request of the class as it arrives, and its floor would find nothing to
//     serve. A request of a lower tier that stays waiting for its floor, or
//     that runs by its floor, is therefore not one in whose favour another was
//     shed; any second one is.
//   - A request whose answer has begun to reach its caller counts as one that
//     runs: it is never shed, is none of the waiting requests above, and has
//     the class's floor a second time.
//   - A request that runs is ended by its host only. The scheduler has no
//     decision that takes a slot back.
//   - Work of another failure domain is only granted while no local request
//     waits.
//
// # No class starves
//
//   - While a class has waiting work and has been given no slot for half of its
//     FloorPeriod, a slot that is usable for it goes to no class that is less
//     overdue. So the gap between two grants is at most the FloorPeriod as
//     long as some usable slot becomes free in each half of it. A grant that
//     gave no token because its server was lost does not count.
//   - A server that runs nothing is not left idle while a request waits for
//     which it is usable.
//
// A refusal must also tell the truth: Expired only after GiveUp, NoServer only
// while no server that is up or suspect has the model, NoSpill only to work of
// another failure domain.
//
// # Usage
//
//	a := audit.New(settings)
//	a.SetServers(now, servers)
//	a.Offer(now, request)            // the same call that the group is given
//	a.Decided(now, group.Take())     // after every step
//	for _, f := range a.Findings() { // empty while all is well
//	}
package audit

import (
	"fmt"
	"slices"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// Rule names what a finding breaks.
type Rule string

// The rules.
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

// Finding is one broken rule.
type Finding struct {
	At      clock.Millis
	Rule    Rule
	Request string
	Detail  string
}

// String writes the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%d ms: %s: request %s: %s", f.At, f.Rule, f.Request, f.Detail)
}

// maxFindings bounds what is kept; the first ones tell the most.
const maxFindings = 100

// Auditor keeps its own account of a group. Take New; it is not safe for
// concurrent use.
type Auditor struct {
	settings sched.Settings
	classes  map[classKey]*class
	order    []*class
	servers  map[string]*server
	waiting  map[string]*request
	running  map[string]*request
	kinds    map[kindKey]*kind
	listed   []*kind
	findings []Finding
}

// classKey tells a class's work whose answers have begun from the rest.
type classKey struct {
	name  string
	begun bool
}

type class struct {
	sched.Class
	begun    bool
	waiting  int
	unserved clock.Millis
	longest  clock.Millis
}

type server struct {
	sched.Server
	running int
	long    int
}

// kind counts the waiting requests for which the same slots are usable.
type kind struct {
	kindKey
	avoid []string
	count int
}

type kindKey struct {
	class  *class
	model  string
	long   bool
	avoids string
}

type request struct {
	sched.Request
	kind   *kind
	class  *class
	server *server
	long   bool
	// granted is when it was granted, and unserved since when its class had
	// been unserved then.
	granted  clock.Millis
	unserved clock.Millis
}

// New returns an Auditor without servers.
func New(s sched.Settings) *Auditor {
	a := &Auditor{
		settings: s, classes: map[classKey]*class{}, servers: map[string]*server{},
		waiting: map[string]*request{}, running: map[string]*request{}, kinds: map[kindKey]*kind{},
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

// class returns a request's class. One that the settings do not name is below
// all others, as it is for the scheduler.
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

// Findings returns the broken rules found so far, at most 100.
func (a *Auditor) Findings() []Finding { return a.findings }

// LongestGap is the longest time in milliseconds that the class has had waiting
// work and no grant.
func (a *Auditor) LongestGap(name string) clock.Millis {
	if c := a.classes[classKey{name: name}]; c != nil {
		return c.longest
	}
	return 0
}

// SetServers is told what the group is told.
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

// Offer is told what the group is told.
func (a *Auditor) Offer(now clock.Millis, r sched.Request) {
	if a.waiting[r.ID] != nil || a.running[r.ID] != nil {
		return
	}
	q := &request{Request: r, class: a.class(r), long: a.isLong(r.PredictedTokens)}
	a.waiting[r.ID] = q
	if r.Spilled {
		return
	}
	q.kind = a.kindOf(q)
	q.kind.count++
	if q.class.waiting == 0 {
		q.class.unserved = now
	}
	q.class.waiting++
}

// Adopt is told what the group is told.
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
	a.leave(q)
	a.run(q, s)
}

// Cancel is told what the group is told.
func (a *Auditor) Cancel(_ clock.Millis, id string) {
	if q := a.waiting[id]; q != nil {
		a.leave(q)
		return
	}
	a.stop(id)
}

// Progress is told what the group is told.
func (a *Auditor) Progress(_ clock.Millis, p sched.Progress) {
	q := a.running[p.ID]
	if q != nil && !q.long && a.isLong(p.Tokens) {
		q.long = true
		q.server.long++
	}
}

// Release is told what the group is told. A grant that gave no token, because
// its server was lost, was no service.
func (a *Auditor) Release(_ clock.Millis, d sched.Done) {
	q := a.running[d.ID]
	if q != nil && d.Outcome.Lost() && d.Tokens == 0 && q.class.unserved == q.granted {
		q.class.unserved = q.unserved
	}
	a.stop(d.ID)
}

// Decided checks the decisions of one step, in their order, and what the group
// left undone.
func (a *Auditor) Decided(now clock.Millis, decisions []sched.Decision) {
	for _, d := range decisions {
		if d.Kind == sched.DecisionGrant {
			a.granted(now, d)
		} else {
			a.refused(now, d)
		}
	}
	a.checkIdle(now)
	for _, c := range a.order {
		c.measure(now)
	}
}

func (a *Auditor) find(now clock.Millis, rule Rule, id, format string, args ...any) {
	if len(a.findings) < maxFindings {
		a.findings = append(a.findings, Finding{At: now, Rule: rule, Request: id, Detail: fmt.Sprintf(format, args...)})
	}
}

func (a *Auditor) isLong(tokens int) bool {
	return a.settings.LongTokens > 0 && tokens >= a.settings.LongTokens
}

func (a *Auditor) kindOf(q *request) *kind {
	key := kindKey{class: q.class, model: q.Model, long: q.long, avoids: strings.Join(q.Avoid, "\n")}
	k := a.kinds[key]
	if k == nil {
		k = &kind{kindKey: key, avoid: q.Avoid}
		a.kinds[key] = k
		a.listed = append(a.listed, k)
	}
	return k
}

func (a *Auditor) leave(q *request) {
	delete(a.waiting, q.ID)
	if q.kind == nil {
		return
	}
	q.class.waiting--
	q.kind.count--
	if q.kind.count == 0 {
		delete(a.kinds, q.kind.kindKey)
		at := slices.Index(a.listed, q.kind)
		a.listed = slices.Delete(a.listed, at, at+1)
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

func (c *class) measure(now clock.Millis) {
	if c.waiting > 0 {
		c.longest = max(c.longest, now-c.unserved)
	}
}

func (c *class) due(now clock.Millis) bool {
	return c.waiting > 0 && now-c.unserved >= c.FloorPeriod/2
}

func (s *server) hasModel(model string) bool {
	return len(s.Models) == 0 || model == "" || slices.Contains(s.Models, model)
}

// usable tells whether a slot of the server is certainly usable for the kind.
// How many slots the scheduler uses of the server at present is not known
// here; it is at least one more than it runs, which bounds the cap on long work
// from below.
func (a *Auditor) usable(s *server, k *kind) bool {
	if s.State != sched.ServerUp || !s.hasModel(k.model) || slices.Contains(k.avoid, s.Name) {
		return false
	}
	longCap := max(1, int(a.settings.LongShare*float64(s.running+1)))
	return !k.long || s.long < longCap
}
