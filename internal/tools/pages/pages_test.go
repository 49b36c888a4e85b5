// Package pages_test checks that the pages for operators name everything that
// the code can show them.
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

const root = "../../.."

var (
	counterName = regexp.MustCompile(`"(siskinsaddle_[a-z_]+)"`)
	logPrefix   = regexp.MustCompile(`(?:WithPrefix|h\.loop)\((?:background, |ctx, )?"([a-z]+)"`)
)

// sources returns the text of all Go files that are not tests.
func sources(c *qt.C) string {
	var all strings.Builder
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, _ fs.DirEntry, err error) error {
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

func TestOperationsNamesEverything(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
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
	c.Assert(len(prefixes) > 5, qt.IsTrue)
	for _, m := range prefixes {
		c.Check(page, qt.Contains, "`"+m[1]+"`", qt.Commentf("log prefix"))
	}
}
