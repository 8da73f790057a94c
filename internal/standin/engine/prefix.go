package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBlockBytes = 64   // block size of the prefix cache
	maxPrefixBlocks  = 4096 // beyond this, the least recently used block is evicted
)

// prefixCache is an LRU cache of prompt prefixes, stored as hashes of all bytes up
// to the end of each block.
type prefixCache struct {
	mu     sync.Mutex
	blocks map[uint64]*list.Element
	lru    *list.List // block hashes, most recently used first
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// add caches all blocks of the prompt. It returns how many leading blocks were
// already cached and how many blocks the prompt has.
func (c *prefixCache) add(prompt string) (cached, blocks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.New()
	prefixCached := true
	for blocks*prefixBlockBytes < len(prompt) {
		end := min((blocks+1)*prefixBlockBytes, len(prompt))
		_, _ = hash.WriteString(prompt[blocks*prefixBlockBytes : end])
		prefixCached = c.touch(hash.Sum64()) && prefixCached
		if prefixCached {
			cached++
		}
		blocks++
	}
	return cached, blocks
}

// touch marks a block as most recently used, adding it if needed, and reports whether
// it was cached before.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.lru.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.lru.PushFront(block)
	if c.lru.Len() > maxPrefixBlocks {
		oldest := c.lru.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.lru.Remove(oldest)
	}
	return false
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = map[uint64]*list.Element{}
	c.lru.Init()
}
