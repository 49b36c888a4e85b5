package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. Target is the number of the host or of the server. StoreDeaf has
// watches receive no events; TurnedAway has the store reject the calls of one host.
// StoreBroken has the store break all of its responses, each fault in one way of package spoil.
// StoreRestored has the store down and then restored from an older copy.
// DomainCut cuts the hosts of the target's failure domain off from all others and from the
// store. ServersCrash crashes half of the engines at once. Poison sends prompts that crash
// engines until the end of the run. With Limit a server names the rate of requests that it
// takes, and later none. With SaysLeaving a server says in its responses only that it is
// leaving, with HoldOff that it wants no requests for a while. OddRecords writes records that
// cannot be read between those of servers and hosts. With ServerRefuses a server runs a part
// of its requests and answers them with the status of a refusal. ServersTableAway has the store
// refuse the calls for the servers alone. StoreChannelsDead makes all open connections to the store
// silent. ServerRemoved removes a server's record, and the server goes on.
const (
	KindStop               Kind = "Stop"
	KindKill               Kind = "Kill"
	KindKillMany           Kind = "KillMany"
	KindPause              Kind = "Pause"
	KindHangup             Kind = "Hangup"
	KindStoreDown          Kind = "StoreAway"
	KindStoreSlow          Kind = "StoreSlow"
	KindStoreWatchesSilent Kind = "StoreDeaf"
	KindStoreLostAnswers   Kind = "StoreLostAnswers"
	KindStoreRejectsHost   Kind = "TurnedAway"
	KindStoreRestored      Kind = "StoreRestored"
	KindStoreBroken        Kind = "StoreBroken"
	KindStoreReset         Kind = "StoreReset"
	KindStoreSilent        Kind = "StoreSilent"
	KindStoreOneWay        Kind = "StoreOneWay"
	KindServerReset        Kind = "ServerReset"
	KindServerSilent       Kind = "ServerSilent"
	KindServerDelayed      Kind = "ServerDelayed"
	KindServerFaulty       Kind = "ServerFaulty"
	KindServerLeaves       Kind = "ServerLeaves"
	KindManifest           Kind = "Manifest"
	KindRevoke             Kind = "Revoke"
	KindDomainCut          Kind = "DomainCut"
	KindServersCrash       Kind = "ServersCrash"
	KindPoison             Kind = "Poison"
	KindLimit              Kind = "Limit"
	KindSaysLeaving        Kind = "SaysLeaving"
	KindHoldOff            Kind = "HoldOff"
	KindOddRecords         Kind = "OddRecords"
	KindServerRefuses      Kind = "ServerRefuses"
	KindServersTableDown   Kind = "ServersTableAway"
	KindStoreChannelsDead  Kind = "StoreChannelsDead"
	KindServerRemoved      Kind = "ServerRemoved"
)

// planned reports whether the kind is a planned operation, which must break nothing.
func (k Kind) planned() bool {
	switch k {
	case KindStop, KindHangup, KindManifest, KindRevoke, KindServerLeaves, KindServerRemoved:
		return true
	}
	return false
}

// affectsOneHost reports whether the kind affects only its target host.
func (k Kind) affectsOneHost() bool {
	switch k {
	case KindStop, KindKill, KindPause, KindHangup, KindStoreRejectsHost, KindStoreReset, KindStoreSilent, KindStoreOneWay, KindDomainCut:
		return true
	}
	return false
}

// weights are the relative frequencies of the kinds. Those of weight 0 are drawn apart, which
// leaves the plans of older seeds as they are but for them.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KindStop, 4},
	{KindKill, 3},
	{KindKillMany, 1},
	{KindPause, 3},
	{KindHangup, 2},
	{KindStoreDown, 2},
	{KindStoreSlow, 2},
	{KindStoreWatchesSilent, 2},
	{KindStoreLostAnswers, 1},
	{KindStoreRejectsHost, 3},
	{KindStoreRestored, 4},
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
	{KindDomainCut, 2},
	{KindServersCrash, 2},
	{KindPoison, 2},
	{KindLimit, 3},
	{KindSaysLeaving, 2},
	{KindHoldOff, 3},
	{KindOddRecords, 2},
	{KindStoreBroken, 0},
	{KindServerRefuses, 0},
	{KindServersTableDown, 0},
	{KindStoreChannelsDead, 0},
	{KindServerRemoved, 0},
}

// Fault is one entry of a plan. Times are in milliseconds; At counts from the start of
// the plan.
type Fault struct {
	At       clock.Millis
	Duration clock.Millis
	Kind     Kind
	Target   int
}

// String returns the kind, target and duration of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d for %d ms", f.Kind, f.Target, f.Duration)
}

const (
	// meanFaultInterval is the mean time between two faults, in milliseconds.
	meanFaultInterval = 700
	// The bounds of the duration of a fault, in milliseconds.
	minFaultDuration = 300
	maxFaultDuration = 4_000
	// seriesShare is the share of faults that repeat in a series of up to maxSeries
	// faults.
	seriesShare = 0.15
	maxSeries   = 3
	// earlyShare is the part of a run, from its begin, in which the faults of everyRun
	// start.
	earlyShare = 3
)

// everyRun are faults that each run has, early enough for their checks.
var everyRun = []Kind{KindPoison, KindLimit}

// NewPlan draws the faults of a run of the given length, sorted by their start.
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
	for _, k := range everyRun {
		plan = append(plan, Fault{
			At:       clock.Millis(random.Int64N(int64(length) / earlyShare)),
			Duration: minFaultDuration,
			Kind:     k,
			Target:   random.IntN(hosts),
		})
	}
	for range int(length) / meanFaultInterval {
		f := Fault{
			At:       clock.Millis(random.Int64N(int64(length))),
			Duration: minFaultDuration + clock.Millis(random.Int64N(maxFaultDuration-minFaultDuration)),
			Kind:     draw(),
			Target:   random.IntN(hosts),
		}
		plan = append(plan, f)
		if random.Float64() < seriesShare {
			for range 1 + random.IntN(maxSeries-1) {
				f.At = min(f.At+minFaultDuration+clock.Millis(random.Int64N(maxFaultDuration)), length)
				f.Target = random.IntN(hosts)
				plan = append(plan, f)
			}
		}
	}
	plan = append(plan, apartFaults(seed, hosts, length)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// meanApartInterval is the mean time between two faults of a kind that is drawn apart, in
// milliseconds.
const meanApartInterval = 10_000

// apartKinds are the kinds that are drawn apart, each from its own random numbers.
var apartKinds = []Kind{KindStoreBroken, KindServerRefuses, KindServersTableDown, KindStoreChannelsDead, KindServerRemoved}

// apartFaults draws the faults of apartKinds.
func apartFaults(seed uint64, hosts int, length clock.Millis) []Fault {
	var faults []Fault
	for i, kind := range apartKinds {
		random := rand.New(rand.NewPCG(seed, uint64(1+i)))
		for range 1 + int(length)/meanApartInterval {
			faults = append(faults, Fault{
				At:       clock.Millis(random.Int64N(int64(length))),
				Duration: minFaultDuration + clock.Millis(random.Int64N(maxFaultDuration-minFaultDuration)),
				Kind:     kind,
				Target:   random.IntN(hosts),
			})
		}
	}
	return faults
}
