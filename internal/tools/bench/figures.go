package bench

import (
	"cmp"
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
)

// Figures are the measurements of one policy in one run.
type Figures struct {
	Policy  PolicyName
	Classes []ClassFigures
	// FirstToken95 and BetweenTokens95 are 95th percentiles over all answered
	// requests, in milliseconds.
	FirstToken95    clock.Millis
	BetweenTokens95 clock.Millis
	// Goodput is the number of responses within target per second,
	// CrestGoodput the same for arrivals in the peak window.
	Goodput      float64
	CrestGoodput float64
	Waste        Waste
	Traffic      TrafficFigures
	// Short99 is the 99th percentile of the time to the first token over the
	// classes that are not marked Long, All99 over all classes. A request
	// without a response counts with its maximum wait.
	Short99 clock.Millis
	All99   clock.Millis
	// ShortWhole99 and AllWhole99 are the same percentiles of the time to the
	// last token.
	ShortWhole99 clock.Millis
	AllWhole99   clock.Millis
	// Audit lists the violated rules of the audit, with the first finding of
	// each.
	Audit  []AuditFigures
	Series []Sample
}

// AuditFigures counts the findings of one audit rule. The auditor of a group
// stops after a hundred findings.
type AuditFigures struct {
	Rule  audit.Rule
	Count int
	First string
}

// ClassFigures are the figures of one class.
type ClassFigures struct {
	Class           string
	Tier            int
	Arrived         int
	Attainment      float64
	CrestArrived    int
	CrestAttainment float64
	Goodput         float64
	FirstToken50    clock.Millis
	FirstToken95    clock.Millis
	FirstToken99    clock.Millis
	BetweenTokens95 float64
	// LongestGap is the longest time during which requests of the class waited
	// and none was served. FloorPeriod is its limit.
	LongestGap  clock.Millis
	FloorPeriod clock.Millis
	Refusals    []ReasonCount
}

// ReasonCount counts the requests that were refused, or broken off after their
// first token, for one reason.
type ReasonCount struct {
	Ending ending
	Reason sched.Reason
	Count  int
}

// Waste is the work on tokens that served no response within target, as shares
// of all tokens generated.
type Waste struct {
	Made int
	// Late is the share of tokens of complete responses that missed a target,
	// Cut that of requests without a complete response, Twice that of tokens
	// generated again. Share is the sum of the three.
	Late  float64
	Cut   float64
	Twice float64
	Share float64
}

// TrafficFigures measure the messages between entry hosts, per request.
type TrafficFigures struct {
	MessagesPerRequest float64
	BytesPerRequest    float64
}

// Sample is one point of the plotted time series. Urgent requests are those of
// tier 1.
type Sample struct {
	AtMilliseconds clock.Millis
	Arrived        int
	Waiting        int
	Attained       int
	UrgentArrived  int
	UrgentAttained int
}

// samplePeriod is the interval between samples.
const samplePeriod = 250 * clock.Millis(1)

func (sm *simulation) figures(policy PolicyName) Figures {
	var measured []*request
	for _, r := range sm.requests {
		if r.at >= sm.scenario.WarmUpMilliseconds {
			measured = append(measured, r)
		}
	}
	f := Figures{
		Policy: policy, Waste: wasteOf(measured), Audit: sm.auditFigures(), Series: sm.series(),
	}
	for i := range sm.deployment.Classes {
		if c := sm.classFigures(&sm.deployment.Classes[i], measured); c.Arrived > 0 {
			f.Classes = append(f.Classes, c)
		}
	}
	f.fillLatencies(measured)
	f.Goodput = rate(countAttained(measured), sm.scenario.DurationMilliseconds-sm.scenario.WarmUpMilliseconds)
	f.CrestGoodput = rate(countAttained(arrivedWithin(measured, sm.scenario.Crest)), sm.scenario.Crest.length())
	if n := float64(len(sm.requests)); n > 0 {
		f.Traffic.MessagesPerRequest = float64(sm.traffic.Messages) / n
		f.Traffic.BytesPerRequest = float64(sm.traffic.Bytes) / n
	}
	return f
}

func (w Window) length() clock.Millis { return w.UntilMilliseconds - w.FromMilliseconds }

func rate(count int, period clock.Millis) float64 {
	if period <= 0 {
		return 0
	}
	return float64(count) * float64(clock.Second) / float64(period)
}

func arrivedWithin(all []*request, window Window) []*request {
	var found []*request
	for _, r := range all {
		if window.contains(r.at) {
			found = append(found, r)
		}
	}
	return found
}

