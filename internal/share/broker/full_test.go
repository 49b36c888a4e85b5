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
	d, err := b.RequestGrant(inTime, service, grant.Request{
		ID: "chat", Class: "chat", Tokens: 1_460, Target: target, TimeLeft: 8 * clock.Second,
		Segments: []place.Segment{{Name: "system", Tokens: 350}, {Name: "own", Tokens: 1_110}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(d.Server, qt.Not(qt.Equals), "")
}
