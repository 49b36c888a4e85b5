package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// record lists what was sent, answered and run.
var record = struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}{out: io.Discard, start: time.Now()}

// note writes one line to the record.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.out, "%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, args...))
}

// cleanups end what the case started, the last first.
var cleanups []func()

func cleanup() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	note("The case could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanup()
	os.Exit(2)
}

// handler answers one request on a connection. It returns false to close the connection.
type handler func(c net.Conn, r *http.Request, body []byte) bool

// server is a stand-in for a backend server.
type server struct {
	id       string
	address  string
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// newServer starts a server. It lists no cached segments.
func newServer(ip, id string, handle handler) *server {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listening as a server: %v", err)
	}
	s := &server{id: id, address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, handle)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, handle handler) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/kv-list" {
			text := `{"epoch":1,"next":0,"held":[]}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		if !handle(c, r, body) {
			return
		}
	}
}

// end ends the server and its connections.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// front is one process of the project.
type front struct {
	name    string
	address string
	ready   string
	path    string
	process *exec.Cmd
	log     *os.File
}

// pickNet returns the first two numbers after 127 of the addresses of one run.
func pickNet() string { return fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)) }

// startFront starts a process with the command of the deploy file and settings like those
// of the small deployments.
func startFront(dir, name, ip, zone, store string) *front {
	f := &front{name: name, address: ip + ":8227", ready: ip + ":8220", path: dir + "/" + name + ".json"}
	settings := map[string]any{
		"node_name": name, "role": "entry", "machine_class": "front", "serves": []string{"front"},
		"ip": ip, "zone": zone, "region": "r",
		"zones":      map[string]string{"za": "r", "zb": "r", "zc": "r"},
		"listen":     map[string]string{"front": f.address, "ready": f.ready},
		"port_range": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "counts_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"tolerate": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
		},
		"provider": map[string]any{
			"address": store, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		fail("%v", err)
	}
	if err := os.WriteFile(f.path, text, 0o600); err != nil {
		fail("%v", err)
	}
	f.log, err = os.Create(dir + "/" + name + ".log")
	if err != nil {
		fail("%v", err)
	}
	f.start()
	cleanups = append(cleanups, f.kill)
	return f
}

func (f *front) start() {
	f.process = exec.Command("target/siskinsaddle", "front")
	f.process.Env = []string{"SISKINSADDLE_CONFIG=" + f.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	f.process.Stdout, f.process.Stderr = f.log, f.log
	if err := f.process.Start(); err != nil {
		fail("starting a process: %v", err)
	}
}

func (f *front) kill() {
	_ = f.process.Process.Kill()
	_ = f.process.Wait()
}

// awaitReady waits until the process says that it is ready.
func (f *front) awaitReady(limit time.Duration) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + f.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	fail("%s is not ready after %v", f.name, limit)
}

// answer is what a consumer saw.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

// consumer has one connection to a front, which it keeps if it may.
type consumer struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one whole request.
func (c *consumer) send(method, path, id string, headers []string, body string) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n", method, path, id)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := c.conn.Write([]byte(b.String()))
	return err
}

// receive reads the answer.
func (c *consumer) receive(limit time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(r.Body)
	a := answer{status: r.StatusCode, header: r.Header, body: body, complete: err == nil, err: err}
	if err != nil || r.Close {
		c.close()
	}
	return a
}

// config is a config with a route of each kind.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 100},
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 360, "engine": map[string]any{"slots": 64, "kv_tokens": 557973}},
		},
		"routes": []any{
			map[string]any{"name": "booking", "host": "shop.example", "prefix": "/b/", "service": "app", "kind": "unsafe", "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "max_attempts": 1},
			map[string]any{"name": "lookup", "host": "shop.example", "prefix": "/l/", "service": "app", "kind": "safe", "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "max_attempts": 2},
			map[string]any{"name": "chat", "host": "shop.example", "prefix": "/n/", "service": "llm", "kind": "streaming", "timeout_ms": 8000, "goal_ms": 500, "gap_target_ms": 500, "priority": 0, "max_attempts": 1, "sticky": true},
			map[string]any{"name": "draft", "host": "shop.example", "prefix": "/t/", "service": "llm", "kind": "streaming", "timeout_ms": 5000, "goal_ms": 800, "gap_target_ms": 800, "priority": 1, "max_attempts": 2, "sticky": true, "resumable": true},
		},
	}
}

// entry is the record of a ready server.
func entry(service, address, zone string, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": born,
	}
}
