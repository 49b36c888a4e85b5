package verbs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/serve/proxyd"
	"siskinsaddle/internal/tools/trace"
	"siskinsaddle/platform"
)

const frontManifest = `{"version": 3,
 "routes": [
  {"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 8000, "goal_ms": 500, "priority": 0, "service": "llm", "max_attempts": 1, "sticky": true, "gap_target_ms": 500},
  {"name": "booking", "host": "a.example", "prefix": "/booking/", "kind": "unsafe", "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "service": "app", "max_attempts": 1}],
 "services": [{"name": "llm", "health_path": "/health", "max_conns": 360, "engine": {"slots": 64, "kv_tokens": 557973}}, {"name": "app", "health_path": "/health", "max_conns": 100}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "stall", "api_keys": ["right"], "priority": 1}]}`

// logBuffer collects a host's log. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
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

// harness runs a store, two servers and hosts, connected by loopback sockets.
type harness struct {
	c            *qt.C
	store        *memdb.Store
	storeAddress string
	chat         *origin.Origin
	app          *origin.Origin
	hosts        []*frontHost
}

type frontHost struct {
	host     *proxyd.Host
	log      *logBuffer
	settings platform.Settings
	file     string
	stop     func()
}

// The ports of the hosts are below those that the system gives to other processes, which
// could take one before its host listens. Each process of the tests begins elsewhere.
const (
	firstPort = 10_000
	portCount = 20_000
)

var lastPort = os.Getpid() * 16

func freePort(c *qt.C, ip string) int {
	for range portCount {
		lastPort++
		port := firstPort + lastPort%portCount
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port)); err == nil {
			c.Assert(l.Close(), qt.IsNil)
			return port
		}
	}
	c.Fatalf("no free port at %s", ip)
	return 0
}

func newHarness(c *qt.C, hosts int) *harness {
	s := &harness{c: c, store: memdb.New(clock.System())}
	s.serveStore(platform.ServeStore(s.store.For("any")))
	s.chat = &origin.Origin{ID: "i-chat", Fields: platform.Headers, Stream: true}
	s.app = &origin.Origin{ID: "i-app", Fields: platform.Headers}
	for service, o := range map[string]*origin.Origin{"llm": s.chat, "app": s.app} {
		c.Assert(o.Start(), qt.IsNil)
		c.Cleanup(o.Stop)
		record, err := json.Marshal(map[string]any{"service": service, "address": o.ListenAddress(), "zone": "a", "slots": 64, "state": "ready"})
		c.Assert(err, qt.IsNil)
		s.store.Put(platform.ServersTable, o.ID, record)
	}
	s.store.Put(platform.OperatorTable, "config", []byte(frontManifest))
	for i := range hosts {
		s.start(fmt.Sprintf("127.0.0.%d", i+2))
	}
	return s
}

// serveStore serves the store at a new address, for the hosts that start later.
func (s *harness) serveStore(handler fasthttp.RequestHandler) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	server := &fasthttp.Server{Handler: handler, Logger: logs.Discard()}
	go func() { _ = server.Serve(l) }()
	s.c.Cleanup(func() { _ = l.Close() })
	s.storeAddress = l.Addr().String()
}

// writeSettings returns a host that is not started, with its settings in a file.
func (s *harness) writeSettings(ip string) *frontHost {
	c := s.c
	text := fmt.Sprintf(`{"node_name": "host-%[1]s", "ip": "%[1]s", "zone": "a", "region": "r", "port_range": [%[2]d, %[2]d],
	  "listen": {"front": "%[1]s:%[3]d", "ready": "%[1]s:%[4]d"}, "limits": {"cpu_share": 1, "cores": 1, "memory_mb": 284, "max_fds": 4100},
	  "bounds": {"grace_s": 3, "config_apply_ms": 2000, "strict_revoke": true, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54},
	  "provider": {"address": "%[5]s"}}`, ip, freePort(c, ip), freePort(c, ip), freePort(c, ip), s.storeAddress)
	h := &frontHost{log: &logBuffer{}, file: filepath.Join(c.TempDir(), "settings.json")}
	c.Assert(os.WriteFile(h.file, []byte(text), 0o600), qt.IsNil)
	var err error
	h.settings, err = platform.Load(h.file)
	c.Assert(err, qt.IsNil)
	return h
}

