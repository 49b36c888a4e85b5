package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// Host is one process of the system.
type Host struct {
	Name    string
	IP      string
	Front   string
	Ready   string
	Zone    string
	Process *exec.Cmd

	command  []string
	folder   string
	settings map[string]any
	ended    chan struct{}
}

// freePort returns a free port of a loopback address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// NewHost prepares the settings of a host at a loopback address of its own.
func NewHost(command []string, folder, name, zone, store string) (*Host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
	var ports [3]int
	for i := range ports {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	h := &Host{
		Name: name, IP: ip, Zone: zone, command: command, folder: folder,
		Front: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1]),
	}
	h.settings = map[string]any{
		"node_name": name, "role": "entry", "machine_class": "front", "serves": []string{"front"},
		"ip": ip, "zone": zone, "region": "prairie",
		"zones":      map[string]string{"prairie-a": "prairie", "prairie-b": "prairie", "prairie-c": "prairie"},
		"listen":     map[string]string{"front": h.Front, "ready": h.Ready},
		"port_range": []int{ports[2], ports[2]}, "seeds": []string{}, "bootstrap": true, "counts_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
			"strict_revoke": true, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54,
			"recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
		},
		"provider": map[string]any{
			"address": store, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	return h, nil
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	path := filepath.Join(h.folder, h.Name+".json")
	text, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.Process = exec.Command(h.command[0], h.command[1:]...)
	h.Process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.folder, "SISKINSADDLE_CONFIG=" + path}
	h.Process.Stdout, h.Process.Stderr = out, out
	if err := h.Process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		_ = h.Process.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// Ended is closed once the process has ended.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// Kill ends the process at once and waits for its end.
func (h *Host) Kill() {
	if h.Process == nil {
		return
	}
	_ = h.Process.Process.Kill()
	<-h.ended
}

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.Ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready within %v", h.Name, limit)
}
