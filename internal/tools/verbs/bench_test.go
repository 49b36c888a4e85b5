package verbs

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Checks the exit code and output of both verbs: one policy measured and compared
// with its own report, and calls with wrong arguments.
func TestBenchAndStandinVerbs(t *testing.T) {
	c := qt.New(t)
	const scenario = "../../../bench/kestrel-steady.hujson"
	folder := c.TempDir()
	report := filepath.Join(folder, "report.json")
	for _, v := range []struct {
		args string
		code int
		want string
	}{
		{"bench --quiet --policy Naive --json " + report + " " + scenario, ExitOK, `(?s).*Naive.*FirstToken95.*`},
		{"bench --quiet --policy Naive --compare " + report + " --plot " + folder + " " + scenario, ExitOK, `(?s).*before +after +change\n\n`},
		{"bench --quiet --policy Best " + scenario, ExitUsage, `(?s).*policy "Best" does not exist.*`},
		{"bench", ExitUsage, `(?s).*requires at least 1 arg.*`},
		{"bench --quiet nothing.hujson", ExitFailed, `(?s).*nothing.hujson.*`},
		{"standin --deployment None", ExitUsage, `(?s).*deployment "None" does not exist.*`},
		{"standin --settings nothing.hujson", ExitFailed, `(?s).*nothing.hujson.*`},
	} {
		var out bytes.Buffer
		c.Check(Main(strings.Fields(v.args), &out, &out), qt.Equals, v.code, qt.Commentf("%s: %s", v.args, &out))
		c.Check(out.String(), qt.Matches, v.want, qt.Commentf("%s", v.args))
	}
	plots, err := filepath.Glob(filepath.Join(folder, "kestrel-steady-*.svg"))
	c.Assert(err, qt.IsNil)
	c.Assert(plots, qt.HasLen, 3)
}
