// Package route holds the manifest for requests that are passed through to
// backend servers, and finds the route and the workspace of a request in it.
//
// A Manifest is immutable. A route is found by host name and path: among the
// routes of the host, the one with the longest prefix that begins the path.
// Prefixes begin and end with a slash, so that a look-up walks the path's
// slashes from the last to the first, whatever the number of routes.
//
// Keys are held as SHA-256 sums; a look-up therefore takes the same time for
// every wrong key.
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

// Kind says what an answer looks like and what may be repeated.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "Safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "Unsafe"
	// KindStream requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	KindStream Kind = "Stream"
)

// Share is a service that takes a share of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route, at least 1.
	Weight int
}

// Route says where requests of a host name and path go, and what they allow.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another server after the last event.
	Resumable bool
	// TimeLimit is the longest time until the final answer, in milliseconds.
	TimeLimit clock.Millis
	// Target is the time within which the answer, or a stream's first event,
	// is on time, in milliseconds; PauseTarget the same between events.
	Target      clock.Millis
	PauseTarget clock.Millis
	// Tier is the rank of the route, 0 the most urgent.
	Tier   int
	Shares []Share
	// MaxServers bounds how many servers one request is sent to.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Prompts tells that the requests carry prompts whose parts are cached.
	Prompts bool
}

// Repeatable tells whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// StatusPath answers 200 while a server considers itself healthy.
	StatusPath string
	// MaxConnections bounds the connections to one server of all callers.
	MaxConnections int
	// Engine tells that the servers are model engines; Slots and MemoryTokens
	// are then the requests and prompt tokens that one holds at once.
	Engine       bool
	Slots        int
	MemoryTokens int
}

// Workspace is a customer, known by its keys.
type Workspace struct {
	Name string
	Keys []string
	// Tier is compared before the route's where HasTier is set, 0 the most
	// urgent.
	Tier    int
	HasTier bool
}

// Limits bound what a caller may send. Zero fields mean the defaults of
// package inlet.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime bounds the arrival of a request's header, Idle the time
	// between requests on a connection, in milliseconds.
	HeaderTime clock.Millis
	Idle       clock.Millis
}

// Parts is what a Manifest is made of.
type Parts struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyed tells that routes which are not public need a workspace's key.
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

// NewManifest indexes the parts, which must not be changed afterwards.
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
			m.keys[sha256.Sum256([]byte(k))] = w
		}
	}
	return m
}

// Version rises with each manifest.
func (m *Manifest) Version() int64 { return m.parts.Version }

// Limits are the bounds on what callers send.
func (m *Manifest) Limits() Limits { return m.parts.Limits }

// Keyed tells whether routes that are not public need a key.
func (m *Manifest) Keyed() bool { return m.parts.Keyed }

// Service returns the service of that name.
func (m *Manifest) Service(name string) (Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Counts are the numbers of routes, services and keys.
func (m *Manifest) Counts() (routes, services, keys int) {
	return len(m.parts.Routes), len(m.services), len(m.keys)
}

// Find returns the route of a request. A port behind the host name and a query
// behind the path are passed over.
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

// Workspace returns the workspace that holds the key.
func (m *Manifest) Workspace(key string) (Workspace, bool) {
	w, ok := m.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// PickService chooses a service of the route by weight. The draw is from 0 up
// to 1, so that the same draw gives the same service.
func (r Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