func (s *harness) start(ip string) {
	c := s.c
	h := s.writeSettings(ip)
	clk, set := clock.System(), count.NewSet()
	plain := logs.NewPlain(h.log, logs.LevelInfo)
	h.host = newFrontHost(h.settings, clk, logs.Limit(plain, clk, set), plain, set)
	h.host.Settings.MetricsAddress = ""
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	c.Assert(h.host.Start(ctx), qt.IsNil)
	h.stop = sync.OnceFunc(h.host.Stop)
	c.Cleanup(h.stop)
	for !h.host.Ready() || len(h.host.Cluster.Members()) == 0 {
		time.Sleep(time.Millisecond) // hangs if the host never becomes ready
	}
	s.hosts = append(s.hosts, h)
}

// send sends one request to a host. It returns the status, the body, and whether the
// response was complete.
func (s *harness) send(host int, path, id, more string) (int, string, bool) {
	c := s.c
	conn, err := net.Dial("tcp", s.hosts[host].settings.CallerAddress)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nX-Api-Key: right\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n%s\r\n", path, id, more)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err == nil
}

// cause explains a request from the hosts' logs, as docs/OPERATIONS.md describes.
func (s *harness) cause(id string) trace.Cause {
	// The line is written after the response. The loop hangs if it never is.
	for !s.logged("id=" + id + " outcome=") {
		time.Sleep(time.Millisecond)
	}
	var sources []trace.Source
	for i, h := range s.hosts {
		sources = append(sources, trace.Source{Name: fmt.Sprint("host ", i), Reader: strings.NewReader(h.log.String())})
	}
	story, err := trace.Read(sources, id)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(story.Lines, qt.Not(qt.HasLen), 0)
	s.c.Assert(story.HostState, qt.Not(qt.HasLen), 0)
	var out strings.Builder
	s.c.Assert(story.Write(&out), qt.IsNil)
	s.c.Assert(strings.Contains(out.String(), id), qt.IsTrue)
	return story.Cause()
}

func (s *harness) logged(text string) bool {
	for _, h := range s.hosts {
		if strings.Contains(h.log.String(), text) {
			return true
		}
	}
	return false
}

const promptHeaders = "Token-Counts: 1460,80\r\nPrompt-Prefix: 5c1e:350,91bd:1110\r\nModel: m\r\n"

func TestRequestsAreServedThroughEveryHost(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 2)
	for i := range 4 {
		status, body, whole := s.send(i%2, "/chat/1", fmt.Sprint("chat", i), promptHeaders)
		c.Assert(status, qt.Equals, 200)
		c.Assert(whole, qt.IsTrue)
		c.Assert(body, qt.Equals, origin.FullStream())
		status, body, _ = s.send(i%2, "/booking/1", fmt.Sprint("booking", i), "")
		c.Assert(status, qt.Equals, 200)
		c.Assert(body, qt.Equals, "answer of i-app")
	}
	c.Assert(s.cause("chat0").Outcome, qt.Equals, "Served")
	seen := s.chat.Requests()
	last := seen[len(seen)-1]
	c.Assert(last.Header.Get("Tenant"), qt.Equals, "stall")
	c.Assert(last.Header.Get("Expect-Instance"), qt.Equals, "i-chat")
	c.Assert(last.Header.Get("Request-Urgency"), qt.Equals, "3")
	c.Assert(last.Header.Get("X-Api-Key"), qt.Equals, "")
}

