// Package pages_test checks that docs/OPERATIONS.md mentions every refusal reason,
// counter and log prefix of the code.
package pages_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/serve/refuse"
)

const repoRoot = "../../.."

var (
	counterName = regexp.MustCompile(`"(siskinsaddle_[a-z_]+)"`)
	logPrefix   = regexp.MustCompile(`WithPrefix\("([a-z]+)"`)
	// loopPrefix finds the prefixes that hostd passes to runLoop.
	loopPrefix = regexp.MustCompile(`h\.runLoop\((?:background, |ctx, )?"([a-z]+)"`)
)

// sources returns the concatenated text of all Go files under internal that are not
// tests.
func sources(c *qt.C) string {
	var all strings.Builder
	err := filepath.WalkDir(filepath.Join(repoRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	c.Assert(err, qt.IsNil)
	return all.String()
}

func TestOperationsPageCoversReasonsCountersAndLogPrefixes(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(filepath.Join(repoRoot, "docs/OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	page := string(text)
	code := sources(c)
	for _, reason := range refuse.Reasons() {
		c.Check(page, qt.Contains, "`"+string(reason)+"`")
	}
	counters := counterName.FindAllStringSubmatch(code, -1)
	c.Assert(len(counters) > 10, qt.IsTrue)
	for _, m := range counters {
		c.Check(page, qt.Contains, "`"+m[1]+"`")
	}
	prefixes := logPrefix.FindAllStringSubmatch(code, -1)
	c.Assert(prefixes, qt.Not(qt.HasLen), 0, qt.Commentf("WithPrefix"))
	loops := loopPrefix.FindAllStringSubmatch(code, -1)
	c.Assert(loops, qt.Not(qt.HasLen), 0, qt.Commentf("runLoop"))
	prefixes = append(prefixes, loops...)
	c.Assert(len(prefixes) > 5, qt.IsTrue)
	for _, m := range prefixes {
		c.Check(page, qt.Contains, "`"+m[1]+"`", qt.Commentf("log prefix"))
	}
}
