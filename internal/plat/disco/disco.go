// Package disco reads the platform's service discovery: the list of live and
// leaving machines. The list is eventually consistent: a removed machine may
// remain in it for a while, and a new one may be missing. Readers combine it with
// other sources.
//
// # Usage
//
//	l := disco.NewHTTP("127.0.0.1:7300", 500, faults)
//	entries, err := l.Read(ctx)
//	servers := disco.Servers(entries, "canvas-llm", "prairie-a")
package disco

import "context"

// Kind is the role of a machine.
type Kind string

// Kinds of machine.
const (
	KindHost          Kind = "Host"
	KindBackendServer Kind = "BackendServer"
)

// State is the state of a machine as the platform reports it.
type State string

// States of a machine.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Entry describes one machine.
type Entry struct {
	Name          string
	Kind          Kind
	Service       string
	Region        string
	FailureDomain string
	// Address is "IP:port": the link address of a host, the HTTP address of
	// a backend server.
	Address string
	State   State
}

// List reads the platform's list of machines.
type List struct {
	Read func(ctx context.Context) ([]Entry, error)
}

// Servers returns the backend servers of a service in a failure domain.
func Servers(entries []Entry, service, domain string) []Entry {
	var found []Entry
	for _, e := range entries {
		if e.Kind == KindBackendServer && e.Service == service && e.FailureDomain == domain {
			found = append(found, e)
		}
	}
	return found
}