// Guards that the cause of a failed request can be found from the hosts' logs alone.
func TestLogsExplainFailedRequests(t *testing.T) {
	for _, test := range []struct {
		name, path, more string
		act              origin.Behavior
		status           int
		outcome, cause   string
	}{
		{"an unsafe call whose answer was lost", "/booking/1", "", origin.Reset, 502, "Refused", "BackendFailed"},
		{"a stream that broke with its server", "/chat/1", promptHeaders, origin.Tear, 200, "BrokenOff", "Broken"},
		{"a refusal of a full server", "/chat/1", promptHeaders, origin.NotRun, 503, "Refused", "Full"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newHarness(c, 2)
			s.chat.Enqueue(test.act)
			s.app.Enqueue(test.act)
			status, _, whole := s.send(1, test.path, "failed1", test.more)
			c.Assert(status, qt.Equals, test.status)
			c.Assert(whole, qt.Equals, test.outcome != "BrokenOff")
			got := s.cause("failed1")
			c.Assert(got.Outcome, qt.Equals, test.outcome)
			c.Assert(got.Name, qt.Equals, test.cause)
			c.Assert(got.Meaning, qt.Not(qt.Equals), "")
		})
	}
}

// A revoked key must be refused within the revocation bound, also while the store is
// down: the host then refuses every key, as not run.
func TestRevokedKeyIsRefusedWithinBound(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 1)
	status, _, _ := s.send(0, "/booking/1", "before", "")
	c.Assert(status, qt.Equals, 200)
	s.store.SetFaults(memdb.Faults{Down: true})
	revoked := time.Now()
	s.store.Put(platform.OperatorTable, "config", []byte(strings.Replace(frontManifest, `"right"`, `"other"`, 1)))
	for n := 0; ; n++ {
		sent := time.Since(revoked)
		id := fmt.Sprint("after", n)
		status, _, _ := s.send(0, "/booking/1", id, "")
		if status == 503 {
			c.Assert(s.cause(id).Name, qt.Equals, "Unconfirmed")
			break
		}
		c.Assert(status, qt.Equals, 200)
		c.Assert(sent < 5*time.Second, qt.IsTrue)
		time.Sleep(10 * time.Millisecond) // stays below the log's rate limit
	}
	c.Assert(s.hosts[0].host.Ready(), qt.IsFalse)
	s.store.SetFaults(memdb.Faults{})
	for status := 503; status != 401; {
		time.Sleep(10 * time.Millisecond)
		status, _, _ = s.send(0, "/booking/1", "late", "")
		c.Assert(status == 503 || status == 401, qt.IsTrue)
	}
}

// A graceful stop finishes accepted requests and makes the host not ready at once.
func TestGracefulStopFinishesOpenRequests(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 1)
	conn, err := net.Dial("tcp", s.hosts[0].settings.CallerAddress)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: open\r\nX-Api-Key: right\r\nContent-Length: 0\r\n%s\r\n", promptHeaders)
	c.Assert(err, qt.IsNil)
	for s.chat.Runs("open") == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan bool)
	go func() {
		s.hosts[0].stop()
		close(stopped)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Assert(string(body), qt.Equals, origin.FullStream())
	c.Assert(s.hosts[0].host.Ready(), qt.IsFalse)
	<-stopped
	c.Assert(s.cause("open").Outcome, qt.Equals, "Served")
	_, err = net.DialTimeout("tcp", s.hosts[0].settings.CallerAddress, time.Second)
	c.Assert(err, qt.Not(qt.IsNil))
}

