// Package sites reads a site file: a file in JSON with comments that declares one
// proxy host with its routes, services, workspaces and backend servers, in place
// of the platform's store.
//
// Decode reports every error with its position in the file. The site is written
// to a store as rows, so that the code that reads the store is the same with and
// without the platform.
//
// # Usage
//
//	site, err := sites.Decode("shop.site.hujson", text)
//	db.Put(sites.ManifestTable, sites.ManifestKey, text)
//	n := &watch.News{Store: db.For("host"), Source: sites.Source(), ...}
package sites

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/diag"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/share/watch"
)

// Default is the site that `siskinsaddle front --embedded` runs.
//
//go:embed default.site.hujson
var Default []byte

// The tables of a store that hold a site, and the key of its manifest row.
const (
	ManifestTable = "site"
	ManifestKey   = "manifest"
	ServersTable  = "servers"
)

// Site is the content of a site file.
type Site struct {
	// Version increases with each change of the file's content.
	Version  int64
	Host     Host
	Limits   Limits
	Services []Service
	Routes   []Route
	// Workspaces are the customers whose keys are accepted. It is nil if the file lacks the
	// field: requests need no key then. An empty list accepts no key.
	Workspaces []Workspace
	Servers    []Server
}

// Host holds the addresses on which the host listens, each "IP:port", and the
// maximum duration of its stop in milliseconds. MetricsAddress may be empty.
type Host struct {
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	StopTime       clock.Millis
}

// Limits mirrors route.Limits. A limit that is left out gets the default of
// package httpd.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  clock.Millis
	Idle        clock.Millis
}

// Service is a group of interchangeable servers. Slots and MemoryTokens above 0
// mark them as model engines.
type Service struct {
	Name           string
	StatusPath     string
	MaxConnections int
	Slots          int
	MemoryTokens   int
}

// Route is a route.Route to a single service. Times are in milliseconds.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Kind        route.Kind
	Resumable   bool
	TimeLimit   clock.Millis
	Target      clock.Millis
	PauseTarget clock.Millis
	Tier        int
	MaxServers  int
	Public      bool
	Prompts     bool
}

// Workspace is a customer, identified by its keys.
type Workspace struct {
	Name string
	Keys []string
	Tier *int
}

// Server is one backend server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
}

// Upper bounds that catch mistyped values.
const (
	// maxTime exceeds every time limit in use, in milliseconds.
	maxTime = clock.Hour
	maxTier = 9
)

// Decode reads a site and validates it. The error has one line for each problem
// found.
func Decode(file string, text []byte) (Site, error) {
	var s Site
	index, problems := diag.Decode(file, text, &s)
	if _, present := index.Positions["Workspaces"]; present && s.Workspaces == nil {
		s.Workspaces = []Workspace{}
	}
	v := &validator{index: index, problems: problems}
	v.host(s.Host)
	services := v.services(s.Services)
	v.routes(s.Routes, services)
	v.workspaces(s.Workspaces)
	v.servers(s.Servers, services)
	if s.Version < 1 {
		v.report("Version", "version %d is below 1", s.Version)
	}
	return s, v.problems.Err()
}

// validator collects the problems found in a site.
type validator struct {
	index    diag.Index
	problems diag.List
}

func (v *validator) report(path, format string, args ...any) {
	v.problems = v.problems.With(v.index.At(path, format, args...))
}

func (v *validator) address(path, value string) {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		v.report(path, "%q is not \"IP:port\"", value)
	}
}

func (v *validator) uniqueName(path, value string, seen map[string]bool) {
	switch {
	case value == "":
		v.report(path, "name is missing")
	case seen[value]:
		v.report(path, "duplicate name %q", value)
	}
	seen[value] = true
}

func (v *validator) host(h Host) {
	v.address("Host.CallerAddress", h.CallerAddress)
	v.address("Host.ReadyAddress", h.ReadyAddress)
	if h.MetricsAddress != "" {
		v.address("Host.MetricsAddress", h.MetricsAddress)
	}
	if h.StopTime <= 0 {
		v.report("Host.StopTime", "the stop time must be above 0")
	}
}

func (v *validator) services(all []Service) map[string]bool {
	seen := map[string]bool{}
	for i, s := range all {
		v.uniqueName(fmt.Sprintf("Services[%d].Name", i), s.Name, seen)
		if s.Slots < 0 || s.MemoryTokens < 0 || (s.Slots == 0) != (s.MemoryTokens == 0) {
			v.report(fmt.Sprintf("Services[%d].Slots", i), "Slots and MemoryTokens must both be above 0 (engine) or both be 0")
		}
	}
	return seen
}

var kinds = []route.Kind{route.KindSafe, route.KindUnsafe, route.KindStream}

