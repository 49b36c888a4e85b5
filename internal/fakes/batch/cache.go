package batch

import (
	"container/list"

	"siskinsaddle/internal/base/clock"
)

// CacheEventKind is the kind of change to a prefix in the cache.
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

// maxCacheEvents is how many of the latest events the cache keeps.
const maxCacheEvents = 4096

type cacheEntry struct {
	prefix uint64
	tokens int
}

// cache is an LRU cache of prefixes with a capacity in tokens. The front of
// recency is the most recently used prefix.
type cache struct {
	capacity     int
	used         int
	recency      *list.List
	entries      map[uint64]*list.Element
	events       []CacheEvent
	lastSequence int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// lookup returns how many tokens of a prefix are cached and marks the prefix as
// most recently used.
func (c *cache) lookup(_ clock.Millis, prefix uint64) int {
	e, ok := c.entries[prefix]
	if !ok {
		return 0
	}
	c.recency.MoveToFront(e)
	return e.Value.(cacheEntry).tokens
}

// store adds a prefix and evicts others until the cache is within its capacity.
// A prefix larger than the capacity is not cached.
func (c *cache) store(now clock.Millis, prefix uint64, tokens int) {
	if _, ok := c.entries[prefix]; ok || tokens <= 0 || tokens > c.capacity {
		return
	}
	c.entries[prefix] = c.recency.PushFront(cacheEntry{prefix: prefix, tokens: tokens})
	c.used += tokens
	c.recordEvent(now, CacheStored, prefix)
	for c.used > c.capacity {
		c.evict(now, c.recency.Back())
	}
}

func (c *cache) evict(now clock.Millis, e *list.Element) {
	entry := c.recency.Remove(e).(cacheEntry)
	delete(c.entries, entry.prefix)
	c.used -= entry.tokens
	c.recordEvent(now, CacheRemoved, entry.prefix)
}

func (c *cache) recordEvent(now clock.Millis, kind CacheEventKind, prefix uint64) {
	c.lastSequence++
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Kind: kind, Prefix: prefix, AtMilliseconds: now})
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
