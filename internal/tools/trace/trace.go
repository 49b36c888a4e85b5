// Package trace collects, from the logs of several hosts, the lines about one
// request and the state that its host had at the time: manifest, servers, hosts,
// readiness.
//
// It reads lines as hosts write them, or as a bench prints them, with the seconds
// since the start and the host's name in front.
//
// # Usage
//
//	s, err := trace.Read([]trace.Source{{Name: "host-1.log", Reader: f}}, "9c41d07be2a35f68")
//	err = s.Write(os.Stdout)
package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Source is one log. Name is the host of the lines that don't name one.
type Source struct {
	Name   string
	Reader io.Reader
}

// Line is one line of a log.
type Line struct {
	// At is the time that lines are sorted by: the seconds in front of the line,
	// else its time field.
	At     string
	Host   string
	Text   string
	Fields map[string]string
	// order is the position in the input, to sort lines of the same time.
	order int
	raw   string
}

// RequestTrace holds the log lines about a request.
type RequestTrace struct {
	ID string
	// Lines are the lines with the request's ID, by time.
	Lines []Line
	// HostState shows the state of the hosts that handled the request: for each
	// host, message and table, the latest line before the request's last one.
	HostState []Line
}

// stateMessages are the log messages about a change of a host's state, including those
// of earlier versions.
var stateMessages = map[string]bool{
	"Manifest in force.":              true,
	"Readiness changed.":              true,
	"List of servers changed.":        true,
	"List of hosts changed.":          true,
	"The store does not answer.":      true,
	"The store answers again.":        true,
	"The manifest can be read again.": true,
	"The newest manifest cannot be read; the one before stays in force, but is not confirmed any more.": true,
	"The keeper of a service cannot be asked.":                                                          true,
	"A grant request to a keeper failed.":                                                               true,
	"Settings applied.":                                                                                 true,
	"Stopping.":                                                                                         true,
	"This keeper stood still and begins anew.":                                                          true,
	"The keeper's host was suspended; its requests are discarded.":                                      true,
	"A server's record cannot be used.":                                                                 true,
	"Changed settings were refused; the earlier ones stay in force.":                                    true,
}

const maxLineBytes = 1 << 20

// linePattern matches "[seconds host] time=...", followed by further fields.
var linePattern = regexp.MustCompile(`^\s*(?:(-?\d+\.\d+)\s+(\S+)\s+)?(time=.*)$`)

// fieldPattern matches key=value with or without quotes.
var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLine parses one line. It returns false for a line without time or message,
// which no host wrote.
func parseLine(source, text string, order int) (Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	l := Line{Host: source, Fields: map[string]string{}, order: order, raw: text}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[3], -1) {
		l.Fields[f[1]] = strings.Trim(f[2], `"`)
	}
	l.At, l.Text = l.Fields["time"], l.Fields["msg"]
	if m[2] != "" {
		l.Host, l.At = m[2], m[1]
	}
	return l, l.Text != ""
}

// Read collects the lines about a request from logs.
func Read(sources []Source, id string) (RequestTrace, error) {
	var all []Line
	for _, s := range sources {
		scanner := bufio.NewScanner(s.Reader)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parseLine(s.Name, scanner.Text(), len(all)); ok &&
				(mentions(l, id) || stateMessages[l.Text]) {
				all = append(all, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return RequestTrace{}, errors.Wrapf(err, "reading %s", s.Name)
		}
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].At != all[j].At {
			return earlier(all[i].At, all[j].At)
		}
		return all[i].order < all[j].order
	})
	return newRequestTrace(all, id), nil
}

// earlier reports whether time a is before b. Both are seconds as decimal numbers
// or both are RFC 3339.
func earlier(a, b string) bool {
	var x, y float64
	if _, err := fmt.Sscan(a, &x); err != nil || strings.Contains(a, "T") {
		return a < b
	}
	if _, err := fmt.Sscan(b, &y); err != nil {
		return a < b
	}
	return x < y
}

// mentions reports whether a line has the request's ID. Grant requests between
// hosts have it between slashes as part of their own ID.
func mentions(l Line, id string) bool {
	return l.Fields["id"] == id || strings.Contains(l.Fields["id"], "/"+id+"/")
}

// newRequestTrace selects the lines about the request and the latest state lines
// of its hosts from lines sorted by time.
func newRequestTrace(all []Line, id string) RequestTrace {
	r := RequestTrace{ID: id}
	last := -1
	hosts := map[string]bool{}
	for i, l := range all {
		if mentions(l, id) {
			r.Lines = append(r.Lines, l)
			hosts[l.Host] = true
			last = i
		}
	}
	seen := map[string]int{}
	for _, l := range all[:last+1] {
		if !stateMessages[l.Text] || !hosts[l.Host] {
			continue
		}
		key := l.Host + l.Text + l.Fields["table"]
		if at, ok := seen[key]; ok {
			r.HostState[at] = l
			continue
		}
		seen[key] = len(r.HostState)
		r.HostState = append(r.HostState, l)
	}
	return r
}

// Cause returns the outcome of the request and its cause, taken from the last
// line "Request ended.".
func (r RequestTrace) Cause() Cause {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		if l := r.Lines[i]; l.Text == "Request ended." {
			return causeOf(l)
		}
	}
	return Cause{Outcome: "Unknown", Meaning: "no log line states how the request ended: its host was killed, or the line was dropped"}
}

// Write prints the host state, the lines about the request, and its outcome with
// the cause.
func (r RequestTrace) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n\nhost state\n", r.ID)
	for _, l := range r.HostState {
		fmt.Fprintf(&b, "  %s\n", strings.TrimSpace(l.raw))
	}
	b.WriteString("\nrequest log\n")
	for _, l := range r.Lines {
		fmt.Fprintf(&b, "  %s\n", strings.TrimSpace(l.raw))
	}
	c := r.Cause()
	fmt.Fprintf(&b, "\noutcome  %s\ncause    %s\nmeaning  %s\n", c.Outcome, c.Name, c.Meaning)
	_, err := io.WriteString(w, b.String())
	return err
}
