package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "yard-app"
	routeHost   = "yard.example"
	routePrefix = "/jobs/"
	// unsafePrefix is that of a route whose requests may run once.
	unsafePrefix = "/bookings/"
	// streamPrefix is that of a route with streams that may be resumed.
	streamPrefix = "/quotes/"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	zoneCount    = 3
)

// The bounds of the small deployments' pages.
const (
	boundContact = 3 * time.Second
	boundDrain   = 2 * time.Second
	// boundMargin is added to each bound, for the delay between the clocks' readings.
	boundMargin = 20 * time.Millisecond
)

// host is a process of the system.
type host struct {
	name    string
	ip      string
	caller  string
	ready   string
	process *exec.Cmd
	client  *http.Client
	logFile *os.File
}

// lab holds the processes and stand-ins of a case.
type lab struct {
	program string
	trouble bool
	began   time.Time
	folder  string
	store   *store
	network string
	hosts   []*host
	servers int

	mu     sync.Mutex
	record io.Writer
	calls  []*call
}

// call is a caller's request.
type call struct {
	id     string
	host   *host
	sentAt time.Time
	status int
}

func newLab(program string, trouble bool, record io.Writer) (*lab, error) {
	folder, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	l := &lab{
		program: program, trouble: trouble, began: time.Now(), folder: folder, store: s, record: record,
		network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)),
	}
	return l, nil
}

// log writes a line of the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...)) // the exit status counts
}

// config writes the first config.
func (l *lab) config() error {
	return l.store.put(operator, "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{
				"name": "r-jobs", "host": routeHost, "prefix": routePrefix, "kind": "safe", "timeout_ms": 2000, "goal_ms": 300,
				"priority": 2, "service": serviceName, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
			},
			{
				"name": "r-bookings", "host": routeHost, "prefix": unsafePrefix, "kind": "unsafe", "timeout_ms": 2000, "goal_ms": 300,
				"priority": 2, "service": serviceName, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
			},
			{
				"name": "r-quotes", "host": routeHost, "prefix": streamPrefix, "kind": "streaming", "timeout_ms": 5000, "goal_ms": 800,
				"priority": 1, "service": serviceName, "max_attempts": 2, "public": false, "sticky": false, "resumable": true,
				"gap_target_ms": 800,
			},
		},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 100}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
}

// addServer starts and registers a server.
func (l *lab) addServer() (*backend, error) {
	l.servers++
	b, err := newBackend(l, serverKey(l.servers), zoneName(l.servers))
	if err != nil {
		return nil, err
	}
	return b, b.register()
}

func zoneName(n int) string { return fmt.Sprintf("zone-%c", 'a'+n%zoneCount) }

// startHosts starts hosts and waits until all are ready.
func (l *lab) startHosts(n int) error {
	for i := range n {
		if err := l.startHost(i); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	l.log("%d hosts are ready", n)
	return nil
}

// freePort returns a port that was free on an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	return port, listener.Close()
}

func (l *lab) startHost(i int) error {
	h := &host{name: fmt.Sprintf("front-%s-%d", zoneName(i), i), ip: fmt.Sprintf("%s.%d", l.network, i+1)}
	ports := make([]int, 3)
	for k := range ports {
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		ports[k] = port
	}
	h.caller, h.ready = fmt.Sprintf("%s:%d", h.ip, ports[0]), fmt.Sprintf("%s:%d", h.ip, ports[1])
	text, err := json.MarshalIndent(l.settings(h, zoneName(i), ports[2]), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(l.folder, h.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if h.logFile, err = os.Create(filepath.Join(l.folder, h.name+".log")); err != nil {
		return err
	}
	h.process = exec.Command(l.program, "front")
	h.process.Env = []string{"SISKINSADDLE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.process.Stdout, h.process.Stderr = h.logFile, h.logFile
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
	if err := h.process.Start(); err != nil {
		return err
	}
	l.hosts = append(l.hosts, h)
	return nil
}

// settings returns the settings file of a host, with the figures of the small deployments.
func (l *lab) settings(h *host, zone string, peerPort int) map[string]any {
	zones := map[string]string{}
	for i := range zoneCount {
		zones[zoneName(i)] = "region"
	}
	return map[string]any{
		"node_name": h.name, "role": "entry", "machine_class": "front", "serves": []string{"front"},
		"ip": h.ip, "zone": zone, "region": "region", "zones": zones,
		"listen":     map[string]string{"front": h.caller, "ready": h.ready},
		"port_range": []int{peerPort, peerPort}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":     nil,
		"discovery":    "platform",
		"entry":        "vip",
		"heartbeat_ms": 1200,
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
			"revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recover_s": 12, "pass_ms": 120,
			"reuse_window_s": 10,
		},
		"provider": map[string]any{
			"address": l.store.addr, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
			"part_writes_s": 200, "row_bytes": 65536, "across": false, "history_s": 20,
		},
	}
}

// startTime bounds the start of a host.
const startTime = 10 * time.Second

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := h.client.Get("http://" + h.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready: %w", h.name, errSetup)
}

// stop ends all processes.
func (l *lab) stop() {
	for _, h := range l.hosts {
		_ = h.process.Process.Kill() // it may have ended
		_ = h.process.Wait()
		_ = h.logFile.Close()
	}
	if os.Getenv("LAB3_KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
}

// callAll sends a number of requests to each host at the same time and waits for the
// answers.
func (l *lab) callAll(each int) {
	var all sync.WaitGroup
	for _, h := range l.hosts {
		for range each {
			all.Go(func() { l.call(h, http.MethodGet, routePrefix+"7") })
		}
	}
	all.Wait()
}

// callerTime is the time for which a caller waits.
const callerTime = 4 * time.Second

// call sends one request to a host and returns it with the status of the answer.
func (l *lab) call(h *host, method, path string) *call {
	c := &call{id: fmt.Sprintf("%016x", rand.Uint64()), host: h, sentAt: time.Now()}
	l.mu.Lock()
	l.calls = append(l.calls, c)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller+path, nil)
	if err != nil {
		l.log("caller could not send %s: %v", c.id, err)
		return c
	}
	r.Host = routeHost
	r.Header.Set(fieldID, c.id)
	r.Header.Set(fieldKey, apiKey)
	r.Header.Set(fieldDeadline, fmt.Sprint(callerTime.Milliseconds()))
	l.log("caller sends %s %s as %s to %s", method, path, c.id, h.name)
	response, err := h.client.Do(r)
	if err != nil {
		l.log("caller got no answer to %s: %v", c.id, err)
		return c
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.status = response.StatusCode
	l.log("caller got %d to %s (body error: %v)", c.status, c.id, err)
	return c
}

// lateRuns returns a line for each request that a leaving server ran and whose caller sent
// it after a time at which no host in touch may send it there any more.
func (l *lab) lateRuns(b *backend, left, from time.Time) []string {
	sent := map[string]*call{}
	l.mu.Lock()
	for _, c := range l.calls {
		sent[c.id] = c
	}
	l.mu.Unlock()
	var lines []string
	for _, a := range b.runs() {
		c := sent[a.id]
		if c == nil || !c.sentAt.After(from) {
			continue
		}
		lines = append(lines, fmt.Sprintf("DRAIN: request %s, sent to %s, reached %s %.0f ms after the store had accepted that it leaves",
			a.id, c.host.name, b.id, a.at.Sub(left).Seconds()*1000))
	}
	return lines
}
