package sites_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/share/sites"
)

func TestDefaultSiteIsValid(t *testing.T) {
	c := qt.New(t)
	s, err := sites.Decode("default", sites.Default)
	c.Assert(err, qt.IsNil)
	m := s.Manifest()
	r, ok := m.Find("shop.example:80", "/book/today?x=1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Kind, qt.Equals, route.KindUnsafe)
	c.Assert(r.MaxServers, qt.Equals, 1)
	c.Assert(m.Keyed(), qt.IsTrue)
	w, ok := m.Workspace("change-this-key")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.Name, qt.Equals, "counter")
}

// Decode reports all errors with their positions at once, and prints no key.
func TestDecodeReportsAllErrors(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("cases/faults.site.hujson")
	c.Assert(err, qt.IsNil)
	want, err := os.ReadFile("cases/faults.expected")
	c.Assert(err, qt.IsNil)
	_, err = sites.Decode("faults.site.hujson", text)
	c.Assert(err, qt.IsNotNil)
	c.Assert(err.Error(), qt.Equals, strings.TrimSuffix(string(want), "\n"))
}

func TestSiteRowsRoundTrip(t *testing.T) {
	c := qt.New(t)
	source := sites.Source()
	m, err := source.Manifest([]rows.Row{{Key: sites.ManifestKey, Value: sites.Default}})
	c.Assert(err, qt.IsNil)
	c.Assert(m.Version(), qt.Equals, int64(1))
	value, err := sites.ServerRow(sites.Server{ID: "a", Service: "s", Address: "10.0.0.1:1", Slots: 3, Leaving: true})
	c.Assert(err, qt.IsNil)
	f, err := source.Server(rows.Row{Key: "a", Value: value})
	c.Assert(err, qt.IsNil)
	c.Assert(f.ID, qt.Equals, "a")
	c.Assert(f.Leaving, qt.IsTrue)
	_, err = source.Server(rows.Row{Key: "a", Value: []byte("{")})
	c.Assert(err, qt.IsNotNil)
}

// A list of workspaces that has lost its last one must not open what it had closed.
func TestEmptyListOfWorkspacesOpensNothing(t *testing.T) {
	withWorkspaces := func(field string) (sites.Site, error) {
		text := string(sites.Default)
		from := strings.Index(text, "\"Workspaces\"")
		to := from + strings.Index(text[from:], "\"Servers\"")
		return sites.Decode("test", []byte(text[:from]+field+text[to:]))
	}
	for _, test := range []struct {
		workspaces string
		keyed      bool
	}{
		{`"Workspaces": [],`, true},
		{`"Workspaces": [{"Name": "counter", "Keys": []}],`, true},
		{"", false},
	} {
		t.Run(test.workspaces, func(t *testing.T) {
			c := qt.New(t)
			s, err := withWorkspaces(test.workspaces)
			c.Assert(err, qt.IsNil)
			m := s.Manifest()
			c.Check(m.Keyed(), qt.Equals, test.keyed)
			for _, key := range []string{"", "change-this-key"} {
				_, ok := m.Workspace(key)
				c.Check(ok, qt.IsFalse)
			}
		})
	}
	_, err := withWorkspaces(`"Workspaces": null,`)
	qt.New(t).Check(err, qt.ErrorMatches, ".*Workspaces: null stands where a list is wanted")
}
