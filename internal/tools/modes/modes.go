// Package modes measures the ways to decide what runs on backend servers over
// several entry hosts: each host alone on its share, one keeper for each
// server, one keeper for each group. The hosts are real keeper.Nodes that talk
// over loopback sockets; the servers only count what runs.
//
// The load is the same script for every way: arrivals at random times, more at
// one host than at the others, in three tiers, with a crest above capacity in
// the middle.
//
// # Usage
//
//	report, err := modes.Run(ctx, modes.Options{
//		Way: modes.WayGroup, Hosts: 7, Servers: 10, Slots: 8, Seed: 1,
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

// Way is a way to decide.
type Way string

// The ways.
const (
	WayAlone  Way = "Alone"
	WayServer Way = "Server"
	WayGroup  Way = "Group"
	WayWhole  Way = "Whole" // one keeper for all servers of the domain
)

// groupSizes is the most servers of a keeper's group, 0 for the usual.
var groupSizes = map[Way]int{WayServer: 1, WayGroup: 0, WayAlone: 0, WayWhole: 1000}

// Options of a run.
type Options struct {
	Way     Way
	Hosts   int
	Servers int
	// Slots is the number of slots of each server.
	Slots int
	// BundleWait holds packets back, in milliseconds.
	BundleWait clock.Millis
	Seed       uint64
	// Seconds is the length of each of the three parts of the script.
	Seconds int
	// LoseKeeper crashes the host that keeps the first group, a second into
	// the crest. The others learn of it learnWait later, as from heartbeats.
	LoseKeeper bool
	// Waits is the usual one where it is zero.
	Waits keeper.Timeouts
}

// The script's loads as shares of the capacity, one for each part.
var loads = []float64{0.7, 1.4, 0.7}

const (
	crest       = 1 // the part with the crest
	meanHold    = 100 * time.Millisecond
	leastHold   = 20 * time.Millisecond
	mostHold    = 500 * time.Millisecond
	busyShare   = 0.3 // of the arrivals come to the first host
	giveUp      = 3 * clock.Second
	flight      = 20 * time.Millisecond // a wait that no message explains
	sampleEvery = 5 * time.Millisecond
	tierCount   = 3
	firstToken  = 10 * clock.Millis(1) // of every request
	learnWait   = 1600 * time.Millisecond
)

// tierShares is the share of each tier in the arrivals.
var tierShares = [tierCount]float64{0.2, 0.5, 0.3}

// targets is how long a request of each tier may wait for its grant.
var targets = [tierCount]clock.Millis{100, 400, 2 * clock.Second}

// Run carries the script out and returns what was seen.
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
	d.script(ctx)
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		return Report{}, err
	}
	r := d.book.report(o)
	r.Messages, r.Bytes = d.traffic()
	r.Processor = cpu(after) - cpu(before)
	return r, nil
}

func cpu(u syscall.Rusage) time.Duration {
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// arrival is one request of the script.
type arrival struct {
	at   time.Duration
	host int
	tier int
	hold time.Duration
	part int
}

// arrivals writes the script: the same for the same options but for Way and
// BundleWait.
func arrivals(o Options) []arrival {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	capacity := float64(o.Servers*o.Slots) / meanHold.Seconds()
	var all []arrival
	at := 0.0
	for part, load := range loads {
		for end := float64((part + 1) * o.Seconds); at < end; {
			at += random.ExpFloat64() / (capacity * load)
			all = append(all, arrival{
				at:   time.Duration(at * float64(time.Second)),
				host: pickHost(random, o.Hosts), tier: pickTier(random),
				hold: min(mostHold, max(leastHold, time.Duration(random.ExpFloat64()*float64(meanHold)))),
				part: part,
			})
		}
	}
	return all
}

func pickHost(random *rand.Rand, hosts int) int {
	if random.Float64() < busyShare {
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

func (d *domain) script(ctx context.Context) {
	var open sync.WaitGroup
	stop := make(chan struct{})
	open.Go(func() { d.book.sample(stop) })
	start := time.Now()
	if d.options.LoseKeeper {
		open.Go(func() { d.loseKeeper(start.Add(time.Duration(d.options.Seconds+1) * time.Second)) })
	}
	var requests sync.WaitGroup
	for i, a := range arrivals(d.options) {
		time.Sleep(time.Until(start.Add(a.at)))
		requests.Go(func() { d.request(ctx, i, a) })
	}
	requests.Wait()
	close(stop)
	open.Wait()
}

func (d *domain) request(ctx context.Context, number int, a arrival) {
	n, ctx := d.entry(ctx, a.host)
	id := fmt.Sprintf("request-%d", number)
	now := n.Clock.Now()
	asked := time.Now()
	d.book.waits(number, a.tier, asked)
	grant, refusal, err := n.RequestGrant(ctx, sched.Request{
		ID: id, Service: service, Class: className(a.tier), Workspace: "stall",
		Arrived: now, Deadline: now + targets[a.tier], GiveUp: now + giveUp, PredictedTokens: 1,
	})
	if err != nil || refusal != nil {
		d.book.refused(number, a)
		return
	}
	d.book.granted(number, a, grant, time.Since(asked))
	last := sched.Progress{ID: id, Tokens: 1, FirstToken: firstToken}
	d.hold(ctx, firstToken.Duration())
	n.Progress(last)
	d.hold(ctx, a.hold-firstToken.Duration())
	d.book.ended(grant.Server)
	n.Done(sched.Done{Progress: last, Outcome: sched.OutcomeDone})
}

// hold lets a request run, unless its host goes.
func (d *domain) hold(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