func TestSettingsReloadIsAllOrNothing(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 1)
	h := s.hosts[0]
	out := &logBuffer{}
	r := &reloader{file: h.file, current: h.settings, host: h.host, clock: clock.System(), log: logs.Limit(logs.New(out, logs.LevelInfo), clock.System(), nil)}
	text, err := os.ReadFile(h.file)
	c.Assert(err, qt.IsNil)
	write := func(old, next string) {
		c.Assert(os.WriteFile(h.file, bytes.Replace(text, []byte(old), []byte(next), 1), 0o600), qt.IsNil)
		r.reload("SIGHUP")
	}
	write(`"revoke_ms": 5000`, `"revoke_ms": 4000`)
	c.Assert(r.current.Bounds.Revoke, qt.Equals, clock.Millis(4_000))
	c.Assert(strings.Contains(out.String(), "Settings applied."), qt.IsTrue)
	write(`"zone": "a"`, `"zone": "b"`)
	write(`"revoke_ms": 5000`, `"revoke_ms": "x"`)
	c.Assert(r.current.Bounds.Revoke, qt.Equals, clock.Millis(4_000))
	c.Assert(strings.Count(out.String(), "were refused"), qt.Equals, 2)
	c.Assert(strings.Contains(out.String(), "failure domain"), qt.IsTrue)
	c.Assert(strings.Contains(out.String(), "revoke_ms"), qt.IsTrue)
}

// A request that is still queued for a server when its host stops is refused as not
// run, in time for the caller to try another host.
func TestStopRefusesQueuedRequestsAsNotRun(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 1)
	s.chat.SetDefault(origin.Silent)
	long := "Token-Counts: 17000,80\r\nPrompt-Prefix: 5c1e:13300,91bd:3700\r\nModel: m\r\n"
	first := make(chan bool)
	go func() {
		conn, err := net.Dial("tcp", s.hosts[0].settings.CallerAddress)
		if err == nil {
			_, _ = fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: first\r\nX-Api-Key: right\r\nContent-Length: 0\r\n%s\r\n", long)
			<-first
			_ = conn.Close()
		}
	}()
	for s.chat.Runs("first") == 0 {
		time.Sleep(time.Millisecond)
	}
	queuedStatus := make(chan int)
	go func() {
		status, _, _ := s.send(0, "/chat/1", "waits", long)
		queuedStatus <- status
	}()
	for s.hosts[0].host.Proxy.Broker.Waiting("llm") == 0 {
		time.Sleep(time.Millisecond)
	}
	go s.hosts[0].stop()
	c.Assert(<-queuedStatus, qt.Equals, 503)
	c.Assert(s.chat.Runs("waits"), qt.Equals, 0)
	close(first)
	c.Assert(s.cause("waits").Name, qt.Equals, "Stopping")
}

// A host that stops ends its process when its time is over. Requests that a server still runs
// then get an answer that says so, and no closed connection.
func TestRequestsThatOutlastAStopAreAnswered(t *testing.T) {
	for _, hosts := range []int{1, 2} {
		t.Run(fmt.Sprint("hosts=", hosts), func(t *testing.T) {
			c := qt.New(t)
			s := newHarness(c, hosts)
			s.chat.SetDefault(origin.Silent)
			s.app.SetDefault(origin.Silent)
			const lateAfter = 1_200 * time.Millisecond // just before requests are refused
			stopped := make(chan struct{})
			began := time.Now()
			go func() { defer close(stopped); s.hosts[0].stop() }()
			type answer struct {
				id, text string
				status   int
				whole    bool
			}
			answers := make(chan answer, 2)
			send := func(path, id, more string) {
				go func() {
					status, text, whole := s.send(0, path, id, more)
					answers <- answer{id, text, status, whole}
				}()
			}
			send("/chat/1", "early-chat", promptHeaders)
			time.Sleep(lateAfter - time.Since(began))
			send("/booking/1", "late-booking", "")
			<-stopped
			for range 2 {
				select {
				case got := <-answers:
					c.Check(got.status, qt.Equals, 502, qt.Commentf("%s", got.id))
					c.Check(got.whole, qt.IsTrue, qt.Commentf("%s", got.id))
					c.Check(got.text, qt.Contains, `"Ran":"Unknown"`, qt.Commentf("%s", got.id))
					c.Check(s.chat.Runs(got.id)+s.app.Runs(got.id), qt.Equals, 1)
				case <-time.After(100 * time.Millisecond):
					c.Fatal("a request has no answer when its host ends")
				}
			}
		})
	}
}
