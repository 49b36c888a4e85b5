package hostd

import (
	"context"
	"strconv"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/entry"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/hosts"
)

// manifestDigest names the digest in heartbeats that carries the highest manifest
// generation that a host knows.
const manifestDigest = "m"

// startManifest creates the manifest holder and registers its link handlers.
func (h *Host) startManifest() {
	h.holder = accept.NewHolder(h.Settings.HostName, h.Settings.FailureDomain, h.Clock)
	h.watcher = &accept.Watcher{
		Holder:   h.holder,
		Platform: accept.Platform{Table: h.Table, Objects: h.Objects, Clock: h.Clock},
		Peers: accept.Peers{
			Call:                h.link.Call,
			PathSeen:            h.members.WatchPath,
			SameDomain:          h.sameDomainHosts,
			OtherDomains:        h.otherDomainHosts,
			Registered:          h.members.Registered,
			Registrations:       h.Registrations,
			ForEachConcurrently: h.forEach,
		},
		Log:      h.Log.WithPrefix("manifest"),
		Counters: h.Count,
	}
	h.collector = &accept.Collector{Watcher: h.watcher}
	h.link.Handle(accept.KindCheck, typedHandler(h.holder.Check))
	h.link.Handle(accept.KindTell, typedHandler(h.holder.Tell))
	h.link.Handle(accept.KindHello, typedHandler(h.holder.Hello))
	h.link.Handle(accept.KindBody, typedHandler(h.holder.Body))
	h.members.AddDigest(hosts.Digest{Name: manifestDigest, Read: h.highestGeneration, OnReceive: h.recordGeneration})
}

// highestGeneration returns the highest manifest generation that this host knows, in
// decimal.
func (h *Host) highestGeneration() []byte {
	k := h.holder.Knowledge()
	return strconv.AppendInt(nil, max(k.Accepted.Number, k.Staged.Number, k.Closed), 10)
}

// recordGeneration handles the manifest digest of another host.
func (h *Host) recordGeneration(_ string, body []byte) {
	number, err := strconv.ParseInt(string(body), 10, 64)
	if err == nil {
		h.watcher.HintGeneration(number)
	}
}

// manifestCheckInterval is the time between two checks for a changed manifest, for
// the components that act without a request.
const manifestCheckInterval = 200 * clock.Millis(1)

// runManifest keeps the manifest current until the context ends.
func (h *Host) runManifest(ctx context.Context) {
	go h.collector.Run(ctx)
	go h.watcher.Run(ctx)
	for ctx.Err() == nil {
		h.currentView()
		select {
		case <-ctx.Done():
		case <-h.Clock.AfterTick(manifestCheckInterval):
		}
	}
}

// currentView returns the manifest view under which a request that arrives now is
// served.
func (h *Host) currentView() entry.View {
	v := h.holder.View()
	if !v.Serves() {
		return entry.View{Generation: v.Generation}
	}
	h.manifest.set(v.Index)
	return entry.View{
		Index:      v.Index,
		Uncertain:  v.Mode == accept.ModeBoth,
		Generation: v.Generation,
	}
}
