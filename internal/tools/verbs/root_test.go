package verbs

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"
)

// TestExitCodes calls the small verbs rightly and wrongly.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	file := func(name, text string) string {
		at := filepath.Join(c.TempDir(), name)
		c.Assert(os.WriteFile(at, []byte(text), 0o600), qt.IsNil)
		return at
	}
	good := file("good.hujson", `{"HostName": "host-7", /* away */ "Callers": {"OperatorAddress": "127.0.0.1:1"}}`)
	bad := file("bad.hujson", "{\n  \"Hostname\": 7,\n  \"LogLevel\": \"Loud\",\n}")
	for _, v := range []struct {
		args string
		code int
		want string
	}{
		{"", ExitDone, `(?s)Routes language-model.*`},
		{"none", ExitWrongUse, `(?s).*verb "none" does not exist.*`},
		{"completion", ExitWrongUse, `(?s).*verb "completion" does not exist.*`},
		{"help status", ExitDone, `(?s)Prints what a running host.*`},
		{"help none", ExitWrongUse, `(?s).*none.*`},
		{"version", ExitDone, `siskinsaddle \S+ go.*\n`},
		{"version now", ExitWrongUse, `(?s).*siskinsaddle version takes no argument "now".*`},
		{"settings", ExitWrongUse, `(?s).*settings needs one of its verbs.*`},
		{"settings check " + good, ExitDone, `.*good.hujson: no findings\n`},
		{"settings check " + bad, ExitFailed, `(?s).*bad.hujson:2:\d+: .*bad.hujson:3:\d+: LogLevel.*`},
		{"settings show --settings " + good, ExitDone, `(?s).*"HostName": "host-7",.*\(hidden\).*`},
		{"settings show --settings " + bad, ExitFailed, `(?s).*bad.hujson:2.*`},
		{"status --settings " + good, ExitFailed, `(?s).*host host-7: .*`},
		{"status --verbose", ExitWrongUse, `(?s).*unknown flag: --verbose.*`},
		{"serve --settings " + bad, ExitFailed, `(?s).*bad.hujson:3.*`},
		{"load --settings none.hujson", ExitFailed, `(?s).*none.hujson.*`},
	} {
		var out bytes.Buffer
		c.Check(Main(strings.Fields(v.args), &out, &out), qt.Equals, v.code, qt.Commentf("%s: %s", v.args, &out))
		c.Check(out.String(), qt.Matches, v.want, qt.Commentf("%s", v.args))
	}
}

// Every verb has an example that begins with its own name.
func TestUsage(t *testing.T) {
	c := qt.New(t)
	var look func(*cobra.Command)
	look = func(verb *cobra.Command) {
		c.Check(verb.Short, qt.Not(qt.Equals), "", qt.Commentf("%s", verb.CommandPath()))
		c.Check(strings.HasPrefix(strings.TrimSpace(verb.Example), verb.CommandPath()), qt.IsTrue, qt.Commentf("%s", verb.CommandPath()))
		for _, sub := range verb.Commands() {
			look(sub)
		}
	}
	look(newRoot())
}
