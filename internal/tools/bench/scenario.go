package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/diag"
)

// Scenario is one benchmark scenario: demand, faults and targets. It is read from
// a file.
type Scenario struct {
	Name     string
	Describe string
	// Deployment is the path of the deployment file, relative to the scenario
	// file's directory.
	Deployment string
	Seed       int64
	// Requests arrive for DurationMilliseconds; those that arrive in the first
	// WarmUpMilliseconds are not measured.
	DurationMilliseconds clock.Millis
	WarmUpMilliseconds   clock.Millis
	// Load is the demand as a share of the servers' capacity.
	Load float64
	// Mix replaces the shares of the deployment's classes. A class that is not
	// listed gets no requests.
	Mix    []ClassShare
	Phases []Phase
	Faults []Fault
	// LoadLagMilliseconds is the age of the engines' load reports.
	LoadLagMilliseconds clock.Millis
	// Crest is the peak window: the arrivals in it count for the Crest figures.
	Crest Window
	// Without is what a second run leaves out. Ratio targets compare the two
	// runs.
	Without Without
	// Targets are the targets that this scenario has to meet.
	Targets []TargetName
}

// ClassShare is a class's share of the demand.
type ClassShare struct {
	Class string
	Share float64
}

// Window is a half-open interval of virtual time: From inclusive, Until
// exclusive.
type Window struct {
	FromMilliseconds  clock.Millis
	UntilMilliseconds clock.Millis
}

func (w Window) contains(t clock.Millis) bool {
	return t >= w.FromMilliseconds && t < w.UntilMilliseconds
}

func (w Window) empty() bool { return w.UntilMilliseconds <= w.FromMilliseconds }

// Phase multiplies the demand of some classes and workspaces for a while.
// Demand ramps up and down linearly over RampMilliseconds at either end, inside
// the window.
type Phase struct {
	Window
	RampMilliseconds clock.Millis
	Factor           float64
	// Classes and Workspaces select the requests; an empty list selects all.
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

// FaultKind is a kind of fault in servers or failure domains.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow makes the servers slower by Factor.
	FaultSlow FaultKind = "Slow"
	// FaultCrash drops the requests that the servers run; they refuse
	// connections until the end of the window.
	FaultCrash FaultKind = "Crash"
	// FaultFeed puts the servers on a shared power feed: all slow down by
	// Factor while more than DrawShare of their combined batch slots are in
	// use.
	FaultFeed FaultKind = "Feed"
	// FaultCut is a network partition between Domain and the other failure
	// domains.
	FaultCut FaultKind = "Cut"
)

// Fault is one fault and the window in which it is active.
type Fault struct {
	Window
	Kind      FaultKind
	Servers   []string
	Domain    string
	Factor    float64
	DrawShare float64
}

// Deployment is the servers, hosts, classes and workspaces of one installation.
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

// Network holds the one-way network delays.
type Network struct {
	InDomainMilliseconds    clock.Millis
	CrossDomainMilliseconds clock.Millis
}

// ClassPlan is a class with its targets and the length distribution of its
// requests.
type ClassPlan struct {
	Name                      string
	Tier                      int
	FirstTokenMilliseconds    clock.Millis
	BetweenTokensMilliseconds clock.Millis
	FloorPeriodMilliseconds   clock.Millis
	MaxWaitMilliseconds       clock.Millis
	MaxWaiting                int
	// Share is the class's share of the demand, measured in server time.
	Share float64
	// PromptTokens and OutputTokens are means; lengths are log-normal with
	// Spread as the standard deviation of the logarithm.
	PromptTokens int
	OutputTokens int
	Spread       float64
	// PrefixShare is the fraction of the prompt that all requests of this class
	// in a workspace have in common.
	PrefixShare float64
	// Long marks a class that the head-of-line ratio excludes.
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

// ReadScenario reads a scenario and its deployment file. The error lists all
// invalid settings, not only the first.
func ReadScenario(file string) (Scenario, Deployment, error) {
	var s Scenario
	var d Deployment
	index, err := readFile(file, &s)
	if err != nil {
		return s, d, err
	}
	if s.Deployment == "" {
		return s, d, diag.List{}.With(index.At("Deployment", "the name of a deployment file is missing")).Err()
	}
	if _, err := readFile(filepath.Join(filepath.Dir(file), s.Deployment), &d); err != nil {
		return s, d, err
	}
	return s, d, s.check(index, d).Err()
}

func readFile(file string, into any) (diag.Index, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return diag.Index{}, errors.Wrap(err, "read the benchmark file")
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
		if _, ok := faultStarters[f.Kind]; !ok {
			list = list.With(index.At(at+".Kind", "kind %q does not exist", f.Kind))
		}
	}
	return list
}

type serverPlace struct {
	name   string
	domain int
}

// serverPlaces lists the servers. The first server of the first domain is named
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
