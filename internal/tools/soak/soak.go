// Package soak runs hosts as separate processes on one machine, with stand-ins for
// the platform's store and for backend servers, and injects faults from outside:
//
//   - processes are stopped, killed, paused and reloaded;
//   - relays delay, stall and reset connections, or drop one direction;
//   - the store is down or slow, sends no watch events, loses responses or rejects
//     single hosts;
//   - servers leave, join, misbehave and crash, together or by prompts with one segment;
//   - servers say that they are leaving, or that they want no requests for a while;
//   - another program writes odd records between those of servers and hosts;
//   - failure domains are cut off from one another and from the store;
//   - manifests change and keys are revoked.
//
// Faults repeat in series and overlap.
//
// Meanwhile callers send requests on keep-alive connections and record the responses.
// Afterwards the invariants are checked on the record of what callers and servers saw.
// Each check is a function of that record alone, so that a test can show that it
// detects a violation.
//
// A seed fixes the plan of faults, but not the machine's scheduling. While the machine
// itself lags, checks with a time bound are skipped; the report says for how long.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Hosts: 5, Duration: 20 * clock.Second, Program: "bin/siskinsaddle", Folder: "out"})
//	fmt.Print(report.Text())
//	if len(report.Violations) > 0 { ... }
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

// Options configure a run.
type Options struct {
	Seed    uint64
	Hosts   int
	Callers int
	// Duration is the time with faults, in milliseconds.
	Duration clock.Millis
	// Program is the path of the siskinsaddle binary, Folder that of the settings and
	// logs.
	Program string
	Folder  string
	// Engines is the number of engines, at least six. A service of more than 64 has
	// several pools, each with a keeper.
	Engines int
	// Network is the third byte of the hosts' addresses; concurrent runs need
	// different ones.
	Network int
	// Progress receives a line every few seconds, nil for none.
	Progress io.Writer
}

const (
	// warmUp is the time before the first fault, coolDown the minimum time after the
	// last one, in milliseconds, in which a stop ends, hosts restart and prompts that crash
	// servers go on.
	warmUp   = 2 * clock.Second
	coolDown = 8 * clock.Second
	// progressPeriod is the time between two progress lines, in milliseconds.
	progressPeriod = 5 * clock.Second
	// lagCheckPeriod is the time between two checks of the machine's own lag. Time
	// bounds are not checked while the lag exceeds lagThreshold, which is half of
	// their smallest margin. Both are in milliseconds.
	lagCheckPeriod = 20 * clock.Millis(1)
	lagThreshold   = 200 * clock.Millis(1)
)

// Run runs the plan of one seed and checks the invariants.
func Run(ctx context.Context, o Options) (Report, error) {
	clk := clock.System()
	hn, err := newHarness(o, clk)
	if err != nil {
		return Report{}, err
	}
	defer hn.close()
	if err := hn.startHosts(ctx); err != nil {
		return Report{}, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		callers.Go(func() { hn.runCaller(callersCtx, i, random) })
	}
	callers.Go(func() { hn.watchLag(callersCtx) })
	hn.keepCopy(hn.store.Copy())
	callers.Go(func() { hn.copyStore(callersCtx) })
	hn.sendPoison = func(segment string) {
		callers.Go(func() { hn.runPoison(callersCtx, segment) })
	}
	hn.pause(ctx, warmUp)
	hn.recordLeaks("before")
	plan := NewPlan(o.Seed, o.Hosts, o.Duration)
	hn.runPlan(ctx, plan, o.Progress)
	hn.pause(ctx, coolDown)
	hn.awaitRecovery(ctx)
	stopCallers()
	callers.Wait()
	hn.recordLeaks("after")
	hn.stopHosts(ctx)
	record, err := hn.finish()
	if err != nil {
		return Report{}, err
	}
	return newReport(o, plan, record), ctx.Err()
}

// Report is the result of a run.
type Report struct {
	Options    Options
	Plan       []Fault
	Record     Record
	Violations []Violation
}

func newReport(o Options, plan []Fault, r Record) Report {
	return Report{Options: o, Plan: plan, Record: r, Violations: r.Check()}
}

// Text returns one page: counts, a plot of served requests over time, the plan of
// faults and the violations.
func (r Report) Text() string {
	var b strings.Builder
	outcomes := map[string]int{}
	for _, s := range r.Record.Requests {
		outcomes[s.outcome()]++
	}
	names := make([]string, 0, len(outcomes))
	for name := range outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(&b, "seed %d: %d hosts, %d faults, %d requests, %d arrivals at servers\n",
		r.Options.Seed, r.Options.Hosts, len(r.Plan), len(r.Record.Requests), len(r.Record.Arrivals))
	for _, name := range names {
		fmt.Fprintf(&b, "  %-8s %d\n", name, outcomes[name])
	}
	fmt.Fprintf(&b, "the machine lagged for %d ms of %d\n", r.Record.totalLag(), r.Record.End)
	largest := int64(0)
	for _, bytes := range r.Record.PeakMemory {
		largest = max(largest, bytes)
	}
	fmt.Fprintf(&b, "the largest host took %d MB of memory\n\n", largest>>20)
	b.WriteString(r.Record.crashText())
	b.WriteString(r.plot())
	for _, f := range r.Plan {
		fmt.Fprintf(&b, "  %6d ms  %s\n", f.At, f)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(&b, "\nall invariants held: %s\n", strings.Join(invariants(), ", "))
		return b.String()
	}
	fmt.Fprintf(&b, "\nFAILED, %d violations\n", len(r.Violations))
	for _, f := range r.Violations {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	return b.String()
}

// bars are the plot characters, in eighths of a full bar.
var bars = []rune("▁▂▃▄▅▆▇█")

// plot returns the share of served requests over time, one bar per half second.
func (r Report) plot() string {
	const barWidth = clock.Second / 2
	served, all := map[clock.Millis]int{}, map[clock.Millis]int{}
	for _, s := range r.Record.Requests {
		all[s.At/barWidth]++
		if s.outcome() == outcomeServed {
			served[s.At/barWidth]++
		}
	}
	var b strings.Builder
	b.WriteString("served, by half second: ")
	for at := clock.Millis(0); at*barWidth <= r.Record.End; at++ {
		if all[at] == 0 {
			b.WriteRune(' ')
			continue
		}
		b.WriteRune(bars[(len(bars)-1)*served[at]/all[at]])
	}
	return b.String() + "\n\n"
}
