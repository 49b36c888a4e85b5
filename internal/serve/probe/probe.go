// Package probe asks backend servers how they are: whether they answer, whether
// they are leaving, and which models they have loaded.
//
// A keeper probes the servers of its groups, so that a server which leaves or
// stops answering gets no new work within a few seconds even while the
// platform's list is stale or cannot be read, and without a request having to
// find out. A model engine is asked for its state; of a plain service, which
// has no path that all such services share, only a connection is wanted.
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
	// wait is how long a server has to answer a probe in milliseconds.
	wait = 400 * clock.Millis(1)
	// misses is how many probes in a row have to fail.
	misses = 2
	// stateBytes bounds the answer to a probe.
	stateBytes = 64 << 10
	statePath  = "/state"
)

// Target is a server to probe.
type Target struct {
	Name    string
	Address string
	// Engine tells a model engine from a plain service.
	Engine bool
}

// State is what the probes found. The zero State is that of a server which was
// not probed.
type State struct {
	// Lost: the last probes failed.
	Lost bool
	// Leaving: the server said so itself.
	Leaving bool
	// Loaded tells that Models is known.
	Loaded bool
	Models []string
	missed int
}

// Prober probes servers. Set the fields before Run.
type Prober struct {
	Send    func(ctx context.Context, r wire.Request) (wire.Answer, wire.Sent, error)
	Dial    func(ctx context.Context, address string) error
	Targets func() []Target
	// Each runs f(0) to f(n-1) side by side and waits for all.
	Each  func(n int, f func(i int))
	Clock clock.Clock
	Count *count.Set

	mu     sync.Mutex
	states map[string]State
}

// State returns what is known of a server.
func (p *Prober) State(name string) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[name]
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.Clock.Pulse(Period):
		}
	}
}

// Round probes every target once and forgets all other servers.
func (p *Prober) Round(ctx context.Context) {
	targets := p.Targets()
	found := make([]State, len(targets))
	p.Each(len(targets), func(i int) {
		found[i] = p.ask(ctx, targets[i])
	})
	next := make(map[string]State, len(targets))
	for i, t := range targets {
		next[t.Name] = found[i]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = next
}

// ask probes one server. A failed probe leaves what was known until enough of
// them have failed.
func (p *Prober) ask(ctx context.Context, t Target) State {
	before := p.State(t.Name)
	limited, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	state, err := p.look(limited, t)
	if err == nil {
		p.Count.Add("siskinsaddle_probes_total", 1, count.Label{Key: "result", Value: "Answered"})
		return state
	}
	p.Count.Add("siskinsaddle_probes_total", 1, count.Label{Key: "result", Value: "Missed"})
	before.missed++
	before.Lost = before.missed >= misses
	return before
}

type wireModel struct {
	Name     string
	Adapters []string
}

type wireState struct {
	Leaving bool
	Models  []wireModel
}

func (p *Prober) look(ctx context.Context, t Target) (State, error) {
	if !t.Engine {
		return State{}, p.Dial(ctx, t.Address)
	}
	answer, _, err := p.Send(ctx, wire.Request{Address: t.Address, Method: "GET", Path: statePath, FirstByteTimeout: wait})
	if err != nil {
		return State{}, err
	}
	defer func() { _ = answer.Body.Close() }() // the answer is read or of no use
	var w wireState
	if err := json.NewDecoder(io.LimitReader(answer.Body, stateBytes)).Decode(&w); err != nil {
		return State{}, err
	}
	s := State{Leaving: w.Leaving, Loaded: true}
	for _, m := range w.Models {
		s.Models = append(s.Models, m.Name)
		s.Models = append(s.Models, m.Adapters...)
	}
	return s, nil
}
