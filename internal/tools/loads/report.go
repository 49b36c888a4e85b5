package loads

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// Report is what callers saw. Times are in milliseconds, shares from 0 to 1.
type Report struct {
	Classes []ClassReport
	// Dropped counts requests that were not sent because MaxOpen were in flight.
	Dropped int
	// CutOff counts streams, and NoAnswer requests, whose connection closed without a
	// response or refusal, by host address.
	CutOff   map[string]int
	NoAnswer map[string]int
	// Mistakes holds the first wrong token of up to 20 streams.
	Mistakes            []Mistake
	DirectFirstTokenP50 int64
	DirectFirstTokenP99 int64
	Bookings            Bookings
	Router              RouterUse
}

// Mistake is the first wrong token of a stream. Got is "[DONE]" if the stream ended
// too early.
type Mistake struct {
	Class  string
	Number int
	Host   string
	Token  int
	Got    string
	Want   string
}

// ClassReport is the report of one class. First-token times are in whole, times
// between tokens in fractions of milliseconds.
type ClassReport struct {
	Name  string
	Sent  int
	Whole int
	// Wrong counts streams whose text differs from the backend server's, and those
	// that ended too early.
	Wrong int
	// Abandoned counts the streams that their callers closed early.
	Abandoned        int
	InTime           int
	Attainment       float64
	GoodputPerSecond float64
	FirstTokenP50    int64
	FirstTokenP95    int64
	FirstTokenP99    int64
	BetweenTokensP95 float64
	Refusals         map[refuse.Reason]int
}

// Bookings compares the responses that callers got with how often bookings ran.
type Bookings struct {
	Asked            int
	RanOnce          int
	RanTwice         int
	ToldDone         int
	ToldDoneNotRun   int
	ToldNotRun       int
	ToldNotRunButRan int
	Refusals         map[refuse.Reason]int
}

// RouterUse is what all hosts together used: processor time during the run and heap
// at its end.
type RouterUse struct {
	ProcessorMilliseconds           int64
	ProcessorMillisecondsPerRequest float64
	HeapBytes                       int64
}

// Print writes the report as a table.
func Print(w io.Writer, r Report) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%-12s %7s %7s %5s %7s %9s %9s %6s %6s %6s %8s  %s\n",
		"class", "sent", "whole", "wrong", "in time", "attained", "goodput/s", "p50", "p95", "p99", "between", "refusals")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-12s %7d %7d %5d %7d %9.3f %9.1f %6d %6d %6d %8.1f  %v\n",
			c.Name, c.Sent, c.Whole, c.Wrong, c.InTime, c.Attainment, c.GoodputPerSecond,
			c.FirstTokenP50, c.FirstTokenP95, c.FirstTokenP99, c.BetweenTokensP95, c.Refusals)
	}
	fmt.Fprintf(&b, "direct: first token p50 %d ms, p99 %d ms\n", r.DirectFirstTokenP50, r.DirectFirstTokenP99)
	k := r.Bookings
	fmt.Fprintf(&b, "bookings: asked %d, ran once %d, ran twice %d, told done %d (not run %d), told not run %d (ran %d), refusals %v\n",
		k.Asked, k.RanOnce, k.RanTwice, k.ToldDone, k.ToldDoneNotRun, k.ToldNotRun, k.ToldNotRunButRan, k.Refusals)
	for _, m := range r.Mistakes {
		fmt.Fprintf(&b, "wrong text: class %s, request %d on %s: token %d is %q, not %q\n", m.Class, m.Number, m.Host, m.Token, m.Got, m.Want)
	}
	fmt.Fprintf(&b, "closed without a response, by host: streams %v, requests %v\n", r.CutOff, r.NoAnswer)
	fmt.Fprintf(&b, "router: %d ms of processor time, %.2f ms a request, heap %d bytes; not sent %d\n",
		r.Router.ProcessorMilliseconds, r.Router.ProcessorMillisecondsPerRequest, r.Router.HeapBytes, r.Dropped)
	_, err := b.WriteTo(w)
	return err
}

// Wrong returns the number of streams with a wrong text in all classes.
func (r Report) Wrong() int {
	sum := 0
	for _, c := range r.Classes {
		sum += c.Wrong
	}
	return sum
}

// gauges holds the sums of the hosts' resource gauges at one time.
type gauges struct {
	processor int64
	heap      int64
}

// readGauges sums the gauges of the hosts that answer.
func (l *Load) readGauges(ctx context.Context) gauges {
	var sum gauges
	for _, host := range l.Settings.Hosts {
		body, err := l.get(ctx, host, "/metrics")
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(bytes.NewReader(body))
		for lines.Scan() {
			name, value, _ := strings.Cut(lines.Text(), " ")
			number, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				continue
			}
			switch name {
			case "siskinsaddle_processor_milliseconds":
				sum.processor += number
			case "siskinsaddle_heap_bytes":
				sum.heap += number
			}
		}
	}
	return sum
}

func routerUsage(before, after gauges, r Report) RouterUse {
	requests := r.Bookings.Asked
	for _, c := range r.Classes {
		requests += c.Sent
	}
	u := RouterUse{ProcessorMilliseconds: after.processor - before.processor, HeapBytes: after.heap}
	if requests > 0 {
		u.ProcessorMillisecondsPerRequest = float64(u.ProcessorMilliseconds) / float64(requests)
	}
	return u
}

// runCounts reads how often each booking ran, by its key.
func (l *Load) runCounts(ctx context.Context) (map[string]int, error) {
	body, err := l.get(ctx, l.Settings.Faults, "/runs")
	if err != nil {
		return nil, errors.Wrap(err, "read the run counts")
	}
	all := map[string]map[string]int{}
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, errors.Wrap(err, "read the run counts")
	}
	return all[l.Settings.Service], nil
}

func (l *Load) get(ctx context.Context, address, path string) ([]byte, error) {
	answer, _, err := l.client.Do(ctx, wire.Request{Address: address, Method: "GET", Path: path})
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read
	return io.ReadAll(answer.Body)
}
