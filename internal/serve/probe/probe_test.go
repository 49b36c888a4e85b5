package probe_test

import (
	"context"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/serve/probe"
	"siskinsaddle/internal/serve/wire"
)

const (
	engineName  = "canvas-llm-1"
	serviceName = "yard-app-1"
)

// rig probes an engine and a plain service whose answers a test sets.
type rig struct {
	*probe.Prober
	// state is the engine's answer, no answer where it is empty.
	state   string
	dial    error
	targets []probe.Target
}

func newRig() *rig {
	g := &rig{targets: []probe.Target{
		{Name: engineName, Address: "a:1", Engine: true},
		{Name: serviceName, Address: "b:1"},
	}}
	g.Prober = &probe.Prober{
		Send: func(context.Context, wire.Request) (wire.Answer, wire.Sent, error) {
			if g.state == "" {
				return wire.Answer{}, wire.SentAll, wire.ErrSilent
			}
			return wire.Answer{Status: 200, Body: io.NopCloser(strings.NewReader(g.state))}, wire.SentAll, nil
		},
		Dial:    func(context.Context, string) error { return g.dial },
		Targets: func() []probe.Target { return g.targets },
		Each: func(n int, f func(i int)) {
			for i := range n {
				f(i)
			}
		},
		Clock: clock.NewManual(0).Clock(),
		Count: count.NewSet(),
	}
	return g
}

// One failed probe changes nothing, the second in a row says that the server
// is lost, and an answer brings it back.
func TestLostAndFound(t *testing.T) {
	c := qt.New(t)
	g := newRig()
	look := func() (engine, service probe.State) {
		g.Round(context.Background())
		return g.State(engineName), g.State(serviceName)
	}
	g.state = `{"Models": [{"Name": "canvas-small", "Adapters": ["quotes"]}]}`
	engine, service := look()
	c.Assert(engine.Models, qt.DeepEquals, []string{"canvas-small", "quotes"})
	c.Assert([]bool{engine.Loaded, engine.Lost, engine.Leaving, service.Loaded, service.Lost}, qt.DeepEquals,
		[]bool{true, false, false, false, false})

	g.state, g.dial = "", wire.ErrDial
	engine, service = look()
	c.Assert([]bool{engine.Loaded, engine.Lost, service.Lost}, qt.DeepEquals, []bool{true, false, false})
	engine, service = look()
	c.Assert([]bool{engine.Loaded, engine.Lost, service.Lost}, qt.DeepEquals, []bool{true, true, true})

	g.state, g.dial = `{"Leaving": true}`, nil
	engine, service = look()
	c.Assert([]bool{engine.Lost, engine.Leaving, service.Lost}, qt.DeepEquals, []bool{false, true, false})
	c.Assert(engine.Models, qt.HasLen, 0)

	// An answer that is no state counts as none; one that is not a target any
	// more is forgotten.
	g.state = `<html>`
	g.targets = g.targets[:1]
	look()
	engine, service = look()
	c.Assert(engine.Lost, qt.IsTrue)
	c.Assert([]bool{service.Loaded, service.Lost, service.Leaving}, qt.DeepEquals, []bool{false, false, false})
	c.Assert(g.Count.Count("siskinsaddle_probes_total", count.Label{Key: "result", Value: "Missed"}), qt.Equals, int64(6))
}
