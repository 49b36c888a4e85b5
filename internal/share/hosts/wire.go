package hosts

import (
	"context"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/link"
)

// Kinds of membership messages.
const (
	kindHeartbeat = "Beat"
	kindView      = "View"
)

// Digest is a few bytes sent with every heartbeat and reply, by which peers detect
// that some state of this host has changed. Name identifies the digest: it is short
// and the same on all hosts.
type Digest struct {
	Name string
	// OtherDomainsOnly restricts the digest to peers in other failure domains.
	OtherDomainsOnly bool
	// Read returns the body to send, or nil to send none.
	Read func() []byte
	// OnReceive handles the body that a peer sent. It must not block.
	OnReceive func(from string, body []byte)
}

type digestBody struct {
	Name string
	Body []byte
}

// heartbeat is the body of a heartbeat and of its reply.
type heartbeat struct {
	Refutation int64
	State      string
	Hash       uint64
	Digests    []digestBody
	News       []Host
	// Self is the sender's full entry, for a peer that may not know it.
	Self *Host
	// RequestEntry asks the receiver for its full entry.
	RequestEntry bool
}

// viewReply is the reply to a request for all entries that a host knows.
type viewReply struct {
	Hosts []Host
}

// newHeartbeat builds a heartbeat or reply to a peer, without the digests.
func (c *core) newHeartbeat(to string, withSelf bool) heartbeat {
	b := heartbeat{
		Refutation: c.self.Refutation,
		State:      string(c.self.State),
		Hash:       c.hash,
		News:       c.news(to),
	}
	if withSelf {
		self := c.self
		b.Self = &self
	}
	return b
}

// applyHeartbeat applies a received heartbeat or reply.
func (c *core) applyHeartbeat(now clock.Millis, from link.Peer, b *heartbeat) {
	c.applySelfReport(now, from, b)
	c.recordContact(now, from.Name)
	for _, h := range b.News {
		c.applyNews(now, h)
	}
	c.compareHash(now, from.Name, b.Hash)
}

// handleHeartbeat applies a heartbeat and returns the reply.
func (c *core) handleHeartbeat(now clock.Millis, from link.Peer, b *heartbeat) heartbeat {
	c.applyHeartbeat(now, from, b)
	_, known := c.members[from.Name]
	reply := c.newHeartbeat(from.Name, b.Self != nil || b.RequestEntry)
	reply.RequestEntry = !known
	return reply
}

// heartbeatTo builds the heartbeat to a peer. It returns false if the peer is unknown.
func (c *core) heartbeatTo(peer string) (heartbeat, bool) {
	m, ok := c.members[peer]
	if !ok {
		return heartbeat{}, false
	}
	b := c.newHeartbeat(peer, !m.entrySent)
	b.RequestEntry = !m.contacted
	return b, true
}

// handleReply applies the reply to a heartbeat.
func (c *core) handleReply(now clock.Millis, peer string, reply *heartbeat) {
	m, ok := c.members[peer]
	if !ok {
		return
	}
	from := link.Peer{Name: peer, Incarnation: m.Incarnation}
	if reply.Self != nil {
		from.Incarnation = reply.Self.Incarnation
	}
	m.entrySent = !reply.RequestEntry
	c.applyHeartbeat(now, from, reply)
}

// readDigests returns the digest bodies for a peer. It is called without n.mu, so
// that Read may call methods of the node.
func (n *Node) readDigests(to string) []digestBody {
	peer, ok := n.View().Find(to)
	otherDomain := ok && peer.FailureDomain != n.Self.FailureDomain
	var bodies []digestBody
	for _, d := range n.digests {
		if d.OtherDomainsOnly && !otherDomain {
			continue
		}
		if body := d.Read(); body != nil {
			bodies = append(bodies, digestBody{Name: d.Name, Body: body})
		}
	}
	return bodies
}

// dispatchDigests passes received digest bodies to OnReceive of the digests of
// that name.
func (n *Node) dispatchDigests(from string, digests []digestBody) {
	for _, got := range digests {
		for _, d := range n.digests {
			if d.Name == got.Name {
				d.OnReceive(from, got.Body)
			}
		}
	}
}

// onHeartbeat handles a peer's heartbeat and replies to it.
func (n *Node) onHeartbeat(_ context.Context, from link.Peer, body []byte) (any, error) {
	var b heartbeat
	if err := link.Decode(body, &b); err != nil {
		return nil, err
	}
	n.dispatchDigests(from.Name, b.Digests)
	digests := n.readDigests(from.Name)
	n.mu.Lock()
	reply := n.core.handleHeartbeat(n.Clock.Now(), from, &b)
	n.unlockAndPerform()
	reply.Digests = digests
	return &reply, nil
}

// sendHeartbeat sends one heartbeat and handles its reply.
func (n *Node) sendHeartbeat(ctx context.Context, peer string) {
	digests := n.readDigests(peer)
	n.mu.Lock()
	b, ok := n.core.heartbeatTo(peer)
	n.mu.Unlock()
	if !ok {
		return
	}
	b.Digests = digests
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	var reply heartbeat
	if err := n.Link.Call(ctx, peer, kindHeartbeat, &b, &reply); err != nil {
		return
	}
	n.mu.Lock()
	n.core.handleReply(n.Clock.Now(), peer, &reply)
	n.unlockAndPerform()
	n.dispatchDigests(peer, reply.Digests)
}

// onView replies with all entries that this host knows.
func (n *Node) onView(context.Context, link.Peer, []byte) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &viewReply{Hosts: n.core.knownHosts()}, nil
}

// sync fetches the full view of a peer and merges it.
func (n *Node) sync(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	var reply viewReply
	if err := n.Link.Call(ctx, peer, kindView, struct{}{}, &reply); err != nil {
		return
	}
	n.mu.Lock()
	n.core.mergeHosts(n.Clock.Now(), reply.Hosts)
	n.unlockAndPerform()
}
