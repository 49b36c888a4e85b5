package hostd

import (
	"context"
	"strconv"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/entry"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/hosts"
)

// manifestDigest is the name under which a host's manifest number rides on
// heartbeats.
const manifestDigest = "m"

// startManifest makes the holder of the manifest and its handlers.
func (h *Host) startManifest() {
	h.holder = accept.NewHolder(h.Settings.HostName, h.Settings.FailureDomain, h.Clock)
	h.watch = &accept.Watch{
		Holder:   h.holder,
		Platform: accept.Platform{Table: h.Table, Objects: h.Objects, Clock: h.Clock},
		Peers: accept.Peers{
			Call:          h.link.Call,
			PathSeen:      h.members.PathEvidence,
			Near:          h.near,
			Far:           h.far,
			Registered:    h.members.Registered,
			Registrations: h.Registrations,
			Each:          h.each,
		},
		Log:      h.Log.WithPrefix("manifest"),
		Counters: h.Count,
	}
	h.collector = &accept.Collector{Watch: h.watch}
	h.link.Handle(accept.KindCheck, answers(h.holder.Check))
	h.link.Handle(accept.KindTell, answers(h.holder.Tell))
	h.link.Handle(accept.KindHello, answers(h.holder.Hello))
	h.link.Handle(accept.KindBody, answers(h.holder.Body))
	h.members.AddDigest(hosts.Digest{Name: manifestDigest, Read: h.manifestNumber, Seen: h.manifestSeen})
}

// manifestNumber is the highest generation that this host has heard of.
func (h *Host) manifestNumber() []byte {
	k := h.holder.Knowledge()
	return strconv.AppendInt(nil, max(k.Accepted.Number, k.Staged.Number, k.Closed), 10)
}

func (h *Host) manifestSeen(_ string, body []byte) {
	number, err := strconv.ParseInt(string(body), 10, 64)
	if err == nil {
		h.watch.Hint(number)
	}
}

// followEvery is the time between two looks at whether another manifest is in
// force, for the parts that act without a request.
const followEvery = 200 * clock.Millis(1)

// runManifest keeps the manifest current until the context ends.
func (h *Host) runManifest(ctx context.Context) {
	go h.collector.Run(ctx)
	go h.watch.Run(ctx)
	for ctx.Err() == nil {
		h.view()
		select {
		case <-ctx.Done():
		case <-h.Clock.Pulse(followEvery):
		}
	}
}

// view is what a request that arrives now is served under.
func (h *Host) view() entry.View {
	v := h.holder.View()
	if !v.Serves() {
		return entry.View{Generation: v.Generation}
	}
	h.governed.follow(v.Index)
	return entry.View{
		Index:      v.Index,
		Uncertain:  v.Mode == accept.ModeBoth,
		Generation: v.Generation,
	}
}
