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
	maxOrderTime = 1_000
	loadInterval = 10
)

// host is an entry host that holds the lease, or wrongly believes that it does.
type host struct {
	*order.Driver
	time *clock.Manual
}

func newHost(e *engine.Engine, fence uint64, version string) host {
	engines := &orders.Engines{Client: &wire.Client{}, Timeout: 10_000}
	time := clock.NewManual(0)
	desiredStates := []order.DesiredState{{
		Server: e.Name, Address: e.Address(), Role: "Decode",
		Models: []order.Model{{Name: "quill", Version: version, Adapters: []string{"awnings"}}},
	}}
	return host{time: time, Driver: &order.Driver{
		Clock: time.Clock(), Holds: func() (uint64, bool) { return fence, true },
		DesiredStates: func() []order.DesiredState { return desiredStates }, Read: engines.Read, Send: engines.Send,
		ChecksFencing: e.ChecksFencing, MaxOrderTime: maxOrderTime, LoadInterval: loadInterval,
	}}
}

// converge steps until the engine is in the wanted state and no order is open.
func (h host) converge(c *qt.C) {
	ctx := context.Background()
	for {
		desired := h.DesiredStates()[0]
		s, err := h.Read(ctx, desired)
		c.Assert(err, qt.IsNil)
		if len(s.Orders) == 0 && len(order.Plan(desired, s)) == 0 {
			return
		}
		h.time.Advance(loadInterval)
		h.Step(ctx)
	}
}

// A lease holder is paused between checking the lease and sending an order, and
// meanwhile loses the lease to a host that wants a newer version. An engine that
// checks fencing numbers rejects the late order. An engine that does not check
// them loads the old version, which the new holder then replaces.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(map[bool]string{true: "Checks", false: "Ignores"}[checksFencing], func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			e := &engine.Engine{Name: "canvas-llm-1", ChecksFencing: checksFencing, LoadMilliseconds: 1, Models: []engine.Model{{Name: "old", Version: "1"}}}
			c.Assert(e.Start(), qt.IsNil)
			c.Cleanup(e.Stop)
			paused, next := newHost(e, 1, "1"), newHost(e, 2, "2")
			send := paused.Send
			paused.Send = func(ctx context.Context, desired order.DesiredState, o order.Order) error {
				if o.Kind != order.KindLoadModel {
					return nil
				}
				if !checksFencing {
					c.Check(next.Step(ctx), qt.Equals, order.ResultWaiting)
					next.time.Advance(maxOrderTime)
				}
				next.converge(c)
				return send(ctx, desired, o)
			}
			paused.Step(ctx)
			paused.time.Advance(maxOrderTime)
			result := paused.Step(ctx)
			c.Assert(e.StaleOrders(), qt.Equals, 1)
			if checksFencing {
				c.Assert(result, qt.Equals, order.ResultStale)
			} else {
				c.Assert(result, qt.Equals, order.ResultDone)
			}
			next.converge(c)
			c.Assert(e.State().Models, qt.DeepEquals, []engine.Model{{Name: "quill", Version: "2", Adapters: []string{"awnings"}}})
			c.Assert(e.State().Role, qt.Equals, "Decode")
		})
	}
}
