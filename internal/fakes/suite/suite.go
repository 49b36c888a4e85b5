// Package suite runs all stand-ins as one thing: the platform, the model
// engines and the plain services, which it enters in the platform's list of
// machines. `siskinsaddle standin` and `siskinsaddle serve --embedded` use it.
//
// Faults of every part are listed and switched on in one place:
//
//	GET  /faults        all parts with their addresses and faults
//	POST /faults/NAME   changes the faults of one part; fields left out stay
//	GET  /runs          how often each booking ran, by service and key
//
// The platform's part is called "Platform". For example:
//
//	curl http://127.0.0.1:7400/faults
//	curl -X POST http://127.0.0.1:7400/faults/canvas-llm-1 -d '{"Slowdown": 4}'
//	curl -X POST http://127.0.0.1:7400/faults/canvas-llm-2 -d '{"Crash": true}'
//	curl -X POST http://127.0.0.1:7400/faults/yard-app-1 -d '{"DropAt": "AfterRequest", "DropCount": 1}'
//	curl -X POST http://127.0.0.1:7400/faults/Platform -d '{"LoseAnswersAfterWrite": 1}'
//
// # Usage
//
//	s := &suite.Stand{Settings: suite.Embedded()}
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

// PlatformName is the name of the platform's part.
const PlatformName = "Platform"

// Stand is all stand-ins. Settings are set before Start.
type Stand struct {
	Settings Settings

	platform *cloud.Cloud
	engines  map[string]*engine.Engine
	plains   map[string]*websvc.Service
	books    map[string]*websvc.Book
	parts    []part
	front    *front.Server
	stops    []func()
}

// Start starts every part. Where one does not start, those before it are
// stopped.
func (s *Stand) Start() error {
	s.engines = map[string]*engine.Engine{}
	s.plains = map[string]*websvc.Service{}
	s.books = map[string]*websvc.Book{}
	if err := s.startAll(); err != nil {
		s.Stop()
		return err
	}
	return nil
}

func (s *Stand) startAll() error {
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
	s.stops = append(s.stops, s.front.Stop)
	return nil
}

func (s *Stand) startPlatform() error {
	s.platform = &cloud.Cloud{ListenAddress: s.Settings.PlatformAddress}
	if err := s.platform.Start(); err != nil {
		return errors.Wrap(err, "start the platform")
	}
	s.stops = append(s.stops, s.platform.Stop)
	s.parts = append(s.parts, part{
		name:    PlatformName,
		kind:    "Platform",
		address: s.platform.Address,
		faults:  func() any { return s.platform.Faults() },
		patch:   s.platform.PatchFaults,
	})
	return nil
}

func (s *Stand) startServer(service Service, server Server) error {
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

func (s *Stand) startEngine(service Service, server Server) (string, error) {
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
	s.stops = append(s.stops, e.Stop)
	s.parts = append(s.parts, part{
		name:    server.Name,
		kind:    "Engine",
		address: e.Address,
		faults:  func() any { return e.Faults() },
		patch:   e.PatchFaults,
	})
	return e.Address(), nil
}

func (s *Stand) startPlain(service Service, server Server) (string, error) {
	if s.books[service.Name] == nil {
		s.books[service.Name] = websvc.NewBook()
	}
	p := &websvc.Service{
		Name:          server.Name,
		ListenAddress: server.ListenAddress,
		ChecksFencing: service.ChecksFencing,
		Book:          s.books[service.Name],
	}
	if err := p.Start(); err != nil {
		return "", err
	}
	s.plains[server.Name] = p
	s.stops = append(s.stops, p.Stop)
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
func (s *Stand) Run(ctx context.Context) error {
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	s.Stop()
	return nil
}

// Stop stops every part.
func (s *Stand) Stop() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
	s.stops = nil
}

// Address returns "IP:port" of the place where faults are switched on.
func (s *Stand) Address() string { return s.front.Address() }

// Platform returns the platform.
func (s *Stand) Platform() *cloud.Cloud { return s.platform }

// Engine returns the model engine of a name, nil where there is none.
func (s *Stand) Engine(name string) *engine.Engine { return s.engines[name] }

// Plain returns the plain service's server of a name, nil where there is none.
func (s *Stand) Plain(name string) *websvc.Service { return s.plains[name] }

// Runs returns how often each booking of a service ran, by idempotency key.
func (s *Stand) Runs(service string) map[string]int {
	b, ok := s.books[service]
	if !ok {
		return map[string]int{}
	}
	return maps.Clone(b.Runs())
}
