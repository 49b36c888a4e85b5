package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseReadsDecimalRates(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		text string
		rate float64
		ok   bool
	}{
		{"", 0, true},
		{" 1.5 ", 1.5, true},
		{"12", 12, true},
		{"0", minRate, true},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"many", 0, false},
	}
	for _, k := range cases {
		rate, ok := Parse(k.text)
		c.Check(rate, qt.Equals, k.rate, qt.Commentf("%q", k.text))
		c.Check(ok, qt.Equals, k.ok, qt.Commentf("%q", k.text))
	}
}

func TestOnlyLaterRequestLiftsALimit(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	named := Statement{Service: "llm", Server: "i-1", Born: 7, Rate: 2}
	c.Assert(table.Observe(100, named, 90), qt.IsTrue)
	c.Assert(table.Observe(110, named, 105), qt.IsFalse)
	lifted := named
	lifted.Rate = 0
	c.Assert(table.Observe(120, lifted, 95), qt.IsFalse)
	c.Assert(table.Rate("llm", "i-1"), qt.Equals, 2.0)
	c.Assert(table.Observe(130, lifted, 111), qt.IsTrue)
	c.Assert(table.Limited("llm"), qt.IsFalse)
}

func TestLimitEndsWithItsServer(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Observe(100, Statement{Service: "llm", Server: "i-1", Born: 7, Rate: 2}, 90)
	table.Retain(func(server string, born int64) bool { return server == "i-1" && born == 8 })
	c.Assert(table.Count(), qt.Equals, 0)
}
