package order

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

// ErrStaleFence is returned for an order that an engine refused because it has
// seen a higher fencing number.
var ErrStaleFence = errors.New("the engine has seen a higher fencing number")

// Defaults of a Driver's settings.
const (
	defaultStepInterval = 2 * clock.Second
	defaultMaxOrderTime = clock.Minute
	defaultLoadInterval = clock.Second
	maxParallelReads    = 16
)

// Result is the reason why a step ended.
type Result string

// The results of a step.
const (
	// ResultNotHolder: the host does not hold the lease.
	ResultNotHolder Result = "NotHolder"
	// ResultWaiting: orders of a former holder may still be carried out.
	ResultWaiting Result = "Waiting"
	// ResultStale: an engine refused the fencing number, or the lease expired
	// during the step.
	ResultStale Result = "Stale"
	// ResultDone: every engine whose state could be read was processed.
	ResultDone Result = "Done"
)

// Driver sends the orders for one service in one failure domain. Its fields are
// set before Run.
type Driver struct {
	Clock clock.Clock
	Count *count.Set
	// Holds returns the fencing number and whether this host holds the lease now.
	Holds func() (uint64, bool)
	// DesiredStates returns the desired states of the engines, in the order in
	// which they are to be reached.
	DesiredStates func() []DesiredState
	// Read reads the state of an engine.
	Read func(ctx context.Context, desired DesiredState) (State, error)
	// Send sends one order, once. It returns ErrStaleFence for a refused fencing
	// number; after any other error the order may or may not be carried out.
	Send func(ctx context.Context, desired DesiredState, o Order) error
	// ChecksFencing states that the engines refuse stale fencing numbers.
	ChecksFencing bool
	// MaxOrderTime is the maximum time from sending an order to its completion,
	// StepInterval the time between two steps, and LoadInterval the time between
	// two loads of weights. All are in milliseconds.
	MaxOrderTime clock.Millis
	StepInterval clock.Millis
	LoadInterval clock.Millis

	fence uint64
	// quietUntil is when orders of a former holder can no longer be carried out,
	// nextLoad the earliest time of the next load.
	quietUntil clock.Millis
	nextLoad   clock.Millis
}

// Run steps until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	for {
		d.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-d.Clock.AfterTick(orElse(d.StepInterval, defaultStepInterval)):
		}
	}
}

// Step reads the state of every engine and sends the orders that are due.
func (d *Driver) Step(ctx context.Context) Result {
	fence, ok := d.Holds()
	if !ok {
		return ResultNotHolder
	}
	d.adoptFence(fence)
	if d.Clock.Now() < d.quietUntil {
		return ResultWaiting
	}
	desiredStates := d.DesiredStates()
	states := d.readAll(ctx, desiredStates)
	for i, desired := range desiredStates {
		if states[i] == nil {
			continue
		}
		if !d.sendOrders(ctx, desired, *states[i]) {
			return ResultStale
		}
	}
	return ResultDone
}

// adoptFence records a new fencing number and starts the waiting times of a new
// holder.
func (d *Driver) adoptFence(fence uint64) {
	if fence == d.fence {
		return
	}
	now := d.Clock.Now()
	d.fence = fence
	d.nextLoad = now + orElse(d.LoadInterval, defaultLoadInterval)
	d.quietUntil = now
	if !d.ChecksFencing {
		d.quietUntil = now + orElse(d.MaxOrderTime, defaultMaxOrderTime)
	}
}

// readAll reads the engines in parallel. One that does not answer has a nil state
// and gets no orders in this step.
func (d *Driver) readAll(ctx context.Context, desiredStates []DesiredState) []*State {
	states := make([]*State, len(desiredStates))
	pool, err := ants.NewPool(maxParallelReads)
	if err != nil {
		return states
	}
	defer pool.Release()
	var all sync.WaitGroup
	for i, desired := range desiredStates {
		all.Add(1)
		read := func() {
			defer all.Done()
			if s, err := d.Read(ctx, desired); err == nil {
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

// sendOrders sends one engine its orders. It returns false if this host no longer
// holds the lease.
func (d *Driver) sendOrders(ctx context.Context, desired DesiredState, s State) bool {
	loading := s.loading()
	for _, o := range Plan(desired, s) {
		if o.Kind == KindLoadModel {
			if loading || !d.takeLoad() {
				continue
			}
			loading = true
		}
		// Checked again before each order, since reading and earlier orders took time.
		if fence, ok := d.Holds(); !ok || fence != d.fence {
			return false
		}
		err := d.Send(ctx, desired, o.WithFence(d.fence))
		d.recordResult(o, err)
		if errors.Is(err, ErrStaleFence) {
			return false
		}
	}
	return true
}

// takeLoad reports whether the weight store's rate allows a load now, and counts
// it as started. Unused loads do not accumulate.
func (d *Driver) takeLoad() bool {
	now := d.Clock.Now()
	if now < d.nextLoad {
		return false
	}
	d.nextLoad = now + orElse(d.LoadInterval, defaultLoadInterval)
	return true
}

// recordResult counts a sent order by kind and result.
func (d *Driver) recordResult(o Order, err error) {
	if d.Count == nil {
		return
	}
	result := "Given"
	if errors.Is(err, ErrStaleFence) {
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
