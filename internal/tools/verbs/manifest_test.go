package verbs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/share/mfest"
)

// Runs the manifest verbs in sequence against the platform's stand-in, with no host
// registered.
func TestManifestVerbs(t *testing.T) {
	c := qt.New(t)
	platform := &cloud.Cloud{}
	c.Assert(platform.Start(), qt.IsNil)
	c.Cleanup(func() { platform.Stop() })
	dir := c.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	endpoint := "http://" + platform.Address()
	settings := file("host.hujson", fmt.Sprintf(
		`{"Platform": {"TableEndpoint": %q, "ObjectEndpoint": %q, "AccessKey": "a", "SecretKey": "b"}}`, endpoint, endpoint))
	text := string(mfest.DefaultText())
	good := file("good.hujson", text)
	other := file("other.hujson", strings.Replace(text, `"Tier": 3`, `"Tier": 4`, 1))
	bad := file("bad.hujson", strings.Replace(text, `"Tier": 3`, `"Tier": 0`, 1))

	for i, v := range []struct {
		args string
		code int
		want string
	}{
		{"check " + good, ExitOK, `(?s).*no findings; 1 failure domains, 2 services.*`},
		{"check " + bad, ExitFailed, `(?s).*bad.hujson:\d+:\d+: Classes\[2\].Tier: tier 0 is not within 1 to 9.*`},
		{"check", ExitUsage, `(?s).*accepts 1 arg.*`},
		{"show", ExitOK, `in force: generation 0\n`},
		{"push --wait " + good, ExitOK, `(?s)Accepted: generation 1 is accepted\nprairie-a: no host is registered\n`},
		{"push " + good, ExitOK, `Accepted: generation 1 has the same content and is accepted\n`},
		{"push " + other, ExitFailed, `(?s)NotAccepted: generation 1 is in force, and the file was built on 0.*~ Classes\[draft\].Tier: 3 -> 4.*`},
		{"push --base 1 --leave-behind none " + other, ExitUsage, `(?s).*"none" does not exist.*`},
		{"push --base 1 --by pipeline " + other, ExitOK, `Accepted: generation 2 is accepted\n`},
		{"show", ExitOK, `(?s)in force: generation 2\nlast push: generation 2 Accepted, .* by pipeline, .*prairie-a: generation 0.*`},
		{"show --json", ExitOK, `(?s).*"State": "Accepted".*`},
		{"show --body 1", ExitOK, `(?s)\{\n  "Base": 2,.*"Tier": 3.*`},
		{"history", ExitOK, `generation 1 Accepted.*\ngeneration 2 Accepted.*\n`},
		{"diff 1 current", ExitOK, `  ~ Classes\[draft\].Tier: 3 -> 4\n`},
		{"diff current " + good, ExitOK, `  ~ Classes\[draft\].Tier: 4 -> 3\n`},
		{"diff 1 9", ExitFailed, `(?s).*generation 9 is not in the history.*`},
		{"odd", ExitUsage, `(?s).*verb "odd" does not exist.*`},
	} {
		code, out := execute(append([]string{"manifest", "--settings", settings}, strings.Fields(v.args)...))
		c.Check(code, qt.Equals, v.code, qt.Commentf("%d %s: %s", i, v.args, out))
		c.Check(regexp.MustCompile("^"+v.want+"$").MatchString(out), qt.IsTrue, qt.Commentf("%d %s: %s", i, v.args, out))
	}
	platform.Stop()
	code, out := execute([]string{"manifest", "push", "--settings", settings, good})
	c.Assert(code, qt.Equals, ExitFailed)
	c.Assert(out, qt.Matches, `(?s)NotAccepted: the platform can not be reached.*nothing was written.*`)
}

// execute runs the command line and returns the exit code and the output, followed
// by the text of the error, if any.
func execute(args []string) (int, string) {
	var out bytes.Buffer
	root := newRoot()
	if found, _, _ := root.Find([]string{"manifest"}); found == root {
		root.AddCommand(NewManifest())
	}
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.Execute()
	switch {
	case err == nil:
		return ExitOK, out.String()
	case errors.Is(err, errUsage):
		return ExitUsage, out.String() + err.Error()
	default:
		return ExitFailed, out.String() + err.Error()
	}
}
