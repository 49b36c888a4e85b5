// Package probe health-checks backend servers: whether they respond, whether
// they are leaving, and which models they have loaded.
//
// A keeper probes the servers of its groups, so that a server which is leaving
// or stops responding gets no new requests within a few seconds, even while the
// platform's server list is stale or unavailable, and before a request fails on
// it. The probe of a model engine is GET /state. Plain services share no health
// path, so their probe is a TCP connection.
//
// # Usage
//
//	p := &probe.Prober{Send: client.Do, Dial: dial, Targets: targets, Clock: c, Count: s}
//	go p.Run(ctx)
//	state := p.State("canvas-llm-1")
package probe

import (
	"context"
	"encoding/json"
	"io"
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/serve/wire"
)

// Period is the time between two probes of a server in milliseconds.
const Period = 500 * clock.Millis(1)

const (
	// probeTimeout is in milliseconds.
	probeTimeout = 400 * clock.Millis(1)
	// failureThreshold is the number of consecutive failed probes after which a
	// server counts as unresponsive.
	failureThreshold = 2
	// maxStateBytes limits the body of an engine's state.
	maxStateBytes = 64 << 10
	statePath     = "/state"
)

// Target is a server to probe.
type Target struct {
	Name    string
	Address string
	// Engine is true for a model engine, false for a plain service.
	Engine bool
}

// State is the probed state of a server. A server that was never probed has the
// zero State.
type State struct {
	// Unresponsive is set after two consecutive failed probes.
	Unresponsive bool
	// Leaving is set if the server reports that it is leaving.
	Leaving bool
	// ModelsKnown reports whether Models is known.
	ModelsKnown bool
	// Models holds the names of the loaded models and their adapters.
	Models   []string
	failures int
}

// Prober probes servers. Set the fields before Run.
type Prober struct {
	Send    func(ctx context.Context, r wire.Request) (wire.Response, wire.Sent, error)
	Dial    func(ctx context.Context, address string) error
	Targets func() []Target
	// RunParallel runs f(0) to f(n-1) concurrently and waits for all of them.
	RunParallel func(n int, f func(i int))
	Clock       clock.Clock
	Count       *count.Set

	mu     sync.Mutex
	states map[string]State
}

// State returns the last probed state of a server.
func (p *Prober) State(name string) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[name]
}

// Run probes every target once per Period until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.Clock.AfterTick(Period):
		}
	}
}

// Round probes every target once and drops the state of all other servers.
func (p *Prober) Round(ctx context.Context) {
	targets := p.Targets()
	probed := make([]State, len(targets))
	p.RunParallel(len(targets), func(i int) {
		probed[i] = p.probe(ctx, targets[i])
	})
	next := make(map[string]State, len(targets))
	for i, t := range targets {
		next[t.Name] = probed[i]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = next
}

// probe checks one server. A failed probe keeps the previous state and sets
// Unresponsive once failureThreshold consecutive probes have failed.
func (p *Prober) probe(ctx context.Context, t Target) State {
	previous := p.State(t.Name)
	limited, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	state, err := p.fetchState(limited, t)
	if err == nil {
		p.Count.Add("siskinsaddle_probes_total", 1, count.Label{Key: "result", Value: "Answered"})
		return state
	}
	p.Count.Add("siskinsaddle_probes_total", 1, count.Label{Key: "result", Value: "Missed"})
	previous.failures++
	previous.Unresponsive = previous.failures >= failureThreshold
	return previous
}

type wireModel struct {
	Name     string
	Adapters []string
}

type wireState struct {
	Leaving bool
	Models  []wireModel
}

// fetchState reads an engine's state, or dials a plain service.
func (p *Prober) fetchState(ctx context.Context, t Target) (State, error) {
	if !t.Engine {
		return State{}, p.Dial(ctx, t.Address)
	}
	answer, _, err := p.Send(ctx, wire.Request{Address: t.Address, Server: t.Name, Method: "GET", Path: statePath, HeaderTimeout: probeTimeout})
	if err != nil {
		return State{}, err
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read, or the probe has failed
	var w wireState
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxStateBytes)).Decode(&w); err != nil {
		return State{}, err
	}
	if err := answer.Finish(maxStateBytes); err != nil {
		return State{}, err
	}
	s := State{Leaving: w.Leaving, ModelsKnown: true}
	for _, m := range w.Models {
		s.Models = append(s.Models, m.Name)
		s.Models = append(s.Models, m.Adapters...)
	}
	return s, nil
}