func countAttained(all []*request) int {
	count := 0
	for _, r := range all {
		if r.attained() {
			count++
		}
	}
	return count
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (f *Figures) fillLatencies(measured []*request) {
	var answered, between, all, short, allWhole, shortWhole []clock.Millis
	for _, r := range measured {
		first, whole := r.waitDeadline()-r.at, r.waitDeadline()-r.at
		if r.ended == endingAnswered {
			first, whole = r.firstToken(), r.last-r.at
			answered = append(answered, first)
			between = append(between, r.tokenIntervals...)
		}
		all = append(all, first)
		allWhole = append(allWhole, whole)
		if !r.class.Long {
			short = append(short, first)
			shortWhole = append(shortWhole, whole)
		}
	}
	f.FirstToken95 = percentile(answered, 0.95)
	f.BetweenTokens95 = percentile(between, 0.95)
	f.All99 = percentile(all, 0.99)
	f.Short99 = percentile(short, 0.99)
	f.AllWhole99 = percentile(allWhole, 0.99)
	f.ShortWhole99 = percentile(shortWhole, 0.99)
}

func (sm *simulation) classFigures(class *ClassPlan, measured []*request) ClassFigures {
	f := ClassFigures{Class: class.Name, Tier: class.Tier, FloorPeriod: class.FloorPeriodMilliseconds}
	var own []*request
	for _, r := range measured {
		if r.class == class {
			own = append(own, r)
		}
	}
	peak := arrivedWithin(own, sm.scenario.Crest)
	f.Arrived, f.CrestArrived = len(own), len(peak)
	f.Attainment = share(countAttained(own), len(own))
	f.CrestAttainment = share(countAttained(peak), len(peak))
	f.Goodput = rate(countAttained(own), sm.scenario.DurationMilliseconds-sm.scenario.WarmUpMilliseconds)
	f.LongestGap = sm.gapTracker.longest(class.Name)
	f.summarize(own)
	return f
}

func (f *ClassFigures) summarize(own []*request) {
	var first []clock.Millis
	var between []float64
	ends := map[ReasonCount]int{}
	for _, r := range own {
		if r.ended != endingAnswered {
			ends[ReasonCount{Ending: r.ended, Reason: r.reason}]++
			continue
		}
		first = append(first, r.firstToken())
		between = append(between, r.betweenTokens())
	}
	f.FirstToken50 = percentile(first, 0.50)
	f.FirstToken95 = percentile(first, 0.95)
	f.FirstToken99 = percentile(first, 0.99)
	f.BetweenTokens95 = percentile(between, 0.95)
	for r, count := range ends {
		r.Count = count
		f.Refusals = append(f.Refusals, r)
	}
	slices.SortFunc(f.Refusals, func(a, b ReasonCount) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Ending, b.Ending))
	})
}

func (sm *simulation) auditFigures() []AuditFigures {
	var all []AuditFigures
	for _, one := range sm.auditors {
		for _, f := range one.Findings() {
			at := slices.IndexFunc(all, func(a AuditFigures) bool { return a.Rule == f.Rule })
			if at < 0 {
				all = append(all, AuditFigures{Rule: f.Rule, First: f.String()})
				at = len(all) - 1
			}
			all[at].Count++
		}
	}
	slices.SortFunc(all, func(a, b AuditFigures) int { return cmp.Compare(a.Rule, b.Rule) })
	return all
}

func wasteOf(measured []*request) Waste {
	var generated, late, cut, twice int
	for _, r := range measured {
		generated += r.generated
		switch {
		case r.ended != endingAnswered:
			cut += r.generated
		case !r.attained():
			late += r.output
			twice += r.generated - r.output
		default:
			twice += r.generated - r.output
		}
	}
	return Waste{
		Made:  generated,
		Late:  share(late, generated),
		Cut:   share(cut, generated),
		Twice: share(twice, generated),
		Share: share(late+cut+twice, generated),
	}
}

// percentile returns the smallest value that is at least as large as the given
// fraction of all values (nearest rank), 0 if there are none.
func percentile[T clock.Millis | float64](values []T, fraction float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	at := int(math.Ceil(fraction*float64(len(sorted)))) - 1
	return sorted[max(at, 0)]
}

func (sm *simulation) series() []Sample {
	count := int(sm.scenario.DurationMilliseconds/samplePeriod) + 1
	all := make([]Sample, count)
	for i := range all {
		all[i].AtMilliseconds = clock.Millis(i) * samplePeriod
	}
	for _, r := range sm.requests {
		s := &all[r.at/samplePeriod]
		s.Arrived++
		urgent := r.class.Tier == 1
		if urgent {
			s.UrgentArrived++
		}
		if r.attained() {
			s.Attained++
			if urgent {
				s.UrgentAttained++
			}
		}
		r.countWaiting(all)
	}
	return all
}

// countWaiting adds the request to every sample taken while it waited for its
// first token.
func (r *request) countWaiting(all []Sample) {
	until := r.endedAt
	if r.received > 0 {
		until = r.first
	}
	from := int((r.at + samplePeriod - 1) / samplePeriod)
	for i := from; i < len(all) && all[i].AtMilliseconds < until; i++ {
		all[i].Waiting++
	}
}
