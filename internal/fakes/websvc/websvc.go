// Package websvc is a stand-in for a plain service that takes bookings. It
// counts how often each booking ran, so that a test can say that none ran
// twice.
//
//	POST /bookings               Idempotency-Key, X-Fencing-Number: runs a booking
//	GET  /bookings/lookup?key=K  Lookup as JSON; X-Fencing-Number raises the fence
//	GET  /counts                 runs by key as JSON
//	GET, POST /faults            Faults as JSON; fields left out stay
//	any other path               echoes method, path and body
//
// The service never drops a second booking of a key: it runs it, and counts.
// Where it checks fencing, a lookup with number N records N for the key, and
// a booking with a lower number is refused with 409 and "StaleFence" and does
// not run.
//
// # Usage
//
//	s := &websvc.Service{Name: "yard-app-1", ChecksFencing: true}
//	err := s.Start()
//	defer s.Stop()
//	s.SetFaults(websvc.Faults{DropAt: websvc.DropAfterRequest})
//	runs := s.Runs()["key-1"]
//
// or from a shell:
//
//	curl -X POST http://127.0.0.1:7421/faults -d '{"DropAt": "AfterRequest"}'
package websvc

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/front"
)

// DropPoint is where in a call the connection is dropped.
type DropPoint string

// The points of a call at which the connection can be dropped. The booking
// runs, except at the first two.
const (
	DropNever DropPoint = ""
	// DropBeforeRequest drops before the request's body is read.
	DropBeforeRequest DropPoint = "BeforeRequest"
	// DropDuringRequest drops once half of the request's body is read.
	DropDuringRequest DropPoint = "DuringRequest"
	// DropAfterRequest drops once the booking has run, before any answer.
	DropAfterRequest DropPoint = "AfterRequest"
	// DropDuringResponse drops in the middle of the answer.
	DropDuringResponse DropPoint = "DuringResponse"
	// DropAfterResponse drops once the answer is written.
	DropAfterResponse DropPoint = "AfterResponse"
)

// Faults are the service's faults. The zero value of a field is no fault.
type Faults struct {
	DropAt DropPoint
	// DropCount bounds how many calls are dropped; 0 for no bound.
	DropCount int
	// SlowMilliseconds delays each call before it runs.
	SlowMilliseconds clock.Millis
	// SlowAnswerMilliseconds delays each answer after the call ran.
	SlowAnswerMilliseconds clock.Millis
	ChecksFencing          bool
	// Leaving refuses bookings with 503 and X-Leaving.
	Leaving bool
	// Crash drops every connection and refuses new ones until it is set back.
	Crash bool
	// SilentOpen makes the connections that are open at the call silent for
	// good. It reads as false afterwards.
	SilentOpen bool
}

// Service is one server of a plain service. The exported fields are set before
// Start.
type Service struct {
	Name string
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	ChecksFencing bool
	// Book shares what ran among the servers of one service; by default each
	// server has its own.
	Book  *Book
	Clock clock.Clock

	front *front.Server

	mu     sync.Mutex
	faults Faults
}

// Start opens the listener and serves in the background.
func (s *Service) Start() error {
	if s.Clock.Now == nil {
		s.Clock = clock.System()
	}
	if s.Book == nil {
		s.Book = NewBook()
	}
	s.faults.ChecksFencing = s.ChecksFencing
	s.front = &front.Server{ListenAddress: s.ListenAddress, Handler: s.handle, StreamBody: true}
	return s.front.Start()
}

// Run starts the service and stops it when ctx ends.
func (s *Service) Run(ctx context.Context) error {
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	s.Stop()
	return nil
}

// Address returns "IP:port" once Start has returned.
func (s *Service) Address() string { return s.front.Address() }

// Stop drops every connection and ends the service.
func (s *Service) Stop() { s.front.Stop() }

// Runs returns how often each booking ran, by its idempotency key.
func (s *Service) Runs() map[string]int { return s.Book.Runs() }

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults puts all faults in force.
func (s *Service) SetFaults(f Faults) {
	silent := f.SilentOpen
	f.SilentOpen = false
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if silent {
		s.front.SilenceOpen()
	}
	s.front.SetRefusing(f.Crash)
}

// PatchFaults reads faults from JSON; fields that are left out stay.
func (s *Service) PatchFaults(text []byte) error {
	f := s.Faults()
	if err := json.Unmarshal(text, &f); err != nil {
		return errors.Wrapf(err, "faults of %s", s.Name)
	}
	s.SetFaults(f)
	return nil
}

// takeDrop returns where this call is dropped and counts it.
func (s *Service) takeDrop() DropPoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.faults.DropAt
	if at != DropNever && s.faults.DropCount > 0 {
		s.faults.DropCount--
		if s.faults.DropCount == 0 {
			s.faults.DropAt = DropNever
		}
	}
	return at
}

// Outcome is what a booking came to.
type Outcome struct {
	Key    string
	Number int
	Server string
}

// Lookup tells whether a booking ran.
type Lookup struct {
	Ran     bool
	Outcome Outcome
}

// Book is what a plain service remembers: bookings and fences by key.
type Book struct {
	mu       sync.Mutex
	runs     map[string]int
	outcomes map[string]Outcome
	fences   map[string]uint64
	total    int
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{runs: map[string]int{}, outcomes: map[string]Outcome{}, fences: map[string]uint64{}}
}

// Runs returns how often each booking ran.
func (b *Book) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// run runs a booking unless its fencing number is old.
func (b *Book) run(key, server string, fence uint64, checks bool) (Outcome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if checks && fence < b.fences[key] {
		return Outcome{}, false
	}
	if checks {
		b.fences[key] = fence
	}
	b.total++
	b.runs[key]++
	o := Outcome{Key: key, Number: b.total, Server: server}
	b.outcomes[key] = o
	return o, true
}

// lookUp raises the key's fence and tells whether the booking ran.
func (b *Book) lookUp(key string, fence uint64) Lookup {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fences[key] = max(b.fences[key], fence)
	o, ok := b.outcomes[key]
	return Lookup{Ran: ok, Outcome: o}
}
