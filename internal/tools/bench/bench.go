// Package bench measures the policy code in virtual time.
//
// A scenario file names a deployment file, the demand over time and the faults
// that happen. From these and a seed the benchmark draws requests, and gives
// the same requests to each policy. Requests arrive at entry hosts; each host
// runs the keeper.Machine of production, which asks keepers and keeps groups;
// granted requests go to model engines, which are batch.Batch models. Messages
// take fixed delays, and are counted as they would be encoded on the link.
// Nothing else of a network or a host is modelled: no bandwidth, no processor
// time, no loss other than the declared cuts.
//
// Keepers learn only what they would learn in production: asks and ends as
// they arrive, progress as hosts bundle it, and by probes. A crashed server
// refuses connections; a cut is noticed after a second of silence.
//
// The policies are Naive (round robin, one FIFO for each server, one blind
// retry), Knowing (an all-knowing order, to see what could be reached), Alone (each host decides alone on a share of the slots), Server (one
// keeper for each backend server) and Group (one keeper for each group of
// backend servers, the default). Targets are judged on the last policy that
// ran.
//
// # Measures
//
// An answer is within target when its first token reached the entry host
// within the class's target after the request did, and the mean time between
// its tokens was within the class's target. Goodput counts such answers a
// second; attainment is their share of all arrivals, refused ones included.
// Wasted work is the share of the made tokens that belonged to late answers,
// to requests without a whole answer, or were made twice. The longest gap is
// the longest time during which a class had waiting work in a failure domain
// and none of it entered a batch. Percentiles count a request without an
// answer with its longest wait.
//
// The bound on goodput is that of somebody who knows all lengths and the
// future; see the function bound.
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

// Bench is one scenario. The fields are set before Run.
type Bench struct {
	Scenario   Scenario
	Deployment Deployment
	// Policies run in this order; all by default. Targets are judged on the
	// last.
	Policies []PolicyName
	// Progress takes a line now and then.
	Progress func(line string)
}

// Run measures every policy.
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
		Bound:    b.bound(jobs),
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

func (b *Bench) bound(jobs []*job) Bound {
	window := b.Scenario.Crest
	if window.empty() {
		window = Window{FromMilliseconds: b.Scenario.WarmUpMilliseconds, UntilMilliseconds: b.Scenario.DurationMilliseconds}
	}
	settings := batchSettings(b.Scenario, b.Deployment)
	servers := len(b.Deployment.serverPlaces())
	return Bound{
		CrestGoodput:       rate(bound(jobs, window, settings, servers, false), window.length()),
		TieredCrestGoodput: rate(bound(jobs, window, settings, servers, true), window.length()),
	}
}

func (b *Bench) runOne(name PolicyName, s Scenario, jobs []*job) Figures {
	w := newWorld(s, b.Deployment, jobs)
	w.router = policyStarts[name](w)
	w.run(func(now, until clock.Millis) {
		b.Progress(fmt.Sprintf("%s, %s: %d of %d s", s.Name, name, now/clock.Second, until/clock.Second))
	})
	return w.figures(name)
}

// runWithout measures the policy without what the scenario leaves out.
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
	j := judged{own: r.Policies[last], bound: r.Bound}
	if len(r.Without) > 0 {
		j.without = &r.Without[last]
	}
	j.naive = r.find(PolicyNaive)
	j.knowing = r.find(PolicyKnowing)
	var all []Judgement
	for _, name := range b.Scenario.Targets {
		one := targets[name](j)
		one.Target = name
		all = append(all, one)
	}
	return all
}
