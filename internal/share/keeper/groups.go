package keeper

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strings"

	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
)

// GroupSize is the maximum number of backend servers in a group.
const GroupSize = 8

// group is a subset of the backend servers of a service in a failure domain, which
// one keeper schedules. Name is "service/domain/index".
type group struct {
	Name    string
	Service string
	Domain  string
	Servers []sched.Server
}

// groupID is a 32-bit hash of a group's name, which keeps messages short.
type groupID uint32

func groupIDOf(name string) groupID {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	return groupID(sum.Sum32())
}

// split divides the servers of a service in a failure domain into groups of
// nearly the same size, in the order of their names. Ten servers with a group
// size of eight make two groups of five.
func split(service, domain string, size int, servers []sched.Server) []group {
	sorted := slices.Clone(servers)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	count := (len(sorted) + size - 1) / size
	groups := make([]group, 0, count)
	for i := range count {
		from, to := i*len(sorted)/count, (i+1)*len(sorted)/count
		groups = append(groups, group{
			Name:    fmt.Sprintf("%s/%s/%d", service, domain, i),
			Service: service, Domain: domain, Servers: sorted[from:to],
		})
	}
	return groups
}

// parseGroup returns the service and the failure domain of a group's name, or
// empty strings if the name is malformed.
func parseGroup(name string) (service, domain string) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return "", ""
	}
	return parts[0], parts[1]
}

func (g group) serverNames() []string {
	names := make([]string, 0, len(g.Servers))
	for _, s := range g.Servers {
		names = append(names, s.Name)
	}
	return names
}

// upSlots counts the slots of the servers that are up.
func (g group) upSlots() int {
	slots := 0
	for _, s := range g.Servers {
		if s.State == sched.ServerUp {
			slots += s.Slots
		}
	}
	return slots
}

func (g group) servesModel(model string) bool {
	return slices.ContainsFunc(g.Servers, func(s sched.Server) bool {
		return model == "" || len(s.Models) == 0 || slices.Contains(s.Models, model)
	})
}

// assumedHosts is the number of hosts that a host without a membership view
// divides the slots by.
const assumedHosts = 100

// localShare returns the group with the slots that a host may use in fallback
// mode. Each server's slots are divided equally; the remainder goes to the hosts
// that win the rendezvous hash on the server, so that the shares of all hosts add
// up to the slots. A host that gets none has one slot on the first server that is
// up.
func localShare(g group, self string, live []hosts.Host) group {
	shared := g
	if len(live) == 0 {
		live = make([]hosts.Host, assumedHosts)
	}
	shared.Servers = slices.Clone(g.Servers)
	total := 0
	for i, s := range shared.Servers {
		slots := s.Slots / max(1, len(live))
		if hostsAhead(s.Name, self, live) < s.Slots%max(1, len(live)) {
			slots++
		}
		shared.Servers[i].Slots = slots
		total += slots
	}
	if total > 0 {
		return shared
	}
	for i, s := range shared.Servers {
		if s.State == sched.ServerUp {
			shared.Servers[i].Slots = 1
			return shared
		}
	}
	return shared
}

// hostsAhead counts the hosts with a higher rendezvous weight on a server.
func hostsAhead(server, self string, live []hosts.Host) int {
	own, ahead := hosts.RendezvousWeight(server, self), 0
	for _, h := range live {
		if h.Name != self && hosts.RendezvousWeight(server, h.Name) > own {
			ahead++
		}
	}
	return ahead
}
