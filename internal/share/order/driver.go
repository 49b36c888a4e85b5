package order

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

// ErrStale is the refusal of an engine that has seen a higher fencing number.
var ErrStale = errors.New("the engine has seen a higher fencing number")

// The settings of a driver where they are 0.
const (
	defaultEvery        = 2 * clock.Second
	defaultLongestOrder = clock.Minute
	defaultLoadEvery    = clock.Second
	defaultReaders      = 16
)

// Result says why a step ended.
type Result string

// The results of a step.
const (
	// ResultNotHolder is a step of a host without the lease.
	ResultNotHolder Result = "NotHolder"
	// ResultWaiting is a step in the time in which orders of a former holder
	// may still be carried out.
	ResultWaiting Result = "Waiting"
	// ResultStale is a step that an engine refused, or in which the lease ended.
	ResultStale Result = "Stale"
	// ResultDone is a step that reached every engine that could be read.
	ResultDone Result = "Done"
)

// Driver gives the orders for one service in one failure domain. Its fields are
// set before Run.
type Driver struct {
	Clock clock.Clock
	Count *count.Set
	// Holds returns the fencing number and whether this host may act now.
	Holds func() (uint64, bool)
	// Wants returns the wanted end states, in the order in which to reach them.
	Wants func() []Want
	// Read reads back the state of an engine.
	Read func(ctx context.Context, w Want) (State, error)
	// Send gives one order, once. It returns ErrStale for a refused number;
	// any other error leaves open whether the order is carried out.
	Send func(ctx context.Context, w Want, o Order) error
	// ChecksFencing tells that the engines refuse old numbers.
	ChecksFencing bool
	// LongestOrder is the longest time from sending an order to its end, Every
	// the time between two steps, LoadEvery that between two loads of weights,
	// all in milliseconds.
	LongestOrder clock.Millis
	Every        clock.Millis
	LoadEvery    clock.Millis

	fence uint64
	quiet clock.Millis
	load  clock.Millis
}

// Run steps until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	for {
		d.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-d.Clock.Pulse(orElse(d.Every, defaultEvery)):
		}
	}
}

// Step reads every engine back and gives what orders are due.
func (d *Driver) Step(ctx context.Context) Result {
	fence, ok := d.Holds()
	if !ok {
		return ResultNotHolder
	}
	d.begin(fence)
	if d.Clock.Now() < d.quiet {
		return ResultWaiting
	}
	wants := d.Wants()
	states := d.readAll(ctx, wants)
	for i, w := range wants {
		if states[i] == nil {
			continue
		}
		if !d.give(ctx, w, *states[i]) {
			return ResultStale
		}
	}
	return ResultDone
}

// begin takes note of a new fencing number.
func (d *Driver) begin(fence uint64) {
	if fence == d.fence {
		return
	}
	now := d.Clock.Now()
	d.fence = fence
	d.load = now + orElse(d.LoadEvery, defaultLoadEvery)
	d.quiet = now
	if !d.ChecksFencing {
		d.quiet = now + orElse(d.LongestOrder, defaultLongestOrder)
	}
}

// readAll reads the engines side by side. One that does not answer has no state
// and gets no orders in this step.
func (d *Driver) readAll(ctx context.Context, wants []Want) []*State {
	states := make([]*State, len(wants))
	pool, err := ants.NewPool(defaultReaders)
	if err != nil {
		return states
	}
	defer pool.Release()
	var all sync.WaitGroup
	for i, w := range wants {
		all.Add(1)
		read := func() {
			defer all.Done()
			if s, err := d.Read(ctx, w); err == nil {
				states[i] = &s
			}
		}
		if err := pool.Submit(read); err != nil {
			all.Done()
		}
	}
	all.Wait()
	return states
}

// give gives one engine its orders. It returns false where this host turns out
// not to hold the lease any more.
func (d *Driver) give(ctx context.Context, w Want, s State) bool {
	loading := s.loading()
	for _, o := range Plan(w, s) {
		if o.Kind == KindLoadModel {
			if loading || !d.mayLoad() {
				continue
			}
			loading = true
		}
		// Just before sending, since reading and the orders before took time.
		if fence, ok := d.Holds(); !ok || fence != d.fence {
			return false
		}
		err := d.Send(ctx, w, o.WithNumber(d.fence))
		d.note(o, err)
		if errors.Is(err, ErrStale) {
			return false
		}
	}
	return true
}

// mayLoad takes one load from the weight store's rate. Nothing is saved up.
func (d *Driver) mayLoad() bool {
	now := d.Clock.Now()
	if now < d.load {
		return false
	}
	d.load = now + orElse(d.LoadEvery, defaultLoadEvery)
	return true
}

func (d *Driver) note(o Order, err error) {
	if d.Count == nil {
		return
	}
	result := "Given"
	if errors.Is(err, ErrStale) {
		result = "Stale"
	} else if err != nil {
		result = "Unknown"
	}
	d.Count.Add("siskinsaddle_orders_total", 1,
		count.Label{Key: "kind", Value: string(o.Kind)}, count.Label{Key: "result", Value: result})
}

func orElse(value, fallback clock.Millis) clock.Millis {
	if value > 0 {
		return value
	}
	return fallback
}
