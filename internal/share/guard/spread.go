package guard

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/record"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/poison"
	"siskinsaddle/internal/share/link"
)

// The kinds of messages between hosts.
const (
	kindObservations = "CrashEvidence"
	kindQuarantine   = "Quarantine"
	kindList         = "QuarantineList"
)

// Entry is a quarantined segment. Left is the rest of its quarantine in milliseconds.
type Entry struct {
	Service string
	Segment string
	Left    clock.Millis
}

type observationsMessage struct {
	Service      string
	Observations poison.Observations
}

// rowKeyPrefix begins the keys of the records of quarantined segments.
const rowKeyPrefix = "quarantine/"

// maxRowKeyBytes is the length of the store's longest key.
const maxRowKeyBytes = 200

// storedEntry is the record of a quarantined segment.
type storedEntry struct {
	Service string
	Segment string
	// Until is the end of the quarantine in Unix time, in milliseconds.
	Until clock.Millis
}

func (s storedEntry) rowKey() string { return rowKeyPrefix + s.Service + "/" + s.Segment }

const (
	// shareTimeout is the timeout for telling one host, shareRetry the delay after a
	// failure, both in milliseconds. Hosts that cannot be reached for shareRetries times
	// read the store.
	shareTimeout = 500 * clock.Millis(1)
	shareRetry   = 500 * clock.Millis(1)
	shareRetries = 120
	// commitTimeout is the timeout of a call to the store, in milliseconds.
	commitTimeout = 2 * clock.Second
	// maxCommitDelay is the longest delay between two attempts to write to the store, in
	// milliseconds.
	maxCommitDelay = 4 * clock.Second
	// maxSharing is the number of hosts that are told at a time.
	maxSharing = 8
)

// shareObservations sends observations to the analysts of a service.
func (g *Guard) shareObservations(service string, e poison.Observations) {
	if e.Empty() || g.Link == nil || g.Analysts == nil {
		return
	}
	for _, name := range g.Analysts(service) {
		if name == g.Self {
			continue
		}
		if err := g.Link.Send(name, kindObservations, observationsMessage{Service: service, Observations: e}); err != nil {
			g.Log.Debug("Sending the observations of a crash failed.", "host", name, "err", err)
		}
	}
}

// Ask adopts what another host has quarantined. A host that has just started learns of it in
// this way too.
func (g *Guard) Ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout.Duration())
	defer cancel()
	var all []Entry
	if err := g.Link.Call(ctx, name, kindList, nil, &all); err != nil {
		g.Log.Debug("Asking a host for its quarantines failed.", "host", name, "err", err)
		return
	}
	g.Adopt(all)
}

// handleList replies with all that is quarantined.
func (g *Guard) handleList(context.Context, link.Peer, []byte) (any, error) {
	g.mu.Lock()
	services := slices.Collect(maps.Keys(g.quarantine))
	g.mu.Unlock()
	all := []Entry{}
	for _, service := range services {
		all = append(all, g.Entries(service)...)
	}
	return all, nil
}

func (g *Guard) handleObservations(_ context.Context, _ link.Peer, body []byte) (any, error) {
	var m observationsMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.detector(m.Service).Add(g.Clock.Now(), m.Observations)
	g.mu.Unlock()
	if len(m.Observations.Crashes) > 0 {
		g.settle(m.Service)
	}
	return nil, nil
}

func (g *Guard) handleQuarantine(_ context.Context, _ link.Peer, body []byte) (any, error) {
	var all []Entry
	if err := link.Decode(body, &all); err != nil {
		return nil, err
	}
	g.Adopt(all)
	return true, nil
}

// Run shares the entries of this host until the context ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-g.pending:
			go g.store(ctx, v)
			go g.tellAll(ctx, v)
		}
	}
}

// tellAll tells all hosts of a entry, and those again that did not confirm it.
func (g *Guard) tellAll(ctx context.Context, v Entry) {
	if g.Link == nil || g.Members == nil {
		return
	}
	told := map[string]bool{g.Self: true}
	for range shareRetries {
		var waiting []string
		for _, m := range g.Members() {
			if !told[m.Name] {
				waiting = append(waiting, m.Name)
			}
		}
		for _, name := range g.tell(ctx, waiting, v) {
			told[name] = true
		}
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(shareRetry):
		}
		v.Left -= shareRetry
	}
}

// tell tells hosts of a entry and returns those that confirmed it.
func (g *Guard) tell(ctx context.Context, hosts []string, v Entry) []string {
	var mu sync.Mutex
	var confirmed []string
	var all sync.WaitGroup
	slots := make(chan struct{}, maxSharing)
	for _, name := range hosts {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, shareTimeout.Duration())
			defer cancel()
			var ok bool
			if err := g.Link.Call(callCtx, name, kindQuarantine, []Entry{v}, &ok); err != nil {
				g.Log.Debug("Telling a host of a quarantine failed; retrying.", "host", name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, name)
		})
	}
	all.Wait()
	return confirmed
}

// store writes the record of a entry, and retries until the quarantine has ended.
func (g *Guard) store(ctx context.Context, v Entry) {
	stored := storedEntry{Service: v.Service, Segment: v.Segment, Until: g.Clock.Wall() + v.Left}
	key := stored.rowKey()
	if g.Commit == nil || len(key) > maxRowKeyBytes {
		return
	}
	value, err := json.Marshal(stored)
	if err != nil {
		g.Log.Error("Encoding the record of a quarantine failed.", "err", err)
		return
	}
	change := rows.Change{Writes: []rows.Row{{Table: g.Table, Key: key, Value: value}}, Removes: g.takeExpired(key)}
	for delay := shareRetry; g.Clock.Wall() < stored.Until; delay = min(2*delay, maxCommitDelay) {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
		_, err := g.Commit(callCtx, change)
		cancel()
		if err == nil {
			return
		}
		g.Log.Warn("Writing the record of a quarantine failed; retrying.", "segment", v.Segment, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(delay):
		}
	}
}

// maxRemoves is the maximum number of records that one call to the store removes.
const maxRemoves = 50

// takeExpired returns records whose quarantine has ended, except the one with a key.
func (g *Guard) takeExpired(except string) []rows.Row {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []rows.Row
	for key := range g.expired {
		if len(all) == maxRemoves {
			break
		}
		delete(g.expired, key)
		if key != except {
			all = append(all, rows.Row{Table: g.Table, Key: key})
		}
	}
	return all
}

// ReadRow reads a row of the table of hosts that is no host's record.
func (g *Guard) ReadRow(r rows.Row) error {
	if !strings.HasPrefix(r.Key, rowKeyPrefix) {
		return errors.New("unknown kind of record")
	}
	var stored storedEntry
	if err := record.Decode(r.Value, &stored); err != nil {
		return errors.Wrap(err, "decoding the record of a quarantine")
	}
	if stored.Service == "" || stored.Segment == "" || stored.rowKey() != r.Key || stored.Until < 0 {
		return errors.New("the record of a quarantine has no service, segment or time, or those of another key")
	}
	left := stored.Until - g.Clock.Wall()
	if left <= 0 {
		g.mu.Lock()
		g.expired[r.Key] = true
		g.mu.Unlock()
		return nil
	}
	g.Adopt([]Entry{{Service: stored.Service, Segment: stored.Segment, Left: left}})
	return nil
}
