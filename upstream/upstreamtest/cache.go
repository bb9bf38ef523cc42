package upstreamtest

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// BlockTokens is the number of prompt tokens in a cache block.
const BlockTokens = 16

// prefixCache is an engine's cache of prompt prefixes, with its late and
// lossy events.
type prefixCache struct {
	blocks *lru.Cache[uint64, struct{}]
	lag    time.Duration
	loss   int

	mu     sync.Mutex
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	upstream.CacheEvent
	at time.Time
}

func newPrefixCache(o Options) *prefixCache {
	c := &prefixCache{lag: o.EventLag, loss: o.EventLoss}
	blocks, err := lru.NewWithEvict(max(1, o.CacheBlocks), func(block uint64, _ struct{}) { c.publish(block, true) })
	if err != nil {
		panic(err)
	}
	c.blocks = blocks
	return c
}

// Blocks returns the hashes of the prefixes of a prompt that end with a block.
func Blocks(prompt []string) []uint64 {
	var out []uint64
	for end := BlockTokens; end <= len(prompt); end += BlockTokens {
		out = append(out, xxhash.Sum64String(strings.Join(prompt[:end], " ")))
	}
	return out
}

// lookup returns the cached tokens of a prompt and caches all of it.
func (c *prefixCache) lookup(prompt []string) int {
	cached := 0
	blocks := Blocks(prompt)
	for _, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			break
		}
		cached += BlockTokens
	}
	for _, b := range blocks[cached/BlockTokens:] {
		c.blocks.Add(b, struct{}{})
		c.publish(b, false)
	}
	return cached
}

func (c *prefixCache) publish(block uint64, dropped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if c.loss > 0 && c.seq%uint64(c.loss) == 0 {
		return
	}
	e := upstream.CacheEvent{Sequence: c.seq, Block: block, Dropped: dropped}
	c.events = append(c.events, timedEvent{CacheEvent: e, at: time.Now().Add(c.lag)})
}

// since returns the due events after a sequence number.
func (c *prefixCache) since(after uint64) []upstream.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []upstream.CacheEvent
	now := time.Now()
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

func (c *prefixCache) clear() { c.blocks.Purge() }
