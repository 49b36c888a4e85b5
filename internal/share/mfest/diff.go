package mfest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of difference of a value.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "Added"
	ChangeRemoved ChangeKind = "Removed"
	ChangeChanged ChangeKind = "Changed"
)

// Change is one difference. Path refers to list entries by name, such as
// Classes[urgent].Tier. Old and New are JSON, empty if there is no value.
type Change struct {
	Kind ChangeKind
	Path string
	Old  string `json:",omitempty"`
	New  string `json:",omitempty"`
}

// Diff returns the changes that turn a into b. Base is not compared.
func Diff(a, b Manifest) []Change {
	d := &differ{}
	d.value("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.changes
}

// FormatDiff formats the first limit changes, one a line, and the number of those
// left out.
func FormatDiff(changes []Change, limit int) string {
	var b strings.Builder
	for i, c := range changes {
		if i == limit {
			fmt.Fprintf(&b, "  ... and %d more\n", len(changes)-limit)
			break
		}
		b.WriteString("  " + c.String() + "\n")
	}
	return b.String()
}

var changeSigns = map[ChangeKind]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeChanged: "~"}

// String returns one line with a sign for the kind of change.
func (c Change) String() string {
	value := c.Old + c.New
	if c.Kind == ChangeChanged {
		value = c.Old + " -> " + c.New
	}
	return changeSigns[c.Kind] + " " + c.Path + ": " + value
}

type differ struct {
	changes []Change
}

func (d *differ) value(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.fields(path, a, b)
	case a.Kind() == reflect.Slice && hasName(a.Type().Elem()):
		d.entries(path, a, b)
	default:
		old, now := jsonText(a), jsonText(b)
		if old != now {
			d.changes = append(d.changes, Change{Kind: ChangeChanged, Path: path, Old: old, New: now})
		}
	}
}

func (d *differ) fields(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if path == "" && name == "Base" {
			continue
		}
		at := name
		if path != "" {
			at = path + "." + name
		}
		d.value(at, a.Field(i), b.Field(i))
	}
}

// entries compares two lists of structs that have a Name, by name.
func (d *differ) entries(path string, a, b reflect.Value) {
	oldByName, newByName := byName(a), byName(b)
	for i := range a.Len() {
		name := nameOf(a.Index(i))
		at := fmt.Sprintf("%s[%s]", path, name)
		now, ok := newByName[name]
		if !ok {
			d.changes = append(d.changes, Change{Kind: ChangeRemoved, Path: at, Old: jsonText(a.Index(i))})
			continue
		}
		d.value(at, a.Index(i), now)
	}
	for i := range b.Len() {
		name := nameOf(b.Index(i))
		if _, ok := oldByName[name]; !ok {
			d.changes = append(d.changes, Change{Kind: ChangeAdded, Path: fmt.Sprintf("%s[%s]", path, name), New: jsonText(b.Index(i))})
		}
	}
}

func hasName(t reflect.Type) bool {
	if t.Kind() != reflect.Struct {
		return false
	}
	_, ok := t.FieldByName("Name")
	return ok
}

func nameOf(v reflect.Value) string {
	return v.FieldByName("Name").String()
}

func byName(list reflect.Value) map[string]reflect.Value {
	found := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		found[nameOf(list.Index(i))] = list.Index(i)
	}
	return found
}

// jsonText returns the value's JSON. Every type of a manifest can be encoded.
func jsonText(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprintf("%v", v.Interface())
	}
	return string(b)
}
