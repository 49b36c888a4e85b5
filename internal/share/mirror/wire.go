package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/watch"
)

// kindQuery is the kind of the messages that query the state of another host.
const kindQuery = "NewsAsk"

// queryMessage queries the state that is newer than that of the querying host.
type queryMessage struct {
	// ViewID is the ID of the last view received from the queried host, 0 for none.
	ViewID int64
	// Row and ManifestEra are the position of the manifest in the store, Members and
	// MembersEra that of the hosts' records, as the querying host has them.
	Row         int64
	ManifestEra int64
	Members     int64
	MembersEra  int64
	// Age is the age of the manifest's confirmation when the query was sent.
	Age clock.Millis
	// ManifestOnly asks for the manifest without servers and hosts, at once.
	ManifestOnly bool
	// Wait is how long the reply may wait for newer state, in milliseconds.
	Wait clock.Millis
}

// reply is the response to a query. Body is empty if nothing changed.
type reply struct {
	ViewID int64
	// Row and ManifestEra are the position of the confirmed manifest in the store,
	// ManifestVersion is its own version. Confirmed is the time of the confirmation, in
	// milliseconds relative to the arrival of the query. It is valid if Known is set.
	Row             int64
	ManifestEra     int64
	ManifestVersion int64
	Known           bool
	Confirmed       clock.Millis
	// RestoreLeft is the time until operators have written again what a restore of the
	// store has lost, in milliseconds from the arrival of the query; 0 without a restore.
	RestoreLeft clock.Millis
	// Direct is set if the host itself reads the store successfully. Other hosts
	// may confirm the manifest, but following them could form a cycle.
	Direct bool
	// Missing maps the ID of each server without a record to the time at which it
	// is dropped, in milliseconds relative to the arrival of the query.
	Missing map[string]clock.Millis
	Body    []byte
}

// body is the whole state of the replying host. Manifest is empty if the querying
// host has the same rows.
type body struct {
	Manifest       []rows.Row
	Servers        []fleet.Server
	ServersKnown   bool
	ServersRow     int64
	ServersEra     int64
	StoreDown      bool
	Members        []member.Member
	MembersVersion int64
	MembersEra     int64
}

// view returns the body as a view. Sent is the time at which the query was sent, which
// the times of missing are relative to.
func (b body) view(sent clock.Millis, missing map[string]clock.Millis) watch.View {
	dropAt := map[string]clock.Millis{}
	for id, delay := range missing {
		dropAt[id] = sent + delay
	}
	return watch.View{
		Missing:         dropAt,
		ManifestRows:    b.Manifest,
		Servers:         b.Servers,
		ServersKnown:    b.ServersKnown,
		ServersRevision: rows.Revision{Era: b.ServersEra, Version: b.ServersRow},
		StoreDown:       b.StoreDown,
	}
}

// decode returns the state in a reply to a query that was sent at a time of the boot-time
// clock, and the time at which its manifest was confirmed.
func (r reply) decode(sent clock.Millis) (watch.View, clock.Millis, body, error) {
	var in body
	view := watch.View{}
	if len(r.Body) > 0 {
		if err := unpack(r.Body, &in); err != nil {
			return view, 0, in, err
		}
		view = in.view(sent, r.Missing)
	}
	view.ManifestRevision = rows.Revision{Era: r.ManifestEra, Version: r.Row}
	confirmed := watch.NeverConfirmed
	if r.Known {
		confirmed = sent + r.Confirmed
	}
	return view, confirmed, in, nil
}

// bodyCache caches the last encoded body, since many hosts query the same one.
type bodyCache struct {
	key  bodyKey
	body []byte
}

type bodyKey struct {
	viewID       int64
	members      rows.Revision
	withManifest bool
}

// minAgeGain is how much younger than the querying host's confirmation this host's must
// be for a reply before the end of the wait, in milliseconds.
const minAgeGain = 300 * clock.Millis(1)

