package suite

import (
	"fmt"
	"strings"

	"siskinsaddle/internal/base/diag"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/fakes/engine"
)

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "Model"
	KindPlain Kind = "Plain"
)

// Settings configure which stand-ins run and at which addresses. An empty address
// means a free port of 127.0.0.1.
type Settings struct {
	Region          string
	PlatformAddress string
	FaultsAddress   string
	Services        []Service
}

// Service is one service with its backend servers.
type Service struct {
	Name          string
	Kind          Kind
	ChecksFencing bool
	Models        []engine.Model
	Batch         batch.Settings
	Servers       []Server
}

// Server is one backend server.
type Server struct {
	Name          string
	FailureDomain string
	ListenAddress string
}

// Parse decodes settings from JSON with comments. Its error lists every finding
// with its position.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	index, list := diag.Decode(file, text, &s)
	for i, service := range s.Services {
		if service.Kind != KindModel && service.Kind != KindPlain {
			path := fmt.Sprintf("Services[%d].Kind", i)
			list = list.With(index.At(path, "kind %q does not exist: Model or Plain", service.Kind))
		}
	}
	return s, list.Err()
}

// Embedded returns settings with two model engines and one server of a plain service
// in one failure domain.
func Embedded() Settings {
	return deployment("prairie", []string{"prairie-a"}, "canvas-llm", 2, "yard-app", 1)
}

// Kestrel returns the current deployment of Kestrel Canvas Works: ten model engines
// and three servers of a plain service in three failure domains.
func Kestrel() Settings {
	domains := []string{"prairie-a", "prairie-b", "prairie-c"}
	return deployment("prairie", domains, "canvas-llm", 10, "yard-app", 3)
}

// Bukal returns the current deployment of Bukal Fountain Care Group: twelve model
// engines and three servers of a plain service in three failure domains.
func Bukal() Settings {
	domains := []string{"manila-north", "manila-south", "calabarzon"}
	return deployment("luzon", domains, "assistant-llm", 12, "dispatch-app", 3)
}

// deployment returns settings with a model service and a plain service whose servers
// are spread evenly over the failure domains.
func deployment(
	region string, domains []string, model string, modelServers int, plain string, plainServers int,
) Settings {
	return Settings{
		Region: region,
		Services: []Service{
			{
				Name:          model,
				Kind:          KindModel,
				ChecksFencing: true,
				Models: []engine.Model{
					{Name: strings.TrimSuffix(model, "-llm") + "-small", Version: "1"},
					{Name: strings.TrimSuffix(model, "-llm") + "-large", Version: "1"},
				},
				Servers: servers(model, modelServers, domains),
			},
			{
				Name: plain, Kind: KindPlain, ChecksFencing: true,
				Servers: servers(plain, plainServers, domains),
			},
		},
	}
}

// servers returns count servers named after the service, assigned to the failure
// domains in turn.
func servers(service string, count int, domains []string) []Server {
	all := make([]Server, count)
	for i := range all {
		all[i].Name = fmt.Sprintf("%s-%d", service, i+1)
		all[i].FailureDomain = domains[i%len(domains)]
	}
	return all
}

// WithPorts returns the settings with consecutive fixed ports of 127.0.0.1: first for
// the faults endpoint, the next for the platform, then the backend servers in order.
func (s Settings) WithPorts(first int) Settings {
	next := first
	nextAddress := func() string {
		address := fmt.Sprintf("127.0.0.1:%d", next)
		next++
		return address
	}
	s.FaultsAddress = nextAddress()
	s.PlatformAddress = nextAddress()
	services := append([]Service(nil), s.Services...)
	for i := range services {
		services[i].Servers = append([]Server(nil), services[i].Servers...)
		for j := range services[i].Servers {
			services[i].Servers[j].ListenAddress = nextAddress()
		}
	}
	s.Services = services
	return s
}
