package order_test

import (
	"context"
	"errors"
	"flag"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/order"
)

var ctx = context.Background()

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func model(name, version string, adapters ...string) order.Model {
	return order.Model{Name: name, Version: version, Adapters: adapters}
}

func TestPlan(t *testing.T) {
	load := order.Order{Kind: order.KindLoadModel, Model: "a", Version: "2"}
	cases := []struct {
		name    string
		desired order.DesiredState
		state   order.State
		plan    []order.Order
	}{
		{"NothingWanted", order.DesiredState{}, order.State{Role: "r", Models: []order.Model{model("x", "1")}}, nil},
		{"NewVersion", order.DesiredState{Models: []order.Model{model("a", "2", "p")}}, order.State{Models: []order.Model{model("a", "1")}}, []order.Order{load}},
		{"InProgress", order.DesiredState{Models: []order.Model{model("a", "2")}}, order.State{Orders: []order.Order{load.WithFence(7)}}, nil},
		{
			"UnloadOnlyAfterLoading",
			order.DesiredState{Models: []order.Model{model("a", "2")}},
			order.State{Models: []order.Model{model("x", "1")}, Orders: []order.Order{load.WithFence(7)}},
			nil,
		},
		{
			"UnloadRest",
			order.DesiredState{Models: []order.Model{model("a", "2")}},
			order.State{Models: []order.Model{model("a", "2", "p"), model("x", "1")}},
			[]order.Order{{Kind: order.KindUnloadModel, Model: "a", Version: "2", Adapter: "p"}, {Kind: order.KindUnloadModel, Model: "x", Version: "1"}},
		},
		{"Leaving", order.DesiredState{Role: "r"}, order.State{Leaving: true}, nil},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(slices.Equal(order.Plan(k.desired, k.state), k.plan), qt.IsTrue, qt.Commentf("%+v", order.Plan(k.desired, k.state)))
		})
	}
}

// fakeEngines carries out orders immediately and records the times of loads.
type fakeEngines struct {
	states map[string]order.State
	loads  []clock.Millis
	time   *clock.Manual
	// lose decides whether an order is lost before it takes effect, or its
	// response afterwards.
	lose func() (before, after bool)
}

func (f *fakeEngines) read(_ context.Context, desired order.DesiredState) (order.State, error) {
	return f.states[desired.Server], nil
}

func (f *fakeEngines) send(_ context.Context, desired order.DesiredState, o order.Order) error {
	before, after := f.lose()
	if before {
		return errors.New("lost")
	}
	s := f.states[desired.Server]
	s.Models = slices.DeleteFunc(slices.Clone(s.Models), func(m order.Model) bool { return m.Name == o.Model && o.Adapter == "" })
	switch o.Kind {
	case order.KindSetRole:
		s.Role = o.Role
	case order.KindLoadModel:
		f.loads = append(f.loads, f.time.Clock().Now())
		s.Models = append(s.Models, model(o.Model, o.Version))
	}
	f.states[desired.Server] = s
	if after {
		return errors.New("response lost")
	}
	return nil
}

// The engines reach their desired state although orders and responses are lost, and
// no two loads are closer together than the rate allows.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID)
		lossy := true
		f := &fakeEngines{states: map[string]order.State{}, time: clock.NewManual(0)}
		f.lose = func() (bool, bool) {
			return lossy && rapid.Bool().Draw(t, "before"), lossy && rapid.Bool().Draw(t, "after")
		}
		var desiredStates []order.DesiredState
		for _, server := range []string{"s1", "s2", "s3"} {
			desired := order.DesiredState{Server: server, Role: "Mixed"}
			for _, name := range pick.Draw(t, "wanted") {
				desired.Models = append(desired.Models, model(name, "2"))
			}
			for _, name := range pick.Draw(t, "loaded") {
				s := f.states[server]
				s.Models = append(s.Models, model(name, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")))
				f.states[server] = s
			}
			desiredStates = append(desiredStates, desired)
		}
		d := &order.Driver{
			Clock: f.time.Clock(), Holds: func() (uint64, bool) { return 1, true }, DesiredStates: func() []order.DesiredState { return desiredStates },
			Read: f.read, Send: f.send, ChecksFencing: true, LoadInterval: 100,
		}
		for i := range 60 {
			lossy = i < 20
			d.Step(ctx)
			f.time.Advance(50)
		}
		for _, desired := range desiredStates {
			if plan := order.Plan(desired, f.states[desired.Server]); len(plan) > 0 {
				t.Fatalf("server %s still needs orders %+v", desired.Server, plan)
			}
		}
		for i := 1; i < len(f.loads); i++ {
			if f.loads[i]-f.loads[i-1] < 100 {
				t.Fatalf("loads closer than 100 ms, at %v", f.loads)
			}
		}
		if len(f.loads) > 0 && f.loads[0] < 100 {
			t.Fatalf("a new holder loaded at %d ms, before its first load interval", f.loads[0])
		}
	})
}

// A driver whose lease expires between two orders sends no further order.
func TestLeaseEndsBetweenOrders(t *testing.T) {
	c := qt.New(t)
	f := &fakeEngines{states: map[string]order.State{}, time: clock.NewManual(0), lose: func() (bool, bool) { return false, false }}
	checks := 0
	d := &order.Driver{
		Clock: f.time.Clock(), ChecksFencing: true, Read: f.read, Send: f.send,
		DesiredStates: func() []order.DesiredState {
			return []order.DesiredState{{Server: "s1", Role: "r"}, {Server: "s2", Role: "r"}}
		},
		Holds: func() (uint64, bool) { checks++; return 1, checks <= 2 },
	}
	c.Assert(d.Step(ctx), qt.Equals, order.ResultStale)
	c.Assert(f.states["s1"].Role, qt.Equals, "r")
	c.Assert(f.states["s2"].Role, qt.Equals, "")
	c.Assert(d.Step(ctx), qt.Equals, order.ResultNotHolder)
}
