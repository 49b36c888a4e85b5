// Package loads generates a bounded load on running hosts over real sockets and
// reports what callers saw.
//
// The load is open-loop: requests are sent at fixed times, whatever the outcome of
// earlier ones, so that a slow host does not reduce its own load. Each class has its
// own rate and its own prompt and output lengths. Each booking carries an
// Idempotency-Key; at the end, the number of times that each booking ran is compared
// with the responses that its callers got. With Direct set, the same completions are
// also sent to a backend server without the router, in the same run, and the
// difference is the router's added latency.
//
// # Usage
//
//	l := &loads.Load{Settings: s, Clock: clock.System()}
//	report, err := l.Run(ctx)
//	loads.Print(os.Stdout, report)
package loads

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/diag"
	"siskinsaddle/internal/serve/wire"
)

// Settings define a load. All durations are in milliseconds.
type Settings struct {
	// Hosts are the addresses for callers, used round robin as behind a load balancer.
	Hosts []string
	// Direct is the address of a backend server for the comparison, empty for none.
	Direct string
	// DirectEvery sends every DirectEvery-th completion directly as well, so that
	// the one server does not get the load of all servers.
	DirectEvery int
	// Faults is the control address of the stand-ins, which report how often each
	// booking ran; empty to skip that comparison.
	Faults               string
	Key                  string
	Model                string
	Service              string
	DurationMilliseconds clock.Millis
	// MaxOpen bounds the requests in flight.
	MaxOpen int
	Classes []Class
	// BookingsPerSecond is the rate of bookings, each sent Repeats times with
	// the same key.
	BookingsPerSecond float64
	Repeats           int
	// AbandonEvery has every AbandonEvery-th caller disconnect in the middle of its
	// stream, 0 for none.
	AbandonEvery int
}

// Class is the load of one class. Its milliseconds are the latency targets that a
// completion must meet to count as in time.
type Class struct {
	Name                      string
	PerSecond                 float64
	PromptTokens              int
	OutputTokens              int
	FirstTokenMilliseconds    clock.Millis
	BetweenTokensMilliseconds clock.Millis
}

const (
	maxPerSecond = 2_000
	maxDuration  = 10 * clock.Minute
	maxOpenLimit = 10_000
	maxRepeats   = 10
)

// Default returns a small load for the embedded defaults.
func Default() Settings {
	return Settings{
		Hosts:                []string{"127.0.0.1:8080"},
		Direct:               "127.0.0.1:7402",
		Faults:               "127.0.0.1:7400",
		Key:                  "demo-key",
		Model:                "canvas-small",
		Service:              "yard-app",
		DurationMilliseconds: 5 * clock.Second,
		MaxOpen:              500,
		Classes: []Class{
			{Name: "urgent", PerSecond: 5, PromptTokens: 40, OutputTokens: 30, FirstTokenMilliseconds: 320, BetweenTokensMilliseconds: 32},
			{Name: "draft", PerSecond: 2, PromptTokens: 200, OutputTokens: 120, FirstTokenMilliseconds: 5000, BetweenTokensMilliseconds: 100},
		},
		BookingsPerSecond: 4,
		Repeats:           2,
		DirectEvery:       1,
	}
}

// Parse decodes settings over Default and checks their bounds.
func Parse(file string, text []byte) (Settings, diag.List) {
	s := Default()
	index, list := diag.Decode(file, text, &s)
	for _, bound := range []struct {
		path    string
		invalid bool
	}{
		{"Hosts", len(s.Hosts) == 0},
		{"DurationMilliseconds", s.DurationMilliseconds <= 0 || s.DurationMilliseconds > maxDuration},
		{"MaxOpen", s.MaxOpen <= 0 || s.MaxOpen > maxOpenLimit},
		{"BookingsPerSecond", s.BookingsPerSecond < 0 || s.BookingsPerSecond > maxPerSecond},
		{"DirectEvery", s.DirectEvery < 1},
		{"Repeats", s.Repeats < 1 || s.Repeats > maxRepeats},
		{"AbandonEvery", s.AbandonEvery < 0},
		{"Classes", totalRate(s.Classes) > maxPerSecond},
	} {
		if bound.invalid {
			list = list.With(index.At(bound.path, "the value is out of bounds"))
		}
	}
	return s, list
}

func totalRate(classes []Class) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.PerSecond
	}
	return sum
}

// Load is one run of a load. Set the exported fields before Run.
type Load struct {
	Settings Settings
	Clock    clock.Clock

	client     *wire.Client
	pool       *ants.Pool
	work       sync.WaitGroup
	roundRobin roundRobin
	stats      *stats
}

// Run generates the load and returns the report once every request has ended.
func (l *Load) Run(ctx context.Context) (Report, error) {
	pool, err := ants.NewPool(l.Settings.MaxOpen, ants.WithNonblocking(true))
	if err != nil {
		return Report{}, errors.Wrap(err, "create the pool of callers")
	}
	defer pool.Release()
	l.pool = pool
	l.client = &wire.Client{DialTimeout: dialTimeout, ProgressTimeout: answerTimeout, MaxConnections: l.Settings.MaxOpen}
	l.roundRobin.hosts = l.Settings.Hosts
	l.stats = newStats(l.Settings.Classes)
	before := l.readGauges(ctx)
	l.schedule(ctx)
	l.work.Wait()
	report := l.stats.report(l.Settings)
	report.Router = routerUsage(before, l.readGauges(ctx), report)
	if l.Settings.Faults != "" {
		runCounts, err := l.runCounts(ctx)
		if err != nil {
			return report, err
		}
		report.Bookings = l.stats.compareRuns(runCounts)
	}
	return report, nil
}

const (
	dialTimeout   = 500 * clock.Millis(1)
	answerTimeout = 30 * clock.Second
)

// job is a request to send at a time since the start, in milliseconds.
type job struct {
	at  clock.Millis
	run func()
}

// schedule starts every job at its time. While MaxOpen requests are in flight, it
// drops the job and counts it.
func (l *Load) schedule(ctx context.Context) {
	start := l.Clock.Now()
	for _, j := range l.jobs(ctx) {
		if wait := start + j.at - l.Clock.Now(); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.Clock.After(wait):
			}
		}
		l.work.Add(1)
		run := j.run
		err := l.pool.Submit(func() {
			defer l.work.Done()
			run()
		})
		if err != nil {
			l.work.Done()
			l.stats.recordDropped()
		}
	}
}
