package loads

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"siskinsaddle/internal/base/clock"
)

// jobs returns everything that is sent, ordered by time.
func (l *Load) jobs(ctx context.Context) []job {
	var all []job
	for _, c := range l.Settings.Classes {
		for n, at := range sendTimes(c.PerSecond, l.Settings.DurationMilliseconds) {
			all = append(all, job{at: at, run: func() { l.sendCompletion(ctx, c, n) }})
			if l.Settings.Direct != "" && n%l.Settings.DirectEvery == 0 {
				all = append(all, job{at: at, run: func() { l.sendDirect(ctx, c, n) }})
			}
		}
	}
	for n, at := range sendTimes(l.Settings.BookingsPerSecond, l.Settings.DurationMilliseconds) {
		all = append(all, job{at: at, run: func() { l.sendBooking(ctx, n) }})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// sendTimes returns evenly spaced send times for a rate over the run.
func sendTimes(perSecond float64, duration clock.Millis) []clock.Millis {
	if perSecond <= 0 {
		return nil
	}
	gap := float64(clock.Second) / perSecond
	var all []clock.Millis
	for at := 0.0; at < float64(duration); at += gap {
		all = append(all, clock.Millis(at))
	}
	return all
}

// roundRobin returns the hosts in turn. A caller whose connection is not accepted
// takes the next one, as behind a load balancer.
type roundRobin struct {
	mu    sync.Mutex
	hosts []string
	next  int
}

func (t *roundRobin) pick() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[t.next%len(t.hosts)]
	t.next++
	return host
}

const bytesPerToken = 4

// prompt returns a prompt of the length of the class that no other request sends, so
// that nothing of it is cached.
func prompt(c Class, n int) string {
	head := fmt.Sprintf("Question %s %d. ", c.Name, n)
	need := c.PromptTokens*bytesPerToken - len(head)
	if need <= 0 {
		return head
	}
	return head + strings.Repeat("awn ", need/bytesPerToken)
}
