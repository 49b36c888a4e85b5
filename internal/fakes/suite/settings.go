package suite

import (
	"fmt"
	"strings"

	"siskinsaddle/internal/base/diag"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/fakes/engine"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "Model"
	KindPlain Kind = "Plain"
)

// Settings say which stand-ins run and where. An empty address takes a free
// port on 127.0.0.1.
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

// Parse reads settings from JSON with comments and reports every finding.
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

// Embedded are two model engines and one plain service in one failure domain.
func Embedded() Settings {
	return deployment("prairie", []string{"prairie-a"}, "canvas-llm", 2, "yard-app", 1)
}

// Kestrel are the servers of Kestrel Canvas Works today.
func Kestrel() Settings {
	domains := []string{"prairie-a", "prairie-b", "prairie-c"}
	return deployment("prairie", domains, "canvas-llm", 10, "yard-app", 3)
}

// Bukal are the servers of Bukal Fountain Care Group today.
func Bukal() Settings {
	domains := []string{"manila-north", "manila-south", "calabarzon"}
	return deployment("luzon", domains, "assistant-llm", 12, "dispatch-app", 3)
}

// deployment spreads the servers evenly over the failure domains.
func deployment(region string, domains []string, model string, models int, app string, apps int) Settings {
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
				Servers: servers(model, models, domains),
			},
			{Name: app, Kind: KindPlain, ChecksFencing: true, Servers: servers(app, apps, domains)},
		},
	}
}

func servers(service string, count int, domains []string) []Server {
	all := make([]Server, count)
	for i := range all {
		all[i].Name = fmt.Sprintf("%s-%d", service, i+1)
		all[i].FailureDomain = domains[i%len(domains)]
	}
	return all
}

// WithPorts returns the settings with fixed ports: the faults' endpoint at
// first, the platform after it, then the backend servers in order.
func (s Settings) WithPorts(first int) Settings {
	next := first
	take := func() string {
		address := fmt.Sprintf("127.0.0.1:%d", next)
		next++
		return address
	}
	s.FaultsAddress = take()
	s.PlatformAddress = take()
	services := append([]Service(nil), s.Services...)
	for i := range services {
		services[i].Servers = append([]Server(nil), services[i].Servers...)
		for j := range services[i].Servers {
			services[i].Servers[j].ListenAddress = take()
		}
	}
	s.Services = services
	return s
}
