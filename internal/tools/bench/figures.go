package bench

import (
	"cmp"
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
)

// Figures are what one policy reached in one run.
type Figures struct {
	Policy  PolicyName
	Classes []ClassFigures
	// FirstToken95 and BetweenTokens95 are over all answered requests, in
	// milliseconds.
	FirstToken95    clock.Millis
	BetweenTokens95 clock.Millis
	// Goodput is answers within their targets a second, CrestGoodput that of
	// the arrivals in the crest's window.
	Goodput      float64
	CrestGoodput float64
	Waste        Waste
	Traffic      TrafficFigures
	// Short99 is the 99th percentile of the time to the first token over the
	// classes that are not long, All99 that over all; a request without an
	// answer counts with its longest wait.
	Short99 clock.Millis
	All99   clock.Millis
	// ShortWhole99 and AllWhole99 are the same for the time to the last token.
	ShortWhole99 clock.Millis
	AllWhole99   clock.Millis
	// Audit are the rules that the audit found broken, with the first case.
	Audit  []AuditFigures
	Series []Sample
}

// AuditFigures count the findings of one rule. Each group's audit stops after
// a hundred findings.
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
	// LongestGap is the longest time with waiting work and no service, and
	// FloorPeriod the longest that is allowed.
	LongestGap  clock.Millis
	FloorPeriod clock.Millis
	Refusals    []ReasonCount
}

// ReasonCount counts the requests that were refused, or broken after their
// first token, for one reason.
type ReasonCount struct {
	Ending ending
	Reason sched.Reason
	Count  int
}

// Waste is tokens that were made in vain, as shares of all tokens made.
type Waste struct {
	Made int
	// Late are those of whole answers that missed a target, Cut those of
	// requests without a whole answer, Twice those made again.
	Late  float64
	Cut   float64
	Twice float64
	Share float64
}

// TrafficFigures are messages between the system's hosts.
type TrafficFigures struct {
	MessagesPerRequest float64
	BytesPerRequest    float64
}

// Sample is one point of the curves over time.
type Sample struct {
	AtMilliseconds clock.Millis
	Arrived        int
	Waiting        int
	Attained       int
	UrgentArrived  int
	UrgentAttained int
}

// samplePeriod is the distance of the points of the curves.
const samplePeriod = 250 * clock.Millis(1)

func (w *world) figures(policy PolicyName) Figures {
	var measured []*request
	for _, r := range w.requests {
		if r.at >= w.scenario.WarmUpMilliseconds {
			measured = append(measured, r)
		}
	}
	f := Figures{Policy: policy, Waste: wasteOf(measured), Audit: w.auditFigures(), Series: w.series()}
	for i := range w.deployment.Classes {
		if c := w.classFigures(&w.deployment.Classes[i], measured); c.Arrived > 0 {
			f.Classes = append(f.Classes, c)
		}
	}
	f.fillTimes(measured)
	f.Goodput = rate(countAttained(measured), w.scenario.DurationMilliseconds-w.scenario.WarmUpMilliseconds)
	f.CrestGoodput = rate(countAttained(crestOf(measured, w.scenario.Crest)), w.scenario.Crest.length())
	if n := float64(len(w.requests)); n > 0 {
		f.Traffic.MessagesPerRequest = float64(w.traffic.Messages) / n
		f.Traffic.BytesPerRequest = float64(w.traffic.Bytes) / n
	}
	return f
}

func (w Window) length() clock.Millis { return w.UntilMilliseconds - w.FromMilliseconds }

func rate(count int, over clock.Millis) float64 {
	if over <= 0 {
		return 0
	}
	return float64(count) * float64(clock.Second) / float64(over)
}

func crestOf(all []*request, crest Window) []*request {
	var found []*request
	for _, r := range all {
		if crest.holds(r.at) {
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

func (f *Figures) fillTimes(measured []*request) {
	var answered, between, all, short, allWhole, shortWhole []clock.Millis
	for _, r := range measured {
		first, whole := r.giveUp()-r.at, r.giveUp()-r.at
		if r.ended == endingAnswered {
			first, whole = r.firstToken(), r.last-r.at
			answered = append(answered, first)
			between = append(between, r.gaps...)
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

func (w *world) classFigures(class *ClassPlan, measured []*request) ClassFigures {
	f := ClassFigures{Class: class.Name, Tier: class.Tier, FloorPeriod: class.FloorPeriodMilliseconds}
	var own []*request
	for _, r := range measured {
		if r.class == class {
			own = append(own, r)
		}
	}
	crest := crestOf(own, w.scenario.Crest)
	f.Arrived, f.CrestArrived = len(own), len(crest)
	f.Attainment = share(countAttained(own), len(own))
	f.CrestAttainment = share(countAttained(crest), len(crest))
	f.Goodput = rate(countAttained(own), w.scenario.DurationMilliseconds-w.scenario.WarmUpMilliseconds)
	f.LongestGap = w.gaps.longest(class.Name)
	f.fillClass(own)
	return f
}

func (f *ClassFigures) fillClass(own []*request) {
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

func (w *world) auditFigures() []AuditFigures {
	var all []AuditFigures
	for _, one := range w.audits {
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
	var made, late, cut, twice int
	for _, r := range measured {
		made += r.made
		switch {
		case r.ended != endingAnswered:
			cut += r.made
		case !r.attained():
			late += r.output
			twice += r.made - r.output
		default:
			twice += r.made - r.output
		}
	}
	return Waste{
		Made:  made,
		Late:  share(late, made),
		Cut:   share(cut, made),
		Twice: share(twice, made),
		Share: share(late+cut+twice, made),
	}
}

// percentile returns the smallest value that is at least as large as the given
// share of all.
func percentile[T clock.Millis | float64](values []T, part float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	at := int(math.Ceil(part*float64(len(sorted)))) - 1
	return sorted[max(at, 0)]
}

func (w *world) series() []Sample {
	count := int(w.scenario.DurationMilliseconds/samplePeriod) + 1
	all := make([]Sample, count)
	for i := range all {
		all[i].AtMilliseconds = clock.Millis(i) * samplePeriod
	}
	for _, r := range w.requests {
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

// countWaiting adds the request to each sample at which it waited for its
// first token.
func (r *request) countWaiting(all []Sample) {
	until := r.endedAt
	if r.got > 0 {
		until = r.first
	}
	from := int((r.at + samplePeriod - 1) / samplePeriod)
	for i := from; i < len(all) && all[i].AtMilliseconds < until; i++ {
		all[i].Waiting++
	}
}
