package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/httpd"
	"siskinsaddle/internal/serve/proxy"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/watch"
)

var fields = proxy.Fields{
	RequestID:      "Request-Id",
	Timeout:        "Time-Left",
	Key:            "Key",
	Workspace:      "Workspace",
	Server:         "For-Server",
	Urgency:        "Urgency",
	LastEvent:      "Last-Event-Id",
	NotRun:         "Not-Run",
	RateLimit:      "Rate-Limit",
	Leaving:        "Leaving",
	HoldOff:        "Hold-Off",
	ServerStamp:    "Stamp",
	PromptSegments: "Prompt-Parts",
	TokenCounts:    "Token-Counts",
	Reserved:       []string{"Reserved"},
}

// harness is a host in front of stand-in backend servers whose behaviour the test sets.
type harness struct {
	c          *qt.C
	httpServer *httpd.Server
	forwarder  *proxy.Proxy
	// mu guards servers and list, which addServer and removeServer change.
	mu             sync.Mutex
	servers        []*origin.Origin
	list           []fleet.Server
	count          *count.Set
	log            logBuffer
	manifestAge    atomic.Int64
	serversUnknown atomic.Bool
	// keyless is set if the manifest has no workspaces and requires no key.
	keyless atomic.Bool
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var (
	manifest        = route.NewManifest(manifestParts)
	keylessManifest = route.NewManifest(route.Parts{Version: 4, Routes: manifestParts.Routes, Services: manifestParts.Services})
)

var manifestParts = route.Parts{
	Version: 3,
	Routes: []route.Route{
		{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: route.KindSafe, TimeLimit: 2_000, Target: 100, MaxServers: 2, Shares: []route.Share{{Service: "app", Weight: 1}}},
		{Name: "booking", Host: "a.example", Prefix: "/booking/", Kind: route.KindUnsafe, TimeLimit: 2_000, Target: 100, MaxServers: 2, Shares: []route.Share{{Service: "app", Weight: 1}}},
		{Name: "once", Host: "a.example", Prefix: "/once/", Kind: route.KindStream, TimeLimit: 2_000, Target: 100, MaxServers: 1, Shares: []route.Share{{Service: "app", Weight: 1}}},
		{Name: "resumed", Host: "a.example", Prefix: "/resumed/", Kind: route.KindStream, Resumable: true, TimeLimit: 2_000, Target: 100, MaxServers: 2, Shares: []route.Share{{Service: "app", Weight: 1}}},
		{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: route.KindStream, Prompts: true, TimeLimit: 2_000, Target: 100, MaxServers: 1, Shares: []route.Share{{Service: "app", Weight: 1}}},
		{Name: "open", Host: "a.example", Prefix: "/open/", Kind: route.KindSafe, TimeLimit: 2_000, MaxServers: 2, Public: true, Shares: []route.Share{{Service: "app", Weight: 1}}},
		{Name: "short", Host: "a.example", Prefix: "/short/", Kind: route.KindUnsafe, TimeLimit: 150, MaxServers: 1, Shares: []route.Share{{Service: "app", Weight: 1}}},
	},
	Services:   []route.Service{{Name: "app"}},
	Workspaces: []route.Workspace{{Name: "stall", Keys: []string{"right"}}},
	Keyed:      true,
}

func newHarness(c *qt.C, servers int, stream bool) *harness {
	r := &harness{c: c, count: count.NewSet()}
	for range servers {
		r.addServer(&origin.Origin{Stream: stream})
	}
	l := logs.Limit(logs.NewPlain(&r.log, logs.LevelInfo), clock.System(), count.NewSet())
	r.forwarder = &proxy.Proxy{
		Fields: fields,
		Clock:  clock.System(),
		View: func() watch.View {
			v := watch.View{Manifest: manifest, Servers: r.serverList(), ServersKnown: !r.serversUnknown.Load()}
			if r.keyless.Load() {
				v.Manifest = keylessManifest
			}
			return v
		},
		Age:             func(clock.Millis) clock.Millis { return clock.Millis(r.manifestAge.Load()) },
		Client:          &wire.Client{DialTimeout: 500, ProgressTimeout: 5_000, Faults: &reply.Faults{Log: l, Count: r.count}},
		ServersIdentify: true,
		Placer:          place.New(place.Defaults()),
		Hosts:           func() int { return 1 },
		Guard:           &guard.Guard{Self: "host", Clock: clock.System(), Log: l, Count: r.count},
		Log:             l,
		Count:           r.count,
	}
	r.forwarder.Guard.Register()
	r.forwarder.Apply(proxy.Limits{MaxKeyAge: 4_000, RepeatRatio: 0.2, RepeatSlack: 20, RepeatWindow: 10_000})
	r.forwarder.Prepare()
	r.forwarder.SetServers(r.serverList())
	r.httpServer = &httpd.Server{
		Address: "127.0.0.1:0",
		Clock:   clock.System(),
		Handle:  r.forwarder.Handle,
		Limits:  func() httpd.Limits { return httpd.Limits{} },
		Log:     l,
		Count:   r.count,
	}
	c.Assert(r.httpServer.Start(), qt.IsNil)
	c.Cleanup(func() { _ = r.httpServer.Close() })
	return r
}

// addServer starts a server and adds it to the list.
func (r *harness) addServer(o *origin.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.ID, o.Fields = fmt.Sprintf("i-%d", len(r.servers)), fields
	r.c.Assert(o.Start(), qt.IsNil)
	r.c.Cleanup(o.Stop)
	r.servers = append(r.servers, o)
	r.list = append(slices.Clone(r.list), fleet.Server{ID: o.ID, Service: "app", Address: o.ListenAddress()})
}

// removeServer removes a server from the list.
func (r *harness) removeServer(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = slices.DeleteFunc(slices.Clone(r.list), func(s fleet.Server) bool { return s.ID == id })
}

func (r *harness) serverList() []fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// runs returns how often a request ran on all servers together.
func (r *harness) runs(id string) int {
	n := 0
	for _, s := range r.servers {
		n += s.Runs(id)
	}
	return n
}

// connections returns the number of open connections to all servers.
func (r *harness) connections() int {
	n := 0
	for _, s := range r.servers {
		n += s.Connections()
	}
	return n
}

// buffered returns the memory of responses that are read whole.
func (r *harness) buffered() int64 {
	r.forwarder.UpdateGauges()
	return r.count.Gauge(meter.BufferedBytes)
}

// response is a response as the caller received it. whole is set if the body was
// complete; the status is 0 if there was no response.
type response struct {
	status  int
	body    string
	whole   bool
	closes  bool
	headers http.Header
}

func (r *harness) dial() net.Conn {
	conn, err := net.Dial("tcp", r.httpServer.Bound())
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	r.c.Cleanup(func() { _ = conn.Close() })
	return conn
}

func request(method, path, id, extraHeaders string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nKey: right\r\nTime-Left: 4000\r\n%s\r\n", method, path, id, extraHeaders)
}

func (r *harness) send(method, path, id, extraHeaders string) response {
	conn := r.dial()
	_, err := io.WriteString(conn, request(method, path, id, extraHeaders))
	r.c.Assert(err, qt.IsNil)
	return readResponse(r.c, bufio.NewReader(conn), method)
}

// statusOf sends a GET request with the given header lines and no others but its id, and returns
// the status of the response.
func (r *harness) statusOf(path, fields string) int {
	conn := r.dial()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: k\r\n%s\r\n", path, fields)
	r.c.Assert(err, qt.IsNil)
	return readResponse(r.c, bufio.NewReader(conn), "GET").status
}

func readResponse(_ *qt.C, reader *bufio.Reader, method string) response {
	received, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return response{}
	}
	body, err := io.ReadAll(received.Body)
	_ = received.Body.Close() // an error of the body was returned by ReadAll
	return response{status: received.StatusCode, body: string(body), whole: err == nil, closes: received.Close, headers: received.Header}
}

func isOriginResponse(body string) bool { return strings.HasPrefix(body, "answer of i-") }

func start(t *testing.T, servers int, stream bool) (*qt.C, *harness) {
	c := qt.New(t)
	return c, newHarness(c, servers, stream)
}

// withBroker lets the host keep its services itself.
func (r *harness) withBroker() {
	self := []member.Member{{Name: "host", Cores: 1}}
	r.forwarder.Broker = &broker.Broker{
		Self: "host", Members: func() []member.Member { return self }, Guard: r.forwarder.Guard,
		Clock: clock.System(), Log: r.forwarder.Log, Count: r.count, Settings: grant.Defaults(),
	}
	r.forwarder.Broker.Register()
	r.forwarder.SetServers(r.serverList())
}
