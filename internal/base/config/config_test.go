package config_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/config"
)

var update = flag.Bool("update", false, "rewrite the .want files of the cases")

// Parses each cases/NAME.hujson and compares the findings with NAME.want.
func TestParseCases(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("cases/*.hujson")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		text, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		got := "no findings"
		if _, list := config.Parse(filepath.Base(file), text); !list.Empty() {
			got = list.Err().Error()
		}
		want := strings.TrimSuffix(file, ".hujson") + ".want"
		if *update {
			c.Assert(os.WriteFile(want, []byte(got+"\n"), 0o644), qt.IsNil)
		}
		expected, err := os.ReadFile(want)
		c.Assert(err, qt.IsNil)
		c.Check(got+"\n", qt.Equals, string(expected), qt.Commentf("%s", file))
	}
}

// Parsing the output of Show yields the same settings, except for the secrets,
// which Show must not print.
func TestShowRoundTripsWithoutSecrets(t *testing.T) {
	c := qt.New(t)
	s := config.Default()
	s.HostName = "host-9"
	s.Platform.SecretKey = "not to be seen"
	var b strings.Builder
	c.Assert(config.Show(&b, s), qt.IsNil)
	c.Assert(b.String(), qt.Not(qt.Contains), "not to be seen")
	again, list := config.Parse("shown", []byte(b.String()))
	c.Assert(list.Err(), qt.IsNil)
	s.Platform.SecretKey = config.Default().Platform.SecretKey
	c.Assert(again, qt.Equals, s)
}
