// Package websvc is a stand-in for a plain service that accepts bookings. It
// counts how often each booking ran, so that a test can check that none ran
// twice.
//
//	POST /bookings               runs a booking; reads Idempotency-Key, X-Fencing-Number
//	GET  /bookings/lookup?key=K  Lookup as JSON; X-Fencing-Number raises the key's minimum
//	GET  /counts                 runs by key as JSON
//	GET, POST /faults            Faults as JSON; omitted fields keep their values
//	any other path               echoes method, path and body as JSON
//
// The service does not deduplicate by idempotency key: a second booking with the
// same key runs and is counted again. If it checks fencing numbers, a lookup or a
// booking with number N makes N the key's minimum; a booking with a lower number
// does not run and gets 409 with the reason "StaleFence".
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
	"siskinsaddle/internal/fakes/spoil"
)

// DropPoint is the point of a call at which the connection is dropped.
type DropPoint string

// The points of a call at which the connection can be dropped. The booking runs
// unless it is dropped before or during the request.
const (
	DropNever DropPoint = ""
	// DropBeforeRequest drops before the request's body is read.
	DropBeforeRequest DropPoint = "BeforeRequest"
	// DropDuringRequest drops once half of the request's body is read.
	DropDuringRequest DropPoint = "DuringRequest"
	// DropAfterRequest drops once the booking has run, before any response.
	DropAfterRequest DropPoint = "AfterRequest"
	// DropDuringResponse drops once half of the response's body is written.
	DropDuringResponse DropPoint = "DuringResponse"
	// DropAfterResponse closes the connection once the response is written.
	DropAfterResponse DropPoint = "AfterResponse"
)

// Faults are the faults to inject. The zero value of a field injects none.
type Faults struct {
	DropAt DropPoint
	// DropCount limits how many calls are dropped; 0 means no limit.
	DropCount int
	// SlowMilliseconds delays each call before it runs.
	SlowMilliseconds clock.Millis
	// SlowAnswerMilliseconds delays each response after the call ran.
	SlowAnswerMilliseconds clock.Millis
	// ChecksFencing refuses bookings whose fencing number is below the key's
	// minimum.
	ChecksFencing bool
	// Leaving refuses each call with 503 and the header X-Leaving.
	Leaving bool
	// Crash drops every connection and refuses new ones until it is set to false.
	Crash bool
	// SilentOpen makes the connections that are open now silent for the rest of
	// their life. It reads as false afterwards.
	SilentOpen bool
	// BreakAnswers breaks all responses in that way, except those about faults.
	BreakAnswers spoil.Kind
}

// Service is one server of a plain service. The exported fields are set before
// Start.
type Service struct {
	Name string
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	// ChecksFencing is the initial value of Faults.ChecksFencing.
	ChecksFencing bool
	// Book holds the bookings of all servers of one service; by default each
	// server has its own.
	Book  *BookingStore
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
		s.Book = NewBookingStore()
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

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
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

// PatchFaults updates the faults from JSON; omitted fields keep their values.
func (s *Service) PatchFaults(text []byte) error {
	f := s.Faults()
	if err := json.Unmarshal(text, &f); err != nil {
		return errors.Wrapf(err, "faults of %s", s.Name)
	}
	s.SetFaults(f)
	return nil
}

// consumeDrop returns the point at which to drop this call and counts it towards
// DropCount.
func (s *Service) consumeDrop() DropPoint {
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

// Outcome is the result of a booking. Number counts the service's bookings from 1.
type Outcome struct {
	Key    string
	Number int
	Server string
}

// Lookup reports whether a booking ran, and its latest outcome.
type Lookup struct {
	Ran     bool
	Outcome Outcome
}

// BookingStore is the state of a plain service: by key, the bookings that ran and the
// minimum fencing number. It is safe for concurrent use.
type BookingStore struct {
	mu         sync.Mutex
	runs       map[string]int
	outcomes   map[string]Outcome
	minFencing map[string]uint64
	total      int
}

// NewBookingStore returns an empty BookingStore.
func NewBookingStore() *BookingStore {
	return &BookingStore{
		runs:       map[string]int{},
		outcomes:   map[string]Outcome{},
		minFencing: map[string]uint64{},
	}
}

// Runs returns how often each booking ran, by idempotency key.
func (b *BookingStore) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// run runs a booking and reports whether it did. If checksFencing is set, it refuses
// a booking whose fencing number is below the key's minimum.
func (b *BookingStore) run(key, server string, fencing uint64, checksFencing bool) (Outcome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if checksFencing && fencing < b.minFencing[key] {
		return Outcome{}, false
	}
	if checksFencing {
		b.minFencing[key] = fencing
	}
	b.total++
	b.runs[key]++
	o := Outcome{Key: key, Number: b.total, Server: server}
	b.outcomes[key] = o
	return o, true
}

// lookUp raises the key's minimum fencing number and reports whether the booking
// ran.
func (b *BookingStore) lookUp(key string, fencing uint64) Lookup {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minFencing[key] = max(b.minFencing[key], fencing)
	o, ok := b.outcomes[key]
	return Lookup{Ran: ok, Outcome: o}
}
