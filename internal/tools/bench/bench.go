// Package bench measures the scheduling policies in virtual time by discrete
// event simulation.
//
// A scenario file names a deployment file, the demand over time and the faults
// to inject. From these and a seed the benchmark draws requests, and every
// policy gets the same requests. Requests arrive at entry hosts; each host runs
// the keeper.Machine used in production, which sends grant requests to keepers
// and acts as keeper of groups; granted requests go to simulated model engines
// (batch.Batch). Messages take fixed delays, and their size is that of their
// encoding on the link. Nothing else of a network or a host is modelled: no
// bandwidth, no processor time, no loss other than the declared partitions.
//
// Keepers learn only what they would learn in production: grant requests and
// releases as they arrive, progress as hosts bundle it, and the results of
// probes. A crashed server refuses connections; a partition is detected after a
// second without messages.
//
// The policies are:
//
//   - Naive: round robin, one FIFO queue for each server, one blind retry
//   - Knowing: an oracle that knows all lengths, for comparison
//   - Alone: each entry host decides alone on a share of the slots
//   - Server: one keeper for each backend server
//   - Group: one keeper for each group of backend servers, the default
//
// Targets are checked against the last policy that ran.
//
// # Measures
//
// A response is within target if its first token reached the entry host within
// the class's target after the request did, and the mean time between its
// tokens was within the class's target. Goodput is the number of such responses
// per second; attainment is their share of all arrivals, including refused
// ones. Wasted work is the share of the generated tokens that belonged to late
// responses or to requests without a complete response, or that were generated
// twice. The longest gap is the longest time during which requests of a class
// were waiting in a failure domain and none of them entered a batch.
// Percentiles count a request without a response with its maximum wait.
//
// The bound on goodput assumes that all lengths and future arrivals are known;
// see goodputBound.
//
// # Usage
//
//	s, d, err := bench.ReadScenario("bench/kestrel-crest.hujson")
//	b := bench.Bench{Scenario: s, Deployment: d, Progress: func(string) {}}
//	report := b.Run()
//	report.WriteTable(os.Stdout)
package bench

import (
	"fmt"
	"math/rand/v2"

	"siskinsaddle/internal/base/clock"
)

// Bench runs one scenario under several policies. The fields are set before Run.
type Bench struct {
	Scenario   Scenario
	Deployment Deployment
	// Policies run in this order; the default is all. Targets are checked
	// against the last one.
	Policies []PolicyName
	// Progress receives a progress line for about every tenth of a run; optional.
	Progress func(line string)
}

// Run runs the scenario under every policy and checks the targets.
func (b *Bench) Run() Report {
	if len(b.Policies) == 0 {
		b.Policies = Policies
	}
	if b.Progress == nil {
		b.Progress = func(string) {}
	}
	jobs := b.jobs()
	r := Report{
		Scenario: b.Scenario.Name,
		Describe: b.Scenario.Describe,
		Seed:     b.Scenario.Seed,
		Requests: len(jobs),
		Bound:    b.goodputBound(jobs),
	}
	for _, name := range b.Policies {
		r.Policies = append(r.Policies, b.runOne(name, b.Scenario, jobs))
		if b.Scenario.Without != WithoutNothing {
			r.Without = append(r.Without, b.runWithout(name, jobs))
		}
	}
	r.Targets = b.judge(r)
	return r
}

func (b *Bench) jobs() []*job {
	g := &generator{
		scenario:   b.Scenario,
		deployment: b.Deployment,
		settings:   batchSettings(b.Scenario, b.Deployment),
		random:     rand.New(rand.NewPCG(uint64(b.Scenario.Seed), 0)),
		servers:    len(b.Deployment.serverPlaces()),
	}
	return g.jobs()
}

func (b *Bench) goodputBound(jobs []*job) Bound {
	window := b.Scenario.Crest
	if window.empty() {
		window = Window{
			FromMilliseconds:  b.Scenario.WarmUpMilliseconds,
			UntilMilliseconds: b.Scenario.DurationMilliseconds,
		}
	}
	settings := batchSettings(b.Scenario, b.Deployment)
	servers := len(b.Deployment.serverPlaces())
	return Bound{
		CrestGoodput:       rate(goodputBound(jobs, window, settings, servers, false), window.length()),
		TieredCrestGoodput: rate(goodputBound(jobs, window, settings, servers, true), window.length()),
	}
}

func (b *Bench) runOne(name PolicyName, s Scenario, jobs []*job) Figures {
	sm := newSimulation(s, b.Deployment, jobs)
	sm.router = policyConstructors[name](sm)
	sm.run(func(now, until clock.Millis) {
		b.Progress(fmt.Sprintf("%s, %s: %d of %d s", s.Name, name, now/clock.Second, until/clock.Second))
	})
	return sm.figures(name)
}

// runWithout runs the policy without the faults or long requests that the
// scenario excludes from its second run.
func (b *Bench) runWithout(name PolicyName, jobs []*job) Figures {
	s := b.Scenario
	switch s.Without {
	case WithoutFaults:
		s.Faults = nil
	case WithoutLongWork:
		jobs = withoutLong(jobs)
	}
	return b.runOne(name, s, jobs)
}

func (b *Bench) judge(r Report) []Judgement {
	last := len(r.Policies) - 1
	in := targetInputs{own: r.Policies[last], bound: r.Bound}
	if len(r.Without) > 0 {
		in.without = &r.Without[last]
	}
	in.naive = r.find(PolicyNaive)
	in.oracle = r.find(PolicyKnowing)
	var all []Judgement
	for _, name := range b.Scenario.Targets {
		one := targets[name](in)
		one.Target = name
		all = append(all, one)
	}
	return all
}
