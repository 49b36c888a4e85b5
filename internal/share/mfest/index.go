package mfest

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"path"
	"slices"
	"strings"
)

// HashKey returns the hash that a manifest holds in place of a workspace's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index answers the look-ups needed to serve a request under one manifest. It is
// immutable and safe for concurrent use.
type Index struct {
	Manifest   Manifest
	workspaces map[[sha256.Size]byte]int32
	classes    map[string]int
	services   map[string]int
	models     map[string]int
}

// NewIndex indexes a manifest returned by Parse.
func NewIndex(m Manifest) *Index {
	x := &Index{
		Manifest:   m,
		workspaces: make(map[[sha256.Size]byte]int32, len(m.Workspaces)),
		classes:    map[string]int{},
		services:   map[string]int{},
		models:     map[string]int{},
	}
	for i, w := range m.Workspaces {
		for _, hash := range w.KeyHashes {
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(hash)); err == nil {
				x.workspaces[sum] = int32(i)
			}
		}
	}
	for i, c := range m.Classes {
		x.classes[c.Name] = i
	}
	for i, s := range m.Services {
		x.services[s.Name] = i
		for _, model := range s.Models {
			x.models[model.Name] = i
		}
	}
	x.addAdapters()
	return x
}

// addAdapters lets a request name an adapter in place of its model. A model takes
// precedence over an adapter of the same name.
func (x *Index) addAdapters() {
	for i, s := range x.Manifest.Services {
		for _, name := range s.ModelNames() {
			if _, taken := x.models[name]; !taken {
				x.models[name] = i
			}
		}
	}
}

// WorkspaceByKey returns the workspace that owns a key. Only the SHA-256 of the
// key is compared, so the time taken reveals nothing about any other key.
func (x *Index) WorkspaceByKey(key string) (Workspace, bool) {
	i, ok := x.workspaces[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return x.Manifest.Workspaces[i], true
}

// HasFailureDomain reports whether the manifest declares a failure domain.
func (x *Index) HasFailureDomain(name string) bool {
	return slices.ContainsFunc(x.Manifest.FailureDomains, func(d FailureDomain) bool { return d.Name == name })
}

// Class returns a class by its name.
func (x *Index) Class(name string) (Class, bool) {
	i, ok := x.classes[name]
	if !ok {
		return Class{}, false
	}
	return x.Manifest.Classes[i], true
}

// ClassFor returns the class of a request: the named one if the workspace may
// use it, or the workspace's default for an empty name.
func (x *Index) ClassFor(w Workspace, name string) (Class, bool) {
	if name == "" {
		name = w.DefaultClass
	}
	if !slices.Contains(w.Classes, name) {
		return Class{}, false
	}
	return x.Class(name)
}

// Service returns a service by its name.
func (x *Index) Service(name string) (Service, bool) {
	i, ok := x.services[name]
	if !ok {
		return Service{}, false
	}
	return x.Manifest.Services[i], true
}

// ServiceByModel returns the service that offers a model.
func (x *Index) ServiceByModel(model string) (Service, bool) {
	i, ok := x.models[model]
	if !ok {
		return Service{}, false
	}
	return x.Manifest.Services[i], true
}

// NotRepeatable reports whether a call of a service must run at most once. The
// target may include a query. It is decoded and cleaned first, so that
// "//bookings/" or "/book%69ngs" is the same call as "/bookings".
func (x *Index) NotRepeatable(service, method, target string) bool {
	i, ok := x.services[service]
	if !ok {
		return false
	}
	calls := x.Manifest.Services[i].NotRepeatable
	if len(calls) == 0 {
		return false
	}
	segments := splitPath(normalizePath(target))
	return slices.ContainsFunc(calls, func(c Call) bool {
		return c.matches(method, segments)
	})
}

// normalizePath strips the query, decodes and cleans a target. A path that cannot be
// decoded is only cleaned.
func normalizePath(target string) string {
	raw, _, _ := strings.Cut(target, "?")
	if decoded, err := url.PathUnescape(raw); err == nil {
		raw = decoded
	}
	return path.Clean("/" + raw)
}

func splitPath(p string) []string {
	return strings.Split(strings.TrimPrefix(p, "/"), "/")
}

// matches ignores case, since some services do: treating too many calls as not
// repeatable is harmless.
func (c Call) matches(method string, segments []string) bool {
	if c.Method != "*" && !strings.EqualFold(c.Method, method) {
		return false
	}
	want := splitPath(c.Path)
	for i, w := range want {
		if w == "**" {
			return true
		}
		if i >= len(segments) || w != "*" && !strings.EqualFold(w, segments[i]) {
			return false
		}
	}
	return len(want) == len(segments)
}
