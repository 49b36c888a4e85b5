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
	// collectorStagger is the delay between successive hosts, in rendezvous order,
	// before the next one starts to collect for the domain as well.
	collectorStagger   = 500 * clock.Millis(1)
	roundInterval      = 200 * clock.Millis(1)
	propagationTimeout = 10 * clock.Second
)

// Collector runs a push within this host's failure domain: it collects the
// acknowledgements, confirms the domain, and reports when the generation is in
// force. Several hosts of a domain may do so at once, since all writes are
// conditional. Run and Step must be called from one goroutine.
type Collector struct {
	Watcher *Watcher

	stagedAcks   *ackCollection
	acceptedAcks *ackCollection
	// target is the generation being processed, targetSince when it was first
	// seen.
	target         int64
	targetSince    clock.Millis
	lastRoundAt    clock.Millis
	reportedNumber int64
}

// Run repeats Step until the context ends.
func (c *Collector) Run(ctx context.Context) {
	loop(ctx, c.Watcher.Platform.Clock, c.Step)
}

// Step runs one round if a generation is staged or unreported and a round is
// due.
func (c *Collector) Step(ctx context.Context) {
	h := c.Watcher.Holder
	now := h.now()
	k := h.Knowledge()
	staged, undecided := k.Undecided()
	number := k.Accepted.Number
	if undecided {
		number = staged.Number
	}
	if !undecided && c.reportedNumber >= number || !c.roundDue(now, number) {
		return
	}
	if undecided {
		c.collect(ctx, now, staged.Number)
		return
	}
	c.propagate(ctx, now, k.Accepted.Number)
}

// roundDue reports whether this host should run a round: collectorStagger has passed
// for each host before it in the rendezvous order, and roundInterval since its last
// round.
func (c *Collector) roundDue(now clock.Millis, number int64) bool {
	if number != c.target {
		c.target = number
		c.targetSince = now
		c.lastRoundAt = never
	}
	position, _ := c.Watcher.rank()
	if now-c.targetSince < clock.Millis(position)*collectorStagger || now-c.lastRoundAt < roundInterval {
		return false
	}
	c.lastRoundAt = now
	return true
}

// collect runs one round for a staged generation.
func (c *Collector) collect(ctx context.Context, now clock.Millis, number int64) {
	w := c.Watcher
	current, err := w.Platform.read(ctx)
	if err != nil {
		w.recordStepFailure("platform", err)
		return
	}
	w.Holder.Learn(current.observation(now))
	if current.State != StateStaging || current.Number != number {
		return
	}
	if now-c.targetSince > StagingTimeout {
		c.abort(ctx, current, "its pusher did not finish it in time")
		return
	}
	if !slices.Contains(current.Unconfirmed(), w.Holder.Domain) {
		return
	}
	if c.stagedAcks == nil || c.stagedAcks.number != number {
		names, err := w.Peers.Registrations(ctx, w.Holder.Domain)
		if err != nil {
			w.recordStepFailure("registrations", err)
			return
		}
		c.stagedAcks = newAckCollection(number, w.Holder.Host, names)
	}
	c.sendRound(ctx, c.stagedAcks)
	v, reason := c.stagedAcks.decision(w.Holder.now(), w.Holder.RunningSince())
	switch v {
	case decisionConfirm:
		c.confirm(ctx, current)
	case decisionAbort:
		c.abort(ctx, current, w.Holder.Domain+": "+reason)
	}
}

// sendRound sends this host's knowledge to the next recipients and records their
// replies.
func (c *Collector) sendRound(ctx context.Context, acks *ackCollection) {
	w := c.Watcher
	h := w.Holder
	names := acks.nextRecipients()
	k := h.Knowledge()
	request := TellRequest{
		From: h.Host, Accepted: k.Accepted, Staged: k.Staged, Closed: k.Closed, Silent: acks.silent(),
	}
	var mu sync.Mutex
	w.Peers.ForEachConcurrently(len(names), func(i int) {
		sentAt := h.now()
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
			acks.recordFailure(names[i], sentAt)
			return
		}
		acks.recordReply(names[i], reply)
	})
}

// confirm writes this domain's confirmation. A conflict or a lost answer is
// retried in the next round, which reads the record first.
func (c *Collector) confirm(ctx context.Context, current storedRecord) {
	w := c.Watcher
	next, err := current.WithConfirmed(w.Holder.Domain)
	if err == nil {
		_, err = w.Platform.write(ctx, current, next)
	}
	if err != nil {
		c.writeFailed(err)
		return
	}
	w.Holder.Learn(next.observation(never))
	w.Log.Info("Failure domain confirmed the manifest.",
		"generation", next.Number, "open", next.Unconfirmed(), "silent", c.stagedAcks.silent())
}

func (c *Collector) abort(ctx context.Context, current storedRecord, reason string) {
	w := c.Watcher
	next, err := current.WithAborted(reason)
	if err == nil {
		_, err = w.Platform.write(ctx, current, next)
	}
	if err != nil {
		c.writeFailed(err)
		return
	}
	w.Holder.Learn(next.observation(never))
	w.Log.Warn("Manifest push aborted.", "generation", next.Number, "reason", reason)
}

func (c *Collector) writeFailed(err error) {
	if errors.Is(err, table.ErrConflict) {
		c.Watcher.Counters.Add("siskinsaddle_manifest_write_conflicts_total", 1)
		return
	}
	c.Watcher.recordStepFailure("platform write", err)
}

// alreadyReported reports whether another host of the domain has written the
// report already.
func (c *Collector) alreadyReported(ctx context.Context, number int64) bool {
	f, err := c.Watcher.Platform.ReadInForce(ctx, c.Watcher.Holder.Domain)
	if err != nil {
		c.Watcher.recordStepFailure("platform", err)
		return false
	}
	c.reportedNumber = max(c.reportedNumber, f.Generation)
	return c.reportedNumber >= number
}

// propagate sends an accepted generation to the hosts of the domain and reports
// it in force once all hosts that answer serve under it.
func (c *Collector) propagate(ctx context.Context, now clock.Millis, number int64) {
	w := c.Watcher
	if number == 0 || c.reportedNumber >= number || now-c.targetSince > propagationTimeout {
		return
	}
	if c.alreadyReported(ctx, number) {
		return
	}
	if c.acceptedAcks == nil || c.acceptedAcks.number != number {
		names, err := w.Peers.Registrations(ctx, w.Holder.Domain)
		if err != nil {
			w.recordStepFailure("registrations", err)
			return
		}
		c.acceptedAcks = newAckCollection(number, w.Holder.Host, names)
	}
	c.sendRound(ctx, c.acceptedAcks)
	silent := c.acceptedAcks.silent()
	for _, name := range c.acceptedAcks.names() {
		a := c.acceptedAcks.acks[name]
		if !a.acknowledged && (a.silentSince == never || w.Holder.now()-a.silentSince <= ExclusionWait) {
			return
		}
	}
	report := InForce{
		Domain: w.Holder.Domain, Generation: number, At: w.Platform.Clock.Wall(),
		Hosts: len(c.acceptedAcks.acks) - len(silent), Silent: silent,
	}
	if err := w.Platform.reportInForce(ctx, report); err != nil {
		w.recordStepFailure("platform write", err)
		return
	}
	c.reportedNumber = number
	w.Log.Info("Manifest is in force.", "generation", number, "hosts", report.Hosts, "silent", silent)
}
