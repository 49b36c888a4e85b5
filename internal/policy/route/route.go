// Package route holds the manifest for requests that are passed through to
// backend servers, and looks up the route and the workspace of a request in it.
//
// A Manifest is immutable. A route is matched by host name and longest path prefix.
// Prefixes begin and end with a slash, so that a lookup tries the path's slashes
// from the last to the first, and its cost does not depend on the number of routes.
//
// Keys are stored as SHA-256 sums, so that a lookup takes the same time for every
// wrong key.
//
// # Usage
//
//	m := route.NewManifest(route.Parts{Version: 7, Routes: routes, Workspaces: workspaces})
//	r, ok := m.Find("assist.example", "/quotes/draft")
//	w, ok := m.Workspace(key)
package route

import (
	"crypto/sha256"
	"strings"

	"siskinsaddle/internal/base/clock"
)

// Kind is the form of a route's answers and whether its requests may be repeated.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "Safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "Unsafe"
	// KindStream requests are answered by an event stream. They run at most once
	// unless the route is resumable.
	KindStream Kind = "Stream"
)

// Share is a service that gets a weighted share of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route is the services, time limits and other rules for requests of one host name
// and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued by another server after the last event.
	Resumable bool
	// TimeLimit is the maximum time until the answer is complete, in milliseconds.
	TimeLimit clock.Millis
	// Target is the latency objective for the answer, or for a stream's first
	// event, and PauseTarget that for the time between events, in milliseconds.
	Target      clock.Millis
	PauseTarget clock.Millis
	// Tier is the rank of the route, 0 the most urgent.
	Tier   int
	Shares []Share
	// MaxServers bounds the number of servers that one request is sent to.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Prompts is set if requests carry prompts whose segments engines cache.
	Prompts bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// StatusPath is the path of the health check, which a healthy server answers
	// with 200.
	StatusPath string
	// MaxConnections bounds the connections to one server for all callers together.
	MaxConnections int
	// Engine is set if the servers are model engines. Slots and MemoryTokens are
	// then the requests and prompt tokens that one server holds at once.
	Engine       bool
	Slots        int
	MemoryTokens int
}

// Workspace is a customer, identified by its keys.
type Workspace struct {
	Name string
	Keys []string
	// Tier takes precedence over the route's tier if HasTier is set, 0 the most
	// urgent.
	Tier    int
	HasTier bool
}

// Limits bound what a caller may send. Zero fields mean the defaults of
// package inlet.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is the timeout for receiving a request's header, Idle the timeout
	// between requests on a connection, in milliseconds.
	HeaderTime clock.Millis
	Idle       clock.Millis
}

// Parts is the content of a Manifest.
type Parts struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyed is set if routes that are not public require a workspace's key.
	Keyed  bool
	Limits Limits
}

// Manifest is one version of the routes, services and workspaces.
type Manifest struct {
	parts    Parts
	hosts    map[string]map[string]Route
	keys     map[[sha256.Size]byte]Workspace
	services map[string]Service
}

// NewManifest returns an indexed Manifest of the parts, which must not be modified
// afterwards.
func NewManifest(p Parts) *Manifest {
	m := &Manifest{
		parts:    p,
		hosts:    map[string]map[string]Route{},
		keys:     map[[sha256.Size]byte]Workspace{},
		services: map[string]Service{},
	}
	for _, r := range p.Routes {
		host := strings.ToLower(r.Host)
		if m.hosts[host] == nil {
			m.hosts[host] = map[string]Route{}
		}
		m.hosts[host][r.Prefix] = r
	}
	for _, s := range p.Services {
		m.services[s.Name] = s
	}
	for _, w := range p.Workspaces {
		for _, k := range w.Keys {
			if k == "" {
				// It would be the key of all requests without one.
				continue
			}
			m.keys[sha256.Sum256([]byte(k))] = w
		}
	}
	return m
}

// Version returns the version, which increases with each manifest.
func (m *Manifest) Version() int64 { return m.parts.Version }

// Limits returns the bounds on callers' requests.
func (m *Manifest) Limits() Limits { return m.parts.Limits }

// Keyed reports whether routes that are not public require a key.
func (m *Manifest) Keyed() bool { return m.parts.Keyed }

// Service returns the service of that name.
func (m *Manifest) Service(name string) (Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Counts returns the numbers of routes, services and keys.
func (m *Manifest) Counts() (routes, services, keys int) {
	return len(m.parts.Routes), len(m.services), len(m.keys)
}

// Find returns the route of a request. It ignores a port in host and a query in
// path.
func (m *Manifest) Find(host, path string) (Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	routes := m.hosts[strings.ToLower(host)]
	if routes == nil {
		return Route{}, false
	}
	path, _, _ = strings.Cut(path, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that owns the key.
func (m *Manifest) Workspace(key string) (Workspace, bool) {
	w, ok := m.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// PickService chooses a service of the route by weight. The random number is in
// [0, 1); the same number always selects the same service.
func (r Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
