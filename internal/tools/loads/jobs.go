package loads

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"siskinsaddle/internal/base/clock"
)

// jobs lists everything that is sent, in order of time.
func (l *Load) jobs(ctx context.Context) []job {
	var all []job
	for _, c := range l.Settings.Classes {
		for n, at := range times(c.PerSecond, l.Settings.DurationMilliseconds) {
			all = append(all, job{at: at, run: func() { l.complete(ctx, c, n) }})
			if l.Settings.Direct != "" && n%l.Settings.DirectEvery == 0 {
				all = append(all, job{at: at, run: func() { l.direct(ctx, c, n) }})
			}
		}
	}
	for n, at := range times(l.Settings.BookingsPerSecond, l.Settings.DurationMilliseconds) {
		all = append(all, job{at: at, run: func() { l.book(ctx, n) }})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// times spreads a rate evenly over the run.
func times(perSecond float64, duration clock.Millis) []clock.Millis {
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

// turn gives out the hosts one after another and leaves out one that did not
// take a connection, as a balancer does.
type turn struct {
	mu    sync.Mutex
	hosts []string
	next  int
}

func (t *turn) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[t.next%len(t.hosts)]
	t.next++
	return host
}

const bytesPerToken = 4

// prompt is a question of a length that no other request asks.
func prompt(c Class, n int) string {
	head := fmt.Sprintf("Question %s %d. ", c.Name, n)
	need := c.PromptTokens*bytesPerToken - len(head)
	if need <= 0 {
		return head
	}
	return head + strings.Repeat("awn ", need/bytesPerToken)
}
