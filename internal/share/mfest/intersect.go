package mfest

import (
	"cmp"
	"slices"
)

// Intersect returns the manifest that allows only what two manifests both allow. A
// host that does not know which of the two is in force serves under it.
//
// Only names present in both are kept. Of two limits the stricter applies, a call
// is not repeatable if either manifest says so, and a class whose tiers differ
// gets the less urgent one. A model whose versions differ has no version, since
// neither is known to be the required one. A workspace whose default classes
// differ has none, so its requests have to name a class.
func Intersect(a, b Manifest) Manifest {
	m := Manifest{
		FailureDomains: intersectByKey(
			a.FailureDomains, b.FailureDomains, func(d FailureDomain) string { return d.Name }, intersectDomain,
		),
		Services: intersectByKey(
			a.Services, b.Services, func(s Service) string { return s.Name }, intersectService,
		),
		Classes: intersectByKey(
			a.Classes, b.Classes, func(c Class) string { return c.Name }, intersectClass,
		),
		Limits: intersectLimits(a.Limits, b.Limits),
	}
	classes := make([]string, 0, len(m.Classes))
	for _, c := range m.Classes {
		classes = append(classes, c.Name)
	}
	m.Workspaces = intersectByKey(
		a.Workspaces, b.Workspaces, func(w Workspace) string { return w.Name },
		func(v, w Workspace) (Workspace, bool) { return intersectWorkspace(v, w, classes) },
	)
	return m
}

// intersectByKey merges the entries whose key is in both lists, in the order of
// the first. An entry for which merge returns false is left out.
func intersectByKey[T any](a, b []T, key func(T) string, merge func(T, T) (T, bool)) []T {
	indexes := make(map[string]int, len(b))
	for i, e := range b {
		indexes[key(e)] = i
	}
	var merged []T
	for _, e := range a {
		i, ok := indexes[key(e)]
		if !ok {
			continue
		}
		if entry, ok := merge(e, b[i]); ok {
			merged = append(merged, entry)
		}
	}
	return merged
}

func intersectDomain(a, b FailureDomain) (FailureDomain, bool) {
	return a, a == b
}

func intersectService(a, b Service) (Service, bool) {
	s := a
	s.Models = intersectByKey(a.Models, b.Models, func(m Model) string { return m.Name }, intersectModel)
	s.SlotsPerServer = min(a.SlotsPerServer, b.SlotsPerServer)
	s.HeadroomSlots = max(a.HeadroomSlots, b.HeadroomSlots)
	s.HeadroomTier = minNonZero(a.HeadroomTier, b.HeadroomTier)
	s.ChecksFencing = a.ChecksFencing && b.ChecksFencing
	if a.LookUpPath != b.LookUpPath {
		s.LookUpPath = ""
	}
	s.NotRepeatable = union(a.NotRepeatable, b.NotRepeatable)
	s.HedgeShare = min(a.HedgeShare, b.HedgeShare)
	s.SpillShare = min(a.SpillShare, b.SpillShare)
	s.LongTokens = minNonZero(a.LongTokens, b.LongTokens)
	s.LongShare = minNonZero(a.LongShare, b.LongShare)
	return s, a.Kind == b.Kind && (a.Kind == KindPlain || len(s.Models) > 0)
}

func intersectModel(a, b Model) (Model, bool) {
	m := Model{Name: a.Name, Adapters: intersection(a.Adapters, b.Adapters)}
	if a.Version == b.Version {
		m.Version = a.Version
	}
	return m, true
}

func intersectClass(a, b Class) (Class, bool) {
	return Class{
		Name:                      a.Name,
		Tier:                      max(a.Tier, b.Tier),
		FirstTokenMilliseconds:    min(a.FirstTokenMilliseconds, b.FirstTokenMilliseconds),
		BetweenTokensMilliseconds: minNonZero(a.BetweenTokensMilliseconds, b.BetweenTokensMilliseconds),
		FloorPeriodMilliseconds:   min(a.FloorPeriodMilliseconds, b.FloorPeriodMilliseconds),
		MaxWaitMilliseconds:       min(a.MaxWaitMilliseconds, b.MaxWaitMilliseconds),
		MaxWaiting:                min(a.MaxWaiting, b.MaxWaiting),
	}, true
}

func intersectWorkspace(a, b Workspace, classes []string) (Workspace, bool) {
	w := Workspace{
		Name:      a.Name,
		KeyHashes: intersection(a.KeyHashes, b.KeyHashes),
		Weight:    min(a.Weight, b.Weight),
		MaxOpen:   min(a.MaxOpen, b.MaxOpen),
		Classes:   intersection(intersection(a.Classes, b.Classes), classes),
	}
	if a.DefaultClass == b.DefaultClass && slices.Contains(w.Classes, a.DefaultClass) {
		w.DefaultClass = a.DefaultClass
	}
	return w, len(w.KeyHashes) > 0 && len(w.Classes) > 0
}

func intersectLimits(a, b Limits) Limits {
	return Limits{
		MaxHeaderBytes:        min(a.MaxHeaderBytes, b.MaxHeaderBytes),
		MaxBodyBytes:          min(a.MaxBodyBytes, b.MaxBodyBytes),
		MaxOpenRequests:       min(a.MaxOpenRequests, b.MaxOpenRequests),
		ClaimKeepMilliseconds: max(a.ClaimKeepMilliseconds, b.ClaimKeepMilliseconds),
		RetryShare:            min(a.RetryShare, b.RetryShare),
	}
}

// minNonZero returns the smaller of two bounds, where zero means no bound.
func minNonZero[T cmp.Ordered](a, b T) T {
	var zero T
	if a == zero {
		return b
	}
	if b == zero {
		return a
	}
	return min(a, b)
}

// intersection returns a itself if both are equal, which saves memory for the many
// workspaces that did not change.
func intersection(a, b []string) []string {
	if slices.Equal(a, b) {
		return a
	}
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return !slices.Contains(b, s) })
}

func union(a, b []Call) []Call {
	all := slices.Clone(a)
	for _, c := range b {
		if !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	return all
}
