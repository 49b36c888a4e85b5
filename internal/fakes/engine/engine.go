// Package engine is a stand-in for a model engine: an HTTP server with an
// OpenAI-compatible API, a batch.Batch that runs on the machine's clock, and
// faults that a test or an operator injects.
//
// The output is a function of model and prompt, so that a stream that is resumed
// at an offset, on the same or another engine, continues with the same tokens. The
// request field "x_tokens" sets the length of the answer; "max_tokens" limits it.
// Headers: X-Request-Id identifies the request for cancelling, X-Priority is its
// tier, X-Resume-Offset is how many tokens the caller already has.
//
//	POST   /v1/chat/completions, /v1/completions
//	DELETE /v1/requests/ID       cancels, as does closing the connection
//	GET    /v1/models, /load, /cache/events?after=N, /state, /counts
//	POST   /orders               Order as JSON; 409 on a stale fencing number
//	GET, POST /faults            Faults as JSON; omitted fields keep their value
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

// DefaultLoadMilliseconds is the default time to load a model or adapter.
const DefaultLoadMilliseconds clock.Millis = 300

// Engine is one model engine. The exported fields must be set before Start.
type Engine struct {
	Name string
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	Models        []Model
	// Role is the engine's initial role, "Mixed" by default.
	Role string
	// ChecksFencing makes the engine refuse orders with a stale fencing number.
	ChecksFencing bool
	// LoadMilliseconds is how long loading a model or adapter takes,
	// DefaultLoadMilliseconds by default.
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
	lastID string
	counts Counts
}

// Counts are totals since Start.
type Counts struct {
	Requests  int
	Answered  int
	Cancelled int
	Tokens    int
}

// Running returns how many requests are in progress, queued ones included.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// call is one request in the batch. The tokens channel has capacity for the whole
// answer, so that the batch never blocks on a slow caller. The aborted channel is closed when the
// request is aborted.
type call struct {
	id      string
	tokens  chan batch.OutputToken
	aborted chan struct{}
	once    sync.Once
}

func (c *call) abort() { c.once.Do(func() { close(c.aborted) }) }

// Start opens the listener and runs the engine in background goroutines.
func (e *Engine) Start() error {
	e.setDefaults()
	e.front = &front.Server{ListenAddress: e.ListenAddress, Handler: e.handle}
	if err := e.front.Start(); err != nil {
		return err
	}
	go e.runIterations()
	return nil
}

// Run starts the engine and stops it when ctx is done.
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

// Address returns the listen address as "IP:port". It is valid after Start.
func (e *Engine) Address() string { return e.front.Address() }

// Stop stops the engine, resets every connection and aborts every request.
func (e *Engine) Stop() {
	close(e.stop)
	<-e.ended
	e.front.Stop()
	e.abortAll()
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// runIterations steps the batch until Stop. It delivers the tokens of an iteration
// when the iteration ends.
func (e *Engine) runIterations() {
	defer close(e.ended)
	for {
		e.mu.Lock()
		it := e.batch.Step(e.Clock.Now())
		tokens := e.resolveCalls(it.Tokens)
		e.mu.Unlock()
		if !e.waitIteration(it) {
			return
		}
		e.deliver(tokens)
	}
}

// waitIteration waits for the end of an iteration or, if the batch is idle, for a
// new request. It returns false if the engine stops.
func (e *Engine) waitIteration(it batch.Iteration) bool {
	if it.Idle {
		select {
		case <-e.wake:
			return true
		case <-e.stop:
			return false
		}
	}
	select {
	case <-e.Clock.After(it.End - e.Clock.Now()):
		return true
	case <-e.stop:
		return false
	}
}

// emittedToken is a token and the call that it belongs to.
type emittedToken struct {
	call  *call
	token batch.OutputToken
}

// resolveCalls looks up the calls of an iteration's tokens when the iteration
// begins. A request that replaces another with the same id during the iteration
// must not get that one's tokens.
func (e *Engine) resolveCalls(tokens []batch.OutputToken) []emittedToken {
	all := make([]emittedToken, 0, len(tokens))
	for _, t := range tokens {
		if c, ok := e.calls[t.ID]; ok {
			all = append(all, emittedToken{call: c, token: t})
		}
	}
	return all
}

// deliver sends tokens to their calls, except those that were cancelled or replaced
// during the iteration.
func (e *Engine) deliver(tokens []emittedToken) {
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

// submit queues a request. It replaces a request in progress with the same id, which
// is aborted.
func (e *Engine) submit(j batch.Job) *call {
	c := &call{id: j.ID, tokens: make(chan batch.OutputToken, j.OutputTokens+1), aborted: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	if earlier, ok := e.calls[j.ID]; ok {
		earlier.abort()
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

// cancel cancels a request and reports whether it was in progress.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok {
		return false
	}
	e.cancelLocked(c)
	return true
}

// cancelCall cancels a call unless it has ended or was replaced.
func (e *Engine) cancelCall(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.id] == c {
		e.cancelLocked(c)
	}
}

// cancelLocked removes a call and counts it as cancelled. The caller must hold e.mu.
func (e *Engine) cancelLocked(c *call) {
	e.counts.Cancelled++
	e.batch.Cancel(e.Clock.Now(), c.id)
	delete(e.calls, c.id)
	c.abort()
}

func (e *Engine) abortAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, c := range e.calls {
		c.abort()
		delete(e.calls, id)
	}
	e.batch.Clear(e.Clock.Now())
}
