package hosts

import (
	"hash/fnv"
	"sort"

	"siskinsaddle/internal/base/chart"
)

// The states of a host, as peer.chart.hujson names them.
const (
	StateAlive   chart.State = "Alive"
	StateSuspect chart.State = "Suspect"
	StateLeaving chart.State = "Leaving"
	StateDead    chart.State = "Dead"
)

// Host is one entry host as this one knows it.
type Host struct {
	Name          string
	FailureDomain string
	Region        string
	// Address is the "IP:port" of its links.
	Address string
	// Incarnation is higher with each start of the host.
	Incarnation int64
	// Refutation is raised by the host itself to contradict a suspicion.
	Refutation int64
	State      chart.State
}

// stateRank orders news of the same incarnation and refutation.
var stateRank = map[chart.State]int{StateAlive: 0, StateLeaving: 1, StateSuspect: 2, StateDead: 3}

// newer tells whether news about a host replaces what is held.
func (h Host) newer(held Host) bool {
	if h.Incarnation != held.Incarnation {
		return h.Incarnation > held.Incarnation
	}
	if h.Refutation != held.Refutation {
		return h.Refutation > held.Refutation
	}
	return stateRank[h.State] > stateRank[held.State]
}

// View is what a host knows of all hosts at one moment, itself included. It
// does not change.
type View struct {
	// Number rises with each change on this host. Numbers of different hosts
	// do not compare.
	Number uint64
	// Joined tells that the host has learnt of the others: a peer has sent its
	// whole view, or none of the listed hosts answered for JoinWait. Before
	// that, a host must not believe that duties are its own.
	Joined bool
	hosts  []Host // by name, without the dead
}

// newView makes a view of hosts that are not dead.
func newView(number uint64, hosts []Host) View {
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return View{Number: number, hosts: hosts}
}

// NewView makes a view by hand, for the tests of packages that take one.
func NewView(number uint64, hosts ...Host) View {
	v := newView(number, append([]Host(nil), hosts...))
	v.Joined = true
	return v
}

// Hosts returns every host that is not dead, by name.
func (v View) Hosts() []Host {
	return append([]Host(nil), v.hosts...)
}

// In returns the hosts of a failure domain that are not dead, by name.
func (v View) In(domain string) []Host {
	return v.filter(func(h Host) bool { return h.FailureDomain == domain })
}

// Duty returns the hosts of a failure domain that may hold duties: alive or
// suspected, but not leaving.
func (v View) Duty(domain string) []Host {
	return v.filter(func(h Host) bool { return h.FailureDomain == domain && h.State != StateLeaving })
}

// Domains returns the failure domains that have a host, by name.
func (v View) Domains() []string {
	var names []string
	seen := map[string]bool{}
	for _, h := range v.hosts {
		if !seen[h.FailureDomain] {
			seen[h.FailureDomain] = true
			names = append(names, h.FailureDomain)
		}
	}
	sort.Strings(names)
	return names
}

// Find returns a host that is not dead.
func (v View) Find(name string) (Host, bool) {
	i := sort.Search(len(v.hosts), func(i int) bool { return v.hosts[i].Name >= name })
	if i < len(v.hosts) && v.hosts[i].Name == name {
		return v.hosts[i], true
	}
	return Host{}, false
}

func (v View) filter(keep func(Host) bool) []Host {
	var found []Host
	for _, h := range v.hosts {
		if keep(h) {
			found = append(found, h)
		}
	}
	return found
}

// Winner returns the host that wins the rendezvous hash on a key. Hosts that
// agree on the live hosts agree on the winner, and when a host comes or goes
// only the keys that it wins move.
func Winner(key string, hosts []Host) (Host, bool) {
	var best Host
	var bestWeight uint64
	for _, h := range hosts {
		weight := Weight(key, h.Name)
		if best.Name == "" || weight > bestWeight || (weight == bestWeight && h.Name < best.Name) {
			best, bestWeight = h, weight
		}
	}
	return best, best.Name != ""
}

// Weight is the rendezvous hash of a key and a name; the highest wins. FNV alone changes too little in the high bits
// for names that differ in the last letter, so the sum is mixed once more.
func Weight(key, name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
