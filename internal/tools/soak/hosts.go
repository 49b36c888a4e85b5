package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/midbox"
	"siskinsaddle/platform"
)

const (
	// metricsPort is the one that a host serves its metrics on.
	metricsPort = 9464
	// restartWait is the time until a process that ended is started again, in
	// milliseconds.
	restartWait = 400 * clock.Millis(1)
	// readyPeriod is the time between two questions for readiness.
	readyPeriod = 250 * clock.Millis(1)
	// hostMemory is a small host's of the users, in bytes; hostCores leaves a
	// process without a quota.
	hostMemory = 284 << 20
	hostCores  = 1
)

// host is one process, started again whenever it ends.
type host struct {
	world    *world
	number   int
	settings platform.Settings
	file     string
	store    *midbox.Proxy
	ready    atomic.Bool

	mu      sync.Mutex
	process *os.Process
	starts  int
	ended   chan struct{}
	over    bool
}

// newHost makes the settings and the relay to the store; the process comes later.
func (w *world) newHost(number int, domain string) (*host, error) {
	name := fmt.Sprint("host-", number)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening for the store")
	}
	w.closers = append(w.closers, func() { _ = l.Close() })
	server := &fasthttp.Server{Handler: platform.ServeStore(w.shelf.For(name))}
	go func() { _ = server.Serve(l) }() // ends with the listener
	relay, err := midbox.New(l.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "a relay to the store")
	}
	w.closers = append(w.closers, relay.Close)
	ip := fmt.Sprintf("127.0.%d.%d", w.options.Network, number+firstIP)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	h := &host{world: w, number: number, store: relay, file: filepath.Join(w.options.Folder, name+".json")}
	h.settings = platform.Settings{
		HostName: name, FailureDomain: domain, IP: ip,
		CallerAddress: fmt.Sprintf("%s:%d", ip, ports[0]),
		ReadyAddress:  fmt.Sprintf("%s:%d", ip, ports[1]),
		PeerPort:      ports[2],
		StoreAddress:  relay.Addr(),
		MemoryBytes:   hostMemory,
		Cores:         hostCores,
		Bounds: platform.Bounds{
			Stop: boundStop, Apply: boundApply, Revoke: boundRevoke, RevokeStrict: true,
			RepeatRatio: budgetRatio, RepeatSlack: budgetSlack, RepeatWindow: budgetWindow,
		},
	}
	text, err := platform.EncodeSettings(h.settings)
	if err != nil {
		return nil, err
	}
	return h, errors.Wrap(os.WriteFile(h.file, text, 0o600), "writing a host's settings")
}

// firstIP is the last byte of the first host's address.
const firstIP = 20

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "looking for a free port")
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// run keeps the process alive until the context ends.
func (h *host) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := h.start(); err != nil {
			h.world.failed(err)
			return
		}
		<-h.ended
		h.ready.Store(false)
		h.world.noteDown(h.number, h.world.now())
		h.world.pause(ctx, restartWait)
	}
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.Create(filepath.Join(h.world.options.Folder, fmt.Sprintf("%s.%d.log", h.settings.HostName, h.starts)))
	if err != nil {
		return errors.Wrap(err, "a host's log")
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	command := exec.Command(h.world.options.Program, "front", "--platform-settings", h.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "starting a host")
	}
	h.starts++
	h.process = command.Process
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		_ = command.Wait() // how it ended is in the plan or in its log
		close(ended)
	}()
	return nil
}

// signal is sent to the process that runs now.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && !h.over {
		_ = h.process.Signal(s) // it may just have ended
	}
}

// stop sends SIGTERM, and SIGKILL after the time that a stop may take.
func (h *host) stop(ctx context.Context) {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-ctx.Done():
		_ = process.Kill()
	case <-h.world.clock.After(boundStop):
		_ = process.Kill()
	}
}

// watchReady asks for readiness as a balancer does.
func (h *host) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		answer, err := client.Get("http://" + h.settings.ReadyAddress + "/")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		if ready && !h.ready.Load() {
			h.world.noteUp(h.number)
		}
		h.ready.Store(ready)
		h.world.pause(ctx, readyPeriod)
	}
}

// holds counts the descriptors and goroutines of the process that runs now.
func (h *host) holds() (start int, counts map[string]int) {
	h.mu.Lock()
	pid := h.process.Pid
	start = h.starts
	h.mu.Unlock()
	counts = map[string]int{}
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		counts["descriptors"] = len(entries)
	}
	answer, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", h.settings.IP, metricsPort))
	if err != nil {
		return start, counts
	}
	defer func() { _ = answer.Body.Close() }()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "siskinsaddle_goroutines "); ok {
			if n, err := strconv.Atoi(value); err == nil {
				counts["goroutines"] = n
			}
		}
	}
	return start, counts
}

var inForce = regexp.MustCompile(`Manifest in force\.?"? version=(\d+)`)

// versions reads from the logs which manifests each process put in force.
func (h *host) versions() ([]Versions, error) {
	var all []Versions
	for n := range h.starts {
		text, err := os.ReadFile(filepath.Join(h.world.options.Folder, fmt.Sprintf("%s.%d.log", h.settings.HostName, n)))
		if err != nil {
			return nil, errors.Wrap(err, "reading a host's log")
		}
		v := Versions{Host: h.number}
		for _, m := range inForce.FindAllStringSubmatch(string(text), -1) {
			version, err := strconv.ParseInt(m[1], 10, 64)
			if err != nil {
				return nil, errors.Wrap(err, "reading a host's log")
			}
			v.Versions = append(v.Versions, version)
		}
		all = append(all, v)
	}
	return all, nil
}
