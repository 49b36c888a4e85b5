// Package diag collects errors in a configuration text, each with its line and
// column, and reports them together.
//
// Decode reads JSON with comments into a struct and reports every unknown field
// and every value of the wrong type at once; after a syntax error it reports
// only that. The caller adds findings of its own by path and gets their line
// and column from the Index.
//
// # Usage
//
//	var s Settings
//	index, list := diag.Decode("host.hujson", text, &s)
//	if s.Tier < 1 {
//		list = list.With(index.At("Tier", "tier %d is below 1", s.Tier))
//	}
//	if err := list.Err(); err != nil {
//		fmt.Println(err) // host.hujson:3:11: Tier: tier 0 is below 1
//	}
package diag

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Finding is one error and its position. Line and Column count from 1; both
// are 0 if the position is unknown.
type Finding struct {
	File   string
	Path   string
	Line   int
	Column int
	Text   string
}

// String returns "file:line:column: path: text". The path is left out if it is
// empty, which means the whole text.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Text)
}

// List holds findings. The zero List is empty.
type List struct {
	Findings []Finding
}

// With returns a copy of the list with more findings appended.
func (l List) With(more ...Finding) List {
	all := make([]Finding, 0, len(l.Findings)+len(more))
	all = append(all, l.Findings...)
	return List{Findings: append(all, more...)}
}

// Empty reports whether the list has no findings.
func (l List) Empty() bool {
	return len(l.Findings) == 0
}

// Err returns nil for an empty list, else one error with a line for each
// finding, ordered by position.
func (l List) Err() error {
	if l.Empty() {
		return nil
	}
	sorted := append([]Finding(nil), l.Findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	lines := make([]string, 0, len(sorted))
	for _, f := range sorted {
		lines = append(lines, f.String())
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

// Position is the line and column at which a value starts, counted from 1.
type Position struct {
	Line   int
	Column int
}

// Index maps the path of each value, such as Classes[2].Tier, to its position.
type Index struct {
	File      string
	Positions map[string]Position
}

// At returns a finding about the value at a path. If the text lacks the value,
// the finding gets the position of the innermost enclosing value.
func (x Index) At(path, format string, args ...any) Finding {
	position := x.enclosingPosition(path)
	return Finding{
		File:   x.File,
		Path:   path,
		Line:   position.Line,
		Column: position.Column,
		Text:   fmt.Sprintf(format, args...),
	}
}

func (x Index) enclosingPosition(path string) Position {
	for p := path; ; {
		if position, ok := x.Positions[p]; ok {
			return position
		}
		end := strings.LastIndexAny(p, ".[")
		if end < 0 {
			return x.Positions[""]
		}
		p = p[:end]
	}
}

// Decode reads JSON with comments into the struct that into points to. Fields
// are matched by their exact Go names. Values with findings are left unchanged.
func Decode(file string, text []byte, into any) (Index, List) {
	d := &decoder{
		index: Index{File: file, Positions: map[string]Position{}},
		lines: newLines(text),
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		return d.index, List{}.With(syntaxFinding(file, err))
	}
	d.value("", tree, reflect.ValueOf(into).Elem())
	return d.index, d.list
}

// syntaxFinding takes the position from the parser's message, which has the
// form "hujson: line 3, column 7: ...".
func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Path: "", Text: err.Error()}
	var line, column int
	if _, scan := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scan == nil {
		f.Line = line
		f.Column = column
	}
	return f
}

type decoder struct {
	index Index
	lines lines
	list  List
}

func (d *decoder) report(path, format string, args ...any) {
	d.list.Findings = append(d.list.Findings, d.index.At(path, format, args...))
}

func (d *decoder) value(path string, v hujson.Value, to reflect.Value) {
	d.index.Positions[path] = d.lines.position(v.StartOffset)
	if to.Kind() == reflect.Pointer {
		if to.IsNil() {
			to.Set(reflect.New(to.Type().Elem()))
		}
		to = to.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		d.object(path, node, to)
	case *hujson.Array:
		d.array(path, node, to)
	case hujson.Literal:
		d.literal(path, node, to)
	}
}

func (d *decoder) object(path string, o *hujson.Object, to reflect.Value) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		d.index.Positions[at] = d.lines.position(m.Name.StartOffset)
		if seen[name] {
			d.report(at, "duplicate field %q", name)
			continue
		}
		seen[name] = true
		d.member(at, name, m.Value, to)
	}
}

func (d *decoder) member(at, name string, v hujson.Value, to reflect.Value) {
	switch to.Kind() {
	case reflect.Struct:
		field := to.FieldByName(name)
		if !field.IsValid() || !field.CanSet() {
			d.report(at, "field %q does not exist", name)
			return
		}
		d.value(at, v, field)
	case reflect.Map:
		if to.IsNil() {
			to.Set(reflect.MakeMap(to.Type()))
		}
		entry := reflect.New(to.Type().Elem()).Elem()
		d.value(at, v, entry)
		to.SetMapIndex(reflect.ValueOf(name).Convert(to.Type().Key()), entry)
	default:
		d.report(at, "an object stands where %s is wanted", kindName(to))
	}
}

func (d *decoder) array(path string, a *hujson.Array, to reflect.Value) {
	if to.Kind() != reflect.Slice {
		d.report(path, "a list stands where %s is wanted", kindName(to))
		return
	}
	slice := reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(path+"["+strconv.Itoa(i)+"]", e, slice.Index(i))
	}
	to.Set(slice)
}

func (d *decoder) literal(path string, l hujson.Literal, to reflect.Value) {
	switch l.Kind() {
	case '"':
		if to.Kind() != reflect.String {
			d.report(path, "a string stands where %s is wanted", kindName(to))
			return
		}
		to.SetString(l.String())
	case 't', 'f':
		if to.Kind() != reflect.Bool {
			d.report(path, "a truth value stands where %s is wanted", kindName(to))
			return
		}
		to.SetBool(l.Bool())
	case '0':
		d.number(path, l, to)
	default:
		d.report(path, "null stands where %s is wanted", kindName(to))
	}
}

func (d *decoder) number(path string, l hujson.Literal, to reflect.Value) {
	number := json.Number(string(l))
	switch to.Kind() {
	case reflect.Float64, reflect.Float32:
		f, err := number.Float64()
		if err != nil || math.IsInf(f, 0) {
			d.report(path, "number %s is out of range", number)
			return
		}
		to.SetFloat(f)
	case reflect.Int, reflect.Int64, reflect.Int32:
		i, err := number.Int64()
		if err != nil || to.OverflowInt(i) {
			d.report(path, "number %s is not a whole number in range", number)
			return
		}
		to.SetInt(i)
	default:
		d.report(path, "a number stands where %s is wanted", kindName(to))
	}
}

var kindNames = map[reflect.Kind]string{
	reflect.Struct:  "an object",
	reflect.Map:     "an object",
	reflect.Slice:   "a list",
	reflect.String:  "a string",
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number",
	reflect.Int32:   "a whole number",
	reflect.Int64:   "a whole number",
	reflect.Float32: "a number",
	reflect.Float64: "a number",
}

func kindName(v reflect.Value) string {
	if name, ok := kindNames[v.Kind()]; ok {
		return name
	}
	return v.Kind().String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// lines converts byte offsets to lines and columns. starts holds the offset of
// each line's first byte.
type lines struct {
	starts []int
}

func newLines(text []byte) lines {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return lines{starts: starts}
}

func (l lines) position(offset int) Position {
	line := sort.SearchInts(l.starts, offset+1)
	return Position{Line: line, Column: offset - l.starts[line-1] + 1}
}
