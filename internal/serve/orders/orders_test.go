package orders_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/engine"
	"siskinsaddle/internal/serve/orders"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/order"
)

const (
	longestOrder = 1_000
	loadEvery    = 10
)

// host is one entry host with the lease, or one that believes that it has it.
type host struct {
	*order.Driver
	time *clock.Manual
}

func newHost(e *engine.Engine, fence uint64, version string) host {
	edge := &orders.Engines{Client: &wire.Client{}, Timeout: 10_000}
	time := clock.NewManual(0)
	wants := []order.Want{{
		Server: e.Name, Address: e.Address(), Role: "Decode",
		Models: []order.Model{{Name: "quill", Version: version, Adapters: []string{"awnings"}}},
	}}
	return host{time: time, Driver: &order.Driver{
		Clock: time.Clock(), Holds: func() (uint64, bool) { return fence, true },
		Wants: func() []order.Want { return wants }, Read: edge.Read, Send: edge.Send,
		ChecksFencing: e.ChecksFencing, LongestOrder: longestOrder, LoadEvery: loadEvery,
	}}
}

// settle steps until the engine has what the host wants and no order is open.
func (h host) settle(c *qt.C) {
	ctx := context.Background()
	for {
		w := h.Wants()[0]
		s, err := h.Read(ctx, w)
		c.Assert(err, qt.IsNil)
		if len(s.Orders) == 0 && len(order.Plan(w, s)) == 0 {
			return
		}
		h.time.Advance(loadEvery)
		h.Step(ctx)
	}
}

// A holder is paused between its check of the lease and the sending of an
// order, loses the lease to a host that wants a newer version, and wakes. An
// engine that checks numbers refuses the order. With one that does not, the new
// holder finds the old version back and corrects it.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "Checks", false: "Ignores"}[checks], func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			e := &engine.Engine{Name: "canvas-llm-1", ChecksFencing: checks, LoadMilliseconds: 1, Models: []engine.Model{{Name: "old", Version: "1"}}}
			c.Assert(e.Start(), qt.IsNil)
			c.Cleanup(e.Stop)
			paused, next := newHost(e, 1, "1"), newHost(e, 2, "2")
			send := paused.Send
			paused.Send = func(ctx context.Context, w order.Want, o order.Order) error {
				if o.Kind != order.KindLoadModel {
					return nil
				}
				if !checks {
					c.Check(next.Step(ctx), qt.Equals, order.ResultWaiting)
					next.time.Advance(longestOrder)
				}
				next.settle(c)
				return send(ctx, w, o)
			}
			paused.Step(ctx)
			paused.time.Advance(longestOrder)
			result := paused.Step(ctx)
			c.Assert(e.StaleOrders(), qt.Equals, 1)
			if checks {
				c.Assert(result, qt.Equals, order.ResultStale)
			} else {
				c.Assert(result, qt.Equals, order.ResultDone)
			}
			next.settle(c)
			c.Assert(e.State().Models, qt.DeepEquals, []engine.Model{{Name: "quill", Version: "2", Adapters: []string{"awnings"}}})
			c.Assert(e.State().Role, qt.Equals, "Decode")
		})
	}
}
