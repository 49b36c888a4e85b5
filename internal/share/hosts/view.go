package hosts

import (
	"hash/fnv"
	"sort"

	"siskinsaddle/internal/base/chart"
)

// The states of a host in peer.chart.hujson.
const (
	StateAlive   chart.State = "Alive"
	StateSuspect chart.State = "Suspect"
	StateLeaving chart.State = "Leaving"
	StateDead    chart.State = "Dead"
)

// Host is the membership entry of one entry host.
type Host struct {
	Name          string
	FailureDomain string
	Region        string
	// Address is the "IP:port" on which its link.Node listens.
	Address string
	// Incarnation increases with each start of the host.
	Incarnation int64
	// Refutation is raised by the host itself to contradict a suspicion.
	Refutation int64
	State      chart.State
}

// stateRank orders news of the same incarnation and refutation.
var stateRank = map[chart.State]int{StateAlive: 0, StateLeaving: 1, StateSuspect: 2, StateDead: 3}

// supersedes reports whether news about a host replaces the known entry.
func (h Host) supersedes(known Host) bool {
	if h.Incarnation != known.Incarnation {
		return h.Incarnation > known.Incarnation
	}
	if h.Refutation != known.Refutation {
		return h.Refutation > known.Refutation
	}
	return stateRank[h.State] > stateRank[known.State]
}

// View is an immutable snapshot of the hosts known to this host, itself included.
type View struct {
	// Number increases with each change on this host. Numbers of different hosts
	// are not comparable.
	Number uint64
	// Joined reports whether the host knows its peers: it has received a peer's
	// full view, or JoinTimeout has passed since the sources were first read.
	// Before that, a host must not assume any duty.
	Joined bool
	hosts  []Host // sorted by name, without dead hosts
}

// newView returns a view of the given hosts, none of which may be dead.
func newView(number uint64, hosts []Host) View {
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return View{Number: number, hosts: hosts}
}

// NewView returns a joined view of the given hosts, for tests of other packages.
func NewView(number uint64, hosts ...Host) View {
	v := newView(number, append([]Host(nil), hosts...))
	v.Joined = true
	return v
}

// Hosts returns all hosts that are not dead, sorted by name.
func (v View) Hosts() []Host {
	return append([]Host(nil), v.hosts...)
}

// In returns the hosts of a failure domain that are not dead, sorted by name.
func (v View) In(domain string) []Host {
	return v.filter(func(h Host) bool { return h.FailureDomain == domain })
}

// Eligible returns the hosts of a failure domain that are eligible for duties,
// such as keeper of a group: alive or suspected, but not leaving. They are sorted
// by name.
func (v View) Eligible(domain string) []Host {
	return v.filter(func(h Host) bool { return h.FailureDomain == domain && h.State != StateLeaving })
}

// Domains returns the failure domains that have a host, sorted by name.
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

// Find returns the host with a name, unless it is unknown or dead.
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

// RendezvousWinner returns the host with the highest rendezvous hash for a key.
// Callers that pass the same hosts get the same winner, and when a host joins or
// leaves, only the keys that it wins move.
func RendezvousWinner(key string, hosts []Host) (Host, bool) {
	var best Host
	var bestWeight uint64
	for _, h := range hosts {
		weight := RendezvousWeight(key, h.Name)
		if best.Name == "" || weight > bestWeight || (weight == bestWeight && h.Name < best.Name) {
			best, bestWeight = h, weight
		}
	}
	return best, best.Name != ""
}

// RendezvousWeight returns the rendezvous hash of a key and a host name; the
// highest wins. The FNV sum is mixed once more because FNV alone changes too
// little in the high bits for names that differ only in the last letter.
func RendezvousWeight(key, name string) uint64 {
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
