// Package disco is the platform's list of live and leaving machines. The list
// lags: a machine that is gone may stand in it for a while, and a new one may
// be missing. Readers treat it as one source among others.
//
// # Usage
//
//	l := disco.NewHTTP("127.0.0.1:7300", 500)
//	entries, err := l.Read(ctx)
//	servers := disco.Servers(entries, "canvas-llm", "prairie-a")
package disco

import "context"

// Kind tells the two kinds of machine apart.
type Kind string

// The kinds.
const (
	KindHost          Kind = "Host"
	KindBackendServer Kind = "BackendServer"
)

// State is what the platform says of a machine.
type State string

// The states.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Entry is one machine of the list.
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

// List reads the platform's list.
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
