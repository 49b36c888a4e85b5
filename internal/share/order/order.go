// Package order brings the engines of one service in one failure domain to the
// state that the manifest declares: models, versions, adapters and roles.
//
// The host that holds the lease runs a Driver. Each step reads the state of every
// engine, compares it with the desired state and sends at most one round of
// orders, each with the fencing number of the lease. A lost response does no harm:
// the next step reads the effect of the order.
//
// Some engines refuse an order with a stale fencing number, others ignore the
// number. With the latter, an order of a paused former holder may still be in
// flight. A new holder therefore sends none until the longest order of a former
// holder has ended. An order that arrives even later declares a desired state
// rather than a change, so that the next step sees its effect and corrects it.
//
// Loads of weights are spread over time by the rate of the weight store. A new
// holder waits for a full load interval, since the former one may just have
// started a load.
//
// # Usage
//
//	d := &order.Driver{
//		Clock: clock.System(), Holds: lease.Holds, DesiredStates: desiredStates,
//		Read: read, Send: send, ChecksFencing: true,
//		MaxOrderTime: 60_000, LoadInterval: 5_000,
//	}
//	go d.Run(ctx)
package order

import (
	"fmt"
	"slices"
)

// Kind is the action that an order requests.
type Kind string

// The kinds of order.
const (
	KindLoadModel   Kind = "LoadModel"
	KindUnloadModel Kind = "UnloadModel"
	KindSetRole     Kind = "SetRole"
)

// Order is one order to an engine. Its ID is derived from its content and fencing
// number, so that an engine recognizes a repeated order.
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

// State is the state that an engine reports.
type State struct {
	Role    string
	Models  []Model
	Leaving bool
	// Orders are the orders in progress.
	Orders []Order
}

// DesiredState is the desired state of one engine. An empty role or an empty list
// of models leaves the engine's own unchanged.
type DesiredState struct {
	// Server is the name of the backend server, Address its HTTP address.
	Server  string
	Address string
	Role    string
	Models  []Model
}

// Plan returns the orders that move an engine towards its desired state. Nothing
// is unloaded while a load is due or in progress, so that a desired model is not
// missing in between. An engine that is leaving gets no orders.
func Plan(desired DesiredState, s State) []Order {
	if s.Leaving {
		return nil
	}
	var orders []Order
	if desired.Role != "" && desired.Role != s.Role {
		orders = append(orders, Order{Kind: KindSetRole, Role: desired.Role})
	}
	if len(desired.Models) > 0 {
		loads := planLoads(desired, s)
		orders = append(orders, loads...)
		if len(loads) == 0 {
			orders = append(orders, planUnloads(desired, s)...)
		}
	}
	return slices.DeleteFunc(orders, s.inProgress)
}

func planLoads(desired DesiredState, s State) []Order {
	var orders []Order
	for _, m := range desired.Models {
		loaded, ok := findModel(s.Models, m.Name)
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

func planUnloads(desired DesiredState, s State) []Order {
	var orders []Order
	for _, m := range s.Models {
		model, ok := findModel(desired.Models, m.Name)
		if !ok {
			orders = append(orders, Order{Kind: KindUnloadModel, Model: m.Name, Version: m.Version})
			continue
		}
		for _, a := range m.Adapters {
			if !slices.Contains(model.Adapters, a) {
				orders = append(orders, Order{Kind: KindUnloadModel, Model: m.Name, Version: m.Version, Adapter: a})
			}
		}
	}
	return orders
}

func findModel(models []Model, name string) (Model, bool) {
	i := slices.IndexFunc(models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return models[i], true
}

// inProgress reports whether the engine is carrying out the same order, regardless
// of its sender.
func (s State) inProgress(o Order) bool {
	return slices.ContainsFunc(s.Orders, func(p Order) bool {
		p.ID, p.FencingNumber = o.ID, o.FencingNumber
		return p == o
	})
}

// loading reports whether the engine is loading weights.
func (s State) loading() bool {
	return slices.ContainsFunc(s.Orders, func(p Order) bool { return p.Kind == KindLoadModel })
}

// WithFence returns the order with its fencing number and ID.
func (o Order) WithFence(fence uint64) Order {
	o.FencingNumber = fence
	o.ID = fmt.Sprintf("%d/%s/%s/%s/%s/%s", fence, o.Kind, o.Model, o.Version, o.Adapter, o.Role)
	return o
}
