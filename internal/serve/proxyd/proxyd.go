// Package proxyd assembles one proxying host: the HTTP server for callers, the
// readiness endpoint for the load balancer, the metrics endpoint and the watch of
// the platform's store.
//
// A graceful shutdown leaves the load balancer time to react. Readiness fails first,
// while requests are still accepted. Once the balancer has had time to notice,
// responses carry "Connection: close". Then the listener closes and waiting requests
// are refused, and Stop returns when the last response is written or StopTime ends. Requests
// that servers still run then are answered that their outcome is unknown.
//
// # Usage
//
//	h := &proxyd.Host{Settings: settings, Watcher: watcher, Proxy: p, Clock: c, Log: logger, Count: set}
//	if err := h.Start(ctx); err != nil { ... }
//	<-ctx.Done()
//	h.Stop()
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
	// MaxBodies is the memory for long request bodies, in bytes; 0 means 64 MiB.
	MaxBodies int64
	// MaxReadyAge is the maximum age of the manifest's confirmation with which the
	// host is ready, in milliseconds.
	MaxReadyAge clock.Millis
}

// The times of a shutdown, in milliseconds.
const (
	// noticeTime is the time after which, in most cases, the balancer has seen two
	// failed readiness checks, one a second. It counts from the start of the
	// shutdown, and is at most a third of StopTime less stopMargin.
	noticeTime = 1_800 * clock.Millis(1)
	// lastRequestTime is the time after which no further request is accepted: a
	// long one that began later than 3 s after SIGTERM could not be finished. It
	// counts from the start of the shutdown. With a short StopTime, half of the
	// time that it leaves before stopMargin holds instead.
	lastRequestTime = 2_800 * clock.Millis(1)
	// stopMargin is how long before the end of StopTime Stop gives up waiting for
	// open connections and returns.
	stopMargin = 400 * clock.Millis(1)
	// lastAnswersTime is how long Stop then waits until the requests that are still open
	// have been answered. The rest of stopMargin is for the log.
	lastAnswersTime = 150 * clock.Millis(1)
	// lastAnswersCheck is the interval of the checks for unanswered requests.
	lastAnswersCheck = 10 * clock.Millis(1)
	// stopCheckInterval is the interval of the checks for open connections.
	stopCheckInterval = 50 * clock.Millis(1)
)

// Host is one proxying host. Its exported fields are set before Start.
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
func (h *Host) Start(ctx context.Context) error {
	h.Apply(h.Settings)
	h.Proxy.Prepare()
	if h.Proxy.Guard != nil {
		h.Proxy.Guard.Register()
		go h.Proxy.Guard.Run(ctx)
	}
	if h.Cluster != nil {
		h.Cluster.Broker.Register()
		h.Cluster.Notifier.Register()
		h.Cluster.Mirror.Register()
		go h.Cluster.run(ctx, h.Log)
	}
	h.Watcher.Changed = func(v watch.View) { h.Proxy.SetServers(v.Servers) }
	h.httpServer = &httpd.Server{
		Address:   h.Settings.CallerAddress,
		Clock:     h.Clock,
		Handle:    h.Proxy.Handle,
		Limits:    h.limits,
		MaxBodies: h.Settings.MaxBodies,
		Refused:   func(r *refuse.Refusal) { h.Log.Info("Refused a bad request.", "reason", r.Reason, "text", r.Text) },
		Log:       h.Log,
		Count:     h.Count,
	}
	if err := h.httpServer.Start(); err != nil {
		return err
	}
	if err := h.startReadiness(); err != nil {
		return err
	}
	if err := h.startMetrics(); err != nil {
		return err
	}
	if h.Cluster != nil {
		go h.Cluster.Mirror.Run(ctx)
	} else {
		go h.Watcher.Run(ctx)
	}
	return nil
}

// startMetrics serves all counters, gauges and latencies in the Prometheus text
// format, if MetricsAddress is set.
func (h *Host) startMetrics() error {
	if h.Settings.MetricsAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", h.Settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listening for metrics")
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		h.updateGauges()
		c.SetContentType("text/plain; version=0.0.4")
		if err := h.Count.WritePrometheus(c); err != nil {
			h.Log.Warn("The metrics could not be written.", "err", err)
		}
	}}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			h.Log.Error("The metrics server failed.", "err", err)
		}
	}()
	return nil
}

