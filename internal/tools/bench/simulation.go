package bench

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
)

// simulation is one run of one policy in virtual time: its servers, entry hosts
// and requests.
type simulation struct {
	timeline
	scenario   Scenario
	deployment Deployment
	settings   batch.Settings
	domains    []Domain
	servers    []*server
	// isolated marks the domains that are separated from all others.
	isolated      []bool
	requests      []*request
	grantRequests map[string]*grantRequest
	// running holds the open attempts of each entry host.
	running map[hostPlace][]*attempt
	// auditors check the decisions of all groups.
	auditors []*audit.Auditor
	// onPartitionChange is called when failure domains are separated or joined.
	onPartitionChange func()
	openRequests      int
	gapTracker        *gapTracker
	traffic           Traffic
	router            router
}

// router is a policy: it handles the events of requests at their entry hosts.
type router struct {
	// arrive is called when a request has reached its entry host.
	arrive func(r *request)
	// firstToken is called when an attempt's first token has reached the host.
	firstToken func(a *attempt)
	// progress is called on tokens, at most once per progressPeriod after the
	// first one.
	progress func(a *attempt)
	// failed is called when an attempt's connection has closed before the last
	// token or could not be opened.
	failed func(a *attempt, how sched.Outcome)
	// done is called when an attempt's last token has reached the host.
	done func(a *attempt)
}

// Traffic counts the messages and bytes that entry hosts send each other.
type Traffic struct {
	Messages int
	Bytes    int
}

func newSimulation(s Scenario, d Deployment, jobs []*job) *simulation {
	sm := &simulation{
		scenario:          s,
		deployment:        d,
		settings:          batchSettings(s, d),
		domains:           d.Domains,
		isolated:          make([]bool, len(d.Domains)),
		gapTracker:        newGapTracker(),
		grantRequests:     make(map[string]*grantRequest, len(jobs)),
		running:           map[hostPlace][]*attempt{},
		onPartitionChange: func() {},
	}
	for _, p := range d.serverPlaces() {
		sm.servers = append(sm.servers, newServer(sm, p))
	}
	for i, j := range jobs {
		r := &request{job: j, simulation: sm, number: i}
		sm.requests = append(sm.requests, r)
		sm.at(j.at, r.arrive)
	}
	sm.openRequests = len(jobs)
	sm.scheduleFaults(s.Faults)
	return sm
}

func batchSettings(s Scenario, d Deployment) batch.Settings {
	return batch.Settings{MaxBatch: d.SlotsPerServer, LoadLag: s.LoadLagMilliseconds}.WithDefaults()
}

// delay returns the one-way delay between two failure domains.
func (sm *simulation) delay(a, b int) clock.Millis {
	if a == b {
		return sm.deployment.Network.InDomainMilliseconds
	}
	return sm.deployment.Network.CrossDomainMilliseconds
}

// partitioned reports whether two failure domains are separated.
func (sm *simulation) partitioned(a, b int) bool {
	return a != b && (sm.isolated[a] || sm.isolated[b])
}

func (sm *simulation) server(name string) *server {
	at := slices.IndexFunc(sm.servers, func(s *server) bool { return s.name == name })
	return sm.servers[at]
}

// serversOf returns the servers of a failure domain.
func (sm *simulation) serversOf(domain int) []*server {
	var found []*server
	for _, s := range sm.servers {
		if s.domain == domain {
			found = append(found, s)
		}
	}
	return found
}

// openAttempts returns a host's unfinished attempts in the order in which they
// were sent, and removes the finished ones from its list.
func (sm *simulation) openAttempts(place hostPlace) []*attempt {
	kept := sm.running[place][:0]
	for _, a := range sm.running[place] {
		if !a.finished {
			kept = append(kept, a)
		}
	}
	sm.running[place] = kept
	return kept
}

// every repeats an action as long as requests are open.
func (sm *simulation) every(first, period clock.Millis, do func()) {
	sm.at(first, func() {
		if sm.openRequests == 0 {
			return
		}
		do()
		sm.every(sm.now+period, period, do)
	})
}

// run runs events until every request has ended, and reports progress in virtual
// time.
func (sm *simulation) run(progress func(now, until clock.Millis)) {
	step := max(1, sm.scenario.DurationMilliseconds/10)
	shown := step
	for sm.openRequests > 0 && sm.next() {
		if sm.now >= shown && sm.now <= sm.scenario.DurationMilliseconds {
			progress(sm.now, sm.scenario.DurationMilliseconds)
			shown += step
		}
	}
}
