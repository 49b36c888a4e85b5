package hosts

import (
	"context"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/link"
)

// The kinds of membership messages.
const (
	kindBeat = "Beat"
	kindView = "View"
)

// Digest rides on every beat and reply: a few bytes by which peers notice that
// something of this host is new. Name is short and the same on all hosts.
type Digest struct {
	Name string
	// FarOnly sends it to other failure domains alone.
	FarOnly bool
	// Read returns what to send, nil for nothing.
	Read func() []byte
	// Seen takes what a peer sent. It must not block.
	Seen func(from string, body []byte)
}

type digestBody struct {
	Name string
	Body []byte
}

// beat is a heartbeat and, in the other direction, its reply.
type beat struct {
	Refutation int64
	State      string
	Hash       uint64
	Digests    []digestBody
	News       []Host
	// Self is the sender's whole entry, for a peer that may not know it.
	Self *Host
	// Introduce asks the receiver for its whole entry.
	Introduce bool
}

// wholeView answers a request for all that a host holds.
type wholeView struct {
	Hosts []Host
}

// compose makes the beat or reply to a peer, but for the digests.
func (c *core) compose(to string, withSelf bool) beat {
	b := beat{
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

// absorb takes a beat or reply.
func (c *core) absorb(now clock.Millis, from link.Peer, b *beat) {
	c.tellSelf(now, from, b)
	c.heard(now, from.Name)
	for _, h := range b.News {
		c.tell(now, h)
	}
	c.compare(now, from.Name, b.Hash)
}

// answer takes a beat and makes its reply.
func (c *core) answer(now clock.Millis, from link.Peer, b *beat) beat {
	c.absorb(now, from, b)
	_, known := c.members[from.Name]
	reply := c.compose(from.Name, b.Self != nil || b.Introduce)
	reply.Introduce = !known
	return reply
}

// opening makes the beat to a peer.
func (c *core) opening(peer string) (beat, bool) {
	m, ok := c.members[peer]
	if !ok {
		return beat{}, false
	}
	b := c.compose(peer, !m.introduced)
	b.Introduce = !m.contacted
	return b, true
}

// closing takes the reply to a beat.
func (c *core) closing(now clock.Millis, peer string, reply *beat) {
	m, ok := c.members[peer]
	if !ok {
		return
	}
	from := link.Peer{Name: peer, Incarnation: m.Incarnation}
	if reply.Self != nil {
		from.Incarnation = reply.Self.Incarnation
	}
	m.introduced = !reply.Introduce
	c.absorb(now, from, reply)
}

// readDigests is called without the lock, so that Read may use the node.
func (n *Node) readDigests(to string) []digestBody {
	peer, ok := n.View().Find(to)
	far := ok && peer.FailureDomain != n.Self.FailureDomain
	var bodies []digestBody
	for _, d := range n.digests {
		if d.FarOnly && !far {
			continue
		}
		if body := d.Read(); body != nil {
			bodies = append(bodies, digestBody{Name: d.Name, Body: body})
		}
	}
	return bodies
}

func (n *Node) pass(from string, digests []digestBody) {
	for _, got := range digests {
		for _, d := range n.digests {
			if d.Name == got.Name {
				d.Seen(from, got.Body)
			}
		}
	}
}

// onBeat handles a peer's heartbeat.
func (n *Node) onBeat(_ context.Context, from link.Peer, body []byte) (any, error) {
	var b beat
	if err := link.Decode(body, &b); err != nil {
		return nil, err
	}
	n.pass(from.Name, b.Digests)
	digests := n.readDigests(from.Name)
	n.mu.Lock()
	reply := n.core.answer(n.Clock.Now(), from, &b)
	n.settle()
	reply.Digests = digests
	return &reply, nil
}

// sendBeat carries out one heartbeat.
func (n *Node) sendBeat(ctx context.Context, peer string) {
	digests := n.readDigests(peer)
	n.mu.Lock()
	b, ok := n.core.opening(peer)
	n.mu.Unlock()
	if !ok {
		return
	}
	b.Digests = digests
	ctx, cancel := context.WithTimeout(ctx, beatWait.Duration())
	defer cancel()
	var reply beat
	if err := n.Link.Call(ctx, peer, kindBeat, &b, &reply); err != nil {
		return
	}
	n.mu.Lock()
	n.core.closing(n.Clock.Now(), peer, &reply)
	n.settle()
	n.pass(peer, reply.Digests)
}

func (n *Node) onView(context.Context, link.Peer, []byte) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &wholeView{Hosts: n.core.everything()}, nil
}

// sync fetches all that a peer holds.
func (n *Node) sync(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, syncWait.Duration())
	defer cancel()
	var whole wholeView
	if err := n.Link.Call(ctx, peer, kindView, struct{}{}, &whole); err != nil {
		return
	}
	n.mu.Lock()
	n.core.whole(n.Clock.Now(), whole.Hosts)
	n.settle()
}
