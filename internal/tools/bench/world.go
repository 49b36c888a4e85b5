package bench

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
)

// world is one run of one policy: servers, entry hosts and the requests on
// their way, in virtual time.
type world struct {
	timeline
	scenario   Scenario
	deployment Deployment
	settings   batch.Settings
	domains    []Domain
	servers    []*server
	cutOff     []bool
	requests   []*request
	asks       map[string]*ask
	// running are the open attempts, by entry host.
	running map[hostPlace][]*attempt
	// audits check all groups that are kept.
	audits []*audit.Auditor
	// onCut is called when failure domains are separated or joined.
	onCut   func()
	open    int
	gaps    *gaps
	traffic Traffic
	router  router
}

// router is a policy: what entry hosts do with a request.
type router struct {
	// arrive takes a request that has reached its entry host.
	arrive func(r *request)
	// first takes an attempt whose first token has reached the host.
	first func(a *attempt)
	// report takes an attempt's progress, at most each progressPeriod.
	report func(a *attempt)
	// failed takes an attempt whose connection has ended too early, or could
	// not be made.
	failed func(a *attempt, how sched.Outcome)
	// done takes an attempt whose last token has reached the host.
	done func(a *attempt)
}

// Traffic counts what the system's own processes send each other.
type Traffic struct {
	Messages int
	Bytes    int
}

func newWorld(s Scenario, d Deployment, jobs []*job) *world {
	w := &world{
		scenario:   s,
		deployment: d,
		settings:   batchSettings(s, d),
		domains:    d.Domains,
		cutOff:     make([]bool, len(d.Domains)),
		gaps:       newGaps(),
		asks:       make(map[string]*ask, len(jobs)),
		running:    map[hostPlace][]*attempt{},
		onCut:      func() {},
	}
	for _, p := range d.serverPlaces() {
		w.servers = append(w.servers, newServer(w, p))
	}
	for i, j := range jobs {
		r := &request{job: j, world: w, number: i}
		w.requests = append(w.requests, r)
		w.at(j.at, r.arrive)
	}
	w.open = len(jobs)
	w.planFaults(s.Faults)
	return w
}

func batchSettings(s Scenario, d Deployment) batch.Settings {
	return batch.Settings{MaxBatch: d.SlotsPerServer, LoadLag: s.LoadLagMilliseconds}.WithDefaults()
}

// delay is the one-way delay between two failure domains.
func (w *world) delay(a, b int) clock.Millis {
	if a == b {
		return w.deployment.Network.InDomainMilliseconds
	}
	return w.deployment.Network.CrossDomainMilliseconds
}

// cut tells whether two failure domains are separated.
func (w *world) cut(a, b int) bool {
	return a != b && (w.cutOff[a] || w.cutOff[b])
}

func (w *world) server(name string) *server {
	at := slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })
	return w.servers[at]
}

// serversOf returns the servers of a failure domain.
func (w *world) serversOf(domain int) []*server {
	var found []*server
	for _, s := range w.servers {
		if s.domain == domain {
			found = append(found, s)
		}
	}
	return found
}

// openAttempts returns the attempts that a host listens to, in the order in
// which they were sent, and forgets those that are over.
func (w *world) openAttempts(place hostPlace) []*attempt {
	kept := w.running[place][:0]
	for _, a := range w.running[place] {
		if !a.over {
			kept = append(kept, a)
		}
	}
	w.running[place] = kept
	return kept
}

// every repeats an action while requests are open.
func (w *world) every(first, period clock.Millis, do func()) {
	w.at(first, func() {
		if w.open == 0 {
			return
		}
		do()
		w.every(w.now+period, period, do)
	})
}

// run carries out events until every request has ended, and reports how far
// virtual time has come.
func (w *world) run(progress func(now, until clock.Millis)) {
	step := max(1, w.scenario.DurationMilliseconds/10)
	shown := step
	for w.open > 0 && w.next() {
		if w.now >= shown && w.now <= w.scenario.DurationMilliseconds {
			progress(w.now, w.scenario.DurationMilliseconds)
			shown += step
		}
	}
}
