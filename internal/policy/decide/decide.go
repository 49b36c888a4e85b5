// Package decide puts the parts of the policy together: a sched.Group whose
// servers are judged by speed, chosen by pick, and whose requests' lengths are
// predicted by learn. Keepers, hosts that decide alone and the benchmark run
// this same code.
//
// A Decider has the methods of a sched.Group. What it adds:
//
//   - a request without PredictedTokens is given the learnt length;
//   - the time by which a request must start follows from the measured time to
//     the first token for its prompt;
//   - a server that is slower than its siblings keeps a part of its slots;
//   - the chosen server is the one where the answer is expected to be complete
//     first.
//
// # Usage
//
//	d := decide.New(settings)
//	d.SetServers(now, servers)
//	d.Offer(now, request)
//	decisions := d.Take(now)
//	d.Progress(now, progress)
//	d.Release(now, done)
//	d.Tick(now) // at least every 50 ms
package decide

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/learn"
	"siskinsaddle/internal/policy/pick"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/speed"
)

const (
	// lengthKeys bounds the workspaces, classes and models whose lengths are
	// kept apart.
	lengthKeys = 20_000
	// lengthQuantile is the share of answers that are no longer than what is
	// predicted.
	lengthQuantile = 0.7
	// marginQuantile is the share of first tokens that come within the time
	// that a request is started before its deadline.
	marginQuantile = 0.9
	// reportLag is how late in milliseconds a host's report may be.
	reportLag = 250 * clock.Millis(1)
)

// Decider is a Group with learnt figures. Take New; it is not safe for
// concurrent use.
type Decider struct {
	group   *sched.Group
	tracker *speed.Tracker
	chooser *pick.Chooser
	lengths *learn.Lengths
	margin  *learn.Lengths
	health  *health
	servers []sched.Server
	// waiting and running are the requests by id.
	waiting map[string]sched.Request
	running map[string]*running
}

// running is a granted request.
type running struct {
	request sched.Request
	server  string
	started bool
	// counted is the length that was learnt of the unfinished answer.
	counted int
}

// New returns a Decider without servers. The settings' Choose and FirstToken
// are filled in where they are nil.
func New(s sched.Settings) *Decider {
	d := &Decider{
		tracker: speed.New(),
		lengths: learn.New(lengthKeys),
		health:  newHealth(),
		margin:  learn.New(1),
		waiting: map[string]sched.Request{},
		running: map[string]*running{},
	}
	d.tracker.ReportLag = reportLag
	d.chooser = pick.New(d.tracker, pick.Settings{})
	d.group = sched.New(d.complete(s))
	return d
}

func (d *Decider) complete(s sched.Settings) sched.Settings {
	if s.Choose == nil {
		s.Choose = d.chooser.Choose
	}
	if s.FirstToken == nil {
		s.FirstToken = d.firstToken
	}
	return s
}

// firstToken is the time in milliseconds within which nearly all first tokens
// come for such a prompt. A request that is started later than that before its
// deadline would most likely miss it.
func (d *Decider) firstToken(r sched.Request) clock.Millis {
	expected := d.tracker.ExpectedFirst(r.PromptTokens)
	percent := max(100, d.margin.Quantile(learn.Key{}, marginQuantile))
	return expected * clock.Millis(percent) / 100
}

// SetSettings replaces the settings; what was learnt stays.
func (d *Decider) SetSettings(now clock.Millis, s sched.Settings) {
	d.group.SetSettings(now, d.complete(s))
}

// SetServers replaces the list of servers, and forgets those that have left.
func (d *Decider) SetServers(now clock.Millis, list []sched.Server) {
	listed := map[string]bool{}
	for _, s := range list {
		listed[s.Name] = true
	}
	for _, s := range d.servers {
		if !listed[s.Name] {
			d.tracker.Forget(s.Name)
			d.chooser.Forget(s.Name)
			d.health.forget(s.Name)
		}
	}
	d.servers = append([]sched.Server(nil), list...)
	d.group.SetServers(now, d.health.apply(d.servers))
}

// Offer adds a waiting request.
func (d *Decider) Offer(now clock.Millis, r sched.Request) {
	r = d.Predict(r)
	d.waiting[r.ID] = r
	d.group.Offer(now, r)
}

// Predict fills in the learnt length where the request has none.
func (d *Decider) Predict(r sched.Request) sched.Request {
	if r.PredictedTokens == 0 {
		r.PredictedTokens = d.lengths.Quantile(lengthKey(r), lengthQuantile)
	}
	if r.MaxTokens > 0 {
		r.PredictedTokens = min(r.PredictedTokens, r.MaxTokens)
	}
	return r
}

