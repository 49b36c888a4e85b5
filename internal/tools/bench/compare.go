package bench

import "io"

// WriteComparison writes the figures that changed since an earlier report of the
// same scenario, or a line saying that there is none.
func (r Report) WriteComparison(w io.Writer, earlier Reports) error {
	t := newRows(w)
	before, ok := earlier.find(r.Scenario)
	if !ok {
		t.add("\nscenario %s is not in the earlier report", r.Scenario)
		return t.flush()
	}
	if before.Seed != r.Seed || before.Requests != r.Requests {
		t.add("\nthe earlier report used different requests: seed %d, %d requests", before.Seed, before.Requests)
	}
	t.add("\npolicy\tmeasure\tbefore\tafter\tchange")
	for _, f := range r.Policies {
		for _, old := range before.Policies {
			if old.Policy == f.Policy {
				compareFigures(t, old, f)
			}
		}
	}
	compareTargets(t, before.Targets, r.Targets)
	return t.flush()
}

func (r Reports) find(scenario string) (Report, bool) {
	for _, one := range r.Reports {
		if one.Scenario == scenario {
			return one, true
		}
	}
	return Report{}, false
}

// comparedFigures are the per-policy figures that are compared; the figures of
// classes are compared separately.
var comparedFigures = []struct {
	name  string
	value func(f Figures) float64
}{
	{"Goodput", func(f Figures) float64 { return f.Goodput }},
	{"CrestGoodput", func(f Figures) float64 { return f.CrestGoodput }},
	{"Waste", func(f Figures) float64 { return f.Waste.Share }},
	{"FirstToken95", func(f Figures) float64 { return float64(f.FirstToken95) }},
	{"BetweenTokens95", func(f Figures) float64 { return float64(f.BetweenTokens95) }},
	{"Short99", func(f Figures) float64 { return float64(f.Short99) }},
	{"All99", func(f Figures) float64 { return float64(f.All99) }},
	{"MessagesPerRequest", func(f Figures) float64 { return f.Traffic.MessagesPerRequest }},
	{"BytesPerRequest", func(f Figures) float64 { return f.Traffic.BytesPerRequest }},
}

func compareFigures(t *rows, before, after Figures) {
	for _, c := range comparedFigures {
		addChange(t, string(after.Policy), c.name, c.value(before), c.value(after))
	}
	for _, c := range after.Classes {
		for _, old := range before.Classes {
			if old.Class != c.Class {
				continue
			}
			addChange(t, string(after.Policy), "Attainment "+c.Class, old.Attainment, c.Attainment)
			addChange(t, string(after.Policy), "CrestAttainment "+c.Class, old.CrestAttainment, c.CrestAttainment)
		}
	}
}

// addChange adds a row if the value changed.
func addChange(t *rows, policy, name string, before, after float64) {
	if before != after {
		t.add("%s\t%s\t%.4g\t%.4g\t%+.4g", policy, name, before, after, after-before)
	}
}

func compareTargets(t *rows, before, after []Judgement) {
	for _, j := range after {
		for _, old := range before {
			if old.Target == j.Target && (old.Measured != j.Measured || old.Verdict != j.Verdict) {
				t.add("target\t%s\t%.4g %s\t%.4g %s\t%+.4g", j.Target,
					old.Measured, old.Verdict, j.Measured, j.Verdict, j.Measured-old.Measured)
			}
		}
	}
}
