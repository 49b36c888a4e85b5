// Package soak runs hosts as processes of their own on one machine, with
// stand-ins of the platform's store and of backend servers, and injects faults
// from outside: processes are stopped, killed, paused and told to reload;
// connections are delayed, silenced, reset and cut one way by relays; the store
// is away, slow, deaf, loses answers or turns single hosts away; servers leave,
// come and misbehave; manifests change and keys are withdrawn. Faults come in
// series and overlap.
//
// Meanwhile callers use connections until their host is gone, and note what they
// see. Afterwards the checks go through what callers and servers saw; each is a
// function of that record alone, so that a test shows each able to fail.
//
// A seed fixes the plan of faults, not the machine's scheduling. While the
// machine itself lags, checks that have a time bound are not judged, and the
// report says for how long.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Hosts: 5, Length: 20 * clock.Second, Program: "bin/siskinsaddle", Folder: "out"})
//	fmt.Print(report.Text())
//	if len(report.Findings) > 0 { ... }
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"

	"siskinsaddle/internal/base/clock"
)

// Options are what a run is made of.
type Options struct {
	Seed    uint64
	Hosts   int
	Callers int
	// Length is the time with faults, in milliseconds.
	Length clock.Millis
	// Program is the file of siskinsaddle, Folder where settings and logs go.
	Program string
	Folder  string
	// Network is the third byte of the hosts' addresses, other ones for runs
	// side by side.
	Network int
	// Progress gets a line now and then, nil for none.
	Progress io.Writer
}

const (
	// warmUp is the time before the first fault, coolDown the least time after
	// the last one, in milliseconds: a stop and the return of all hosts.
	warmUp   = 2 * clock.Second
	coolDown = 3 * clock.Second
	// progressPeriod is the time between two lines of progress.
	progressPeriod = 5 * clock.Second
	// lagPeriod is how often the machine's own lag is looked at, lagged the lag
	// from which bounds in time are not judged, in milliseconds: half of the
	// least margin of those bounds.
	lagPeriod = 20 * clock.Millis(1)
	lagged    = 200 * clock.Millis(1)
)

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	clk := clock.System()
	w, err := newWorld(o, clk)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	if err := w.startHosts(ctx); err != nil {
		return Report{}, err
	}
	calling, hangUp := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		callers.Go(func() { w.call(calling, i, random) })
	}
	callers.Go(func() { w.watchLag(calling) })
	w.pause(ctx, warmUp)
	w.notesLeaks("before")
	plan := NewPlan(o.Seed, o.Hosts, o.Length)
	w.play(ctx, plan, o.Progress)
	w.pause(ctx, coolDown)
	w.recover(ctx)
	hangUp()
	callers.Wait()
	w.notesLeaks("after")
	w.stopHosts(ctx)
	record, err := w.finish()
	if err != nil {
		return Report{}, err
	}
	return newReport(o, plan, record), ctx.Err()
}

// Report is the outcome of a run.
type Report struct {
	Options  Options
	Plan     []Fault
	Record   Record
	Findings []Finding
}

func newReport(o Options, plan []Fault, r Record) Report {
	return Report{Options: o, Plan: plan, Record: r, Findings: r.Check()}
}

// Text is one page: the counts, a plot of answers over time, and what was found.
func (r Report) Text() string {
	var b strings.Builder
	outcomes := map[string]int{}
	for _, s := range r.Record.Sent {
		outcomes[s.outcome()]++
	}
	names := make([]string, 0, len(outcomes))
	for name := range outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(&b, "seed %d: %d hosts, %d faults, %d requests, %d arrivals at servers\n",
		r.Options.Seed, r.Options.Hosts, len(r.Plan), len(r.Record.Sent), len(r.Record.Arrivals))
	for _, name := range names {
		fmt.Fprintf(&b, "  %-8s %d\n", name, outcomes[name])
	}
	fmt.Fprintf(&b, "the machine lagged for %d ms of %d\n\n", r.Record.lagTime(), r.Record.End)
	b.WriteString(r.plot())
	for _, f := range r.Plan {
		fmt.Fprintf(&b, "  %6d ms  %s\n", f.At, f)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&b, "\nevery promise was kept: %s\n", strings.Join(promises(), ", "))
		return b.String()
	}
	fmt.Fprintf(&b, "\nBROKEN, %d findings\n", len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	return b.String()
}

// bars are eighths of a full bar.
var bars = []rune("▁▂▃▄▅▆▇█")

// plot shows the share of served requests, a bar for each half second.
func (r Report) plot() string {
	const slot = clock.Second / 2
	served, all := map[clock.Millis]int{}, map[clock.Millis]int{}
	for _, s := range r.Record.Sent {
		all[s.At/slot]++
		if s.outcome() == outcomeServed {
			served[s.At/slot]++
		}
	}
	var b strings.Builder
	b.WriteString("served, by half second: ")
	for at := clock.Millis(0); at*slot <= r.Record.End; at++ {
		if all[at] == 0 {
			b.WriteRune(' ')
			continue
		}
		b.WriteRune(bars[(len(bars)-1)*served[at]/all[at]])
	}
	return b.String() + "\n\n"
}
