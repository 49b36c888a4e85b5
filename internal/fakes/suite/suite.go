// Package suite runs all stand-ins together: the platform, the model engines and
// the plain services. It registers the backend servers in the platform's list of
// machines. `siskinsaddle standin` and `siskinsaddle serve --embedded` use it.
//
// Each stand-in is a part. One HTTP endpoint lists the parts and sets their faults:
//
//	GET  /faults        all parts with their addresses and faults
//	POST /faults/NAME   updates the faults of one part; omitted fields keep their values
//	GET  /runs          how often each booking ran, by service and key
//
// The platform is the part named "Platform". For example:
//
//	curl http://127.0.0.1:7400/faults
//	curl -X POST http://127.0.0.1:7400/faults/canvas-llm-1 -d '{"Slowdown": 4}'
//	curl -X POST http://127.0.0.1:7400/faults/canvas-llm-2 -d '{"Crash": true}'
//	curl -X POST http://127.0.0.1:7400/faults/yard-app-1 \
//	  -d '{"DropAt": "AfterRequest", "DropCount": 1}'
//	curl -X POST http://127.0.0.1:7400/faults/Platform -d '{"LoseAnswersAfterWrite": 1}'
//
// # Usage
//
//	s := &suite.Suite{Settings: suite.Embedded()}
//	err := s.Start()
//	defer s.Stop()
//	platform := s.Platform().Address()
//	s.Engine("canvas-llm-1").SetFaults(engine.Faults{Crash: true})
package suite

import (
	"context"
	"maps"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/fakes/engine"
	"siskinsaddle/internal/fakes/front"
	"siskinsaddle/internal/fakes/websvc"
	"siskinsaddle/internal/plat/disco"
)

// PlatformName is the part name of the platform.
const PlatformName = "Platform"

// Suite runs the stand-ins that Settings describe. Settings must be set before Start.
type Suite struct {
	Settings Settings

	platform     *cloud.Cloud
	engines      map[string]*engine.Engine
	plainServers map[string]*websvc.Service
	// bookingStores holds the bookings of each plain service, by service name.
	bookingStores map[string]*websvc.BookingStore
	parts         []part
	front         *front.Server
	stopFuncs     []func()
}

// Start starts every part. If one fails to start, it stops those already started
// and returns the error.
func (s *Suite) Start() error {
	s.engines = map[string]*engine.Engine{}
	s.plainServers = map[string]*websvc.Service{}
	s.bookingStores = map[string]*websvc.BookingStore{}
	if err := s.startAll(); err != nil {
		s.Stop()
		return err
	}
	return nil
}

func (s *Suite) startAll() error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	for _, service := range s.Settings.Services {
		for _, server := range service.Servers {
			if err := s.startServer(service, server); err != nil {
				return errors.Wrapf(err, "start %s", server.Name)
			}
		}
	}
	s.front = &front.Server{ListenAddress: s.Settings.FaultsAddress, Handler: s.handle}
	if err := s.front.Start(); err != nil {
		return err
	}
	s.stopFuncs = append(s.stopFuncs, s.front.Stop)
	return nil
}

func (s *Suite) startPlatform() error {
	s.platform = &cloud.Cloud{ListenAddress: s.Settings.PlatformAddress}
	if err := s.platform.Start(); err != nil {
		return errors.Wrap(err, "start the platform")
	}
	s.stopFuncs = append(s.stopFuncs, s.platform.Stop)
	s.parts = append(s.parts, part{
		name:    PlatformName,
		kind:    "Platform",
		address: s.platform.Address,
		faults:  func() any { return s.platform.Faults() },
		patch:   s.platform.PatchFaults,
	})
	return nil
}

func (s *Suite) startServer(service Service, server Server) error {
	start := s.startEngine
	if service.Kind == KindPlain {
		start = s.startPlain
	}
	address, err := start(service, server)
	if err != nil {
		return err
	}
	s.platform.SetEntry(disco.Entry{
		Name:          server.Name,
		Kind:          disco.KindBackendServer,
		Service:       service.Name,
		Region:        s.Settings.Region,
		FailureDomain: server.FailureDomain,
		Address:       address,
		State:         disco.StateLive,
	})
	return nil
}

func (s *Suite) startEngine(service Service, server Server) (string, error) {
	e := &engine.Engine{
		Name:          server.Name,
		ListenAddress: server.ListenAddress,
		Models:        service.Models,
		ChecksFencing: service.ChecksFencing,
		Batch:         service.Batch,
	}
	if err := e.Start(); err != nil {
		return "", err
	}
	s.engines[server.Name] = e
	s.stopFuncs = append(s.stopFuncs, e.Stop)
	s.parts = append(s.parts, part{
		name:    server.Name,
		kind:    "Engine",
		address: e.Address,
		faults:  func() any { return e.Faults() },
		patch:   e.PatchFaults,
	})
	return e.Address(), nil
}

func (s *Suite) startPlain(service Service, server Server) (string, error) {
	if s.bookingStores[service.Name] == nil {
		s.bookingStores[service.Name] = websvc.NewBookingStore()
	}
	p := &websvc.Service{
		Name:          server.Name,
		ListenAddress: server.ListenAddress,
		ChecksFencing: service.ChecksFencing,
		Book:          s.bookingStores[service.Name],
	}
	if err := p.Start(); err != nil {
		return "", err
	}
	s.plainServers[server.Name] = p
	s.stopFuncs = append(s.stopFuncs, p.Stop)
	s.parts = append(s.parts, part{
		name:    server.Name,
		kind:    "PlainService",
		address: p.Address,
		faults:  func() any { return p.Faults() },
		patch:   p.PatchFaults,
	})
	return p.Address(), nil
}

// Run starts the stand-ins and stops them when ctx ends.
func (s *Suite) Run(ctx context.Context) error {
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	s.Stop()
	return nil
}

// Stop stops every part, in reverse order of their start.
func (s *Suite) Stop() {
	for i := len(s.stopFuncs) - 1; i >= 0; i-- {
		s.stopFuncs[i]()
	}
	s.stopFuncs = nil
}

// Address returns the "IP:port" of the faults endpoint.
func (s *Suite) Address() string { return s.front.Address() }

// Platform returns the platform's stand-in.
func (s *Suite) Platform() *cloud.Cloud { return s.platform }

// Engine returns the model engine with this name, or nil if there is none.
func (s *Suite) Engine(name string) *engine.Engine { return s.engines[name] }

// Plain returns the plain service's server with this name, or nil if there is none.
func (s *Suite) Plain(name string) *websvc.Service { return s.plainServers[name] }

// Runs returns how often each booking of a service ran, by idempotency key.
func (s *Suite) Runs(service string) map[string]int {
	b, ok := s.bookingStores[service]
	if !ok {
		return map[string]int{}
	}
	return maps.Clone(b.Runs())
}
