package rig

import (
	"fmt"
	"os"
)

// Route is one route of a config.
type Route struct {
	Prefix    string
	Kind      string
	Service   string
	TimeoutMs int
	Attempts  int
	Resumable bool
}

// Config returns a config for the store.
func Config(version int, routes []Route, tenants []map[string]any) map[string]any {
	var list, services []map[string]any
	known := map[string]bool{}
	for i, r := range routes {
		entry := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "shop.example", "prefix": r.Prefix, "kind": r.Kind, "timeout_ms": r.TimeoutMs,
			"goal_ms": 300, "priority": 2, "service": r.Service, "max_attempts": r.Attempts, "public": false, "sticky": false,
		}
		if r.Kind == "streaming" {
			entry["resumable"], entry["gap_target_ms"] = r.Resumable, 800
		}
		list = append(list, entry)
		if !known[r.Service] {
			known[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false})
		}
	}
	return map[string]any{
		"version": version, "routes": list, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 15000},
	}
}

// World is a small deployment: a store, servers and hosts.
type World struct {
	Record  *Record
	Store   *Store
	Hosts   []*Host
	Servers []*Server
	Folder  string
	// Command is the command of a host, from the deploy file.
	Command []string
}

// NewWorld starts the store and makes a temporary folder.
func NewWorld(recordPath string) (*World, error) {
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := StartStore()
	if err != nil {
		return nil, err
	}
	return &World{Record: record, Store: store, Folder: folder}, nil
}

// AddServer starts a backend server and registers it.
func (w *World) AddServer(s *Server) error {
	s.Record = w.Record
	if err := s.Start(); err != nil {
		return err
	}
	w.Servers = append(w.Servers, s)
	w.Store.Put("servers", s.ID, s.Row("ready"))
	return nil
}

// AddHost starts a host.
func (w *World) AddHost(name, zone string) (*Host, error) {
	h, err := NewHost(w.Command, w.Folder, name, zone, w.Store.Address)
	if err != nil {
		return nil, err
	}
	w.Hosts = append(w.Hosts, h)
	return h, h.Start()
}

// Runs returns how often a request was run by all servers.
func (w *World) Runs(id string) int {
	n := 0
	for _, s := range w.Servers {
		n += s.Runs(id)
	}
	return n
}

// Stop ends all processes and stand-ins.
func (w *World) Stop() {
	for _, h := range w.Hosts {
		h.Kill()
	}
	for _, s := range w.Servers {
		s.Stop()
	}
	w.Store.Stop()
	w.Record.Close()
	_ = os.RemoveAll(w.Folder)
}