// updateGauges sets the gauges of the host's current state.
func (h *Host) updateGauges() {
	v := h.Watcher.View()
	if v.Manifest != nil {
		h.Count.Set(meter.Manifest, v.Manifest.Version())
	}
	h.Count.Set(meter.ManifestAge, int64(h.Watcher.Age(h.Clock.Boot())))
	h.Count.Set(meter.Unreadable, indicator(h.Watcher.Unreadable()))
	h.Count.Set(meter.OpenRequests, int64(h.httpServer.Open()))
	h.Count.Set(meter.Connections, int64(h.httpServer.Connections()))
	h.Count.Set(meter.Hosts, int64(h.Proxy.Hosts()))
	h.Count.Set(meter.Goroutines, int64(runtime.NumGoroutine()))
	h.Count.Set(meter.Ready, indicator(h.Ready()))
	if h.Cluster != nil {
		h.Count.Set(meter.ReadsStore, indicator(h.Cluster.Mirror.ReadsStore()))
	}
	if h.DroppedLogLines != nil {
		h.Count.Set(meter.LogQueueDropped, h.DroppedLogLines())
	}
	h.Proxy.UpdateGauges()
}

// indicator returns 1 for true.
func indicator(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// Apply applies changed settings. The addresses stay those given at Start.
func (h *Host) Apply(s Settings) { h.liveSettings.Store(&s) }

// limits returns the manifest's limits on requests, or the defaults without one.
func (h *Host) limits() httpd.Limits {
	v := h.Watcher.View()
	if v.Manifest == nil {
		return httpd.Limits{}
	}
	l := v.Manifest.Limits()
	return httpd.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTime: l.HeaderTime, Idle: l.Idle}
}

// startReadiness answers any request on the readiness address with status 200 or 503.
func (h *Host) startReadiness() error {
	listener, err := net.Listen("tcp", h.Settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listening for readiness checks")
	}
	h.readyServer = &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			if !h.Ready() {
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	go func() {
		if err := h.readyServer.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			h.Log.Error("The readiness server failed.", "err", err)
		}
	}()
	return nil
}

// Ready reports whether the host should get new connections. It logs each change.
func (h *Host) Ready() bool {
	v := h.Watcher.View()
	age := h.Watcher.Age(h.Clock.Boot())
	known := v.Manifest != nil && v.ServersKnown
	ready := known && !h.stopping.Load() && age <= h.liveSettings.Load().MaxReadyAge
	if h.wasReady.Swap(ready) != ready {
		h.Log.Info("Readiness changed.", "ready", ready, "age", age, "known", known, "stopping", h.stopping.Load())
	}
	return ready
}

// Stop shuts the host down gracefully within StopTime: requests in progress are
// finished if the time allows.
func (h *Host) Stop() {
	began := h.Clock.Now()
	h.Log.Info("Stopping.", "open", h.httpServer.Open(), "connections", h.httpServer.Connections())
	h.stopping.Store(true)
	elapsed := func(m clock.Millis) bool { return h.Clock.Now() >= began+m }
	limit := h.liveSettings.Load().StopTime - stopMargin
	closeAnnounced := false
	listenerClosed := false
	for !elapsed(limit) {
		if !closeAnnounced && elapsed(min(noticeTime, limit/3)) {
			closeAnnounced = true
			h.httpServer.Stopping()
		}
		if !listenerClosed && elapsed(min(lastRequestTime, limit/2)) {
			listenerClosed = true
			h.Proxy.Drain()
			if err := h.httpServer.Close(); err != nil {
				h.Log.Warn("The listener could not be closed.", "err", err)
			}
		}
		if listenerClosed {
			h.httpServer.CloseIdle()
			if h.httpServer.Connections() == 0 {
				break
			}
		}
		<-h.Clock.After(stopCheckInterval)
	}
	h.endRequests()
	h.Log.Info("Stopped.", "open", h.httpServer.Open(), "took", h.Clock.Now()-began)
}

// endRequests answers the requests that are still open, and waits until that is done.
func (h *Host) endRequests() {
	open := h.httpServer.Open()
	if open == 0 {
		return
	}
	h.Log.Warn("The time to stop is over; open requests are ended.", "open", open)
	h.Proxy.EndRequests()
	for until := h.Clock.Now() + lastAnswersTime; h.httpServer.Open() > 0 && h.Clock.Now() < until; {
		<-h.Clock.After(lastAnswersCheck)
	}
}
