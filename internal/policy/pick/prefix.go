package pick

import "container/list"

// prefixes remembers which prompt prefixes were sent to which server last. A
// server's oldest one is forgotten first, as its engine would.
type prefixes struct {
	most  int
	sent  map[sentTo]*list.Element
	order map[string]*list.List
}

type sentTo struct {
	server string
	prefix uint64
}

func newPrefixes(most int) prefixes {
	return prefixes{most: most, sent: map[sentTo]*list.Element{}, order: map[string]*list.List{}}
}

func (p *prefixes) has(server string, prefix uint64) bool {
	return prefix != 0 && p.sent[sentTo{server: server, prefix: prefix}] != nil
}

func (p *prefixes) add(server string, prefix uint64) {
	if prefix == 0 {
		return
	}
	order := p.order[server]
	if order == nil {
		order = list.New()
		p.order[server] = order
	}
	key := sentTo{server: server, prefix: prefix}
	if e := p.sent[key]; e != nil {
		order.MoveToFront(e)
		return
	}
	if order.Len() >= p.most {
		delete(p.sent, order.Remove(order.Back()).(sentTo))
	}
	p.sent[key] = order.PushFront(key)
}

// forget drops what was sent to a server that has lost its cache.
func (p *prefixes) forget(server string) {
	order := p.order[server]
	if order == nil {
		return
	}
	for e := order.Front(); e != nil; e = e.Next() {
		delete(p.sent, e.Value.(sentTo))
	}
	delete(p.order, server)
}

// Forget drops what is remembered of a server that has left or restarted.
func (c *Chooser) Forget(server string) { c.held.forget(server) }
