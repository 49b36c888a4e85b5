// Package mfest defines the manifest: the single declaration of failure domains,
// services, request classes and workspaces that every entry host follows.
//
// A manifest file is JSON with comments and Pascal case names. Parse reads and
// validates the whole file and reports every finding with its path, line and
// column; a file with any finding is rejected as a whole. A parsed manifest has
// its defaults filled in and is immutable.
//
// Body is the canonical form of a manifest, which is stored, hashed and
// distributed. The field Base belongs to a push and not to the content, so it is
// left out of Body and of the hash.
//
// Intersect returns the manifest that allows only what two manifests both allow.
// Diff lists the differences between two manifests. Index answers the look-ups
// needed to serve a request.
//
// # Usage
//
//	m, list := mfest.Parse("market.hujson", text)
//	if err := list.Err(); err != nil {
//		return err // market.hujson:12:9: Classes[0].Tier: tier 0 is not within 1 to 9
//	}
//	x := mfest.NewIndex(m)
//	w, ok := x.WorkspaceByKey("demo-key")
package mfest

import "siskinsaddle/internal/base/clock"

// Manifest is a complete manifest. Treat it as immutable.
//
// Hosts reject a body with an unknown field. Fields added later therefore need
// omitempty, so that older hosts accept manifests that do not use them.
type Manifest struct {
	// Base is the accepted generation that the file was written against, 0 if
	// none has been accepted yet.
	Base           int64 `json:"-"`
	FailureDomains []FailureDomain
	Services       []Service
	Classes        []Class
	Workspaces     []Workspace
	Limits         Limits
}

// FailureDomain is a group of machines that fail together.
type FailureDomain struct {
	Name   string
	Region string
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "Model"
	KindPlain ServiceKind = "Plain"
)

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	Kind ServiceKind
	// Models lists the models to load on the backend servers of a Model service.
	Models []Model `json:",omitempty"`
	// SlotsPerServer is the number of requests that a backend server runs
	// concurrently.
	SlotsPerServer int
	// HeadroomSlots is the number of slots of each server reserved for classes
	// of tier HeadroomTier or more urgent.
	HeadroomSlots int `json:",omitempty"`
	HeadroomTier  int `json:",omitempty"`
	// ChecksFencing reports whether the backend servers refuse stale fencing
	// numbers.
	ChecksFencing bool `json:",omitempty"`
	// LookUpPath is the path that reports whether the request of an idempotency
	// key ran. It is empty if the service has no such path.
	LookUpPath string `json:",omitempty"`
	// NotRepeatable lists the calls that must run at most once.
	NotRepeatable []Call `json:",omitempty"`
	// HedgeShare is the maximum share of requests that are hedged, SpillShare
	// the maximum share of slots given to other failure domains. Both are
	// within 0 to 1.
	HedgeShare float64 `json:",omitempty"`
	SpillShare float64 `json:",omitempty"`
	// LongTokens is the length above which a request is long. Long requests
	// hold at most LongShare of a server's slots.
	LongTokens int     `json:",omitempty"`
	LongShare  float64 `json:",omitempty"`
}

// ModelNames returns the names of the service's models and of their adapters, both
// of which a request can name as its model.
func (s Service) ModelNames() []string {
	var names []string
	for _, m := range s.Models {
		names = append(names, m.Name)
		names = append(names, m.Adapters...)
	}
	return names
}

// Model is one version of a model with its adapters.
type Model struct {
	Name     string
	Version  string
	Adapters []string `json:",omitempty"`
}

// Call is a method and a path of a plain service. In Path, a segment "*"
// matches any one segment and a last segment "**" any remaining segments.
// Method "*" matches any method.
type Call struct {
	Method string
	Path   string
}

// Class is a class of requests with its latency targets.
type Class struct {
	Name string
	// Tier is the urgency, from 1, the most urgent, to 9.
	Tier int
	// FirstTokenMilliseconds is the target time from arrival to the first token
	// or response byte, BetweenTokensMilliseconds the target mean time between
	// tokens.
	FirstTokenMilliseconds    clock.Millis
	BetweenTokensMilliseconds clock.Millis
	// FloorPeriodMilliseconds is the maximum time that the class may have
	// waiting requests without getting a slot.
	FloorPeriodMilliseconds clock.Millis
	// MaxWaitMilliseconds is the maximum time that a request waits for a slot.
	MaxWaitMilliseconds clock.Millis
	// MaxWaiting is the maximum length of the class's queue.
	MaxWaiting int
}

// Workspace is a customer's account.
type Workspace struct {
	Name string
	// KeyHashes are the SHA-256 hashes of its keys in lower-case hexadecimal.
	KeyHashes []string
	// Weight is its relative share among workspaces.
	Weight int
	// MaxOpen is the maximum number of its open requests on one entry host.
	MaxOpen int
	// Classes lists the classes it may use. DefaultClass applies to requests
	// that name none.
	Classes      []string
	DefaultClass string
}

// Limits bounds what an entry host accepts and retains.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int
	MaxOpenRequests int
	// ClaimKeepMilliseconds is how long the outcome of an idempotency key is
	// kept.
	ClaimKeepMilliseconds clock.Millis
	// RetryShare is the maximum number of retries as a share of successful
	// requests.
	RetryShare float64
}
