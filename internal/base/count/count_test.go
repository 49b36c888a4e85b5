package count_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/count"
)

// Each combination of labels has its own counter, and each family one TYPE line.
func TestWritePrometheus(t *testing.T) {
	c := qt.New(t)
	s := count.NewSet()
	s.Add("refused_total", 2, count.Label{Key: "reason", Value: "Shed"}, count.Label{Key: "class", Value: `a"b`})
	s.Add("refused_total", 1, count.Label{Key: "reason", Value: "NoKey"}, count.Label{Key: "class", Value: ""})
	s.Add("refused_total", 3, count.Label{Key: "reason", Value: "NoKey"}, count.Label{Key: "class", Value: ""})
	s.Set("open", 7)
	s.Set("open", 5)
	var b strings.Builder
	c.Assert(s.WritePrometheus(&b), qt.IsNil)
	c.Assert(b.String(), qt.Equals, `# TYPE open gauge
open 5
# TYPE refused_total counter
refused_total{reason="NoKey",class=""} 4
refused_total{reason="Shed",class="a\"b"} 2
`)
	c.Assert(s.Gauge("open"), qt.Equals, int64(5))
	c.Assert(s.Count("open"), qt.Equals, int64(0))
}
