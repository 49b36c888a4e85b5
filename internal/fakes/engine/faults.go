package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/batch"
	"siskinsaddle/internal/fakes/spoil"
)

// Faults are the faults that are injected into the engine. The zero value of a
// field means no fault.
type Faults struct {
	// Slowdown multiplies the length of an iteration; 0 means 1.
	Slowdown float64
	// Crash resets every connection, aborts every request and refuses new
	// connections until it is set to false.
	Crash bool
	// SilentOpen makes the currently open connections silent for the rest of their
	// lifetime. It acts once and reads as false afterwards.
	SilentOpen bool
	// Leaving refuses new requests with 503 and X-Leaving.
	Leaving bool
	// LateMilliseconds delays the start of each response.
	LateMilliseconds clock.Millis
	// CrossAnswers labels each response with the id of the previous request.
	CrossAnswers bool
	// LoadLagMilliseconds is how old the reported load is.
	LoadLagMilliseconds clock.Millis
	// CacheLagMilliseconds is the delay before a cache event becomes visible.
	CacheLagMilliseconds clock.Millis
	// CacheGapEvery omits each cache event whose sequence number is a multiple of it.
	CacheGapEvery int
	// BreakAnswers breaks all responses in that way, except those about faults.
	BreakAnswers spoil.Kind
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the current faults.
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
		e.abortAll()
	}
}

// PatchFaults updates the faults from JSON. Omitted fields keep their value.
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

// getCacheEvents returns the cache events after a sequence number, without those
// that CacheLagMilliseconds still holds back and those that CacheGapEvery omits.
func (e *Engine) getCacheEvents(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	lag, gap := e.faults.CacheLagMilliseconds, e.faults.CacheGapEvery
	all := e.batch.CacheEvents(e.Clock.Now(), lag, intOrZero(ctx.QueryArgs().Peek("after")))
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
