// Package proxyd assembles one proxying host: the HTTP server for callers, the
// readiness endpoint for the load balancer, the metrics endpoint and the watch of
// the platform's store.
//
// A graceful shutdown leaves the load balancer time to react. Readiness fails first,
// while requests are still accepted. Once the balancer has had time to notice,
// responses carry "Connection: close". Then the listener closes and waiting requests
// are refused, and Stop returns when the last response is written or StopTime ends.
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

// Settings are the settings of one host.
type Settings struct {
	// CallerAddress and ReadyAddress are "IP:port".
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress is the "IP:port" that serves metrics as text at any path, ""
	// for none.
	MetricsAddress string
	// StopTime is the maximum duration of Stop, in milliseconds.
	StopTime clock.Millis
	// MaxReadyAge is the maximum age of the manifest's confirmation with which the
	// host is ready, in milliseconds.
	MaxReadyAge clock.Millis
}

// The times of a shutdown, in milliseconds.
const (
	// noticeTime is the time after which the balancer has seen two failed
	// readiness checks, one a second, plus a margin. It counts from the start of
	// the shutdown.
	noticeTime = 1_800 * clock.Millis(1)
	// lastRequestTime is the time after which no further request is accepted: a
	// long one that began later than 3 s after SIGTERM could not be finished. It
	// counts from the start of the shutdown.
	lastRequestTime = 2_800 * clock.Millis(1)
	// stopMargin is the reserve before the end of StopTime.
	stopMargin = 400 * clock.Millis(1)
	// stopCheckInterval is the interval of the checks for open connections.
	stopCheckInterval = 50 * clock.Millis(1)
)

// Host is one host. Its exported fields are set before Start.
type Host struct {
	Settings Settings
	Watcher  *watch.Watcher
	Proxy    *proxy.Proxy
	// Cluster is nil for a single host.
	Cluster *Cluster
	Clock   clock.Clock
	Log     *logs.Limited
	Count   *count.Set
	// DroppedLogLines returns the number of log lines dropped because their reader
	// stalled; it is nil if they are not counted.
	DroppedLogLines func() int64

	httpServer   *httpd.Server
	readyServer  *fasthttp.Server
	liveSettings atomic.Pointer[Settings]
	stopping     atomic.Bool
	wasReady     atomic.Bool
}

// Start listens on all addresses and watches the store until the context ends.
func (g *Host) Start(ctx context.Context) error {
	g.Apply(g.Settings)
	g.Proxy.Prepare()
	if g.Cluster != nil {
		g.Cluster.Broker.Register()
		g.Cluster.Mirror.Register()
		go g.Cluster.run(ctx, g.Log)
	}
	g.Watcher.Changed = func(v watch.View) { g.Proxy.SetServers(v.Servers) }
	g.httpServer = &httpd.Server{
		Address: g.Settings.CallerAddress,
		Clock:   g.Clock,
		Handle:  g.Proxy.Handle,
		Limits:  g.limits,
		Refused: func(r *refuse.Refusal) { g.Log.Info("Refused a bad request.", "reason", r.Reason, "text", r.Text) },
		Log:     g.Log,
		Count:   g.Count,
	}
	if err := g.httpServer.Start(); err != nil {
		return err
	}
	if err := g.startReadiness(); err != nil {
		return err
	}
	if err := g.startMetrics(); err != nil {
		return err
	}
	if g.Cluster != nil {
		go g.Cluster.Mirror.Run(ctx)
	} else {
		go g.Watcher.Run(ctx)
	}
	return nil
}

// startMetrics serves all counters, gauges and latencies in the Prometheus text
// format, if MetricsAddress is set.
func (g *Host) startMetrics() error {
	if g.Settings.MetricsAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", g.Settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listening for metrics")
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		g.updateGauges()
		c.SetContentType("text/plain; version=0.0.4")
		if err := g.Count.WritePrometheus(c); err != nil {
			g.Log.Warn("The metrics could not be written.", "err", err)
		}
	}}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			g.Log.Error("The metrics server failed.", "err", err)
		}
	}()
	return nil
}

