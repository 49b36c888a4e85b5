package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/diag"
)

// Scenario is one measured situation, read from a file.
type Scenario struct {
	Name     string
	Describe string
	// Deployment is the deployment's file, beside the scenario's.
	Deployment string
	Seed       int64
	// Requests arrive for DurationMilliseconds; those that arrive in the first
	// WarmUpMilliseconds are not measured.
	DurationMilliseconds clock.Millis
	WarmUpMilliseconds   clock.Millis
	// Load is the demand as a share of the servers' capacity.
	Load float64
	// Mix replaces the shares of the deployment's classes. A class that is not
	// named gets nothing.
	Mix    []ClassShare
	Phases []Phase
	Faults []Fault
	// LoadLagMilliseconds is the age of the engines' load reports.
	LoadLagMilliseconds clock.Millis
	// Crest is the window of arrivals that the crest's measures look at.
	Crest Window
	// Without names what a second run leaves out, for ratios of both.
	Without Without
	// Targets are the targets that this scenario is judged by.
	Targets []TargetName
}

// ClassShare is a class's share of the demand.
type ClassShare struct {
	Class string
	Share float64
}

// Window is a time span.
type Window struct {
	FromMilliseconds  clock.Millis
	UntilMilliseconds clock.Millis
}

func (w Window) holds(t clock.Millis) bool {
	return t >= w.FromMilliseconds && t < w.UntilMilliseconds
}

func (w Window) empty() bool { return w.UntilMilliseconds <= w.FromMilliseconds }

// Phase multiplies the demand of some classes and workspaces for a while.
// Demand rises and falls in RampMilliseconds, which lie inside the window.
type Phase struct {
	Window
	RampMilliseconds clock.Millis
	Factor           float64
	// Classes and Workspaces are all where they are empty.
	Classes    []string
	Workspaces []string
}

// Without is what a second run leaves out.
type Without string

// The kinds of second run.
const (
	WithoutNothing  Without = ""
	WithoutLongWork Without = "LongWork"
	WithoutFaults   Without = "Faults"
)

// FaultKind is what happens to servers or failure domains.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow makes the servers slower by Factor.
	FaultSlow FaultKind = "Slow"
	// FaultCrash drops what the servers run, and they refuse until the end of
	// the window.
	FaultCrash FaultKind = "Crash"
	// FaultFeed lets the servers slow each other by Factor while more than
	// DrawShare of their batch slots are in use together.
	FaultFeed FaultKind = "Feed"
	// FaultCut separates Domain from the other failure domains.
	FaultCut FaultKind = "Cut"
)

// Fault is one fault with its time.
type Fault struct {
	Window
	Kind      FaultKind
	Servers   []string
	Domain    string
	Factor    float64
	DrawShare float64
}

// Deployment is one customer's servers, hosts, classes and workspaces.
type Deployment struct {
	Name           string
	Domains        []Domain
	SlotsPerServer int
	Network        Network
	Classes        []ClassPlan
	Workspaces     []WorkspacePlan
	LongTokens     int
	LongShare      float64
	SpillShare     float64
	HeadroomSlots  int
	HeadroomTier   int
}

// Domain is a failure domain with its numbers of servers and entry hosts.
type Domain struct {
	Name    string
	Servers int
	Hosts   int
}

// Network is the one-way delays.
type Network struct {
	InDomainMilliseconds    clock.Millis
	CrossDomainMilliseconds clock.Millis
}

// ClassPlan is a class with its targets and the shape of its requests.
type ClassPlan struct {
	Name                      string
	Tier                      int
	FirstTokenMilliseconds    clock.Millis
	BetweenTokensMilliseconds clock.Millis
	FloorPeriodMilliseconds   clock.Millis
	MaxWaitMilliseconds       clock.Millis
	MaxWaiting                int
	// Share is the class's share of the demand, as work.
	Share float64
	// PromptTokens and OutputTokens are means; lengths are log-normal with
	// Spread as the standard deviation of the logarithm.
	PromptTokens int
	OutputTokens int
	Spread       float64
	// PrefixShare is the part of the prompt that a workspace's requests of
	// this class have in common.
	PrefixShare float64
	// Long marks the class whose work the head-of-line ratio leaves out.
	Long bool
}

// WorkspacePlan is a workspace with its share of the requests.
type WorkspacePlan struct {
	Name   string
	Weight int
	Share  float64
	// LengthFactor multiplies the output lengths of its requests.
	LengthFactor float64
}

// ReadScenario reads a scenario and its deployment and reports every finding.
func ReadScenario(file string) (Scenario, Deployment, error) {
	var s Scenario
	var d Deployment
	index, err := readFile(file, &s)
	if err != nil {
		return s, d, err
	}
	if s.Deployment == "" {
		return s, d, diag.List{}.With(index.At("Deployment", "a deployment's file is missing")).Err()
	}
	if _, err := readFile(filepath.Join(filepath.Dir(file), s.Deployment), &d); err != nil {
		return s, d, err
	}
	return s, d, s.check(index, d).Err()
}

func readFile(file string, into any) (diag.Index, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return diag.Index{}, errors.Wrap(err, "read the benchmark's file")
	}
	index, list := diag.Decode(file, text, into)
	return index, list.Err()
}

func (s Scenario) check(index diag.Index, d Deployment) diag.List {
	var list diag.List
	classes := map[string]bool{}
	for _, c := range d.Classes {
		classes[c.Name] = true
	}
	for i, m := range s.Mix {
		if !classes[m.Class] {
			list = list.With(index.At(fmt.Sprintf("Mix[%d].Class", i), "class %q does not exist in %s", m.Class, s.Deployment))
		}
	}
	for i, p := range s.Phases {
		for j, name := range p.Classes {
			if !classes[name] {
				list = list.With(index.At(fmt.Sprintf("Phases[%d].Classes[%d]", i, j), "class %q does not exist in %s", name, s.Deployment))
			}
		}
	}
	for i, name := range s.Targets {
		if _, ok := targets[name]; !ok {
			list = list.With(index.At(fmt.Sprintf("Targets[%d]", i), "target %q does not exist", name))
		}
	}
	if s.DurationMilliseconds <= s.WarmUpMilliseconds {
		list = list.With(index.At("DurationMilliseconds", "%d is not longer than the warm-up", s.DurationMilliseconds))
	}
	return list.With(s.checkFaults(index, d).Findings...)
}

func (s Scenario) checkFaults(index diag.Index, d Deployment) diag.List {
	var list diag.List
	names := map[string]bool{}
	for _, p := range d.serverPlaces() {
		names[p.name] = true
		names[d.Domains[p.domain].Name] = true
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("Faults[%d]", i)
		for _, name := range append([]string{f.Domain}, f.Servers...) {
			if name != "" && !names[name] {
				list = list.With(index.At(at, "server or failure domain %q does not exist in %s", name, s.Deployment))
			}
		}
		if _, ok := faultStarts[f.Kind]; !ok {
			list = list.With(index.At(at+".Kind", "kind %q does not exist", f.Kind))
		}
	}
	return list
}

type serverPlace struct {
	name   string
	domain int
}

// serverPlaces names the servers: the first one of the first domain is
// server-a-1.
func (d Deployment) serverPlaces() []serverPlace {
	var all []serverPlace
	for i, domain := range d.Domains {
		for j := range domain.Servers {
			all = append(all, serverPlace{name: fmt.Sprintf("server-%c-%d", 'a'+i, j+1), domain: i})
		}
	}
	return all
}
