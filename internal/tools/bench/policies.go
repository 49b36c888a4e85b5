package bench

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/share/keeper"
)

// PolicyName names a policy that the benchmark measures.
type PolicyName string

// The policies.
const (
	// PolicyNaive is round robin, one FIFO for each server, one blind retry.
	PolicyNaive PolicyName = "Naive"
	// PolicyKnowing knows all lengths and sees all servers at once.
	PolicyKnowing PolicyName = "Knowing"
	// PolicyAlone lets each entry host decide alone on its share of the slots.
	PolicyAlone PolicyName = "Alone"
	// PolicyServer has one keeper for each backend server.
	PolicyServer PolicyName = "Server"
	// PolicyGroup has one keeper for each group of backend servers.
	PolicyGroup PolicyName = "Group"
)

// Policies are all policies, the default last.
var Policies = []PolicyName{PolicyNaive, PolicyKnowing, PolicyAlone, PolicyServer, PolicyGroup}

var policyStarts = map[PolicyName]func(w *world) router{
	PolicyNaive:   newNaive,
	PolicyKnowing: newKnowing,
	PolicyAlone:   newAlone,
	PolicyServer:  newServerKeepers,
	PolicyGroup:   newGroupKeepers,
}

func (w *world) hostPlaces() []hostPlace {
	var all []hostPlace
	for i, d := range w.domains {
		for j := range d.Hosts {
			all = append(all, hostPlace{domain: i, host: j})
		}
	}
	return all
}

func (w *world) hostName(p hostPlace) string {
	return fmt.Sprintf("host-%c-%d", 'a'+p.domain, p.host+1)
}

func newAlone(w *world) router { return newKept(w, 0) }

func newServerKeepers(w *world) router { return newKept(w, 1) }

func newGroupKeepers(w *world) router { return newKept(w, keeper.GroupSize) }

// ParsePolicy returns the policy of a name.
func ParsePolicy(name string) (PolicyName, error) {
	if _, ok := policyStarts[PolicyName(name)]; !ok {
		return "", errors.Newf("policy %q does not exist: Naive, Knowing, Alone, Server or Group", name)
	}
	return PolicyName(name), nil
}
