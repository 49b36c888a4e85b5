package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// Kind names a fault.
type Kind string

// The faults. Those of a host have its number as Target; those of a server that
// of the server.
const (
	KindStop          Kind = "Stop"
	KindKill          Kind = "Kill"
	KindKillMany      Kind = "KillMany"
	KindPause         Kind = "Pause"
	KindHangup        Kind = "Hangup"
	KindStoreAway     Kind = "StoreAway"
	KindStoreSlow     Kind = "StoreSlow"
	KindStoreDeaf     Kind = "StoreDeaf"
	KindStoreLost     Kind = "StoreLostAnswers"
	KindTurnedAway    Kind = "TurnedAway"
	KindStoreReset    Kind = "StoreReset"
	KindStoreSilent   Kind = "StoreSilent"
	KindStoreOneWay   Kind = "StoreOneWay"
	KindServerReset   Kind = "ServerReset"
	KindServerSilent  Kind = "ServerSilent"
	KindServerDelayed Kind = "ServerDelayed"
	KindServerFaulty  Kind = "ServerFaulty"
	KindServerLeaves  Kind = "ServerLeaves"
	KindManifest      Kind = "Manifest"
	KindRevoke        Kind = "Revoke"
)

// planned tells which kinds are work that breaks nothing.
func (k Kind) planned() bool {
	switch k {
	case KindStop, KindHangup, KindManifest, KindRevoke, KindServerLeaves:
		return true
	}
	return false
}

// onHost tells which kinds befall one host.
func (k Kind) onHost() bool {
	switch k {
	case KindStop, KindKill, KindPause, KindHangup, KindTurnedAway, KindStoreReset, KindStoreSilent, KindStoreOneWay:
		return true
	}
	return false
}

// weights are how often each kind comes, in comparison.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KindStop, 4},
	{KindKill, 3},
	{KindKillMany, 1},
	{KindPause, 3},
	{KindHangup, 2},
	{KindStoreAway, 2},
	{KindStoreSlow, 2},
	{KindStoreDeaf, 2},
	{KindStoreLost, 1},
	{KindTurnedAway, 3},
	{KindStoreReset, 2},
	{KindStoreSilent, 2},
	{KindStoreOneWay, 1},
	{KindServerReset, 2},
	{KindServerSilent, 2},
	{KindServerDelayed, 2},
	{KindServerFaulty, 3},
	{KindServerLeaves, 4},
	{KindManifest, 4},
	{KindRevoke, 3},
}

// Fault is one entry of a plan. Times are in milliseconds, At from the plan's
// begin.
type Fault struct {
	At     clock.Millis
	Length clock.Millis
	Kind   Kind
	Target int
}

// String names the fault with its target and length.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d for %d ms", f.Kind, f.Target, f.Length)
}

const (
	// faultEvery is the mean time between two faults, in milliseconds.
	faultEvery = 700
	// Faults last between these, in milliseconds.
	shortest = 300
	longest  = 4_000
	// seriesShare is the share of faults that come as a series, of up to
	// longestSeries.
	seriesShare   = 0.15
	longestSeries = 3
)

// NewPlan draws faults for a length of time, in the order of their begin.
func NewPlan(seed uint64, hosts int, length clock.Millis) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	draw := func() Kind {
		n := random.IntN(total)
		for _, w := range weights {
			if n -= w.weight; n < 0 {
				return w.kind
			}
		}
		return KindKill
	}
	var plan []Fault
	for range int(length) / faultEvery {
		f := Fault{
			At:     clock.Millis(random.Int64N(int64(length))),
			Length: shortest + clock.Millis(random.Int64N(longest-shortest)),
			Kind:   draw(),
			Target: random.IntN(hosts),
		}
		plan = append(plan, f)
		if random.Float64() < seriesShare {
			for range 1 + random.IntN(longestSeries-1) {
				f.At = min(f.At+shortest+clock.Millis(random.Int64N(longest)), length)
				f.Target = random.IntN(hosts)
				plan = append(plan, f)
			}
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}
