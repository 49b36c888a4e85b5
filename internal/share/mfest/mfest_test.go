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

// modifiedDefault returns the default manifest with a change in each part.
func modifiedDefault() Manifest {
	text := string(defaultText)
	for _, change := range [][2]string{
		{`"Name": "bukal"`, `"Name": "zeta"`},
		{`"Tier": 2`, `"Tier": 4`},
		{`"Version": "1"`, `"Version": "2"`},
		{`{"Method": "POST", "Path": "/bookings"}`, `{"Method": "POST", "Path": "/orders"}`},
		{`"MaxBodyBytes": 4194304`, `"MaxBodyBytes": 1024`},
		{`"SpillShare": 0.25,`, ``},
	} {
		text = strings.Replace(text, change[0], change[1], 1)
	}
	m, list := Parse("other.hujson", []byte(text))
	if err := list.Err(); err != nil {
		panic(err)
	}
	return m
}

func TestBothAllowsOnlyWhatBothManifestsAllow(t *testing.T) {
	c := qt.New(t)
	a, b := Default(), modifiedDefault()
	x := NewIndex(Intersect(a, b))
	w, ok := x.WorkspaceByKey("demo-key")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.Name, qt.Equals, "kestrel")
	_, ok = x.WorkspaceByKey("demo-key-2")
	c.Assert(ok, qt.IsFalse)
	class, _ := x.Class("standard")
	c.Assert(class.Tier, qt.Equals, 4)
	s, _ := x.Service("canvas-llm")
	c.Assert(s.Models[0].Version, qt.Equals, "")
	c.Assert(s.SpillShare, qt.Equals, 0.0)
	c.Assert(x.NotRepeatable("yard-app", "POST", "/bookings"), qt.IsTrue)
	c.Assert(x.NotRepeatable("yard-app", "POST", "/orders"), qt.IsTrue)
	c.Assert(x.Manifest.Limits.MaxBodyBytes, qt.Equals, 1_024)
	c.Assert(Intersect(a, a), qt.DeepEquals, a)
	// Apart from the order of unordered lists, Intersect is commutative.
	c.Assert(Diff(sortUnordered(Intersect(a, b)), sortUnordered(Intersect(b, a))), qt.HasLen, 0)
}

func TestDiff(t *testing.T) {
	a, b := Default(), modifiedDefault()
	var paths []string
	for _, change := range Diff(a, b) {
		paths = append(paths, string(change.Kind)+" "+change.Path)
	}
	qt.Assert(t, paths, qt.DeepEquals, []string{
		"Changed Services[canvas-llm].Models[canvas-small].Version", "Changed Services[canvas-llm].SpillShare",
		"Changed Services[yard-app].NotRepeatable", "Changed Classes[standard].Tier",
		"Removed Workspaces[bukal]", "Added Workspaces[zeta]", "Changed Limits.MaxBodyBytes",
	})
	qt.Assert(t, FormatDiff(Diff(a, b), 1), qt.Equals,
		"  ~ Services[canvas-llm].Models[canvas-small].Version: \"1\" -> \"2\"\n  ... and 6 more\n")
}

func TestPackAndUnpack(t *testing.T) {
	c := qt.New(t)
	m := Default()
	body, err := Pack(m)
	c.Assert(err, qt.IsNil)
	unpacked, err := Unpack(body.Packed, body.Hash)
	c.Assert(err, qt.IsNil)
	c.Assert(Diff(m, unpacked), qt.HasLen, 0)
	_, err = Unpack(body.Packed, HashKey("other"))
	c.Assert(err, qt.ErrorMatches, "manifest has hash [0-9a-f]{64}, want [0-9a-f]{64}")
	withBase, _ := Parse("based.hujson", []byte(strings.Replace(string(defaultText), `"Base": 0`, `"Base": 7`, 1)))
	repacked, err := Pack(withBase)
	c.Assert(err, qt.IsNil)
	c.Assert(repacked.Hash, qt.Equals, body.Hash)
	newer := []byte(`{"FailureDomains":null,"Colour":"blue"}`)
	shared, err := sharedCodec()
	c.Assert(err, qt.IsNil)
	_, err = Unpack(shared.encoder.EncodeAll(newer, nil), hashText(newer))
	c.Assert(err, qt.ErrorMatches, `.*unknown field "Colour"`)
}
