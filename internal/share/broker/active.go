package broker

import (
	"context"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/share/link"
)

// Two hosts may decide for a pool at a time: one that others do not know of yet, or one
// that is back while some still skip it. Both would grant the whole rate of a server. So a
// keeper that grants servers with rate limits tells the hosts that could be the other one,
// and those that are share the rates.

const (
	// tellPeriod is the time between two such messages, in milliseconds.
	tellPeriod = clock.Second
	// activeTime is the time after which another keeper counts as gone, in milliseconds.
	activeTime = 2_500 * clock.Millis(1)
	// maxTold is the number of hosts that are told: the first of the order, which are the
	// keepers by any slightly different list of hosts.
	maxTold = 3
	// tellTimeout is the timeout of a message, in milliseconds.
	tellTimeout = 500 * clock.Millis(1)
)

// countKeepers drops the other keepers that have fallen silent. The caller holds the lock.
func (k *poolKeeper) countKeepers(now clock.Millis) {
	for name, at := range k.others {
		if now > at+activeTime {
			delete(k.others, name)
		}
	}
	k.core.SetKeepers(k.clock.Now(), 1+len(k.others))
}

// grantedLimited tells the other hosts of a grant with a rate limit, at most once in
// tellPeriod. The caller holds the lock.
func (k *poolKeeper) grantedLimited(now clock.Millis, d grant.Decision) {
	if d.Rate == 0 {
		return
	}
	k.grantedAt = now
	if k.toldAt == 0 || now >= k.toldAt+tellPeriod {
		k.toldAt = now
		go k.announce()
	}
}

// addOther records another keeper and reports whether this host is one.
func (k *poolKeeper) addOther(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Boot()
	k.others[name] = now
	return k.grantedAt != 0 && now <= k.grantedAt+activeTime
}

// announce tells the first hosts of the order that this one decides for a pool.
func (b *Broker) announce(p pool) {
	if b.Link == nil {
		return
	}
	told := 0
	for _, name := range b.rankedKeepers(p) {
		if name == b.Self {
			continue
		}
		if told++; told > maxTold {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout.Duration())
			defer cancel()
			var active bool
			err := b.Link.Call(ctx, name, kindActive, activeMessage{Service: p.service, Pool: p.index}, &active)
			if err != nil {
				b.Log.Debug("Telling a host that this one is a keeper failed.", "host", name, "err", err)
			}
			if active {
				b.poolKeeper(p).addOther(name)
			}
		}()
	}
}

func (b *Broker) handleActive(_ context.Context, from link.Peer, body []byte) (any, error) {
	var m activeMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	return b.poolKeeper(pool{m.Service, m.Pool}).addOther(from.Name), nil
}
