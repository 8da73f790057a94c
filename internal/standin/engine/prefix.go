package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBlockBytes = 64   // unit in which prompts are cached
	maxPrefixBlocks  = 4096 // blocks held; the least recently used goes first
)

// prefixCache remembers the leading blocks of prompts.
type prefixCache struct {
	mu     sync.Mutex
	blocks map[uint64]*list.Element
	recent *list.List // of block hashes, most recently used first
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// use returns how many of the prompt's blocks were held, and holds them all.
func (c *prefixCache) use(prompt string) (held, blocks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.New()
	leading := true
	for blocks*prefixBlockBytes < len(prompt) {
		end := min((blocks+1)*prefixBlockBytes, len(prompt))
		_, _ = hash.WriteString(prompt[blocks*prefixBlockBytes : end])
		leading = c.touch(hash.Sum64()) && leading
		if leading {
			held++
		}
		blocks++
	}
	return held, blocks
}

// touch holds a block and reports whether it was held before.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.recent.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.recent.PushFront(block)
	if c.recent.Len() > maxPrefixBlocks {
		oldest := c.recent.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.recent.Remove(oldest)
	}
	return false
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = map[uint64]*list.Element{}
	c.recent.Init()
}
