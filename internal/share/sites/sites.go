// Package sites reads a site file: one host that passes requests through, with
// its routes, services, workspaces and backend servers, declared in a text of
// the project's own (JSON with comments) instead of the platform's store.
//
// Decode reports every finding with its place. The site becomes rows of a store,
// so that everything behind the store's seam is the same with and without the
// platform.
//
// # Usage
//
//	site, err := sites.Decode("shop.site.hujson", text)
//	shelf.Put(sites.ManifestTable, sites.ManifestKey, text)
//	n := &watch.News{Store: shelf.For("host"), Source: sites.Source(), ...}
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

// The places of a site in a store.
const (
	ManifestTable = "site"
	ManifestKey   = "manifest"
	ServersTable  = "servers"
)

// Site is a declared host.
type Site struct {
	// Version rises with each change of the file's meaning.
	Version    int64
	Host       Host
	Limits     Limits
	Services   []Service
	Routes     []Route
	Workspaces []Workspace
	Servers    []Server
}

// Host is where the host listens, each "IP:port", and how long its stop may
// take, in milliseconds. MetricsAddress may be empty.
type Host struct {
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	StopTime       clock.Millis
}

// Limits are those of route.Limits; left out, they are the inlet's.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  clock.Millis
	Idle        clock.Millis
}

// Service is a group of interchangeable servers. Slots and MemoryTokens above 0
// make them model engines.
type Service struct {
	Name           string
	StatusPath     string
	MaxConnections int
	Slots          int
	MemoryTokens   int
}

// Route is a route.Route with one service. Times are in milliseconds.
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

// Workspace is a customer, known by its keys.
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

// The largest values that are taken to be meant.
const (
	// maxTime is longer than any time limit of the users, in milliseconds.
	maxTime = clock.Hour
	maxTier = 9
)

// Decode reads a site and checks it as a whole. The error has a line for each
// finding.
func Decode(file string, text []byte) (Site, error) {
	var s Site
	index, list := diag.Decode(file, text, &s)
	c := &checker{index: index, list: list}
	c.host(s.Host)
	services := c.services(s.Services)
	c.routes(s.Routes, services)
	c.workspaces(s.Workspaces)
	c.servers(s.Servers, services)
	if s.Version < 1 {
		c.find("Version", "the version %d is below 1", s.Version)
	}
	return s, c.list.Err()
}

type checker struct {
	index diag.Index
	list  diag.List
}

func (c *checker) find(path, format string, args ...any) {
	c.list = c.list.With(c.index.At(path, format, args...))
}

func (c *checker) address(path, value string) {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		c.find(path, "%q is not \"IP:port\"", value)
	}
}

func (c *checker) name(path, value string, seen map[string]bool) {
	switch {
	case value == "":
		c.find(path, "the name is missing")
	case seen[value]:
		c.find(path, "%q is there twice", value)
	}
	seen[value] = true
}

func (c *checker) host(h Host) {
	c.address("Host.CallerAddress", h.CallerAddress)
	c.address("Host.ReadyAddress", h.ReadyAddress)
	if h.MetricsAddress != "" {
		c.address("Host.MetricsAddress", h.MetricsAddress)
	}
	if h.StopTime <= 0 {
		c.find("Host.StopTime", "a stop needs time")
	}
}

func (c *checker) services(all []Service) map[string]bool {
	seen := map[string]bool{}
	for i, s := range all {
		c.name(fmt.Sprintf("Services[%d].Name", i), s.Name, seen)
		if s.Slots < 0 || s.MemoryTokens < 0 || (s.Slots == 0) != (s.MemoryTokens == 0) {
			c.find(fmt.Sprintf("Services[%d].Slots", i), "an engine has slots and memory, another service neither")
		}
	}
	return seen
}

var kinds = []route.Kind{route.KindSafe, route.KindUnsafe, route.KindStream}

func (c *checker) routes(all []Route, services map[string]bool) {
	names, places := map[string]bool{}, map[string]bool{}
	for i, r := range all {
		at := func(field string) string { return fmt.Sprintf("Routes[%d].%s", i, field) }
		c.name(at("Name"), r.Name, names)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.find(at("Prefix"), "%q does not begin and end with a slash", r.Prefix)
		}
		if place := strings.ToLower(r.Host) + r.Prefix; places[place] {
			c.find(at("Prefix"), "another route has this host name and prefix")
		} else {
			places[place] = true
		}
		if !services[r.Service] {
			c.find(at("Service"), "no service is called %q", r.Service)
		}
		if !slices.Contains(kinds, r.Kind) {
			c.find(at("Kind"), "%q is none of %v", r.Kind, kinds)
		}
		if r.Resumable && r.Kind != route.KindStream {
			c.find(at("Resumable"), "only a stream can be resumed")
		}
		if r.TimeLimit <= 0 || r.TimeLimit > maxTime {
			c.find(at("TimeLimit"), "%d ms is not above 0 and up to %d", r.TimeLimit, maxTime)
		}
		if r.Tier < 0 || r.Tier > maxTier {
			c.find(at("Tier"), "the tier %d is not from 0 to %d", r.Tier, maxTier)
		}
	}
}

func (c *checker) workspaces(all []Workspace) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, w := range all {
		c.name(fmt.Sprintf("Workspaces[%d].Name", i), w.Name, names)
		for j, k := range w.Keys {
			// A key is a secret: a finding does not repeat it.
			if k == "" || keys[k] {
				c.find(fmt.Sprintf("Workspaces[%d].Keys[%d]", i, j), "the key is empty or another one's")
			}
			keys[k] = true
		}
		if w.Tier != nil && (*w.Tier < 0 || *w.Tier > maxTier) {
			c.find(fmt.Sprintf("Workspaces[%d].Tier", i), "the tier %d is not from 0 to %d", *w.Tier, maxTier)
		}
	}
}

func (c *checker) servers(all []Server, services map[string]bool) {
	ids := map[string]bool{}
	for i, s := range all {
		c.name(fmt.Sprintf("Servers[%d].ID", i), s.ID, ids)
		c.address(fmt.Sprintf("Servers[%d].Address", i), s.Address)
		if !services[s.Service] {
			c.find(fmt.Sprintf("Servers[%d].Service", i), "no service is called %q", s.Service)
		}
	}
}

// Manifest returns the site without its servers.
func (s Site) Manifest() *route.Manifest {
	p := route.Parts{
		Version: s.Version,
		Keyed:   len(s.Workspaces) > 0,
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

// ServerRow is a server as a row's value.
func ServerRow(s Server) ([]byte, error) {
	value, err := json.Marshal(fleet.Server{
		ID: s.ID, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots, Leaving: s.Leaving,
	})
	return value, errors.Wrap(err, "encoding a server")
}

// Source decodes the rows of a site.
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
