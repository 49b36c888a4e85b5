// Package limit keeps the request rates that servers in need allow for all hosts
// together. A server names its rate in each answer for as long as it holds.
//
// A Table is what one host knows of them. Only an answer to a request that was sent after
// the rate was last named can lift it, since answers overtake one another.
//
// # Usage
//
//	t := limit.NewTable()
//	change := t.Observe(now, limit.Statement{Service: "canvas-llm", Server: "i-1", Rate: 1.5}, sentAt)
//	if t.Limited("canvas-llm") { askKeeper() }
package limit

import (
	"math"
	"strconv"
	"strings"

	"siskinsaddle/internal/base/clock"
)

// Statement is what a server says of its rate. Rate is in requests a second, 0 for no
// limit.
type Statement struct {
	Service string
	// Server and Born name one incarnation of a server.
	Server string
	Born   int64
	Rate   float64
}

// minRate replaces lower rates, in requests a second: only an answer can lift a limit, so
// a server must get some requests.
const minRate = 0.1

// Parse returns the rate in a header field, 0 if the field is empty. It reports false if
// the field says nothing that can be understood.
func Parse(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return max(rate, minRate), true
}

// entry is the rate of a server and when it was last named.
type entry struct {
	rate    float64
	born    int64
	namedAt clock.Millis
}

// Table holds the rates of servers by service and server. Create it with NewTable; it is
// not safe for concurrent use.
type Table struct {
	services map[string]map[string]entry
}

// NewTable returns a Table without rates.
func NewTable() *Table { return &Table{services: map[string]map[string]entry{}} }

// Observe records what the answer to a request that was sent at sentAt says. It reports
// whether the rate of the server changed.
func (t *Table) Observe(now clock.Millis, s Statement, sentAt clock.Millis) bool {
	old, known := t.services[s.Service][s.Server]
	if s.Rate == 0 {
		if !known || sentAt <= old.namedAt {
			return false
		}
		t.delete(s.Service, s.Server)
		return true
	}
	t.Set(now, s)
	return !known || old.rate != s.Rate || old.born != s.Born
}

// Set records a statement that another host passes on.
func (t *Table) Set(now clock.Millis, s Statement) {
	if s.Rate == 0 {
		t.delete(s.Service, s.Server)
		return
	}
	if t.services[s.Service] == nil {
		t.services[s.Service] = map[string]entry{}
	}
	t.services[s.Service][s.Server] = entry{rate: s.Rate, born: s.Born, namedAt: now}
}

func (t *Table) delete(service, server string) {
	delete(t.services[service], server)
	if len(t.services[service]) == 0 {
		delete(t.services, service)
	}
}

// Limited reports whether a server of the service has a limit.
func (t *Table) Limited(service string) bool { return len(t.services[service]) > 0 }

// Rate returns the rate of a server, 0 for no limit.
func (t *Table) Rate(service, server string) float64 { return t.services[service][server].rate }

// All calls f with the rates of a service's servers and their ages in milliseconds.
func (t *Table) All(now clock.Millis, service string, f func(s Statement, age clock.Millis)) {
	for server, e := range t.services[service] {
		f(Statement{Service: service, Server: server, Born: e.born, Rate: e.rate}, now-e.namedAt)
	}
}

// Lift forgets the rates of a service's servers that were named before a time, if f returns
// true for them.
func (t *Table) Lift(service string, before clock.Millis, f func(server string) bool) {
	for server, e := range t.services[service] {
		if e.namedAt < before && f(server) {
			t.delete(service, server)
		}
	}
}

// Retain forgets the incarnations of servers for which keep returns false.
func (t *Table) Retain(keep func(server string, born int64) bool) {
	for service, servers := range t.services {
		for server, e := range servers {
			if !keep(server, e.born) {
				t.delete(service, server)
			}
		}
	}
}

// Count returns the number of servers with a limit.
func (t *Table) Count() int {
	n := 0
	for _, servers := range t.services {
		n += len(servers)
	}
	return n
}
