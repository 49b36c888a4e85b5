package bench

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"siskinsaddle/internal/base/clock"
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

// newAlone gives each host a keeper of its own for all servers of its domain.
func newAlone(w *world) router {
	k := newKept(w)
	for _, h := range k.order {
		share := max(1, w.deployment.SlotsPerServer/w.domains[h.place.domain].Hosts)
		one := newKeeper(w, h.place, w.serversOf(h.place.domain), share)
		k.keepers = append(k.keepers, one)
		h.choices = []*keeper{one}
	}
	k.start()
	return k.router()
}

func newServerKeepers(w *world) router { return newKeepers(w, 1) }

func newGroupKeepers(w *world) router { return newKeepers(w, groupSize) }

// newKeepers gives each group of servers one keeper, spread over the hosts of
// the domain.
func newKeepers(w *world, size int) router {
	k := newKept(w)
	for domain, d := range w.domains {
		var made []*keeper
		for part := range slices.Chunk(w.serversOf(domain), size) {
			place := hostPlace{domain: domain, host: len(made) % d.Hosts}
			made = append(made, newKeeper(w, place, part, w.deployment.SlotsPerServer))
		}
		for host := range d.Hosts {
			k.hosts[hostPlace{domain: domain, host: host}].choices = made
		}
		k.keepers = append(k.keepers, made...)
	}
	k.start()
	return k.router()
}

// frameBytes is what the link adds to each message.
const frameBytes = 8

// send delivers a message between two hosts, at once within one.
func (w *world) send(from, to hostPlace, message any, do func()) {
	if w.cut(from.domain, to.domain) {
		return
	}
	w.after(w.count(from, to, message), do)
}

// count counts a message and returns its delay.
func (w *world) count(from, to hostPlace, message any) clock.Millis {
	if from == to {
		return 0
	}
	body, err := msgpack.Marshal(message)
	if err != nil {
		panic(err) // the benchmark's own types can be encoded
	}
	w.traffic.Messages++
	w.traffic.Bytes += len(body) + frameBytes
	return w.delay(from.domain, to.domain)
}

// ParsePolicy returns the policy of a name.
func ParsePolicy(name string) (PolicyName, error) {
	if _, ok := policyStarts[PolicyName(name)]; !ok {
		return "", errors.Newf("policy %q does not exist: Naive, Knowing, Alone, Server or Group", name)
	}
	return PolicyName(name), nil
}
