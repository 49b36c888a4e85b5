// Package loads puts a bounded load on running hosts over real sockets and
// reports what callers saw.
//
// Requests are sent at fixed times, whatever came of the earlier ones, so that
// a slow host is not spared. Each class has its own rate and lengths. Bookings
// carry an Idempotency-Key each; at the end their run counts are compared with
// what the callers were told. With Direct set, the same completions are also
// sent to a backend server without the router, in the same run, and the
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

// Settings say what is sent where. All lengths of time are in milliseconds.
type Settings struct {
	// Hosts are the callers' addresses, used in turn as a balancer would.
	Hosts []string
	// Direct is the address of a backend server, empty for no comparison.
	Direct string
	// DirectEvery sends only each so many-th completion directly as well, so
	// that the one server is not loaded with the share of all.
	DirectEvery int
	// Faults is the address of the stand-ins, which tell how often each
	// booking ran; empty to leave that out.
	Faults               string
	Key                  string
	Model                string
	Service              string
	DurationMilliseconds clock.Millis
	// MaxOpen bounds the requests under way.
	MaxOpen int
	Classes []Class
	// BookingsPerSecond is the rate of bookings, each sent Repeats times with
	// the same key.
	BookingsPerSecond float64
	Repeats           int
	// AbandonEvery lets each so many-th caller leave in the middle of its
	// stream, 0 for none.
	AbandonEvery int
}

// Class is the load of one class.
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
	maxOpenMost  = 10_000
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

// Parse reads settings on top of Default.
func Parse(file string, text []byte) (Settings, diag.List) {
	s := Default()
	index, list := diag.Decode(file, text, &s)
	for _, bound := range []struct {
		path  string
		wrong bool
	}{
		{"Hosts", len(s.Hosts) == 0},
		{"DurationMilliseconds", s.DurationMilliseconds <= 0 || s.DurationMilliseconds > maxDuration},
		{"MaxOpen", s.MaxOpen <= 0 || s.MaxOpen > maxOpenMost},
		{"BookingsPerSecond", s.BookingsPerSecond < 0 || s.BookingsPerSecond > maxPerSecond},
		{"DirectEvery", s.DirectEvery < 1},
		{"Repeats", s.Repeats < 1 || s.Repeats > maxRepeats},
		{"AbandonEvery", s.AbandonEvery < 0},
		{"Classes", rate(s.Classes) > maxPerSecond},
	} {
		if bound.wrong {
			list = list.With(index.At(bound.path, "the value is out of bounds"))
		}
	}
	return s, list
}

func rate(classes []Class) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.PerSecond
	}
	return sum
}

// Load is one run. Set the exported fields before Run.
type Load struct {
	Settings Settings
	Clock    clock.Clock

	client *wire.Client
	pool   *ants.Pool
	work   sync.WaitGroup
	turn   turn
	notes  *notes
}

// Run puts the load on and returns the report once every request has ended.
func (l *Load) Run(ctx context.Context) (Report, error) {
	pool, err := ants.NewPool(l.Settings.MaxOpen, ants.WithNonblocking(true))
	if err != nil {
		return Report{}, errors.Wrap(err, "pool of callers")
	}
	defer pool.Release()
	l.pool = pool
	l.client = &wire.Client{DialTimeout: dialTimeout, ProgressTimeout: answerTimeout, MaxConnections: l.Settings.MaxOpen}
	l.turn.hosts = l.Settings.Hosts
	l.notes = newNotes(l.Settings.Classes)
	before := l.usage(ctx)
	l.schedule(ctx)
	l.work.Wait()
	report := l.notes.report(l.Settings)
	report.Router = routerUse(before, l.usage(ctx), report)
	if l.Settings.Faults != "" {
		runs, err := l.runs(ctx)
		if err != nil {
			return report, err
		}
		report.Bookings = l.notes.compare(runs)
	}
	return report, nil
}

const (
	dialTimeout   = 500 * clock.Millis(1)
	answerTimeout = 30 * clock.Second
)

// job is one thing to send at a time.
type job struct {
	at  clock.Millis
	run func()
}

// schedule sends every job at its time, or drops it and says so where MaxOpen
// requests are under way.
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
			l.notes.unsent()
		}
	}
}
