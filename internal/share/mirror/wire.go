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

// kindAsk is the kind of message that asks for news.
const kindAsk = "NewsAsk"

// askMessage asks for what is newer than the asker's knowledge.
type askMessage struct {
	// Edition is the last one that the asked host told, 0 for none.
	Edition int64
	// Row is the store's version of the manifest, Members that of the hosts'
	// records.
	Row     int64
	Members int64
	// Age is that of the manifest's confirmation when the question was sent.
	Age clock.Millis
	// Wait is how long the answer may wait for something new.
	Wait clock.Millis
}

// answer is the reply. Body is left out where nothing changed.
type answer struct {
	Edition int64
	// Row is the store's version of the manifest that was confirmed, Confirmed
	// when, in milliseconds after the question came, where that is Known.
	Row       int64
	Known     bool
	Confirmed clock.Millis
	// Direct tells that the host reads the store itself and succeeds. Others
	// may vouch for what they know; to follow them could go round in a circle.
	Direct bool
	// Missing are servers whose record has vanished, with the time at which
	// each is dropped, in milliseconds after the question came.
	Missing map[string]clock.Millis
	Body    []byte
}

// body is what changed, whole; of the manifest only rows that the asker lacks.
type body struct {
	Manifest       []rows.Row
	Servers        []fleet.Server
	ServersKnown   bool
	ServersRow     int64
	Away           bool
	Members        []member.Member
	MembersVersion int64
}

// view is what the asker takes over, which asked at a moment.
func (b body) view(sent clock.Millis, missing map[string]clock.Millis) watch.View {
	until := map[string]clock.Millis{}
	for id, in := range missing {
		until[id] = sent + in
	}
	return watch.View{
		Missing:      until,
		ManifestRows: b.Manifest,
		Servers:      b.Servers,
		ServersKnown: b.ServersKnown,
		ServersRow:   b.ServersRow,
		StoreDown:    b.Away,
	}
}

// packed keeps the last body, which many hosts ask for.
type packed struct {
	key  packKey
	body []byte
}

type packKey struct {
	edition      int64
	members      int64
	withManifest bool
}

// freshBy is by how much a confirmation must be younger than the asker's to be
// worth an answer, in milliseconds.
const freshBy = 300 * clock.Millis(1)

// handleAsk answers as soon as this host knows more than the asker, or when the
// asker's time is over.
func (b *Brief) handleAsk(ctx context.Context, _ link.Peer, encoded []byte) (any, error) {
	came := b.Clock.Boot()
	var m askMessage
	if err := link.Decode(encoded, &m); err != nil {
		return nil, err
	}
	over := b.Clock.After(m.Wait)
	for {
		fresh := b.News.Updated()
		edition := b.News.ViewID()
		confirmed := came - b.News.Age(came)
		newer := edition != m.Edition || b.Crew.Version() > m.Members
		if newer || m.Wait == 0 || confirmed > came-m.Age+freshBy {
			return b.answer(m, came, edition)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-fresh:
		case <-over:
			m.Wait = 0
		}
	}
}

func (b *Brief) answer(m askMessage, came clock.Millis, edition int64) (answer, error) {
	// The age first: a confirmation that comes between the two is of a newer
	// manifest than the view's.
	age := b.News.Age(came)
	v := b.News.View()
	a := answer{
		Edition:   edition,
		Row:       v.ManifestRow,
		Known:     age < clock.Hour,
		Confirmed: -age,
		Direct:    b.News.DirectAge(came) <= b.staleAge() && !v.StoreDown,
	}
	members := b.Crew.Version()
	if edition == m.Edition && members <= m.Members {
		return a, nil
	}
	a.Missing = map[string]clock.Millis{}
	for id, until := range v.Missing {
		a.Missing[id] = until - came
	}
	k := packKey{edition, members, v.ManifestRow > m.Row}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.packed.key != k || b.packed.body == nil {
		out := body{
			Servers:        v.Servers,
			ServersKnown:   v.ServersKnown,
			ServersRow:     v.ServersRow,
			Away:           v.StoreDown,
			Members:        b.Crew.Members(),
			MembersVersion: members,
		}
		if k.withManifest {
			out.Manifest = v.ManifestRows
		}
		text, err := pack(out)
		if err != nil {
			return answer{}, err
		}
		b.packed.key, b.packed.body = k, text
	}
	a.Body = b.packed.body
	return a, nil
}

// pack encodes and compresses: hosts may have links of 10 Mbit/s, and a
// manifest or list of servers repeats itself much.
func pack(value body) ([]byte, error) {
	encoded, err := link.Encode(value)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing news")
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compressing news")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing news")
	}
	return out.Bytes(), nil
}

// maxBody bounds news after unpacking, in bytes: the store's bound of a reply,
// and as much for servers and hosts.
const maxBody = 4 << 20

func unpack(text []byte, into *body) error {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), maxBody))
	if err != nil {
		return errors.Wrap(err, "decompressing news")
	}
	return link.Decode(encoded, into)
}
