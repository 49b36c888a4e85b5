// Package engine is a stand-in for a model engine: an HTTP server with the
// OpenAI-compatible calls, a batch.Batch that runs on the machine's clock, and
// faults that a test or an operator switches on.
//
// Output is deterministic by model and prompt, so that a stream that is
// resumed at an offset, here or on another engine, goes on exactly. The
// request field "x_tokens" sets the length of the answer; "max_tokens" bounds
// it. Headers: X-Request-Id names the request for cancelling, X-Priority is
// its tier, X-Resume-Offset how many tokens the caller already has.
//
//	POST   /v1/chat/completions, /v1/completions
//	DELETE /v1/requests/ID       cancels; closing the connection does too
//	GET    /v1/models, /load, /cache/events?after=N, /state, /counts
//	POST   /orders               Order as JSON; 409 on an old fencing number
//	GET, POST /faults            Faults as JSON; fields left out stay
//
// # Usage
//
//	e := &engine.Engine{Name: "canvas-llm-1", Models: []engine.Model{{Name: "canvas-small"}}}
//	err := e.Start()
//	defer e.Stop()
//	e.SetFaults(engine.Faults{Slowdown: 4})
//
// or from a shell:
//
//	curl -X POST http://127.0.0.1:7411/faults -d '{"Slowdown": 4}'
package engine

import (
	"context"
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/fakes/front"
)

// Model is a model that the engine has loaded.
type Model struct {
	Name     string
	Version  string
	Adapters []string
}

// DefaultLoadMilliseconds is how long an engine takes to load weights.
const DefaultLoadMilliseconds clock.Millis = 300

// Engine is one model engine. The exported fields are set before Start.
type Engine struct {
	Name string
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	Models        []Model
	// Role is "Mixed" by default.
	Role string
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// LoadMilliseconds is how long loading a model or adapter takes.
	LoadMilliseconds clock.Millis
	Batch            batch.Settings
	Clock            clock.Clock

	front *front.Server
	stop  chan struct{}
	ended chan struct{}
	wake  chan struct{}

	mu     sync.Mutex
	batch  *batch.Batch
	calls  map[string]*call
	faults Faults
	orders orders
	last   string
	counts Counts
}

// Counts are totals since the start.
type Counts struct {
	Requests  int
	Answered  int
	Cancelled int
	Tokens    int
}

// Running returns how many requests the engine has now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// call is one request that the batch works on. Tokens has room for the whole
// answer, so that the batch never waits for a caller.
type call struct {
	id     string
	tokens chan batch.TokenOut
	lost   chan struct{}
	once   sync.Once
}

func (c *call) lose() { c.once.Do(func() { close(c.lost) }) }

// Start opens the listener and runs the engine in the background.
func (e *Engine) Start() error {
	e.setDefaults()
	e.front = &front.Server{ListenAddress: e.ListenAddress, Handler: e.handle}
	if err := e.front.Start(); err != nil {
		return err
	}
	go e.work()
	return nil
}

// Run starts the engine and stops it when ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	if err := e.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	e.Stop()
	return nil
}

func (e *Engine) setDefaults() {
	if e.Clock.Now == nil {
		e.Clock = clock.System()
	}
	if e.Role == "" {
		e.Role = "Mixed"
	}
	if e.LoadMilliseconds == 0 {
		e.LoadMilliseconds = DefaultLoadMilliseconds
	}
	e.batch = batch.New(e.Batch)
	e.calls = map[string]*call{}
	e.faults = Faults{Slowdown: 1, LoadLagMilliseconds: e.batch.Settings().LoadLag}
	e.orders = newOrders(e.Models, e.Role)
	e.stop = make(chan struct{})
	e.ended = make(chan struct{})
	e.wake = make(chan struct{}, 1)
}

// Address returns "IP:port" once Start has returned.
func (e *Engine) Address() string { return e.front.Address() }

// Stop drops every connection and ends the engine.
func (e *Engine) Stop() {
	close(e.stop)
	<-e.ended
	e.front.Stop()
	e.loseAll()
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// work steps the batch: each iteration's tokens are handed out at its end.
func (e *Engine) work() {
	defer close(e.ended)
	for {
		e.mu.Lock()
		it := e.batch.Step(e.Clock.Now())
		tokens := e.made(it.Tokens)
		e.mu.Unlock()
		if !e.pause(it) {
			return
		}
		e.deliver(tokens)
	}
}

// pause waits for the end of an iteration, or for work when idle. It returns
// false once the engine stops.
func (e *Engine) pause(it batch.Iteration) bool {
	if it.Idle {
		select {
		case <-e.wake:
			return true
		case <-e.stop:
			return false
		}
	}
	select {
	case <-e.Clock.After(it.Ends - e.Clock.Now()):
		return true
	case <-e.stop:
		return false
	}
}

// made is a token and the call that it was made for.
type made struct {
	call  *call
	token batch.TokenOut
}

// made finds the calls of an iteration's tokens as it begins. A request that
// takes the place of another with its id while the iteration lasts gets none
// of that one's tokens.
func (e *Engine) made(tokens []batch.TokenOut) []made {
	all := make([]made, 0, len(tokens))
	for _, t := range tokens {
		if c, ok := e.calls[t.ID]; ok {
			all = append(all, made{call: c, token: t})
		}
	}
	return all
}

func (e *Engine) deliver(tokens []made) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range tokens {
		c, t := m.call, m.token
		if e.calls[t.ID] != c {
			continue
		}
		e.counts.Tokens++
		c.tokens <- t
		if t.Last {
			close(c.tokens)
			delete(e.calls, t.ID)
		}
	}
}

// submit queues a request. A request with an id that is still here takes the
// earlier one's place, whose stream ends unfinished.
func (e *Engine) submit(j batch.Job) *call {
	c := &call{id: j.ID, tokens: make(chan batch.TokenOut, j.OutputTokens+1), lost: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	if earlier, ok := e.calls[j.ID]; ok {
		earlier.lose()
	}
	e.counts.Requests++
	e.calls[j.ID] = c
	e.batch.Submit(e.Clock.Now(), j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return c
}

// cancel removes a request and tells whether it was there.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok {
		return false
	}
	e.drop(c)
	return true
}

// cancelCall removes a call unless another took its place.
func (e *Engine) cancelCall(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.id] == c {
		e.drop(c)
	}
}

func (e *Engine) drop(c *call) {
	e.counts.Cancelled++
	e.batch.Cancel(e.Clock.Now(), c.id)
	delete(e.calls, c.id)
	c.lose()
}

func (e *Engine) loseAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, c := range e.calls {
		c.lose()
		delete(e.calls, id)
	}
	e.batch.Clear(e.Clock.Now())
}
