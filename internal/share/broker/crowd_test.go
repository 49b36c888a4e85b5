package broker_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// newChat returns an urgent request for a short prompt.
func newChat(target clock.Millis) grant.Request {
	return grant.Request{
		ID: "chat", Class: "chat", Tokens: 1_460, Target: target, TimeLeft: 8 * clock.Second,
		Segments: []place.Segment{{Name: "system", Tokens: 350}, {Name: "own", Tokens: 1_110}},
	}
}

// With so many waiting requests a round of decisions takes longer than the time between
// two rounds, and further requests arrive meanwhile.
func TestUrgentRequestIsNotHeldUpByLongRounds(t *testing.T) {
	c := qt.New(t)
	const (
		servers  = 60
		waiting  = 20_000
		arriving = 1_000
		period   = 1 * clock.Millis(1)
		prefill  = 300 * clock.Millis(1)
		target   = 500 * clock.Millis(1)
	)
	settings := grant.Defaults()
	settings.MaxWaiting = waiting + arriving
	g := newGroupWith(c, 1, servers, settings)
	b := g.hosts["h0"].broker
	clk := clock.System()
	ctx, cancel := context.WithCancel(context.Background())
	var reviews sync.WaitGroup
	defer reviews.Wait()
	defer cancel()
	for i := range waiting + arriving {
		if i >= waiting {
			<-clk.After(period)
		}
		reviews.Go(func() {
			review := newRequest(fmt.Sprint("review", i), fmt.Sprint("thing", i))
			review.Tier, review.TimeLeft = 2, clock.Minute
			review.Segments = append([]place.Segment{{Name: "system", Tokens: 350}}, review.Segments...)
			if d, err := b.RequestGrant(ctx, service, review); err == nil && d.Server != "" {
				<-clk.After(prefill)
				b.Started(review.ID)
				b.Ended(review.ID, place.OutcomeServed)
			}
		})
	}
	inTime, release := context.WithTimeout(ctx, target.Duration())
	defer release()
	d, err := b.RequestGrant(inTime, service, newChat(target))
	c.Assert(err, qt.IsNil, qt.Commentf("not decided within the target of %d ms", target))
	c.Assert(d.Server, qt.Not(qt.Equals), "")
}

// Waiting requests of other hosts are calls, of which a host handles a bounded number.
func TestUrgentRequestOfAnotherHostIsDecidedBehindFullQueue(t *testing.T) {
	c := qt.New(t)
	const (
		reviews = 1_500
		target  = 500 * clock.Millis(1)
	)
	g := newGroup(c, 2, 8)
	g.setOnlyKeeper("h0")
	b := g.hosts["h1"].broker
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	defer waiting.Wait()
	defer cancel()
	for i := range reviews {
		waiting.Go(func() {
			review := newRequest(fmt.Sprint("review", i), fmt.Sprint("thing", i))
			review.Tier, review.TimeLeft = 2, 10*clock.Minute
			_, _ = b.RequestGrant(ctx, service, review) // ends by a refusal or the cancellation
		})
	}
	clk := clock.System()
	keeper := g.hosts["h0"].broker
	for began := clk.Now(); keeper.Waiting(service) < 900; {
		c.Assert(clk.Now()-began < 10*clock.Second, qt.IsTrue, qt.Commentf("%d requests wait", keeper.Waiting(service)))
		<-clk.After(10)
	}
	<-clk.After(200)
	inTime, release := context.WithTimeout(ctx, target.Duration())
	defer release()
	d, err := b.RequestGrant(inTime, service, newChat(target))
	c.Assert(err, qt.IsNil)
	c.Assert(d.Server, qt.Not(qt.Equals), "")
}