// handleQuery replies as soon as this host has newer state than the querying host, or
// when the wait of the query is over.
func (m *Mirror) handleQuery(ctx context.Context, _ link.Peer, encoded []byte) (any, error) {
	received := m.Clock.Boot()
	var q queryMessage
	if err := link.Decode(encoded, &q); err != nil {
		return nil, err
	}
	timeout := m.Clock.After(q.Wait)
	members := rows.Revision{Era: q.MembersEra, Version: q.Members}
	for {
		updated := m.Watcher.Updated()
		viewID := m.Watcher.ViewID()
		confirmed := received - m.Watcher.Age(received)
		newer := viewID != q.ViewID || members.Before(m.Members.Version())
		if newer || q.ManifestOnly || q.Wait == 0 || confirmed > received-q.Age+minAgeGain {
			return m.reply(q, received, viewID)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-updated:
		case <-timeout:
			q.Wait = 0
		}
	}
}

// reply builds the response to a query that was received at a time of the boot-time
// clock.
func (m *Mirror) reply(q queryMessage, received clock.Millis, viewID int64) (reply, error) {
	// The age is read before the view. In the other order, a confirmation between the
	// two reads could be of a newer manifest than the view's.
	age := m.Watcher.Age(received)
	v := m.Watcher.View()
	r := reply{
		ViewID:      viewID,
		Row:         v.ManifestRevision.Version,
		ManifestEra: v.ManifestRevision.Era,
		// An older confirmation stands for none, see watch.NeverConfirmed.
		Known:     age < clock.Hour,
		Confirmed: -age,
		Direct:    m.Watcher.DirectAge(received) <= m.staleAge() && !v.StoreDown,
	}
	if v.Manifest != nil {
		r.ManifestVersion = v.Manifest.Version()
	}
	r.RestoreLeft = max(m.Watcher.RestoreUntil()-received, 0)
	if q.ManifestOnly {
		return r.withManifest(v, q)
	}
	members := m.Members.Version()
	if viewID == q.ViewID && !(rows.Revision{Era: q.MembersEra, Version: q.Members}).Before(members) {
		return r, nil
	}
	r.Missing = map[string]clock.Millis{}
	for id, dropAt := range v.Missing {
		r.Missing[id] = dropAt - received
	}
	k := bodyKey{viewID, members, v.ManifestRevision != rows.Revision{Era: q.ManifestEra, Version: q.Row}}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bodyCache.key != k || m.bodyCache.body == nil {
		out := body{
			Servers:        v.Servers,
			ServersKnown:   v.ServersKnown,
			ServersRow:     v.ServersRevision.Version,
			ServersEra:     v.ServersRevision.Era,
			StoreDown:      v.StoreDown,
			Members:        m.Members.Members(),
			MembersVersion: members.Version,
			MembersEra:     members.Era,
		}
		if k.withManifest {
			out.Manifest = v.ManifestRows
		}
		packed, err := pack(out)
		if err != nil {
			return reply{}, err
		}
		m.bodyCache.key, m.bodyCache.body = k, packed
	}
	r.Body = m.bodyCache.body
	return r, nil
}

// withManifest adds the manifest if the querying host has another one.
func (r reply) withManifest(v watch.View, q queryMessage) (reply, error) {
	if v.ManifestRevision == (rows.Revision{Era: q.ManifestEra, Version: q.Row}) {
		return r, nil
	}
	packed, err := pack(body{Manifest: v.ManifestRows})
	r.Body = packed
	return r, err
}

// pack encodes and compresses a body. Hosts may have links of 10 Mbit/s, and
// manifests and lists of servers are highly repetitive.
func pack(value body) ([]byte, error) {
	encoded, err := link.Encode(value)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing the platform's state")
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compressing the platform's state")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing the platform's state")
	}
	return out.Bytes(), nil
}

// maxBody is the largest decompressed body, in bytes. A longer one is cut there and
// fails to decode. The store limits the rows of one reply to 1 MB; the rest is for
// servers and hosts.
const maxBody = 4 << 20

func unpack(packed []byte, into *body) error {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBody))
	if err != nil {
		return errors.Wrap(err, "decompressing the platform's state")
	}
	return link.Decode(encoded, into)
}
