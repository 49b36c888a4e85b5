// Package decide combines the parts of the scheduling policy: a sched.Group with
// slow-server detection (speed), server selection (pick) and prediction of answer
// lengths (learn). Keepers, hosts that schedule locally and the benchmark run the
// same code.
//
// A Decider has the methods of a sched.Group and adds:
//
//   - a request without PredictedTokens gets a predicted length;
//   - the latest start time of a request is derived from the measured time to the
//     first token for its prompt;
//   - a server that is slower than the others has its slots reduced;
//   - a request goes to the server that is expected to complete the answer first;
//   - a server on which requests fail is suspected and gets no work for a backoff.
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
	// lengthKeys bounds the number of keys with an answer-length histogram.
	lengthKeys = 20_000
	// lengthQuantile is the quantile of the answer lengths used as the prediction.
	lengthQuantile = 0.7
	// firstTokenQuantile is the quantile of the times to the first token that is
	// reserved before a request's deadline.
	firstTokenQuantile = 0.9
	// reportLag is the longest delay of a host's report, in milliseconds.
	reportLag = 250 * clock.Millis(1)
)

// Decider is a sched.Group with learned latencies, answer lengths and server
// health.
// Create one with New; it is not safe for concurrent use.
type Decider struct {
	group           *sched.Group
	tracker         *speed.Tracker
	chooser         *pick.Chooser
	lengths         *learn.Lengths
	firstTokenRatio *learn.Lengths
	health          *health
	servers         []sched.Server
	// waiting and running are the requests by id.
	waiting map[string]sched.Request
	running map[string]*running
}

// running is a granted request.
type running struct {
	request sched.Request
	server  string
	started bool
	// recorded is the length at which the unfinished answer was last recorded.
	recorded int
}

// New returns a Decider without servers. The Choose and FirstToken settings are
// filled in if they are nil.
func New(s sched.Settings) *Decider {
	d := &Decider{
		tracker:         speed.New(),
		lengths:         learn.New(lengthKeys),
		health:          newHealth(),
		firstTokenRatio: learn.New(1),
		waiting:         map[string]sched.Request{},
		running:         map[string]*running{},
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

// firstToken returns the time, in milliseconds, within which 90% of first tokens
// arrive for a prompt of this length. A request granted closer to its deadline than
// this would probably miss it.
func (d *Decider) firstToken(r sched.Request) clock.Millis {
	expected := d.tracker.ExpectedFirstToken(r.PromptTokens)
	percent := max(100, d.firstTokenRatio.Quantile(learn.Key{}, firstTokenQuantile))
	return expected * clock.Millis(percent) / 100
}

// SetSettings replaces the settings and keeps the learned statistics.
func (d *Decider) SetSettings(now clock.Millis, s sched.Settings) {
	d.group.SetSettings(now, d.complete(s))
}

// SetServers replaces the list of servers and discards the statistics of removed
// ones.
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

// Predict fills in PredictedTokens if the request has none.
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

// Cancel removes a waiting request or frees the slot of a granted one.
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

// Adopt registers a request that is already running.
func (d *Decider) Adopt(now clock.Millis, r sched.Request, server string) {
	r = d.Predict(r)
	delete(d.waiting, r.ID)
	d.running[r.ID] = &running{request: r, server: server, started: true}
	d.group.Adopt(now, r, server)
}

// Progress records a host's progress report on a running request.
func (d *Decider) Progress(now clock.Millis, p sched.Progress) {
	d.observe(now, p)
	d.group.Progress(now, p)
}

// Release ends a granted request and frees its slot.
func (d *Decider) Release(now clock.Millis, done sched.Done) {
	d.observe(now, done.Progress)
	if v := d.running[done.ID]; v != nil && done.Outcome == sched.OutcomeDone {
		d.lengths.Grown(lengthKey(v.request), v.recorded, done.Tokens)
	}
	d.updateHealth(now, done)
	d.forget(now, done.ID)
	d.group.Release(now, done)
}

// updateHealth updates the server's health from the outcome of a request. It runs
// before the slot is freed, so that the slot of a lost server is not granted again.
func (d *Decider) updateHealth(now clock.Millis, done sched.Done) {
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
	if p.Tokens > v.request.PredictedTokens && p.Tokens >= 2*v.recorded {
		d.lengths.Grown(lengthKey(v.request), v.recorded, p.Tokens)
		v.recorded = p.Tokens
	}
	d.tracker.InterTokenLatency(now, v.server, d.group.Running(v.server), p.BetweenTokens)
}

func (d *Decider) observeFirst(now clock.Millis, v *running, p sched.Progress) {
	if expected := d.tracker.ExpectedFirstToken(v.request.PromptTokens); expected > 0 {
		d.firstTokenRatio.Observe(learn.Key{}, int(100*p.FirstToken/expected))
	}
	d.tracker.FirstToken(now, v.server, p.ID, p.FirstToken)
}

func (d *Decider) forget(now clock.Millis, id string) {
	if v := d.running[id]; v != nil {
		d.tracker.Ended(now, v.server, id)
		delete(d.running, id)
	}
}

// Tick advances the clock: it updates the servers' weights, refuses expired
// requests and grants due floors.
func (d *Decider) Tick(now clock.Millis) {
	changed := d.health.endBackoffs(now)
	d.updateWeights(now)
	if changed {
		d.group.SetServers(now, d.health.apply(d.servers))
	}
	d.group.Tick(now)
}

// updateWeights sets the share of its slots that each server may use.
func (d *Decider) updateWeights(now clock.Millis) {
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

// Digest returns a summary of the group.
func (d *Decider) Digest(now clock.Millis) sched.Digest { return d.group.Digest(now) }

// Weight returns the share of its slots that a server may use, 1 if it is not slow.
func (d *Decider) Weight(now clock.Millis, server string) float64 {
	return d.tracker.Weight(now, server)
}
