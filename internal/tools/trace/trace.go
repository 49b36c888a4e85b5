// Package trace puts together, from the logs of several hosts, what happened to
// one request and what its host believed at that moment.
//
// It reads lines as hosts write them, or as a bench prints them, with the time
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

// Source is one log.
type Source struct {
	Name   string
	Reader io.Reader
}

// Line is one line of a log.
type Line struct {
	// At orders lines; it is the text in front of the line or its time.
	At     string
	Host   string
	Text   string
	Fields map[string]string
	// order keeps lines of the same time as they were read.
	order int
	raw   string
}

// Story is what is known of a request.
type Story struct {
	ID string
	// Lines name the request, in order of time.
	Lines []Line
	// Beliefs are the last lines of each kind that its host wrote before the
	// request ended.
	Beliefs []Line
}

// believed are the lines that change what a host believes.
var believed = map[string]bool{
	"Manifest in force.":                       true,
	"Readiness changed.":                       true,
	"List of servers changed.":                 true,
	"List of hosts changed.":                   true,
	"The store does not answer.":               true,
	"The store answers again.":                 true,
	"The keeper of a service cannot be asked.": true,
	"Settings applied.":                        true,
	"Stopping.":                                true,
	"This keeper stood still and begins anew.": true,
	"A server's record cannot be used.":        true,
	"Changed settings were refused; the earlier ones stay in force.": true,
}

const maxLineBytes = 1 << 20

// lineForm is [seconds host] time=... and further fields.
var lineForm = regexp.MustCompile(`^\s*(?:(-?\d+\.\d+)\s+(\S+)\s+)?(time=.*)$`)

// fieldForm is key=value with or without quotes.
var fieldForm = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parse reads one line; false where it is none of a host's.
func parse(source, text string, order int) (Line, bool) {
	m := lineForm.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	l := Line{Host: source, Fields: map[string]string{}, order: order, raw: text}
	for _, f := range fieldForm.FindAllStringSubmatch(m[3], -1) {
		l.Fields[f[1]] = strings.Trim(f[2], `"`)
	}
	l.At, l.Text = l.Fields["time"], l.Fields["msg"]
	if m[2] != "" {
		l.Host, l.At = m[2], m[1]
	}
	return l, l.Text != ""
}

// Read collects the lines about a request out of logs.
func Read(sources []Source, id string) (Story, error) {
	var all []Line
	for _, s := range sources {
		scanner := bufio.NewScanner(s.Reader)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parse(s.Name, scanner.Text(), len(all)); ok && (about(l, id) || believed[l.Text]) {
				all = append(all, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Story{}, errors.Wrapf(err, "reading %s", s.Name)
		}
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].At != all[j].At {
			return seconds(all[i].At, all[j].At)
		}
		return all[i].order < all[j].order
	})
	return tell(all, id), nil
}

// seconds compares two times, which are numbers or RFC 3339.
func seconds(a, b string) bool {
	var x, y float64
	if _, err := fmt.Sscan(a, &x); err != nil || strings.Contains(a, "T") {
		return a < b
	}
	if _, err := fmt.Sscan(b, &y); err != nil {
		return a < b
	}
	return x < y
}

// about tells whether a line names the request. Asks between hosts carry the
// request's id between slashes.
func about(l Line, id string) bool {
	return l.Fields["id"] == id || strings.Contains(l.Fields["id"], "/"+id+"/")
}

func tell(all []Line, id string) Story {
	s := Story{ID: id}
	last := -1
	hosts := map[string]bool{}
	for i, l := range all {
		if about(l, id) {
			s.Lines = append(s.Lines, l)
			hosts[l.Host] = true
			last = i
		}
	}
	seen := map[string]int{}
	for _, l := range all[:last+1] {
		if !believed[l.Text] || !hosts[l.Host] {
			continue
		}
		key := l.Host + l.Text + l.Fields["table"]
		if at, ok := seen[key]; ok {
			s.Beliefs[at] = l
			continue
		}
		seen[key] = len(s.Beliefs)
		s.Beliefs = append(s.Beliefs, l)
	}
	return s
}

// Cause names why the request ended as it did, from its last line.
func (s Story) Cause() Cause {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if l := s.Lines[i]; l.Text == "Request ended." {
			return causeOf(l)
		}
	}
	return Cause{Outcome: "Unknown", Meaning: "no line says how the request ended: its host was killed, or the line was left out"}
}

// Write prints the story.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n\nwhat its host believed\n", s.ID)
	for _, l := range s.Beliefs {
		fmt.Fprintf(&b, "  %s\n", strings.TrimSpace(l.raw))
	}
	b.WriteString("\nits way\n")
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "  %s\n", strings.TrimSpace(l.raw))
	}
	c := s.Cause()
	fmt.Fprintf(&b, "\noutcome  %s\ncause    %s\nmeaning  %s\n", c.Outcome, c.Name, c.Meaning)
	_, err := io.WriteString(w, b.String())
	return err
}
