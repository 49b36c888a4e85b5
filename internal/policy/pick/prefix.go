package pick

import "container/list"

// prefixCache records the prompt prefixes last sent to each server, up to a number
// for each. It evicts the least recently used one first, as engines do.
type prefixCache struct {
	capacity int
	entries  map[cacheKey]*list.Element
	recency  map[string]*list.List
}

type cacheKey struct {
	server string
	prefix uint64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{
		capacity: capacity,
		entries:  map[cacheKey]*list.Element{},
		recency:  map[string]*list.List{},
	}
}

func (p *prefixCache) has(server string, prefix uint64) bool {
	return prefix != 0 && p.entries[cacheKey{server: server, prefix: prefix}] != nil
}

func (p *prefixCache) add(server string, prefix uint64) {
	if prefix == 0 {
		return
	}
	recency := p.recency[server]
	if recency == nil {
		recency = list.New()
		p.recency[server] = recency
	}
	key := cacheKey{server: server, prefix: prefix}
	if e := p.entries[key]; e != nil {
		recency.MoveToFront(e)
		return
	}
	if recency.Len() >= p.capacity {
		delete(p.entries, recency.Remove(recency.Back()).(cacheKey))
	}
	p.entries[key] = recency.PushFront(key)
}

// forget drops the prefixes of a server that has lost its cache.
func (p *prefixCache) forget(server string) {
	recency := p.recency[server]
	if recency == nil {
		return
	}
	for e := recency.Front(); e != nil; e = e.Next() {
		delete(p.entries, e.Value.(cacheKey))
	}
	delete(p.recency, server)
}

// Forget drops the prefixes recorded for a server that has left or restarted.
func (c *Chooser) Forget(server string) { c.prefixes.forget(server) }
