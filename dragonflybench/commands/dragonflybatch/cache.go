package dragonflybatch

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
)

// maxCacheEvents is the number of cache events retained for lagging readers.
const maxCacheEvents = 1024

// cacheEvent records that a block was stored or evicted.
type cacheEvent struct {
	number uint64
	stored bool
	block  uint64
	at     dragonflyinstant.Instant
}

// cache holds at most size blocks and evicts the least recently used one. Its clock
// is logical: it counts uses of blocks.
type cache struct {
	size       int
	clock      uint64
	lastUse    dragonflymap.Map[uint64, uint64] // block to clock of its last use
	byUse      dragonflymap.Map[uint64, uint64] // clock of the last use to block
	eventCount uint64
	events     dragonflylist.List[cacheEvent]
}

// cachedPrefix returns the number of leading blocks in the cache.
func (c cache) cachedPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.lastUse.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// with returns c after a use of blocks at now.
func (c cache) with(now dragonflyinstant.Instant, blocks []uint64) cache {
	for _, b := range blocks {
		if t, ok := c.lastUse.Get(b); ok {
			c.byUse = c.byUse.Without(t)
		} else {
			c = c.withEvent(now, b, true)
		}
		c.clock++
		c.lastUse = c.lastUse.With(b, c.clock)
		c.byUse = c.byUse.With(c.clock, b)
	}
	for c.lastUse.Len() > c.size {
		c = c.withoutOldest(now)
	}
	return c
}

func (c cache) withoutOldest(now dragonflyinstant.Instant) cache {
	for t, b := range c.byUse.All() {
		c.byUse = c.byUse.Without(t)
		c.lastUse = c.lastUse.Without(b)
		return c.withEvent(now, b, false)
	}
	return c
}

func (c cache) withEvent(now dragonflyinstant.Instant, block uint64, stored bool) cache {
	c.eventCount++
	c.events = c.events.With(cacheEvent{c.eventCount, stored, block, now})
	if c.events.Len() > maxCacheEvents {
		c.events = c.events.Slice(c.events.Len()-maxCacheEvents, c.events.Len())
	}
	return c
}

// CachedBlocks returns the number of leading blocks in the prefix cache.
func (b Batch) CachedBlocks(blocks []uint64) int { return b.cache.cachedPrefix(blocks) }

// CacheEvents calls yield with the number, the kind (stored or evicted) and the
// block of each event that was published after number since. Events are published
// with the lag and the gaps of the settings.
func (b Batch) CacheEvents(now dragonflyinstant.Instant, since uint64, yield func(number uint64, stored bool, block uint64)) {
	gap := uint64(max(b.cfg.CacheEventGap, 0))
	for _, e := range b.cache.events.All() {
		if e.number <= since || now.Sub(e.at) < b.cfg.CacheEventLag {
			continue
		}
		if gap > 0 && e.number%gap == 0 {
			continue
		}
		yield(e.number, e.stored, e.block)
	}
}
