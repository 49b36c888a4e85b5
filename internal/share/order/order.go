// Package order brings the engines of one service in one failure domain to what
// the manifest wants of them: models, adapters, versions and roles.
//
// The host that holds the lease runs a Driver. Each step reads back the state
// of every engine, compares it with the wanted end state and gives at most one
// round of orders, each with the fencing number of the lease. A lost answer is
// no matter: the next step reads what came of the order.
//
// Some engines refuse an order with an old number, others ignore the number.
// With the latter, a holder that was paused may still have an order on its way.
// A new holder therefore gives none until the longest order of a former holder
// has ended. An order that arrives later all the same asks for an end state, not
// a change, and the next step reads it back and corrects it.
//
// Loads are spread over time by the rate of the weight store. A new holder
// begins with nothing of that rate saved up, since the former one may just have
// spent it.
//
// # Usage
//
//	d := &order.Driver{
//		Clock: clock.System(), Holds: lease.Holds, Wants: wants, Read: read, Send: send,
//		ChecksFencing: true, LongestOrder: 60_000, LoadEvery: 5_000,
//	}
//	go d.Run(ctx)
package order

import (
	"fmt"
	"slices"
)

// Kind is what an order asks for.
type Kind string

// The kinds of order.
const (
	KindLoadModel   Kind = "LoadModel"
	KindUnloadModel Kind = "UnloadModel"
	KindSetRole     Kind = "SetRole"
)

// Order is one order to an engine. Its ID follows from its content and number,
// so that an order that is given again is known as the same.
type Order struct {
	ID            string `json:"Id"`
	Kind          Kind
	Model         string `json:",omitempty"`
	Version       string `json:",omitempty"`
	Adapter       string `json:",omitempty"`
	Role          string `json:",omitempty"`
	FencingNumber uint64
}

// Model is a model with its version and adapters.
type Model struct {
	Name     string
	Version  string
	Adapters []string
}

// State is what an engine says of itself.
type State struct {
	Role    string
	Models  []Model
	Leaving bool
	// Orders are those in progress.
	Orders []Order
}

// Want is the wanted end state of one engine. An empty role or an empty list
// of models leaves the engine's as it is.
type Want struct {
	// Server is the name of the backend server, Address its HTTP address.
	Server  string
	Address string
	Role    string
	Models  []Model
}

// Plan returns the orders that bring an engine nearer to what is wanted of it.
// Nothing is unloaded while something has to be loaded or is being loaded, so
// that a wanted model is not missing in between. An engine that leaves gets no
// orders.
func Plan(w Want, s State) []Order {
	if s.Leaving {
		return nil
	}
	var orders []Order
	if w.Role != "" && w.Role != s.Role {
		orders = append(orders, Order{Kind: KindSetRole, Role: w.Role})
	}
	if len(w.Models) > 0 {
		loads := planLoads(w, s)
		orders = append(orders, loads...)
		if len(loads) == 0 {
			orders = append(orders, planUnloads(w, s)...)
		}
	}
	return slices.DeleteFunc(orders, s.inProgress)
}

func planLoads(w Want, s State) []Order {
	var orders []Order
	for _, m := range w.Models {
		loaded, ok := find(s.Models, m.Name)
		if !ok || loaded.Version != m.Version {
			orders = append(orders, Order{Kind: KindLoadModel, Model: m.Name, Version: m.Version})
			continue
		}
		for _, a := range m.Adapters {
			if !slices.Contains(loaded.Adapters, a) {
				orders = append(orders, Order{Kind: KindLoadModel, Model: m.Name, Version: m.Version, Adapter: a})
			}
		}
	}
	return orders
}

func planUnloads(w Want, s State) []Order {
	var orders []Order
	for _, m := range s.Models {
		wanted, ok := find(w.Models, m.Name)
		if !ok {
			orders = append(orders, Order{Kind: KindUnloadModel, Model: m.Name, Version: m.Version})
			continue
		}
		for _, a := range m.Adapters {
			if !slices.Contains(wanted.Adapters, a) {
				orders = append(orders, Order{Kind: KindUnloadModel, Model: m.Name, Version: m.Version, Adapter: a})
			}
		}
	}
	return orders
}

func find(models []Model, name string) (Model, bool) {
	i := slices.IndexFunc(models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return models[i], true
}

// inProgress tells whether the engine is carrying out the same order, whoever
// gave it.
func (s State) inProgress(o Order) bool {
	return slices.ContainsFunc(s.Orders, func(p Order) bool {
		p.ID, p.FencingNumber = o.ID, o.FencingNumber
		return p == o
	})
}

// loading tells whether the engine is loading weights.
func (s State) loading() bool {
	return slices.ContainsFunc(s.Orders, func(p Order) bool { return p.Kind == KindLoadModel })
}

// WithNumber returns the order with its fencing number and ID.
func (o Order) WithNumber(fence uint64) Order {
	o.FencingNumber = fence
	o.ID = fmt.Sprintf("%d/%s/%s/%s/%s/%s", fence, o.Kind, o.Model, o.Version, o.Adapter, o.Role)
	return o
}
