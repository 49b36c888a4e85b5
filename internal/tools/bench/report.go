package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Report is the result of one scenario.
type Report struct {
	Scenario string
	Describe string
	Seed     int64
	Requests int
	Bound    Bound
	Policies []Figures
	// Without holds the figures of the second run, without the faults or long
	// requests that the scenario excludes.
	Without []Figures
	Targets []Judgement
}

// find returns a policy's figures, nil if it did not run.
func (r Report) find(name PolicyName) *Figures {
	for i := range r.Policies {
		if r.Policies[i].Policy == name {
			return &r.Policies[i]
		}
	}
	return nil
}

// Bound is the upper bound on goodput in the peak window, or over the whole run
// if the scenario has none, in responses within target per second.
// TieredCrestGoodput is the bound for a policy that fills tiers in order.
type Bound struct {
	CrestGoodput       float64
	TieredCrestGoodput float64
}

// Reports holds the reports of one invocation.
type Reports struct {
	Reports []Report
}

// WriteJSON writes the reports as JSON.
func (r Reports) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// ReadReports reads a file that WriteJSON wrote.
func ReadReports(file string) (Reports, error) {
	var r Reports
	text, err := os.ReadFile(file)
	if err != nil {
		return r, errors.Wrap(err, "read the earlier report")
	}
	return r, errors.Wrapf(json.Unmarshal(text, &r), "report %s", file)
}

// rows writes aligned columns and keeps the first error.
type rows struct {
	to  *tabwriter.Writer
	err error
}

func newRows(w io.Writer) *rows { return &rows{to: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)} }

func (t *rows) add(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.to, format+"\n", args...)
	}
}

func (t *rows) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.to.Flush()
}

// WriteTable writes the report as text.
func (r Report) WriteTable(w io.Writer) error {
	t := newRows(w)
	t.add("%s: %s (seed %d, %d requests)", r.Scenario, r.Describe, r.Seed, r.Requests)
	t.add("upper bound on goodput: %.1f/s, with tiers in order %.1f/s\n", r.Bound.CrestGoodput, r.Bound.TieredCrestGoodput)
	t.add("policy\tgoodput/s\tcrest/s\twaste\tfirst95 ms\tbetween95 ms\tshort99 ms\tall99 ms\tmessages\tbytes")
	for _, f := range r.Policies {
		f.addRow(t, "")
	}
	for _, f := range r.Without {
		f.addRow(t, " (without)")
	}
	t.add("\npolicy\tclass\ttier\tarrived\tattained\tcrest\tfirst50\tfirst95\tfirst99\tbetween95\tgap ms\tfloor ms\tunanswered")
	for _, f := range r.Policies {
		for _, c := range f.Classes {
			c.addRow(t, f.Policy)
		}
	}
	for _, f := range r.Policies {
		for _, a := range f.Audit {
			t.add("audit of %s: rule %s violated %d times, first: %s", f.Policy, a.Rule, a.Count, a.First)
		}
	}
	t.add("\ntarget\tmeasured\tbound\tverdict\tnote")
	for _, j := range r.Targets {
		t.add("%s\t%.3f\t%s %.3g\t%s\t%s", j.Target, j.Measured, j.sign(), j.Bound, j.Verdict, j.Note)
	}
	return t.flush()
}

func (f Figures) addRow(t *rows, note string) {
	t.add("%s%s\t%.1f\t%.1f\t%.4f\t%d\t%d\t%d\t%d\t%.2f\t%.0f", f.Policy, note, f.Goodput, f.CrestGoodput, f.Waste.Share,
		f.FirstToken95, f.BetweenTokens95, f.Short99, f.All99, f.Traffic.MessagesPerRequest, f.Traffic.BytesPerRequest)
}

func (f ClassFigures) addRow(t *rows, policy PolicyName) {
	t.add("%s\t%s\t%d\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%.1f\t%d\t%d\t%s", policy, f.Class, f.Tier, f.Arrived, f.Attainment,
		f.CrestAttainment, f.FirstToken50, f.FirstToken95, f.FirstToken99, f.BetweenTokens95, f.LongestGap, f.FloorPeriod, f.endings())
}

func (j Judgement) sign() string {
	if j.AtLeast {
		return ">="
	}
	return "<="
}

func (f ClassFigures) endings() string {
	var parts []string
	for _, r := range f.Refusals {
		parts = append(parts, fmt.Sprintf("%s %s %d", r.Ending, r.Reason, r.Count))
	}
	return strings.Join(parts, ", ")
}
