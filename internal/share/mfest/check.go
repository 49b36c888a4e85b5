package mfest

import (
	"encoding/hex"
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"

	"siskinsaddle/internal/base/diag"
)

const (
	mostUrgentTier  = 1
	leastUrgentTier = 9
	maxWeight       = 1_000
	keyHashBytes    = 32
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]{0,126}[A-Za-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^([A-Z]+|\*)$`)
)

// checker collects findings. firstPaths holds the path of each name by group, so
// that a duplicate name is reported with the path of the first one.
type checker struct {
	index      diag.Index
	findings   []diag.Finding
	firstPaths map[string]map[string]string
}

func check(m Manifest, index diag.Index, list diag.List) diag.List {
	c := &checker{index: index, firstPaths: map[string]map[string]string{}}
	c.domains(m)
	c.services(m)
	c.classes(m)
	c.workspaces(m)
	c.limits(m.Limits)
	if m.Base < 0 {
		c.report("Base", "generation %d is below 0", m.Base)
	}
	return list.With(c.findings...)
}

func (c *checker) report(at, format string, args ...any) {
	c.findings = append(c.findings, c.index.At(at, format, args...))
}

// unique reports a name that already occurred in its group.
func (c *checker) unique(group, name, at string) {
	names := c.firstPaths[group]
	if names == nil {
		names = map[string]string{}
		c.firstPaths[group] = names
	}
	if first, ok := names[name]; ok {
		c.report(at, "%s %q is already defined at %s", group, name, first)
		return
	}
	names[name] = at
}

func (c *checker) name(group, name, at string) {
	if !namePattern.MatchString(name) {
		c.report(at, "%s %q is not a name of 1 to 64 characters a-z, 0-9, '.' and '-'", group, name)
		return
	}
	c.unique(group, name, at)
}

func (c *checker) notNegative(at string, number float64) {
	if number < 0 {
		c.report(at, "%v is below 0", number)
	}
}

func (c *checker) share(at string, number float64) {
	if number < 0 || number > 1 {
		c.report(at, "share %v is not within 0 to 1", number)
	}
}

func (c *checker) domains(m Manifest) {
	if len(m.FailureDomains) == 0 {
		c.report("FailureDomains", "a manifest needs at least one failure domain")
	}
	for i, d := range m.FailureDomains {
		at := fmt.Sprintf("FailureDomains[%d]", i)
		c.name("failure domain", d.Name, at+".Name")
		if !namePattern.MatchString(d.Region) {
			c.report(at+".Region",
				"region %q is not a name of 1 to 64 characters a-z, 0-9, '.' and '-'", d.Region)
		}
	}
}

func (c *checker) services(m Manifest) {
	if len(m.Services) == 0 {
		c.report("Services", "a manifest needs at least one service")
	}
	for i, s := range m.Services {
		at := fmt.Sprintf("Services[%d]", i)
		c.name("service", s.Name, at+".Name")
		c.models(s, at)
		c.calls(s, at)
		c.slots(s, at)
	}
}

func (c *checker) models(s Service, at string) {
	switch s.Kind {
	case KindModel:
		if len(s.Models) == 0 {
			c.report(at+".Models", "service %q of kind Model needs at least one model", s.Name)
		}
	case KindPlain:
		if len(s.Models) > 0 {
			c.report(at+".Models", "service %q of kind Plain has models", s.Name)
		}
	default:
		c.report(at+".Kind", "kind %q is neither Model nor Plain", s.Kind)
	}
	for i, m := range s.Models {
		itemPath := fmt.Sprintf("%s.Models[%d]", at, i)
		if !modelPattern.MatchString(m.Name) {
			c.report(itemPath+".Name", "model %q is not a valid model name", m.Name)
		}
		if m.Version == "" {
			c.report(itemPath+".Version", "model %q has no version", m.Name)
		}
		c.unique("model", m.Name, itemPath+".Name")
		for j, adapter := range m.Adapters {
			if !modelPattern.MatchString(adapter) {
				c.report(fmt.Sprintf("%s.Adapters[%d]", itemPath, j),
					"adapter %q is not a valid model name", adapter)
			}
		}
	}
}

func (c *checker) calls(s Service, at string) {
	for i, call := range s.NotRepeatable {
		itemPath := fmt.Sprintf("%s.NotRepeatable[%d]", at, i)
		if !methodPattern.MatchString(call.Method) {
			c.report(itemPath+".Method", "method %q is neither in upper case nor \"*\"", call.Method)
		}
		c.path(call.Path, itemPath+".Path")
	}
	if s.LookUpPath != "" {
		c.path(s.LookUpPath, at+".LookUpPath")
	}
}

// path requires the form into which request paths are normalized before they are
// compared.
func (c *checker) path(p, at string) {
	if !strings.HasPrefix(p, "/") || path.Clean(p) != p || strings.ContainsAny(p, "?#%") {
		c.report(at, "path %q is not absolute, clean and decoded", p)
		return
	}
	if i := strings.Index(p, "**"); i >= 0 && (i != len(p)-2 || p[i-1] != '/') {
		c.report(at, "path %q has \"**\" other than as its last segment", p)
	}
}

func (c *checker) slots(s Service, at string) {
	c.notNegative(at+".SlotsPerServer", float64(s.SlotsPerServer))
	c.notNegative(at+".LongTokens", float64(s.LongTokens))
	c.share(at+".HedgeShare", s.HedgeShare)
	c.share(at+".SpillShare", s.SpillShare)
	c.share(at+".LongShare", s.LongShare)
	slots := s.SlotsPerServer
	orDefault(&slots, defaultSlotsPerServer)
	if s.HeadroomSlots < 0 || s.HeadroomSlots >= slots && s.HeadroomSlots > 0 {
		c.report(at+".HeadroomSlots", "%d is not within 0 to %d", s.HeadroomSlots, slots-1)
	}
	if s.HeadroomSlots > 0 {
		c.tier(at+".HeadroomTier", s.HeadroomTier)
	}
}

func (c *checker) tier(at string, tier int) {
	if tier < mostUrgentTier || tier > leastUrgentTier {
		c.report(at, "tier %d is not within %d to %d", tier, mostUrgentTier, leastUrgentTier)
	}
}

func (c *checker) classes(m Manifest) {
	if len(m.Classes) == 0 {
		c.report("Classes", "a manifest needs at least one class")
	}
	for i, k := range m.Classes {
		at := fmt.Sprintf("Classes[%d]", i)
		c.name("class", k.Name, at+".Name")
		c.tier(at+".Tier", k.Tier)
		if k.FirstTokenMilliseconds <= 0 {
			c.report(at+".FirstTokenMilliseconds", "class %q needs a first-token target above 0", k.Name)
		}
		c.notNegative(at+".BetweenTokensMilliseconds", float64(k.BetweenTokensMilliseconds))
		c.notNegative(at+".FloorPeriodMilliseconds", float64(k.FloorPeriodMilliseconds))
		c.notNegative(at+".MaxWaitMilliseconds", float64(k.MaxWaitMilliseconds))
		c.notNegative(at+".MaxWaiting", float64(k.MaxWaiting))
	}
}

func (c *checker) workspaces(m Manifest) {
	classes := map[string]bool{}
	for _, k := range m.Classes {
		classes[k.Name] = true
	}
	for i, w := range m.Workspaces {
		at := fmt.Sprintf("Workspaces[%d]", i)
		c.name("workspace", w.Name, at+".Name")
		c.keyHashes(w, at)
		c.workspaceClasses(w, classes, at)
		if w.Weight < 0 || w.Weight > maxWeight {
			c.report(at+".Weight", "weight %d is not within 0 to %d", w.Weight, maxWeight)
		}
		c.notNegative(at+".MaxOpen", float64(w.MaxOpen))
	}
}

func (c *checker) keyHashes(w Workspace, at string) {
	if len(w.KeyHashes) == 0 {
		c.report(at+".KeyHashes", "workspace %q has no key hash", w.Name)
	}
	for i, hash := range w.KeyHashes {
		itemPath := fmt.Sprintf("%s.KeyHashes[%d]", at, i)
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != keyHashBytes || strings.ToLower(hash) != hash {
			c.report(itemPath, "%q is not a SHA-256 in lower-case hexadecimal", hash)
			continue
		}
		c.unique("key hash", hash, itemPath)
	}
}

func (c *checker) workspaceClasses(w Workspace, classes map[string]bool, at string) {
	if len(w.Classes) == 0 {
		c.report(at+".Classes", "workspace %q has no class", w.Name)
	}
	for i, name := range w.Classes {
		if !classes[name] {
			c.report(fmt.Sprintf("%s.Classes[%d]", at, i), "class %q does not exist", name)
		}
	}
	if w.DefaultClass != "" && !slices.Contains(w.Classes, w.DefaultClass) {
		c.report(at+".DefaultClass", "class %q is not among the classes of workspace %q", w.DefaultClass, w.Name)
	}
}

func (c *checker) limits(l Limits) {
	c.notNegative("Limits.MaxHeaderBytes", float64(l.MaxHeaderBytes))
	c.notNegative("Limits.MaxBodyBytes", float64(l.MaxBodyBytes))
	c.notNegative("Limits.MaxOpenRequests", float64(l.MaxOpenRequests))
	c.notNegative("Limits.ClaimKeepMilliseconds", float64(l.ClaimKeepMilliseconds))
	c.share("Limits.RetryShare", l.RetryShare)
}
