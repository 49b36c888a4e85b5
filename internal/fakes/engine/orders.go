package engine

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"
)

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "LoadModel"
	OrderUnloadModel OrderKind = "UnloadModel"
	OrderSetRole     OrderKind = "SetRole"
)

// Order asks the engine to load or unload a model or adapter, or to change
// its role.
type Order struct {
	ID            string `json:"Id"`
	Kind          OrderKind
	Model         string
	Version       string
	Adapter       string
	Role          string
	FencingNumber uint64
}

// State is what the engine has loaded and what it is doing.
type State struct {
	Role    string
	Models  []Model
	Leaving bool
	// Orders are those in progress.
	Orders []Order
	// HighestFencing is the highest number seen; a checking engine refuses
	// lower ones.
	HighestFencing uint64
}

type orders struct {
	role    string
	models  []Model
	open    []Order
	highest uint64
	stale   int
}

func newOrders(models []Model, role string) orders {
	return orders{role: role, models: slices.Clone(models)}
}

// State returns the engine's state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		Role:           e.orders.role,
		Models:         slices.Clone(e.orders.models),
		Leaving:        e.faults.Leaving,
		Orders:         slices.Clone(e.orders.open),
		HighestFencing: e.orders.highest,
	}
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.orders.models, func(m Model) bool {
		return m.Name == model || slices.Contains(m.Adapters, model)
	})
}

// postOrder accepts an order at once with 202 and carries it out after the
// time that loading weights takes.
func (e *Engine) postOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_json", err.Error())
		return
	}
	if _, ok := carryOut[o.Kind]; !ok {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_kind", "order kind "+string(o.Kind)+" does not exist")
		return
	}
	if !e.begin(o) {
		refuse(ctx, fasthttp.StatusConflict, "stale_fence", "a higher fencing number has been seen")
		return
	}
	reply(ctx, o)
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (e *Engine) begin(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingNumber < e.orders.highest {
		e.orders.stale++
		if e.ChecksFencing {
			return false
		}
	}
	e.orders.highest = max(e.orders.highest, o.FencingNumber)
	e.orders.open = append(e.orders.open, o)
	go e.finish(o)
	return true
}

func (e *Engine) finish(o Order) {
	if o.Kind == OrderLoadModel {
		select {
		case <-e.Clock.After(e.LoadMilliseconds):
		case <-e.stop:
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	carryOut[o.Kind](&e.orders, o)
	e.orders.open = slices.DeleteFunc(e.orders.open, func(p Order) bool { return p.ID == o.ID })
}

var carryOut = map[OrderKind]func(s *orders, o Order){
	OrderLoadModel:   (*orders).load,
	OrderUnloadModel: (*orders).unload,
	OrderSetRole:     func(s *orders, o Order) { s.role = o.Role },
}

func (s *orders) find(name string) int {
	return slices.IndexFunc(s.models, func(m Model) bool { return m.Name == name })
}

func (s *orders) load(o Order) {
	at := s.find(o.Model)
	if at < 0 {
		s.models = append(s.models, Model{Name: o.Model})
		at = len(s.models) - 1
	}
	m := &s.models[at]
	m.Version = o.Version
	if o.Adapter != "" && !slices.Contains(m.Adapters, o.Adapter) {
		m.Adapters = append(slices.Clone(m.Adapters), o.Adapter)
	}
}

func (s *orders) unload(o Order) {
	at := s.find(o.Model)
	if at < 0 {
		return
	}
	if o.Adapter == "" {
		s.models = slices.Delete(s.models, at, at+1)
		return
	}
	kept := slices.DeleteFunc(slices.Clone(s.models[at].Adapters), func(a string) bool { return a == o.Adapter })
	s.models[at].Adapters = kept
}

// StaleOrders returns how many orders with an old number have arrived.
func (e *Engine) StaleOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.stale
}
