package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// TickInterval is the time between two ticks of a Node in milliseconds.
const TickInterval = tickInterval

// Machine is the protocol of a Node without clock and network, for programs that
// simulate both, such as the benchmark. It is not safe for concurrent use.
//
// After each call, Packets and Decisions return the resulting packets and
// decisions.
type Machine struct {
	core *core
}

// Packet is a message to one peer. Body is encoded as on the link.
type Packet struct {
	To   string
	Body []byte
}

// Decision is the grant or refusal of a request. Refusal is nil for a grant.
type Decision struct {
	ID      string
	Grant   Grant
	Refusal *Refusal
}

// MachineSettings are the fields of a Node that the protocol needs.
type MachineSettings struct {
	Name          string
	FailureDomain string
	// GroupSize is the maximum number of backend servers in a group; 0 disables
	// keepers, and the host decides alone.
	GroupSize int
	Services  func() []string
	Servers   func(service, domain string) []sched.Server
	Settings  func(service string) (sched.Settings, uint64)
	// Random returns a non-negative number below its argument.
	Random func(int) int
	// NewAuditor, if set, returns an auditor for each group that the host keeps.
	NewAuditor func(sched.Settings) *audit.Auditor
}

// NewMachine returns a Machine with an empty membership view.
func NewMachine(s MachineSettings) *Machine {
	self := link.Peer{Name: s.Name, Incarnation: 1}
	return &Machine{core: newCore(self, s.FailureDomain, s.GroupSize, dependencies{
		services: s.Services, servers: s.Servers, settings: s.Settings, random: s.Random, newAuditor: s.NewAuditor,
	})}
}

// ViewChanged applies a membership change.
func (m *Machine) ViewChanged(now clock.Millis, v hosts.View) { m.core.setView(now, v) }

// RequestGrant requests a grant. Decisions returns the outcome.
func (m *Machine) RequestGrant(now clock.Millis, r sched.Request) { m.core.requestGrant(now, r) }

// Cancel withdraws a request.
func (m *Machine) Cancel(now clock.Millis, id string) { m.core.cancel(now, id) }

// Progress records the progress of a running request.
func (m *Machine) Progress(p sched.Progress) { m.core.recordProgress(p) }

// Done ends a granted request.
func (m *Machine) Done(now clock.Millis, d sched.Done) { m.core.done(now, d) }

// Tick handles timeouts and reports that are due; a Node ticks every TickInterval.
func (m *Machine) Tick(now clock.Millis) { m.core.tick(now) }

// DomainDigests returns the digests that heartbeats carry to other failure domains.
func (m *Machine) DomainDigests(now clock.Millis) []DomainDigest { return m.core.domainDigests(now) }

// RecordDomainDigests records the DomainDigests of another failure domain.
func (m *Machine) RecordDomainDigests(now clock.Millis, domain string, all []DomainDigest) {
	m.core.recordDomainDigests(now, domain, all)
}

// Receive handles a packet body from a peer. It fails if the body does not decode.
func (m *Machine) Receive(now clock.Millis, from string, body []byte) error {
	var p packet
	if err := link.Decode(body, &p); err != nil {
		return err
	}
	m.core.receive(now, link.Peer{Name: from, Incarnation: 1}, &p)
	return nil
}

// Packets returns the packets to send. Those to this host itself are delivered
// instead.
func (m *Machine) Packets(now clock.Millis) ([]Packet, error) {
	m.deliverLocal(now)
	var all []Packet
	for {
		peer, p, ok := m.core.takePacket()
		if !ok {
			return all, nil
		}
		body, err := link.Encode(p)
		if err != nil {
			return all, err
		}
		all = append(all, Packet{To: peer, Body: body})
	}
}

func (m *Machine) deliverLocal(now clock.Millis) {
	for {
		p, ok := m.core.takePacketFor(m.core.self.Name)
		if !ok {
			return
		}
		m.core.receive(now, m.core.self, p)
	}
}

// Decisions returns the decisions made since the last call.
func (m *Machine) Decisions() []Decision {
	var all []Decision
	for _, r := range m.core.results {
		all = append(all, Decision{ID: r.id, Grant: r.grant, Refusal: r.refusal})
	}
	m.core.results = m.core.results[:0]
	return all
}
