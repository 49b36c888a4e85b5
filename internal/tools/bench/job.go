package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// job is one request of the workload. All policies run the same jobs.
type job struct {
	id           string
	at           clock.Millis
	domain       int
	host         int
	class        *ClassPlan
	workspace    string
	prompt       int
	prefix       uint64
	prefixTokens int
	output       int
}

// work returns the server time, in milliseconds, that a request with this many
// uncached prompt tokens and output tokens takes in a full batch.
func work(s batch.Settings, uncachedTokens, outputTokens float64) float64 {
	full := float64(s.MaxBatch)
	perToken := (s.BaseMilliseconds + s.PerSequenceMilliseconds*full) / full
	return outputTokens*perToken + uncachedTokens*s.PerPromptTokenMilliseconds
}

func (j *job) work(s batch.Settings) float64 {
	return work(s, float64(j.prompt-j.prefixTokens), float64(j.output))
}

// generator draws the jobs of a scenario at random.
type generator struct {
	scenario   Scenario
	deployment Deployment
	settings   batch.Settings
	random     *rand.Rand
	servers    int
}

// jobs returns the scenario's jobs in order of arrival.
func (g *generator) jobs() []*job {
	var all []*job
	for i := range g.deployment.Classes {
		class := &g.deployment.Classes[i]
		for _, w := range g.deployment.Workspaces {
			all = append(all, g.arrivals(class, w)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *job) int { return cmp.Compare(a.at, b.at) })
	for i, j := range all {
		j.id = fmt.Sprintf("r%06d", i)
	}
	return all
}

// arrivals draws a Poisson process whose rate follows the phases, by thinning:
// candidates arrive at the maximum rate and are kept in proportion to the rate
// at their time.
func (g *generator) arrivals(class *ClassPlan, w WorkspacePlan) []*job {
	base := g.requestRate(class, w)
	largest := g.largestFactor(class, w)
	if base <= 0 || largest <= 0 {
		return nil
	}
	var jobs []*job
	at := 0.0
	for {
		at += g.random.ExpFloat64() / (base * largest)
		t := clock.Millis(at)
		if t >= g.scenario.DurationMilliseconds {
			return jobs
		}
		if g.random.Float64()*largest < g.factor(t, class, w) {
			jobs = append(jobs, g.job(t, class, w))
		}
	}
}

// requestRate returns the requests per millisecond of a class in a workspace
// outside all phases.
func (g *generator) requestRate(class *ClassPlan, w WorkspacePlan) float64 {
	uncached := float64(class.PromptTokens) * (1 - class.PrefixShare)
	each := work(g.settings, uncached, float64(class.OutputTokens))
	return g.scenario.Load * g.share(class) * g.workspaceShare(w) * float64(g.servers) / each
}

func (g *generator) share(class *ClassPlan) float64 {
	if len(g.scenario.Mix) == 0 {
		return class.Share
	}
	for _, m := range g.scenario.Mix {
		if m.Class == class.Name {
			return m.Share
		}
	}
	return 0
}

func (g *generator) workspaceShare(w WorkspacePlan) float64 {
	total := 0.0
	for _, other := range g.deployment.Workspaces {
		total += other.Share
	}
	return w.Share / total
}

func (g *generator) factor(t clock.Millis, class *ClassPlan, w WorkspacePlan) float64 {
	factor := 1.0
	for _, p := range g.scenario.Phases {
		if p.appliesTo(class, w) {
			factor *= p.factor(t)
		}
	}
	return factor
}

func (g *generator) largestFactor(class *ClassPlan, w WorkspacePlan) float64 {
	factor := 1.0
	for _, p := range g.scenario.Phases {
		if p.appliesTo(class, w) {
			factor *= math.Max(1, p.Factor)
		}
	}
	return factor
}

func (p Phase) appliesTo(class *ClassPlan, w WorkspacePlan) bool {
	return (len(p.Classes) == 0 || slices.Contains(p.Classes, class.Name)) &&
		(len(p.Workspaces) == 0 || slices.Contains(p.Workspaces, w.Name))
}

func (p Phase) factor(t clock.Millis) float64 {
	if !p.contains(t) {
		return 1
	}
	edge := min(t-p.FromMilliseconds, p.UntilMilliseconds-t)
	if edge >= p.RampMilliseconds {
		return p.Factor
	}
	return 1 + (p.Factor-1)*float64(edge)/float64(p.RampMilliseconds)
}

func (g *generator) job(t clock.Millis, class *ClassPlan, w WorkspacePlan) *job {
	domain := g.pickDomain()
	prompt := g.length(float64(class.PromptTokens), class.Spread)
	lengthFactor := w.LengthFactor
	if lengthFactor == 0 {
		lengthFactor = 1
	}
	return &job{
		at:           t,
		domain:       domain,
		host:         g.random.IntN(g.deployment.Domains[domain].Hosts),
		class:        class,
		workspace:    w.Name,
		prompt:       prompt,
		prefix:       prefixOf(class.Name, w.Name),
		prefixTokens: int(float64(prompt) * class.PrefixShare),
		output:       g.length(float64(class.OutputTokens)*lengthFactor, class.Spread),
	}
}

// pickDomain picks a failure domain with probability proportional to its number
// of servers.
func (g *generator) pickDomain() int {
	at := g.random.IntN(g.servers)
	for i, d := range g.deployment.Domains {
		if at < d.Servers {
			return i
		}
		at -= d.Servers
	}
	return 0
}

// length draws a log-normal length in tokens with the given mean, at least 1.
// spread is the standard deviation of its logarithm.
func (g *generator) length(mean, spread float64) int {
	drawn := mean * math.Exp(g.random.NormFloat64()*spread-spread*spread/2)
	return max(1, int(math.Round(drawn)))
}

// prefixOf returns the prefix identifier of a class in a workspace: a 64-bit
// FNV-1a hash with the lowest bit set, so that it is never 0.
func prefixOf(class, workspace string) uint64 {
	hash := uint64(14695981039346656037)
	for _, b := range []byte(class + "/" + workspace) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return hash | 1
}

// withoutLong returns the jobs of classes that are not marked as long.
func withoutLong(jobs []*job) []*job {
	var kept []*job
	for _, j := range jobs {
		if !j.class.Long {
			kept = append(kept, j)
		}
	}
	return kept
}
