package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
)

// Faults are the engine's faults. The zero value of a field is no fault.
type Faults struct {
	// Slowdown makes iterations this many times as long, 1 by default.
	Slowdown float64
	// Crash drops every connection and job and refuses new ones until it is
	// set back.
	Crash bool
	// SilentOpen makes the connections that are open at the call silent for
	// good. It reads as false afterwards.
	SilentOpen bool
	// Leaving refuses new requests with 503 and X-Leaving.
	Leaving bool
	// LateMilliseconds delays the start of each answer.
	LateMilliseconds clock.Millis
	// CrossAnswers gives each answer the id of the request before it.
	CrossAnswers bool
	// LoadLagMilliseconds is the age of load reports.
	LoadLagMilliseconds clock.Millis
	// CacheLagMilliseconds is the age of cache events.
	CacheLagMilliseconds clock.Millis
	// CacheGapEvery leaves out each cache event whose number it divides.
	CacheGapEvery int
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults puts all faults in force.
func (e *Engine) SetFaults(f Faults) {
	if f.Slowdown == 0 {
		f.Slowdown = 1
	}
	silent := f.SilentOpen
	f.SilentOpen = false
	e.mu.Lock()
	e.faults = f
	e.batch.SetSlowdown(f.Slowdown)
	e.batch.SetLoadLag(f.LoadLagMilliseconds)
	e.mu.Unlock()
	if silent {
		e.front.SilenceOpen()
	}
	e.front.SetRefusing(f.Crash)
	if f.Crash {
		e.loseAll()
	}
}

// PatchFaults reads faults from JSON; fields that are left out stay.
func (e *Engine) PatchFaults(text []byte) error {
	f := e.Faults()
	if err := json.Unmarshal(text, &f); err != nil {
		return errors.Wrapf(err, "faults of %s", e.Name)
	}
	e.SetFaults(f)
	return nil
}

type cacheEvents struct {
	Events []batch.CacheEvent
}

// getCacheEvents answers with what a caller may know by now: events come late,
// and some never come.
func (e *Engine) getCacheEvents(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	lag, gap := e.faults.CacheLagMilliseconds, e.faults.CacheGapEvery
	all := e.batch.CacheEvents(e.Clock.Now(), lag, number(ctx.QueryArgs().Peek("after")))
	e.mu.Unlock()
	out := cacheEvents{Events: []batch.CacheEvent{}}
	for _, event := range all {
		if gap > 0 && event.Sequence%gap == 0 {
			continue
		}
		out.Events = append(out.Events, event)
	}
	reply(ctx, out)
}
