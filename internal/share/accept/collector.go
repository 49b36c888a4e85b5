package accept

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/table"
)

const (
	// turnWait is how long each host lets the ones before it, in rendezvous
	// order, lead the domain before it does so too.
	turnWait    = 500 * clock.Millis(1)
	roundEvery  = 200 * clock.Millis(1)
	spreadLimit = 10 * clock.Second
)

// Collector leads this host's failure domain through a push: it collects the
// acknowledgements, confirms, and reports when the generation is in force.
// Several hosts of a domain may do so at once without harm. Run or Step is used
// by one goroutine.
type Collector struct {
	Watch *Watch

	collecting *collection
	spreading  *collection
	// seen is the generation at hand, since when it was first seen.
	seen      int64
	seenSince clock.Millis
	roundAt   clock.Millis
	reported  int64
}

// Run leads until the context ends.
func (c *Collector) Run(ctx context.Context) {
	loop(ctx, c.Watch.Platform.Clock, c.Step)
}

// Step takes one round where something is to be done and it is this host's
// turn.
func (c *Collector) Step(ctx context.Context) {
	h := c.Watch.Holder
	now := h.now()
	k := h.Knowledge()
	staged, undecided := k.Undecided()
	at := k.Accepted.Number
	if undecided {
		at = staged.Number
	}
	if !undecided && c.reported >= at || !c.turn(now, at) {
		return
	}
	if undecided {
		c.collect(ctx, now, staged.Number)
		return
	}
	c.spread(ctx, now, k.Accepted.Number)
}

// turn tells whether it is this host's turn and time for a round.
func (c *Collector) turn(now clock.Millis, at int64) bool {
	if at != c.seen {
		c.seen = at
		c.seenSince = now
		c.roundAt = never
	}
	place, _ := c.Watch.rank()
	if now-c.seenSince < clock.Millis(place)*turnWait || now-c.roundAt < roundEvery {
		return false
	}
	c.roundAt = now
	return true
}

// collect takes one round of a staged generation.
func (c *Collector) collect(ctx context.Context, now clock.Millis, number int64) {
	w := c.Watch
	held, err := w.Platform.read(ctx)
	if err != nil {
		w.failed("platform", err)
		return
	}
	w.Holder.Learn(held.sighting(now))
	if held.State != StateStaging || held.Number != number {
		return
	}
	if now-c.seenSince > StageLimit {
		c.abort(ctx, held, "its pusher did not end it in time")
		return
	}
	if !slices.Contains(held.Open(), w.Holder.Domain) {
		return
	}
	if c.collecting == nil || c.collecting.number != number {
		names, err := w.Peers.Registrations(ctx, w.Holder.Domain)
		if err != nil {
			w.failed("registrations", err)
			return
		}
		c.collecting = newCollection(number, w.Holder.Host, names)
	}
	c.round(ctx, c.collecting)
	v, reason := c.collecting.verdict(w.Holder.now(), w.Holder.AwakeSince())
	switch v {
	case verdictConfirm:
		c.confirm(ctx, held)
	case verdictAbort:
		c.abort(ctx, held, w.Holder.Domain+": "+reason)
	}
}

// round tells the hosts of a collection what this host knows.
func (c *Collector) round(ctx context.Context, gathered *collection) {
	w := c.Watch
	h := w.Holder
	names := gathered.whomToAsk()
	k := h.Knowledge()
	request := TellRequest{
		From: h.Host, Accepted: k.Accepted, Staged: k.Staged, Closed: k.Closed, Silent: gathered.silent(),
	}
	var mu sync.Mutex
	w.Peers.Each(len(names), func(i int) {
		asked := h.now()
		var reply TellReply
		var err error
		if names[i] == h.Host {
			reply = h.Tell(request)
		} else {
			err = w.call(ctx, names[i], KindTell, request, &reply)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			gathered.unanswered(names[i], asked)
			return
		}
		gathered.answered(names[i], reply)
	})
}

// confirm writes this domain's confirmation. A conflict or a lost answer is
// taken up again in the next round, which reads the record first.
func (c *Collector) confirm(ctx context.Context, held stored) {
	w := c.Watch
	next, err := held.WithConfirmed(w.Holder.Domain)
	if err == nil {
		_, err = w.Platform.write(ctx, held, next)
	}
	if err != nil {
		c.writeFailed(err)
		return
	}
	w.Holder.Learn(next.sighting(never))
	w.Log.Info("Domain confirmed the manifest.", "generation", next.Number, "open", next.Open(), "silent", c.collecting.silent())
}

func (c *Collector) abort(ctx context.Context, held stored, reason string) {
	w := c.Watch
	next, err := held.WithAborted(reason)
	if err == nil {
		_, err = w.Platform.write(ctx, held, next)
	}
	if err != nil {
		c.writeFailed(err)
		return
	}
	w.Holder.Learn(next.sighting(never))
	w.Log.Warn("Aborted a push of the manifest.", "generation", next.Number, "reason", reason)
}

func (c *Collector) writeFailed(err error) {
	if errors.Is(err, table.ErrConflict) {
		c.Watch.Counters.Add("siskinsaddle_manifest_write_conflicts_total", 1)
		return
	}
	c.Watch.failed("platform write", err)
}

// alreadyReported tells whether another host of the domain was faster.
func (c *Collector) alreadyReported(ctx context.Context, number int64) bool {
	f, err := c.Watch.Platform.ReadInForce(ctx, c.Watch.Holder.Domain)
	if err != nil {
		c.Watch.failed("platform", err)
		return false
	}
	c.reported = max(c.reported, f.Generation)
	return c.reported >= number
}

// spread tells the hosts of the domain of an accepted generation and reports
// when all that answer serve under it.
func (c *Collector) spread(ctx context.Context, now clock.Millis, number int64) {
	w := c.Watch
	if number == 0 || c.reported >= number || now-c.seenSince > spreadLimit {
		return
	}
	if c.alreadyReported(ctx, number) {
		return
	}
	if c.spreading == nil || c.spreading.number != number {
		names, err := w.Peers.Registrations(ctx, w.Holder.Domain)
		if err != nil {
			w.failed("registrations", err)
			return
		}
		c.spreading = newCollection(number, w.Holder.Host, names)
	}
	c.round(ctx, c.spreading)
	silent := c.spreading.silent()
	for _, name := range c.spreading.names() {
		a := c.spreading.acks[name]
		if !a.given && (a.silentSince == never || w.Holder.now()-a.silentSince <= ExclusionWait) {
			return
		}
	}
	report := InForce{
		Domain: w.Holder.Domain, Generation: number, At: w.Platform.Clock.Wall(),
		Hosts: len(c.spreading.acks) - len(silent), Silent: silent,
	}
	if err := w.Platform.reportInForce(ctx, report); err != nil {
		w.failed("platform write", err)
		return
	}
	c.reported = number
	w.Log.Info("Manifest is in force.", "generation", number, "hosts", report.Hosts, "silent", silent)
}
