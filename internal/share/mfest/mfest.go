// Package mfest is the manifest: the one declaration of failure domains,
// services, classes of requests and workspaces that governs every entry host.
//
// A manifest is a file of JSON with comments and Pascal case names. Parse
// reads and checks it as a whole and reports every finding with its path, line
// and column; on any finding nothing of the file is to be used. A checked
// manifest has its defaults filled in and does not change afterwards.
//
// Body is the canonical form of a manifest, which is stored, hashed and spread.
// The field Base is about a push and not about content, so it is left out of
// Body and of the hash.
//
// Both makes the manifest of what two manifests both allow. Diff lists what
// differs between two manifests. Index answers the look-ups of a request.
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

// Manifest is a whole declaration. Treat it as immutable.
//
// Hosts refuse a body with a field that they do not know. A field that is added
// later therefore has omitempty, so that older hosts take manifests that do not
// use it.
type Manifest struct {
	// Base is the accepted generation that the file was written against, 0
	// before the first.
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

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "Model"
	KindPlain ServiceKind = "Plain"
)

// Service is a group of like backend servers.
type Service struct {
	Name string
	Kind ServiceKind
	// Models are wanted on the backend servers of a Model service.
	Models []Model `json:",omitempty"`
	// SlotsPerServer is how many requests a backend server runs side by side.
	SlotsPerServer int
	// HeadroomSlots of each server are only given to classes of tier
	// HeadroomTier or more urgent.
	HeadroomSlots int `json:",omitempty"`
	HeadroomTier  int `json:",omitempty"`
	// ChecksFencing tells that the backend servers refuse an old fencing
	// number.
	ChecksFencing bool `json:",omitempty"`
	// LookUpPath answers whether the request of an idempotency key ran, empty
	// where the service has no such path.
	LookUpPath string `json:",omitempty"`
	// NotRepeatable lists the calls that run at most once.
	NotRepeatable []Call `json:",omitempty"`
	// HedgeShare bounds hedged requests as a share of all, SpillShare bounds
	// the slots given to other failure domains; both are within 0 to 1.
	HedgeShare float64 `json:",omitempty"`
	SpillShare float64 `json:",omitempty"`
	// A request longer than LongTokens is long; long requests hold at most
	// LongShare of a server's slots.
	LongTokens int     `json:",omitempty"`
	LongShare  float64 `json:",omitempty"`
}

// Offered names the service's models and their adapters, which requests name in
// the same way.
func (s Service) Offered() []string {
	var names []string
	for _, m := range s.Models {
		names = append(names, m.Name)
		names = append(names, m.Adapters...)
	}
	return names
}

// Model is a model in one version with its adapters.
type Model struct {
	Name     string
	Version  string
	Adapters []string `json:",omitempty"`
}

// Call is a method and a path of a plain service. In Path, a segment "*"
// stands for any one segment and a last segment "**" for any rest. Method "*"
// stands for any method.
type Call struct {
	Method string
	Path   string
}

// Class is a class of requests with its latency target.
type Class struct {
	Name string
	// Tier counts from 1, the most urgent.
	Tier int
	// FirstTokenMilliseconds is the target from arrival to the first token or
	// response byte, BetweenTokensMilliseconds the mean between tokens.
	FirstTokenMilliseconds    clock.Millis
	BetweenTokensMilliseconds clock.Millis
	// FloorPeriodMilliseconds is the longest time that the class may have
	// waiting requests without being given a slot.
	FloorPeriodMilliseconds clock.Millis
	// MaxWaitMilliseconds is how long a request may wait for a slot.
	MaxWaitMilliseconds clock.Millis
	// MaxWaiting bounds the class's queue.
	MaxWaiting int
}

// Workspace is a customer's account.
type Workspace struct {
	Name string
	// KeyHashes are SHA-256 of its keys, in lower-case hexadecimal.
	KeyHashes []string
	// Weight is its share among workspaces.
	Weight int
	// MaxOpen bounds its open requests on one entry host.
	MaxOpen int
	// Classes names the classes it may use. DefaultClass is for requests that
	// name none.
	Classes      []string
	DefaultClass string
}

// Limits bound what an entry host takes in and keeps.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int
	MaxOpenRequests int
	// ClaimKeepMilliseconds is how long the outcome of an idempotency key is
	// kept.
	ClaimKeepMilliseconds clock.Millis
	// RetryShare bounds retries as a share of successful requests.
	RetryShare float64
}
