package mfest

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDefaultManifest(t *testing.T) {
	c := qt.New(t)
	x := NewIndex(Default())
	w, ok := x.WorkspaceByKey("demo-key")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.Name, qt.Equals, "kestrel")
	_, ok = x.WorkspaceByKey("demo-key-3")
	c.Assert(ok, qt.IsFalse)
	class, ok := x.ClassFor(w, "")
	c.Assert(ok, qt.IsTrue)
	c.Assert(class.Tier, qt.Equals, 2)
	_, ok = x.ClassFor(w, "none")
	c.Assert(ok, qt.IsFalse)
	s, ok := x.ServiceByModel("canvas-small")
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Name, qt.Equals, "canvas-llm")
}

func TestNotRepeatable(t *testing.T) {
	x := NewIndex(Manifest{Services: []Service{{Name: "s", NotRepeatable: []Call{
		{Method: "POST", Path: "/bookings"}, {Method: "*", Path: "/orders/*/confirm"}, {Method: "PUT", Path: "/parts/**"},
	}}}})
	for call, want := range map[string]bool{
		"POST /bookings": true, "post //bookings/?a=1": true, "POST /x/../book%69ngs": true, "POST /Bookings": true,
		"GET /bookings": false, "POST /bookings/lookup": false, "DELETE /orders/7/confirm": true,
		"DELETE /orders/confirm": false, "PUT /parts/a/b": true, "PUT /other": false,
	} {
		method, target, _ := strings.Cut(call, " ")
		qt.Check(t, x.NotRepeatable("s", method, target), qt.Equals, want, qt.Commentf(call))
	}
	qt.Check(t, x.NotRepeatable("none", "POST", "/bookings"), qt.IsFalse)
}

func TestParseReportsEveryFinding(t *testing.T) {
	text := `{
  "FailureDomains": [{"Name": "a", "Region": "r"}, {"Name": "a", "Region": ""}],
  "Services": [{"Name": "s", "Kind": "Odd", "LookUpPath": "x", "Slots": 3,
    "NotRepeatable": [{"Method": "post", "Path": "/a/**/b"}]}],
  "Classes": [{"Name": "urgent", "Tier": 0, "FirstTokenMilliseconds": 1}],
  "Workspaces": [{"Name": "w", "KeyHashes": ["zz"], "Classes": ["none"], "DefaultClass": "urgent"}],
  "Limits": {"RetryShare": 2},
}`
	m, list := Parse("m.hujson", []byte(text))
	qt.Assert(t, m.Services, qt.IsNil)
	var lines []string
	for _, line := range strings.Split(list.Err().Error(), "\n") {
		lines = append(lines, strings.Join(strings.SplitN(line, ": ", 3)[:2], " "))
	}
	qt.Assert(t, lines, qt.DeepEquals, []string{
		"m.hujson:2:61 FailureDomains[1].Name", "m.hujson:2:76 FailureDomains[1].Region",
		"m.hujson:3:38 Services[0].Kind", "m.hujson:3:59 Services[0].LookUpPath", "m.hujson:3:64 Services[0].Slots",
		"m.hujson:4:34 Services[0].NotRepeatable[0].Method", "m.hujson:4:50 Services[0].NotRepeatable[0].Path",
		"m.hujson:5:42 Classes[0].Tier", "m.hujson:6:46 Workspaces[0].KeyHashes[0]",
		"m.hujson:6:65 Workspaces[0].Classes[0]", "m.hujson:6:90 Workspaces[0].DefaultClass", "m.hujson:7:28 Limits.RetryShare",
	})
}