// updateGauges sets the gauges of the host's current state.
func (g *Host) updateGauges() {
	v := g.Watcher.View()
	if v.Manifest != nil {
		g.Count.Set(meter.Manifest, v.Manifest.Version())
	}
	g.Count.Set(meter.ManifestAge, int64(g.Watcher.Age(g.Clock.Boot())))
	g.Count.Set(meter.OpenRequests, int64(g.httpServer.Open()))
	g.Count.Set(meter.Connections, int64(g.httpServer.Connections()))
	g.Count.Set(meter.Hosts, int64(g.Proxy.Hosts()))
	g.Count.Set(meter.Goroutines, int64(runtime.NumGoroutine()))
	ready := int64(0)
	if g.Ready() {
		ready = 1
	}
	g.Count.Set(meter.Ready, ready)
	if g.Cluster != nil {
		reads := int64(0)
		if g.Cluster.Mirror.ReadsStore() {
			reads = 1
		}
		g.Count.Set(meter.ReadsStore, reads)
	}
	if g.DroppedLogLines != nil {
		g.Count.Set(meter.LogQueueDropped, g.DroppedLogLines())
	}
	g.Proxy.UpdateGauges()
}

// Apply applies changed settings. The addresses stay those given at Start.
func (g *Host) Apply(s Settings) { g.liveSettings.Store(&s) }

// limits returns the manifest's limits on requests, or the defaults without one.
func (g *Host) limits() httpd.Limits {
	v := g.Watcher.View()
	if v.Manifest == nil {
		return httpd.Limits{}
	}
	l := v.Manifest.Limits()
	return httpd.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTime: l.HeaderTime, Idle: l.Idle}
}

// startReadiness answers any request on the readiness address with status 200 or 503.
func (g *Host) startReadiness() error {
	listener, err := net.Listen("tcp", g.Settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listening for readiness checks")
	}
	g.readyServer = &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			if !g.Ready() {
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	go func() {
		if err := g.readyServer.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			g.Log.Error("The readiness server failed.", "err", err)
		}
	}()
	return nil
}

// Ready reports whether the host should get new connections. It logs each change.
func (g *Host) Ready() bool {
	v := g.Watcher.View()
	age := g.Watcher.Age(g.Clock.Boot())
	known := v.Manifest != nil && v.ServersKnown
	ready := known && !g.stopping.Load() && age <= g.liveSettings.Load().MaxReadyAge
	if g.wasReady.Swap(ready) != ready {
		g.Log.Info("Readiness changed.", "ready", ready, "age", age, "known", known, "stopping", g.stopping.Load())
	}
	return ready
}

// Stop shuts the host down gracefully within StopTime: requests in progress are
// finished if the time allows.
func (g *Host) Stop() {
	began := g.Clock.Now()
	g.Log.Info("Stopping.", "open", g.httpServer.Open(), "connections", g.httpServer.Connections())
	g.stopping.Store(true)
	elapsed := func(m clock.Millis) bool { return g.Clock.Now() >= began+m }
	limit := g.liveSettings.Load().StopTime - stopMargin
	closeAnnounced := false
	listenerClosed := false
	for !elapsed(limit) {
		if !closeAnnounced && elapsed(min(noticeTime, limit/3)) {
			closeAnnounced = true
			g.httpServer.Stopping()
		}
		if !listenerClosed && elapsed(min(lastRequestTime, limit/2)) {
			listenerClosed = true
			g.Proxy.Drain()
			if err := g.httpServer.Close(); err != nil {
				g.Log.Warn("The listener could not be closed.", "err", err)
			}
		}
		if listenerClosed {
			g.httpServer.CloseIdle()
			if g.httpServer.Connections() == 0 {
				break
			}
		}
		<-g.Clock.After(stopCheckInterval)
	}
	g.Log.Info("Stopped.", "open", g.httpServer.Open(), "took", g.Clock.Now()-began)
}
