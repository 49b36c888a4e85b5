package soak

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/fakes/midbox"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/share/member"
)

// linkKey is a host and the failure domain of the hosts that reach it through a relay.
type linkKey struct {
	host string
	from string
}

// addLinks starts a relay to a host for each failure domain.
func (hn *harness) addLinks(name, address string) error {
	for _, from := range domains {
		relay, err := midbox.New(address)
		if err != nil {
			return errors.Wrap(err, "start the relay to a host")
		}
		hn.closers = append(hn.closers, relay.Close)
		hn.links[linkKey{name, from}] = relay
	}
	return nil
}

// withLinks returns a store that tells the hosts of a failure domain the addresses of the
// relays to all hosts.
func (hn *harness) withLinks(s rows.Store, from string) rows.Store {
	read := s.Read
	s.Read = func(ctx context.Context, r rows.Range) (rows.Reply, error) {
		reply, err := read(ctx, r)
		reply.Rows = append([]rows.Row(nil), reply.Rows...)
		for i, row := range reply.Rows {
			reply.Rows[i].Value = hn.linkedRecord(row, from)
		}
		return reply, err
	}
	return s
}

// linkedRecord returns the value of a row, with the address of a relay if it is a host's
// record.
func (hn *harness) linkedRecord(row rows.Row, from string) []byte {
	name, ok := strings.CutPrefix(row.Key, "host/")
	if !ok {
		return row.Value
	}
	var m member.Member
	relay := hn.links[linkKey{name, from}]
	if err := json.Unmarshal(row.Value, &m); err != nil || relay == nil {
		return row.Value
	}
	m.Address = relay.Addr()
	value, err := json.Marshal(m)
	if err != nil {
		return row.Value
	}
	return value
}

// cutDomain cuts the hosts of the target's failure domain off from all others and from the
// store.
func cutDomain(_ context.Context, hn *harness, f Fault) func() {
	domain := hn.hosts[f.Target].settings.FailureDomain
	began := hn.now()
	set := func(cut bool) {
		for _, h := range hn.hosts {
			inside := h.settings.FailureDomain == domain
			for _, from := range domains {
				if inside != (from == domain) {
					hn.links[linkKey{h.settings.HostName, from}].SetAllSilent(cut)
				}
			}
			if inside {
				h.storeRelay.SetAllSilent(cut)
			}
		}
	}
	set(true)
	return func() {
		set(false)
		hn.mu.Lock()
		defer hn.mu.Unlock()
		for _, h := range hn.hosts {
			if h.settings.FailureDomain == domain {
				hn.record.Faults = append(hn.record.Faults, Span{Kind: KindDomainCut, Host: h.number, From: began, Until: hn.now()})
			}
		}
	}
}
