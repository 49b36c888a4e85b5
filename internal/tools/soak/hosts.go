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
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/platform"
)

const (
	// metricsPort is the port of the metrics of a host.
	metricsPort = 9464
	// restartWait is the time between the end of a process and its restart, in
	// milliseconds.
	restartWait = 400 * clock.Millis(1)
	// readyPeriod is the time between two readiness checks, in milliseconds.
	readyPeriod = 250 * clock.Millis(1)
	// hostMemoryBytes is the memory of the users' small hosts; hostCores sets no CPU
	// quota.
	hostMemoryBytes = 284 << 20
	hostCores       = 1
)

// host is one process, restarted whenever it ends.
type host struct {
	harness    *harness
	number     int
	settings   platform.Settings
	file       string
	storeRelay *midbox.Proxy
	ready      atomic.Bool

	mu       sync.Mutex
	process  *os.Process
	starts   int
	ended    chan struct{}
	stopping bool
}

// newHost writes the settings of a host and starts its relay to the store. run starts
// the process.
func (hn *harness) newHost(number int, domain string) (*host, error) {
	name := fmt.Sprint("host-", number)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	hn.closers = append(hn.closers, func() { _ = l.Close() })
	handler := platform.ServeStore(hn.withLinks(hn.store.For(name), domain))
	server := &fasthttp.Server{Handler: spoil.Handler(handler, hn.brokenStoreKind)}
	go func() { _ = server.Serve(l) }() // ends with the listener
	relay, err := midbox.New(l.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "start the relay to the store")
	}
	hn.closers = append(hn.closers, relay.Close)
	ip := fmt.Sprintf("127.0.%d.%d", hn.options.Network, number+firstHostByte)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	if err := hn.addLinks(name, fmt.Sprintf("%s:%d", ip, ports[2])); err != nil {
		return nil, err
	}
	h := &host{harness: hn, number: number, storeRelay: relay, file: filepath.Join(hn.options.Folder, name+".json")}
	h.settings = platform.Settings{
		HostName: name, FailureDomain: domain, IP: ip,
		CallerAddress: fmt.Sprintf("%s:%d", ip, ports[0]),
		ReadyAddress:  fmt.Sprintf("%s:%d", ip, ports[1]),
		PeerPort:      ports[2],
		StoreAddress:  relay.Addr(),
		MemoryBytes:   hostMemoryBytes,
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
	return h, errors.Wrap(os.WriteFile(h.file, text, 0o600), "write the settings of a host")
}

// firstHostByte is the last byte of the first host's address.
const firstHostByte = 20

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// run starts the process and restarts it whenever it ends, until the context ends.
func (h *host) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := h.start(); err != nil {
			h.harness.recordError(err)
			return
		}
		<-h.ended
		h.ready.Store(false)
		h.harness.recordDown(h.number, h.harness.now())
		h.harness.pause(ctx, restartWait)
	}
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.Create(filepath.Join(h.harness.options.Folder, fmt.Sprintf("%s.%d.log", h.settings.HostName, h.starts)))
	if err != nil {
		return errors.Wrap(err, "create the log of a host")
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	command := exec.Command(h.harness.options.Program, "front", "--platform-settings", h.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start a host")
	}
	h.starts++
	h.process = command.Process
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		_ = command.Wait() // the plan or the log shows how it ended
		close(ended)
	}()
	return nil
}

// signal sends a signal to the current process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && !h.stopping {
		_ = h.process.Signal(s) // it may just have ended
	}
}

// stop sends SIGTERM, and SIGKILL if the process still runs after boundStop.
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
	case <-h.harness.clock.After(boundStop):
		_ = process.Kill()
	}
}

// watchReady checks readiness periodically, as a load balancer does.
func (h *host) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		answer, err := client.Get("http://" + h.settings.ReadyAddress + "/")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		if ready && !h.ready.Load() {
			h.harness.recordUp(h.number)
		}
		h.ready.Store(ready)
		h.recordMemory()
		h.harness.pause(ctx, readyPeriod)
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// recordMemory records the peak of the current process's resident memory.
func (h *host) recordMemory() {
	h.mu.Lock()
	process := h.process
	h.mu.Unlock()
	if process == nil {
		return // not started yet
	}
	// A process that has just ended has no status to read.
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if m := peakMemory.FindSubmatch(status); m != nil {
		kilobytes, _ := strconv.ParseInt(string(m[1]), 10, 64) // the expression matches digits only
		h.harness.recordMemory(h.number, kilobytes<<10)
	}
}

// openResources returns the number of descriptors and goroutines of the current
// process, and which start of the host it is.
func (h *host) openResources() (start int, counts map[string]int) {
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

var manifestInForce = regexp.MustCompile(`Manifest in force\.?"? version=(\d+)`)

// versions reads the manifest versions that each process put in force from its log.
func (h *host) versions() ([]Versions, error) {
	var all []Versions
	for n := range h.starts {
		text, err := os.ReadFile(filepath.Join(h.harness.options.Folder, fmt.Sprintf("%s.%d.log", h.settings.HostName, n)))
		if err != nil {
			return nil, errors.Wrap(err, "read the log of a host")
		}
		v := Versions{Host: h.number}
		for _, m := range manifestInForce.FindAllStringSubmatch(string(text), -1) {
			version, err := strconv.ParseInt(m[1], 10, 64)
			if err != nil {
				return nil, errors.Wrap(err, "read the log of a host")
			}
			v.Versions = append(v.Versions, version)
		}
		all = append(all, v)
	}
	return all, nil
}
