package engine

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"
)

// OrderKind is the kind of change that an order requests.
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

// State is the engine's role, its loaded models and its orders in progress.
type State struct {
	Role    string
	Models  []Model
	Leaving bool
	// Orders are the orders in progress.
	Orders []Order
	// HighestFencing is the highest fencing number accepted. With ChecksFencing, the
	// engine refuses orders with a lower one.
	HighestFencing uint64
}

// orders is the state that orders change, and their progress.
type orders struct {
	role           string
	models         []Model
	inProgress     []Order
	highestFencing uint64
	staleCount     int
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
		Orders:         slices.Clone(e.orders.inProgress),
		HighestFencing: e.orders.highestFencing,
	}
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.orders.models, func(m Model) bool {
		return m.Name == model || slices.Contains(m.Adapters, model)
	})
}

// postOrder accepts an order with 202 and executes it in the background. Loading a
// model or adapter takes LoadMilliseconds.
func (e *Engine) postOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_json", err.Error())
		return
	}
	if _, ok := orderActions[o.Kind]; !ok {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_kind", "order kind "+string(o.Kind)+" does not exist")
		return
	}
	if !e.acceptOrder(o) {
		replyError(ctx, fasthttp.StatusConflict, "stale_fence", "a higher fencing number has been seen")
		return
	}
	reply(ctx, o)
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

// acceptOrder starts an order. It returns false if the fencing number is stale and
// the engine checks fencing numbers.
func (e *Engine) acceptOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingNumber < e.orders.highestFencing {
		e.orders.staleCount++
		if e.ChecksFencing {
			return false
		}
	}
	e.orders.highestFencing = max(e.orders.highestFencing, o.FencingNumber)
	e.orders.inProgress = append(e.orders.inProgress, o)
	go e.executeOrder(o)
	return true
}

// executeOrder applies an order, after the load time if it loads a model or adapter.
func (e *Engine) executeOrder(o Order) {
	if o.Kind == OrderLoadModel {
		select {
		case <-e.Clock.After(e.LoadMilliseconds):
		case <-e.stop:
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	orderActions[o.Kind](&e.orders, o)
	e.orders.inProgress = slices.DeleteFunc(e.orders.inProgress, func(p Order) bool { return p.ID == o.ID })
}

// orderActions applies an order of each kind.
var orderActions = map[OrderKind]func(s *orders, o Order){
	OrderLoadModel:   (*orders).load,
	OrderUnloadModel: (*orders).unload,
	OrderSetRole:     func(s *orders, o Order) { s.role = o.Role },
}

func (s *orders) modelIndex(name string) int {
	return slices.IndexFunc(s.models, func(m Model) bool { return m.Name == name })
}

func (s *orders) load(o Order) {
	at := s.modelIndex(o.Model)
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
	at := s.modelIndex(o.Model)
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

// StaleOrders returns how many orders arrived with a stale fencing number, refused
// or not.
func (e *Engine) StaleOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.staleCount
}
