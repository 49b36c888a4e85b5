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
	// PolicyNaive is round robin, one FIFO queue for each server, one blind
	// retry.
	PolicyNaive PolicyName = "Naive"
	// PolicyKnowing is an oracle: it knows all lengths and sees all servers at
	// once.
	PolicyKnowing PolicyName = "Knowing"
	// PolicyAlone lets each entry host decide alone on its share of the slots.
	PolicyAlone PolicyName = "Alone"
	// PolicyServer has one keeper for each backend server.
	PolicyServer PolicyName = "Server"
	// PolicyGroup has one keeper for each group of backend servers.
	PolicyGroup PolicyName = "Group"
)

// Policies lists all policies, the default one last.
var Policies = []PolicyName{PolicyNaive, PolicyKnowing, PolicyAlone, PolicyServer, PolicyGroup}

var policyConstructors = map[PolicyName]func(w *simulation) router{
	PolicyNaive:   newNaive,
	PolicyKnowing: newOracle,
	PolicyAlone:   newAlone,
	PolicyServer:  newServerKeepers,
	PolicyGroup:   newGroupKeepers,
}

func (sm *simulation) hostPlaces() []hostPlace {
	var all []hostPlace
	for i, d := range sm.domains {
		for j := range d.Hosts {
			all = append(all, hostPlace{domain: i, host: j})
		}
	}
	return all
}

func (sm *simulation) hostName(p hostPlace) string {
	return fmt.Sprintf("host-%c-%d", 'a'+p.domain, p.host+1)
}

func newAlone(sm *simulation) router { return newProduction(sm, 0) }

func newServerKeepers(sm *simulation) router { return newProduction(sm, 1) }

func newGroupKeepers(sm *simulation) router { return newProduction(sm, keeper.GroupSize) }

// ParsePolicy returns the policy with the given name, or an error if there is
// none.
func ParsePolicy(name string) (PolicyName, error) {
	if _, ok := policyConstructors[PolicyName(name)]; !ok {
		return "", errors.Newf("policy %q does not exist: use Naive, Knowing, Alone, Server or Group", name)
	}
	return PolicyName(name), nil
}
