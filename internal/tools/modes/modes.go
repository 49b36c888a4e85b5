// Package modes measures the modes in which several entry hosts schedule requests
// on shared backend servers: each host alone on its share of the slots, one
// keeper for each server, one keeper for each group of servers, or one keeper
// for the whole failure domain. The hosts are real keeper.Nodes that communicate
// over loopback sockets; the servers are simulated and only count running
// requests.
//
// The load script is the same for every mode: random arrivals in three tiers,
// more at one host than at the others, with a peak above capacity in the middle
// phase.
//
// # Usage
//
//	report, err := modes.Run(ctx, modes.Options{
//		Mode: modes.ModeGroup, Hosts: 7, Servers: 10, Slots: 8, Seed: 1,
//	})
//	fmt.Println(report)
package modes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/keeper"
)

// Mode is the way in which scheduling decisions are divided among hosts.
type Mode string

// The modes.
const (
	ModeAlone  Mode = "Alone"
	ModeServer Mode = "Server"
	ModeGroup  Mode = "Group"
	ModeWhole  Mode = "Whole" // one keeper for all servers of the domain
)

// groupSizes is the maximum number of servers in a keeper's group; 0 is the
// default of package keeper.
var groupSizes = map[Mode]int{ModeServer: 1, ModeGroup: 0, ModeAlone: 0, ModeWhole: 1000}

// Options are the parameters of a run.
type Options struct {
	Mode    Mode
	Hosts   int
	Servers int
	// Slots is the number of slots of each server.
	Slots int
	// FlushDelay is how long packets are held back to be bundled, in
	// milliseconds.
	FlushDelay clock.Millis
	Seed       uint64
	// Seconds is the length of each of the script's three phases.
	Seconds int
	// CrashKeeper crashes the keeper of the first group one second into the
	// peak phase. The other hosts learn of it failureDetectionDelay later, about
	// as they would from missing heartbeats.
	CrashKeeper bool
	// Timeouts are the keeper's timeouts; the zero value selects its defaults.
	Timeouts keeper.Timeouts
}

// loads are the demand in each phase of the script, as a share of capacity.
var loads = []float64{0.7, 1.4, 0.7}

const (
	peakPhase             = 1 // index of the phase above capacity
	meanRunTime           = 100 * time.Millisecond
	minRunTime            = 20 * time.Millisecond
	maxRunTime            = 500 * time.Millisecond
	busyHostShare         = 0.3 // share of arrivals that go to the first host
	maxWait               = 3 * clock.Second
	maxMessageDelay       = 20 * time.Millisecond // longer waits are not due to messages in flight
	samplePeriod          = 5 * time.Millisecond
	tierCount             = 3
	firstToken            = 10 * clock.Millis(1) // of every request, after its grant
	failureDetectionDelay = 1600 * time.Millisecond
)

// tierShares is each tier's share of the arrivals.
var tierShares = [tierCount]float64{0.2, 0.5, 0.3}

// targets is the target time from request to grant for each tier.
var targets = [tierCount]clock.Millis{100, 400, 2 * clock.Second}

// Run executes the script and returns the measurements.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDomain(ctx, o)
	if err != nil {
		return Report{}, err
	}
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		return Report{}, err
	}
	d.runScript(ctx)
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		return Report{}, err
	}
	r := d.recorder.report(o)
	r.Messages, r.Bytes = d.traffic()
	r.ProcessorTime = processorTime(after) - processorTime(before)
	return r, nil
}

// processorTime returns the user and system time of the process.
func processorTime(u syscall.Rusage) time.Duration {
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// arrival is one request of the script.
type arrival struct {
	at      time.Duration
	host    int
	tier    int
	runTime time.Duration
	phase   int
}

// arrivals generates the script. It depends on Seed, Seconds, Hosts, Servers and
// Slots only.
func arrivals(o Options) []arrival {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	capacity := float64(o.Servers*o.Slots) / meanRunTime.Seconds()
	var all []arrival
	at := 0.0
	for phase, load := range loads {
		for end := float64((phase + 1) * o.Seconds); at < end; {
			at += random.ExpFloat64() / (capacity * load)
			all = append(all, arrival{
				at:   time.Duration(at * float64(time.Second)),
				host: pickHost(random, o.Hosts), tier: pickTier(random),
				runTime: min(maxRunTime, max(minRunTime,
					time.Duration(random.ExpFloat64()*float64(meanRunTime)))),
				phase: phase,
			})
		}
	}
	return all
}

func pickHost(random *rand.Rand, hosts int) int {
	if random.Float64() < busyHostShare {
		return 0
	}
	return random.IntN(hosts)
}

func pickTier(random *rand.Rand) int {
	x := random.Float64()
	for tier, share := range tierShares {
		if x -= share; x < 0 {
			return tier
		}
	}
	return tierCount - 1
}

func (d *domain) runScript(ctx context.Context) {
	var background sync.WaitGroup
	stop := make(chan struct{})
	background.Go(func() { d.recorder.sampleUntil(stop) })
	start := time.Now()
	if d.options.CrashKeeper {
		background.Go(func() {
			d.crashKeeper(start.Add(time.Duration(d.options.Seconds+1) * time.Second))
		})
	}
	var requests sync.WaitGroup
	for i, a := range arrivals(d.options) {
		time.Sleep(time.Until(start.Add(a.at)))
		requests.Go(func() { d.runRequest(ctx, i, a) })
	}
	requests.Wait()
	close(stop)
	background.Wait()
}

func (d *domain) runRequest(ctx context.Context, number int, a arrival) {
	n, ctx := d.entryHost(ctx, a.host)
	id := fmt.Sprintf("request-%d", number)
	now := n.Clock.Now()
	asked := time.Now()
	d.recorder.recordArrival(number, a.tier, asked)
	grant, refusal, err := n.RequestGrant(ctx, sched.Request{
		ID: id, Service: service, Class: className(a.tier), Workspace: "stall",
		Arrived: now, Deadline: now + targets[a.tier], GiveUp: now + maxWait, PredictedTokens: 1,
	})
	if err != nil || refusal != nil {
		d.recorder.recordRefusal(number, a)
		return
	}
	d.recorder.recordGrant(number, a, grant, time.Since(asked))
	last := sched.Progress{ID: id, Tokens: 1, FirstToken: firstToken}
	d.simulateRun(ctx, firstToken.Duration())
	n.Progress(last)
	d.simulateRun(ctx, a.runTime-firstToken.Duration())
	d.recorder.recordEnd(grant.Server)
	n.Done(sched.Done{Progress: last, Outcome: sched.OutcomeDone})
}

// simulateRun waits for the duration of a request, or until its host crashes.
func (d *domain) simulateRun(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
