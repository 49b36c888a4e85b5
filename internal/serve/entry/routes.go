package entry

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/serve/refuse"
)

// route maps a path, or a path prefix, to its handler.
type route struct {
	// method is empty if the route serves every method.
	method string
	path   string
	// prefix reports whether path is a prefix of the served paths.
	prefix bool
	serve  func(*Entry, *fasthttp.RequestCtx) *refuse.Refusal
}

func (r route) matches(path string) bool {
	if r.prefix {
		return strings.HasPrefix(path, r.path)
	}
	return path == r.path
}

var routes = []route{
	{method: "POST", path: "/v1/chat/completions", serve: (*Entry).completion},
	{method: "POST", path: "/v1/completions", serve: (*Entry).completion},
	{method: "GET", path: "/v1/models", serve: (*Entry).models},
	{path: "/services/", prefix: true, serve: (*Entry).service},
	{method: "GET", path: "/healthz", serve: (*Entry).health},
	{method: "GET", path: "/readyz", serve: (*Entry).ready},
	{method: "GET", path: "/metrics", serve: (*Entry).metrics},
}

// health is the liveness check; it succeeds while the process runs.
func (e *Entry) health(c *fasthttp.RequestCtx) *refuse.Refusal {
	c.SetContentType("text/plain; charset=utf-8")
	c.SetBodyString("ok\n")
	return nil
}

// ready is the readiness check for the load balancer.
func (e *Entry) ready(c *fasthttp.RequestCtx) *refuse.Refusal {
	if e.shuttingDown.Load() {
		return refuse.New(refuse.ReasonStopping)
	}
	if !e.IsReady() {
		return refuse.New(refuse.ReasonNotReady)
	}
	return e.health(c)
}

// IsReady reports whether the load balancer should send callers to this host.
func (e *Entry) IsReady() bool {
	return !e.shuttingDown.Load() && e.View().Index != nil && e.Ready()
}

// metrics writes the counters and gauges.
func (e *Entry) metrics(c *fasthttp.RequestCtx) *refuse.Refusal {
	setProcessGauges(e.Count)
	e.Count.Set("siskinsaddle_open_requests", int64(e.openRequests.count()))
	e.Count.Set("siskinsaddle_manifest_generation", e.View().Generation)
	c.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	if err := e.Count.WritePrometheus(c); err != nil {
		e.Log.Warn("Could not write the metrics.", "error", err)
	}
	return nil
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