func lengthKey(r sched.Request) learn.Key {
	return learn.Key{Workspace: r.Workspace, Class: r.Class, Model: r.Model, Prompt: learn.PromptSize(r.PromptTokens)}
}

// Cancel withdraws a waiting request or frees the slot of a granted one.
func (d *Decider) Cancel(now clock.Millis, id string) {
	delete(d.waiting, id)
	d.forget(now, id)
	d.group.Cancel(now, id)
}

// DropHost cancels all requests of an entry host that was lost.
func (d *Decider) DropHost(now clock.Millis, host string) {
	for id, r := range d.waiting {
		if r.Host == host {
			delete(d.waiting, id)
		}
	}
	for id, r := range d.running {
		if r.request.Host == host {
			d.forget(now, id)
		}
	}
	d.group.DropHost(now, host)
}

// Adopt enters a request that runs already.
func (d *Decider) Adopt(now clock.Millis, r sched.Request, server string) {
	r = d.Predict(r)
	delete(d.waiting, r.ID)
	d.running[r.ID] = &running{request: r, server: server, started: true}
	d.group.Adopt(now, r, server)
}

// Progress takes what a host has seen of a running request.
func (d *Decider) Progress(now clock.Millis, p sched.Progress) {
	d.observe(now, p)
	d.group.Progress(now, p)
}

// Release ends a granted request and frees its slot.
func (d *Decider) Release(now clock.Millis, done sched.Done) {
	d.observe(now, done.Progress)
	if v := d.running[done.ID]; v != nil && done.Outcome == sched.OutcomeDone {
		d.lengths.Grown(lengthKey(v.request), v.counted, done.Tokens)
	}
	d.judge(now, done)
	d.forget(now, done.ID)
	d.group.Release(now, done)
}

// judge takes what the end of a request says of its server. It comes before
// the slot is freed, so that the slot of a lost server goes to nobody.
func (d *Decider) judge(now clock.Millis, done sched.Done) {
	v := d.running[done.ID]
	if v != nil && d.health.ended(now, v.server, done.Outcome) {
		d.group.SetServers(now, d.health.apply(d.servers))
	}
}

func (d *Decider) observe(now clock.Millis, p sched.Progress) {
	v := d.running[p.ID]
	if v == nil {
		return
	}
	if !v.started && p.FirstToken >= 0 && p.Tokens > 0 {
		v.started = true
		d.observeFirst(now, v, p)
	}
	if p.Tokens > v.request.PredictedTokens && p.Tokens >= 2*v.counted {
		d.lengths.Grown(lengthKey(v.request), v.counted, p.Tokens)
		v.counted = p.Tokens
	}
	d.tracker.Between(now, v.server, d.group.Running(v.server), p.BetweenTokens)
}

func (d *Decider) observeFirst(now clock.Millis, v *running, p sched.Progress) {
	if expected := d.tracker.ExpectedFirst(v.request.PromptTokens); expected > 0 {
		d.margin.Observe(learn.Key{}, int(100*p.FirstToken/expected))
	}
	d.tracker.FirstToken(now, v.server, p.ID, p.FirstToken)
}

func (d *Decider) forget(now clock.Millis, id string) {
	if v := d.running[id]; v != nil {
		d.tracker.Ended(now, v.server, id)
		delete(d.running, id)
	}
}

// Tick lets time pass: it weighs the servers anew, refuses what has expired
// and serves due floors.
func (d *Decider) Tick(now clock.Millis) {
	changed := d.health.waited(now)
	d.weigh(now)
	if changed {
		d.group.SetServers(now, d.health.apply(d.servers))
	}
	d.group.Tick(now)
}

// weigh sets the share of its slots that each server keeps.
func (d *Decider) weigh(now clock.Millis) {
	for _, s := range d.servers {
		d.group.SetSpeed(now, s.Name, d.tracker.Weight(now, s.Name))
	}
}

// Take returns the decisions since the last call.
func (d *Decider) Take(now clock.Millis) []sched.Decision {
	decisions := d.group.Take()
	for _, v := range decisions {
		d.decided(now, v)
	}
	return decisions
}

func (d *Decider) decided(now clock.Millis, v sched.Decision) {
	r, ok := d.waiting[v.ID]
	delete(d.waiting, v.ID)
	if ok && v.Kind == sched.DecisionGrant {
		d.running[v.ID] = &running{request: r, server: v.Server}
		d.tracker.Started(now, v.Server, v.ID, r.PromptTokens)
	}
}

// Digest returns the group in a few numbers.
func (d *Decider) Digest(now clock.Millis) sched.Digest { return d.group.Digest(now) }

// Weight is the share of its slots that a server keeps, 1 if it is not slow.
func (d *Decider) Weight(now clock.Millis, server string) float64 {
	return d.tracker.Weight(now, server)
}
