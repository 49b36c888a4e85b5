package meter_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/meter"
)

// docs/OPERATIONS.md must contain the generated table. If it differs, paste the
// table that the test prints.
func TestOperationsPageHasCurrentTable(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	if !strings.Contains(string(page), meter.Table()) {
		t.Fatalf("docs/OPERATIONS.md lacks the table:\n%s", meter.Table())
	}
}

func TestEachMetricIsListedOnce(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, m := range meter.Metrics {
		c.Assert(seen[m.Name], qt.IsFalse, qt.Commentf("%s", m.Name))
		seen[m.Name] = true
		c.Assert(m.Meaning == "" || m.Unit == "" || m.Kind == "", qt.IsFalse)
	}
}

// A label with unbounded values must not create a histogram for each: beyond 96,
// new label sets share one histogram.
func TestNumberOfHistogramsIsBounded(t *testing.T) {
	c := qt.New(t)
	set := count.NewSet()
	for i := range 1_000 {
		set.Observe(meter.FirstEvent, int64(i), meter.Label("route", strings.Repeat("r", i+1)))
	}
	var out strings.Builder
	c.Assert(set.WritePrometheus(&out), qt.IsNil)
	c.Assert(strings.Count(out.String(), meter.FirstEvent+"_count") <= 97, qt.IsTrue)
	c.Assert(set.Observations(meter.FirstEvent), qt.Equals, int64(1_000-96))
}
