// Package proxyd puts together one host that passes requests through: the inlet
// for callers, the readiness answer for the balancer before it, and the news
// from the platform's store.
//
// A stop takes the time that a balancer needs. Readiness fails first; requests
// are still taken, with a word to close the connection once the balancer has
// had time to notice; then the listener closes, and the process ends when the
// last answer is out.
//
// # Usage
//
//	g := &proxyd.Gate{Settings: settings, News: news, Pass: pass, Clock: c, Log: logger, Count: set}
//	if err := g.Start(ctx); err != nil { ... }
//	<-ctx.Done()
//	g.Stop()
package proxyd

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/serve/httpd"
	"siskinsaddle/internal/serve/proxy"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/share/watch"
)

// Settings are those of one host.
type Settings struct {
	// CallerAddress and ReadyAddress are "IP:port".
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress serves counters as text at any path, "" for nowhere.
	MetricsAddress string
	// StopTime is how long a stop may take, in milliseconds.
	StopTime clock.Millis
	// ReadyAge is the oldest confirmation of the manifest with which the host
	// is ready, in milliseconds.
	ReadyAge clock.Millis
}

// The steps of a stop, in milliseconds after its begin.
const (
	// noticeTime is the balancer's two misses at one a second, and a margin.
	noticeTime = 1_800 * clock.Millis(1)
	// idleTime is when no further request is taken: a longer one that began
	// later than 3 s after SIGTERM could not be finished.
	idleTime = 2_800 * clock.Millis(1)
	// stopMargin is kept before the end of StopTime.
	stopMargin = 400 * clock.Millis(1)
	// stopPeriod is the time between two looks at what is still open.
	stopPeriod = 50 * clock.Millis(1)
)

// Gate is one host. Its fields are set before Start.
type Gate struct {
	Settings Settings
	News     *watch.News
	Pass     *proxy.Pass
	// Crew is nil for a host that knows no others.
	Crew  *Crew
	Clock clock.Clock
	Log   *logs.Limited
	Count *count.Set
	// LeftOut is the number of log lines that a stalled reader cost, nil where
	// it is not counted.
	LeftOut func() int64

	inlet    *httpd.Server
	ready    *fasthttp.Server
	current  atomic.Pointer[Settings]
	stopping atomic.Bool
	wasReady atomic.Bool
}

// Start listens and begins to follow the news, until the context ends.
func (g *Gate) Start(ctx context.Context) error {
	g.Apply(g.Settings)
	g.Pass.Prepare()
	if g.Crew != nil {
		g.Crew.Clerk.Register()
		g.Crew.Brief.Register()
		go g.Crew.run(ctx, g.Log)
	}
	g.News.Changed = func(v watch.View) { g.Pass.SetServers(v.Servers) }
	g.inlet = &httpd.Server{
		Address: g.Settings.CallerAddress,
		Clock:   g.Clock,
		Handle:  g.Pass.Handle,
		Limits:  g.limits,
		Refused: func(r *refuse.Refusal) { g.Log.Info("Refused a bad request.", "reason", r.Reason, "text", r.Text) },
		Log:     g.Log,
		Count:   g.Count,
	}
	if err := g.inlet.Start(); err != nil {
		return err
	}
	if err := g.startReady(); err != nil {
		return err
	}
	if err := g.startMetrics(); err != nil {
		return err
	}
	if g.Crew != nil {
		go g.Crew.Brief.Run(ctx)
	} else {
		go g.News.Run(ctx)
	}
	return nil
}

// startMetrics answers with all counters, gauges and latencies.
func (g *Gate) startMetrics() error {
	if g.Settings.MetricsAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", g.Settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listening for metrics")
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		g.gauges()
		c.SetContentType("text/plain; version=0.0.4")
		if err := g.Count.WritePrometheus(c); err != nil {
			g.Log.Warn("The metrics could not be written.", "err", err)
		}
	}}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			g.Log.Error("The metrics ended.", "err", err)
		}
	}()
	return nil
}

func (g *Gate) gauges() {
	v := g.News.View()
	if v.Manifest != nil {
		g.Count.Set(meter.Manifest, v.Manifest.Version())
	}
	g.Count.Set(meter.ManifestAge, int64(g.News.Age(g.Clock.Boot())))
	g.Count.Set(meter.OpenRequests, int64(g.inlet.Open()))
	g.Count.Set(meter.Connections, int64(g.inlet.Connections()))
	g.Count.Set(meter.Hosts, int64(g.Pass.Hosts()))
	g.Count.Set(meter.Goroutines, int64(runtime.NumGoroutine()))
	ready := int64(0)
	if g.Ready() {
		ready = 1
	}
	g.Count.Set(meter.Ready, ready)
	if g.Crew != nil {
		reads := int64(0)
		if g.Crew.Brief.Reads() {
			reads = 1
		}
		g.Count.Set(meter.ReadsStore, reads)
	}
	if g.LeftOut != nil {
		g.Count.Set(meter.LinesQueueOut, g.LeftOut())
	}
	g.Pass.UpdateGauges()
}

// Apply puts changed settings in force. The addresses stay those of the start.
func (g *Gate) Apply(s Settings) { g.current.Store(&s) }

func (g *Gate) limits() httpd.Limits {
	v := g.News.View()
	if v.Manifest == nil {
		return httpd.Limits{}
	}
	l := v.Manifest.Limits()
	return httpd.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTime: l.HeaderTime, Idle: l.Idle}
}

// startReady answers any request on the readiness address with 200 or 503.
func (g *Gate) startReady() error {
	listener, err := net.Listen("tcp", g.Settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listening for readiness checks")
	}
	g.ready = &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			if !g.Ready() {
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	go func() {
		if err := g.ready.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			g.Log.Error("The readiness answer ended.", "err", err)
		}
	}()
	return nil
}

// Ready tells whether the host should get new connections.
func (g *Gate) Ready() bool {
	v := g.News.View()
	age := g.News.Age(g.Clock.Boot())
	known := v.Manifest != nil && v.ServersKnown
	ready := known && !g.stopping.Load() && age <= g.current.Load().ReadyAge
	if g.wasReady.Swap(ready) != ready {
		g.Log.Info("Readiness changed.", "ready", ready, "age", age, "known", known, "stopping", g.stopping.Load())
	}
	return ready
}

// Stop ends the host without cutting off what is being answered, within
// StopTime.
func (g *Gate) Stop() {
	began := g.Clock.Now()
	g.Log.Info("Stopping.", "open", g.inlet.Open(), "connections", g.inlet.Connections())
	g.stopping.Store(true)
	passed := func(m clock.Millis) bool { return g.Clock.Now() >= began+m }
	until := g.current.Load().StopTime - stopMargin
	told := false
	closed := false
	for !passed(until) {
		if !told && passed(min(noticeTime, until/3)) {
			told = true
			g.inlet.Stopping()
		}
		if !closed && passed(min(idleTime, until/2)) {
			closed = true
			g.Pass.Drain()
			if err := g.inlet.Close(); err != nil {
				g.Log.Warn("The listener could not be closed.", "err", err)
			}
		}
		if closed {
			g.inlet.CloseIdle()
			if g.inlet.Connections() == 0 {
				break
			}
		}
		<-g.Clock.After(stopPeriod)
	}
	g.Log.Info("Stopped.", "open", g.inlet.Open(), "took", g.Clock.Now()-began)
}
