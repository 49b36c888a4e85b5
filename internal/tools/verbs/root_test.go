package verbs

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/fakes/hangup"
)

// Checks the exit code and output of the smaller verbs, with right and wrong
// arguments.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	file := func(name, text string) string {
		path := filepath.Join(c.TempDir(), name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	good := file("good.hujson", `{"HostName": "host-7", /* away */ "Callers": {"OperatorAddress": "127.0.0.1:1"}}`)
	bad := file("bad.hujson", "{\n  \"Hostname\": 7,\n  \"LogLevel\": \"Loud\",\n}")
	for _, v := range []struct {
		args string
		code int
		want string
	}{
		{"", ExitOK, `(?s)Routes language-model.*`},
		{"none", ExitUsage, `(?s).*verb "none" does not exist.*`},
		{"completion", ExitUsage, `(?s).*verb "completion" does not exist.*`},
		{"help status", ExitOK, `(?s)Prints the status of a running host.*`},
		{"help none", ExitUsage, `(?s).*none.*`},
		{"version", ExitOK, `siskinsaddle \S+ go.*\n`},
		{"version now", ExitUsage, `(?s).*siskinsaddle version takes no argument "now".*`},
		{"settings", ExitUsage, `(?s).*settings requires a verb.*`},
		{"settings check " + good, ExitOK, `.*good.hujson: no findings\n`},
		{"settings check " + bad, ExitFailed, `(?s).*bad.hujson:2:\d+: .*bad.hujson:3:\d+: LogLevel.*`},
		{"settings show --settings " + good, ExitOK, `(?s).*"HostName": "host-7",.*\(hidden\).*`},
		{"settings show --settings " + bad, ExitFailed, `(?s).*bad.hujson:2.*`},
		{"status --settings " + good, ExitFailed, `(?s).*host host-7: .*`},
		{"status --verbose", ExitUsage, `(?s).*unknown flag: --verbose.*`},
		{"serve --settings " + bad, ExitFailed, `(?s).*bad.hujson:3.*`},
		{"load --settings none.hujson", ExitFailed, `(?s).*none.hujson.*`},
	} {
		var out bytes.Buffer
		c.Check(Main(strings.Fields(v.args), &out, &out), qt.Equals, v.code, qt.Commentf("%s: %s", v.args, &out))
		c.Check(out.String(), qt.Matches, v.want, qt.Commentf("%s", v.args))
	}
}

// Every verb has a short description and an example that begins with its own name.
func TestEveryVerbHasUsageExample(t *testing.T) {
	c := qt.New(t)
	var visit func(*cobra.Command)
	visit = func(verb *cobra.Command) {
		c.Check(verb.Short, qt.Not(qt.Equals), "", qt.Commentf("%s", verb.CommandPath()))
		c.Check(strings.HasPrefix(strings.TrimSpace(verb.Example), verb.CommandPath()), qt.IsTrue, qt.Commentf("%s", verb.CommandPath()))
		for _, sub := range verb.Commands() {
			visit(sub)
		}
	}
	visit(newRoot())
}

func TestStatusOfBrokenResponseIsAnError(t *testing.T) {
	c := qt.New(t)
	s := &hangup.Server{}
	c.Assert(s.Start(), qt.IsNil)
	defer s.Stop()
	s.SetResponse(strings.Replace(hangup.Response, " 200 ", " 000 ", 1))
	settings := config.Default()
	settings.Callers.OperatorAddress = s.Address()
	var out strings.Builder
	command := newStatus()
	command.SetOut(&out)
	c.Assert(status(command, settings, false), qt.IsNotNil)
	c.Assert(out.String(), qt.Equals, "")
}
