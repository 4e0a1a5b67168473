package imitator

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the prefix cache.
const (
	// cacheBlockBytes is the piece of a prompt that is cached as one.
	cacheBlockBytes  = 64
	maxCacheEvents   = 4096
	tokensPerBlock   = cacheBlockBytes / 4
	defaultBlocks    = 1024
	defaultEventLag  = 500 * time.Millisecond
	defaultEventLoss = 10
)

// CacheEvent says that a block of a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Event is "stored" or "evicted".
	Event string `json:"event"`
	// Block is the hash of the prompt up to the block's end.
	Block uint64 `json:"block"`
	at    time.Time
}

// prefixCache keeps the most recently used blocks of prompts in limited
// memory. Its events are published late, and every so many are lost.
type prefixCache struct {
	blocks int
	// Lag is the time until an event is published.
	lag time.Duration
	// Loss is the n of "one event of n is lost"; 0 loses none.
	loss     uint64
	mu       sync.Mutex
	order    *list.List
	byHash   map[uint64]*list.Element
	sequence uint64
	// Events are the latest, at most maxCacheEvents.
	events []CacheEvent
}

func newPrefixCache(blocks int) *prefixCache {
	return &prefixCache{
		blocks: blocks, lag: defaultEventLag, loss: defaultEventLoss,
		order: list.New(), byHash: map[uint64]*list.Element{},
	}
}

// use returns the prompt tokens that the cache holds and stores the rest.
func (c *prefixCache) use(prompt []byte, now time.Time) (hitTokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := true
	h := xxhash.New()
	for len(prompt) >= cacheBlockBytes {
		_, _ = h.Write(prompt[:cacheBlockBytes])
		prompt = prompt[cacheBlockBytes:]
		e, ok := c.byHash[h.Sum64()]
		if ok {
			c.order.MoveToFront(e)
		} else {
			c.store(h.Sum64(), now)
		}
		whole = whole && ok
		if whole {
			hitTokens += tokensPerBlock
		}
	}
	return hitTokens
}

func (c *prefixCache) store(block uint64, now time.Time) {
	c.byHash[block] = c.order.PushFront(block)
	c.note("stored", block, now)
	for c.order.Len() > c.blocks {
		old := c.order.Remove(c.order.Back()).(uint64)
		delete(c.byHash, old)
		c.note("evicted", old, now)
	}
}

func (c *prefixCache) note(event string, block uint64, now time.Time) {
	c.sequence++
	if c.loss > 0 && c.sequence%c.loss == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Event: event, Block: block, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// published returns the events after a sequence whose lag is over.
func (c *prefixCache) published(after uint64, now time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && now.Sub(e.at) >= c.lag {
			out = append(out, e)
		}
	}
	return out
}
