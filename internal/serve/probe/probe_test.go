package probe_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/fakes/hangup"
	"siskinsaddle/internal/serve/probe"
	"siskinsaddle/internal/serve/wire"
)

const (
	engineName  = "canvas-llm-1"
	serviceName = "yard-app-1"
)

// The state is complete, but the response breaks behind it.
func TestProbeWithBrokenResponseFails(t *testing.T) {
	c := qt.New(t)
	s := &hangup.Server{}
	c.Assert(s.Start(), qt.IsNil)
	defer s.Stop()
	const state = `{"Models": [{"Name": "canvas-small"}]}`
	fx := newFixture()
	client := &wire.Client{}
	fx.Send = client.Do
	fx.targets = []probe.Target{{Name: engineName, Address: s.Address(), Engine: true}}
	for _, test := range []struct {
		end     string
		answers bool
	}{{"0\r\n\r\n", true}, {"0 \r\n\r\n", false}, {"0\r\nX Note: odd\r\n\r\n", false}} {
		s.SetResponse(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", len(state), state, test.end))
		missed := fx.Count.Count("siskinsaddle_probes_total", count.Label{Key: "result", Value: "Missed"})
		fx.Round(t.Context())
		answered := fx.Count.Count("siskinsaddle_probes_total", count.Label{Key: "result", Value: "Missed"}) == missed
		c.Check(answered, qt.Equals, test.answers, qt.Commentf("%q", test.end))
	}
}

// fixture probes an engine and a plain service whose responses a test sets.
type fixture struct {
	*probe.Prober
	// state is the engine's response; if empty, the probe times out.
	state   string
	dial    error
	targets []probe.Target
}

func newFixture() *fixture {
	fx := &fixture{targets: []probe.Target{
		{Name: engineName, Address: "a:1", Engine: true},
		{Name: serviceName, Address: "b:1"},
	}}
	fx.Prober = &probe.Prober{
		Send: func(context.Context, wire.Request) (wire.Response, wire.Sent, error) {
			if fx.state == "" {
				return wire.Response{}, wire.SentAll, wire.ErrUnresponsive
			}
			return wire.Response{Status: 200, Body: io.NopCloser(strings.NewReader(fx.state))}, wire.SentAll, nil
		},
		Dial:    func(context.Context, string) error { return fx.dial },
		Targets: func() []probe.Target { return fx.targets },
		RunParallel: func(n int, f func(i int)) {
			for i := range n {
				f(i)
			}
		},
		Clock: clock.NewManual(0).Clock(),
		Count: count.NewSet(),
	}
	return fx
}

// A server becomes unresponsive with its second consecutive failed probe, and the
// next successful probe clears the state.
func TestServerIsUnresponsiveAfterTwoFailedProbes(t *testing.T) {
	c := qt.New(t)
	fx := newFixture()
	probeRound := func() (engine, service probe.State) {
		fx.Round(context.Background())
		return fx.State(engineName), fx.State(serviceName)
	}
	fx.state = `{"Models": [{"Name": "canvas-small", "Adapters": ["quotes"]}]}`
	engine, service := probeRound()
	c.Assert(engine.Models, qt.DeepEquals, []string{"canvas-small", "quotes"})
	c.Assert([]bool{engine.ModelsKnown, engine.Unresponsive, engine.Leaving, service.ModelsKnown, service.Unresponsive}, qt.DeepEquals,
		[]bool{true, false, false, false, false})

	fx.state, fx.dial = "", wire.ErrDial
	engine, service = probeRound()
	c.Assert([]bool{engine.ModelsKnown, engine.Unresponsive, service.Unresponsive}, qt.DeepEquals, []bool{true, false, false})
	engine, service = probeRound()
	c.Assert([]bool{engine.ModelsKnown, engine.Unresponsive, service.Unresponsive}, qt.DeepEquals, []bool{true, true, true})

	fx.state, fx.dial = `{"Leaving": true}`, nil
	engine, service = probeRound()
	c.Assert([]bool{engine.Unresponsive, engine.Leaving, service.Unresponsive}, qt.DeepEquals, []bool{false, true, false})
	c.Assert(engine.Models, qt.HasLen, 0)

	// A response that cannot be decoded counts as a failed probe, and the state
	// of a server that is no longer a target is dropped.
	fx.state = `<html>`
	fx.targets = fx.targets[:1]
	probeRound()
	engine, service = probeRound()
	c.Assert(engine.Unresponsive, qt.IsTrue)
	c.Assert([]bool{service.ModelsKnown, service.Unresponsive, service.Leaving}, qt.DeepEquals, []bool{false, false, false})
	c.Assert(fx.Count.Count("siskinsaddle_probes_total", count.Label{Key: "result", Value: "Missed"}), qt.Equals, int64(6))
}