func (v *validator) routes(all []Route, services map[string]bool) {
	names, prefixes := map[string]bool{}, map[string]bool{}
	for i, r := range all {
		path := func(field string) string { return fmt.Sprintf("Routes[%d].%s", i, field) }
		v.uniqueName(path("Name"), r.Name, names)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			v.report(path("Prefix"), "%q does not begin and end with a slash", r.Prefix)
		}
		if prefix := strings.ToLower(r.Host) + r.Prefix; prefixes[prefix] {
			v.report(path("Prefix"), "another route already has this host name and prefix")
		} else {
			prefixes[prefix] = true
		}
		if !services[r.Service] {
			v.report(path("Service"), "service %q does not exist", r.Service)
		}
		if !slices.Contains(kinds, r.Kind) {
			v.report(path("Kind"), "%q is none of %v", r.Kind, kinds)
		}
		if r.Resumable && r.Kind != route.KindStream {
			v.report(path("Resumable"), "only a stream can be resumed")
		}
		if r.TimeLimit <= 0 || r.TimeLimit > maxTime {
			v.report(path("TimeLimit"), "%d ms is outside the range 1 to %d", r.TimeLimit, maxTime)
		}
		if r.Tier < 0 || r.Tier > maxTier {
			v.report(path("Tier"), "tier %d is outside the range 0 to %d", r.Tier, maxTier)
		}
	}
}

func (v *validator) workspaces(all []Workspace) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, w := range all {
		v.uniqueName(fmt.Sprintf("Workspaces[%d].Name", i), w.Name, names)
		for j, k := range w.Keys {
			// A key is a secret and must not appear in an error message.
			if k == "" || keys[k] {
				v.report(fmt.Sprintf("Workspaces[%d].Keys[%d]", i, j), "the key is empty or already in use")
			}
			keys[k] = true
		}
		if w.Tier != nil && (*w.Tier < 0 || *w.Tier > maxTier) {
			v.report(fmt.Sprintf("Workspaces[%d].Tier", i), "tier %d is outside the range 0 to %d", *w.Tier, maxTier)
		}
	}
}

func (v *validator) servers(all []Server, services map[string]bool) {
	ids := map[string]bool{}
	for i, s := range all {
		v.uniqueName(fmt.Sprintf("Servers[%d].ID", i), s.ID, ids)
		v.address(fmt.Sprintf("Servers[%d].Address", i), s.Address)
		if !services[s.Service] {
			v.report(fmt.Sprintf("Servers[%d].Service", i), "service %q does not exist", s.Service)
		}
	}
}

// Manifest returns the site without its servers.
func (s Site) Manifest() *route.Manifest {
	p := route.Parts{
		Version: s.Version,
		Keyed:   s.Workspaces != nil,
		Limits:  route.Limits(s.Limits),
	}
	for _, v := range s.Services {
		p.Services = append(p.Services, route.Service{
			Name: v.Name, StatusPath: v.StatusPath, MaxConnections: v.MaxConnections,
			Engine: v.Slots > 0, Slots: v.Slots, MemoryTokens: v.MemoryTokens,
		})
	}
	for _, r := range s.Routes {
		p.Routes = append(p.Routes, route.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Resumable: r.Resumable,
			TimeLimit: r.TimeLimit, Target: r.Target, PauseTarget: r.PauseTarget, Tier: r.Tier,
			Shares:     []route.Share{{Service: r.Service, Weight: 1}},
			MaxServers: max(r.MaxServers, 1), Public: r.Public, Prompts: r.Prompts,
		})
	}
	for _, w := range s.Workspaces {
		out := route.Workspace{Name: w.Name, Keys: w.Keys}
		if w.Tier != nil {
			out.Tier, out.HasTier = *w.Tier, true
		}
		p.Workspaces = append(p.Workspaces, out)
	}
	return route.NewManifest(p)
}

// ServerRow encodes a server as the value of a row.
func ServerRow(s Server) ([]byte, error) {
	value, err := json.Marshal(fleet.Server{
		ID: s.ID, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots, Leaving: s.Leaving,
	})
	return value, errors.Wrap(err, "encoding a server")
}

// Source returns the ranges and decoders of a site's rows.
func Source() watch.Source {
	return watch.Source{
		ManifestRange: rows.Range{Table: ManifestTable, From: ManifestKey, To: ManifestKey + "\x00"},
		ServersRange:  rows.Range{Table: ServersTable},
		Manifest: func(all []rows.Row) (*route.Manifest, error) {
			for _, r := range all {
				if r.Key == ManifestKey {
					s, err := Decode(ManifestKey, r.Value)
					return s.Manifest(), err
				}
			}
			return nil, nil
		},
		Server: func(r rows.Row) (fleet.Server, error) {
			var s fleet.Server
			err := json.Unmarshal(r.Value, &s)
			return s, errors.Wrapf(err, "decoding the server %q", r.Key)
		},
	}
}
