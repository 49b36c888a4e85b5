package batch

import (
	"container/list"

	"siskinsaddle/internal/base/clock"
)

// CacheEventKind tells what happened to a prefix.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheRemoved CacheEventKind = "Removed"
)

// CacheEvent is one change of the prefix cache. Sequence counts from 1.
type CacheEvent struct {
	Sequence       int
	Kind           CacheEventKind
	Prefix         uint64
	AtMilliseconds clock.Millis
}

const maxCacheEvents = 4096

type cacheEntry struct {
	prefix uint64
	tokens int
}

// cache holds prefixes up to a number of tokens; its list has the most
// recently used prefix at the front.
type cache struct {
	limit  int
	used   int
	order  *list.List
	places map[uint64]*list.Element
	events []CacheEvent
	last   int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), places: map[uint64]*list.Element{}}
}

// use returns how many tokens of a prefix are cached and marks it as used.
func (c *cache) use(_ clock.Millis, prefix uint64) int {
	e, ok := c.places[prefix]
	if !ok {
		return 0
	}
	c.order.MoveToFront(e)
	return e.Value.(cacheEntry).tokens
}

func (c *cache) store(now clock.Millis, prefix uint64, tokens int) {
	if _, ok := c.places[prefix]; ok || tokens <= 0 || tokens > c.limit {
		return
	}
	c.places[prefix] = c.order.PushFront(cacheEntry{prefix: prefix, tokens: tokens})
	c.used += tokens
	c.note(now, CacheStored, prefix)
	for c.used > c.limit {
		c.drop(now, c.order.Back())
	}
}

func (c *cache) drop(now clock.Millis, e *list.Element) {
	entry := c.order.Remove(e).(cacheEntry)
	delete(c.places, entry.prefix)
	c.used -= entry.tokens
	c.note(now, CacheRemoved, entry.prefix)
}

func (c *cache) note(now clock.Millis, kind CacheEventKind, prefix uint64) {
	c.last++
	c.events = append(c.events, CacheEvent{Sequence: c.last, Kind: kind, Prefix: prefix, AtMilliseconds: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// CacheEvents returns the events after a sequence number that are at least
// lag milliseconds old.
func (b *Batch) CacheEvents(now, lag clock.Millis, after int) []CacheEvent {
	var found []CacheEvent
	for _, e := range b.cache.events {
		if e.Sequence > after && e.AtMilliseconds <= now-lag {
			found = append(found, e)
		}
	}
	return found
}
