// Package notify tells the hosts which backend servers say that they are leaving, before
// their records do, or if these never do.
//
// The host that sees it in a response tells the server's keepers, which grant its requests.
// The first of them tells all others in one message, after a short time in which more
// servers may follow and in which a record can make the message needless. A host that
// reports to a keeper gets all that the keeper knows. A message that is lost is not sent
// again: the host sees the same in its first response from the server.
//
// # Usage
//
//	n := &notify.Notifier{
//		Self: "host-1", Members: registry.Members, Keepers: b.Keepers, Link: node,
//		Adopt: p.AdoptLeaving, Known: p.LeavingServers, Clock: clk, Log: l,
//	}
//	n.Register()      // before the link runs
//	go n.Run(ctx)
//	n.Share(entry)    // this host has learned it from a server
//	n.Tell("host-2")  // a host has joined
package notify

import (
	"context"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/notice"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
)

const (
	// kindLeaving is the kind of the messages.
	kindLeaving = "ServersLeaving"
	// relayDelay is the time for which a keeper collects servers, in milliseconds. The
	// bound for requests to leaving servers is 2 s and more.
	relayDelay = 300 * clock.Millis(1)
	// maxPending bounds the servers that wait to be passed on. Hosts learn of others
	// from the servers.
	maxPending = 1_000
	// maxEntries bounds the servers in one message.
	maxEntries = 500
)

// leavingMessage names servers that say they are leaving. Relay asks the receiver to tell
// all other hosts.
type leavingMessage struct {
	Entries []notice.Entry
	Relay   bool
}

// Notifier shares which servers are leaving. Its exported fields are set before Register.
type Notifier struct {
	Self    string
	Members func() []member.Member
	// Keepers returns the hosts that decide for a server, first the one that does now.
	Keepers func(service, server string) []string
	Link    *link.Node
	// Adopt applies what other hosts say and returns the servers of which this host did
	// not know.
	Adopt func(all []notice.Entry) []notice.Entry
	// Known returns all leaving servers that have said so.
	Known func() []notice.Entry
	Clock clock.Clock
	Log   *logs.Limited

	pending chan notice.Entry
}

// Register installs the handler for messages of other hosts.
func (n *Notifier) Register() {
	n.pending = make(chan notice.Entry, maxPending)
	n.Link.Handle(kindLeaving, n.handle)
}

// Share tells the keepers of a server that it is leaving.
func (n *Notifier) Share(e notice.Entry) {
	for i, keeper := range n.Keepers(e.Service, e.Server) {
		switch {
		case keeper != n.Self:
			n.send(keeper, leavingMessage{Entries: []notice.Entry{e}, Relay: i == 0})
		case i == 0:
			n.relay([]notice.Entry{e})
		}
	}
}

// Tell tells a host of all servers that are leaving.
func (n *Notifier) Tell(host string) {
	all := n.Known()
	if len(all) > 0 {
		n.send(host, leavingMessage{Entries: all[:min(len(all), maxEntries)]})
	}
}

// relay lets Run pass on servers.
func (n *Notifier) relay(all []notice.Entry) {
	for _, e := range all {
		select {
		case n.pending <- e:
		default:
			n.Log.Warn("That a server is leaving is not passed on: too many wait.", "server", e.Server)
		}
	}
}

func (n *Notifier) handle(_ context.Context, from link.Peer, body []byte) (any, error) {
	var m leavingMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	fresh := n.Adopt(m.Entries[:min(len(m.Entries), maxEntries)])
	for _, e := range fresh {
		n.Log.Info("Another host says that a server is leaving.", "host", from.Name, "server", e.Server, "born", e.Born)
	}
	if m.Relay {
		n.relay(fresh)
	}
	return nil, nil
}

// Run passes on what this host has to, until the context ends.
func (n *Notifier) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.pending:
			<-n.Clock.After(relayDelay)
			m := leavingMessage{Entries: append([]notice.Entry{e}, n.collect()...)}
			for _, other := range n.Members() {
				if other.Name != n.Self {
					n.send(other.Name, m)
				}
			}
		}
	}
}

// collect takes the servers that wait to be passed on.
func (n *Notifier) collect() []notice.Entry {
	var all []notice.Entry
	for len(all) < maxEntries-1 {
		select {
		case e := <-n.pending:
			all = append(all, e)
		default:
			return all
		}
	}
	return all
}

func (n *Notifier) send(host string, m leavingMessage) {
	if err := n.Link.Send(host, kindLeaving, m); err != nil {
		n.Log.Debug("Telling a host that servers are leaving failed.", "host", host, "err", err)
	}
}
