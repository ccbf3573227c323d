package archive

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/tidwall/btree"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// CacheStats counts how often a block was looked for, and read for that.
type CacheStats struct{ Hits, Reads, Cached, Unreadable uint64 }

// blockCache holds the blocks that were used last, and follows their changes.
type blockCache struct {
	log *slog.Logger

	mu         sync.Mutex
	blocks     btree.Map[string, *Block] // by To
	recency    *lru.LRU[string, bool]    // of the keys of blocks
	empty      bool                      // the archive has no block at all
	lastChange uint64                    // revision of the last known change of any block
	resets     int
	stats      CacheStats
}

// newBlockCache returns a cache of at most size blocks.
func newBlockCache(size int, log *slog.Logger) *blockCache {
	c := &blockCache{log: log}
	recency, err := lru.NewLRU(max(1, size), func(to string, _ bool) { c.blocks.Delete(to) })
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	c.recency = recency
	return c
}

// reset empties the cache, because changes may have been missed.
func (c *blockCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recency.Purge()
	c.blocks = btree.Map[string, *Block]{}
	c.empty = false
	c.resets++
}

// applyChange takes a block's new value.
func (c *blockCache) applyChange(it wire.KeyValue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastChange = max(c.lastChange, it.Version)
	_, _ = c.insert(it) // one that can't be decoded is logged and counted
}

// insert takes a block's value unless a newer one is known.
func (c *blockCache) insert(it wire.KeyValue) (*Block, error) {
	c.empty = false
	to := strings.TrimPrefix(it.Key, store.ArchivePrefix)
	if old, ok := c.blocks.Get(to); ok && old.Version >= it.Version {
		return old, nil
	}
	b, err := decodeBlock(it)
	if err != nil {
		c.recency.Remove(to)
		c.stats.Unreadable++
		c.log.Error("record not understood", "key", it.Key, "err", err)
		return nil, fmt.Errorf("%s: %w", it.Key, err)
	}
	c.blocks.Set(to, b)
	c.recency.Add(to, true)
	return b, nil
}

// decodeBlock reads a block's record, but not its jobs.
func decodeBlock(it wire.KeyValue) (*Block, error) {
	b := &Block{To: strings.TrimPrefix(it.Key, store.ArchivePrefix), Version: it.Version}
	if err := wire.DecodeValue(it.Value, &b.Record); err != nil {
		return nil, err
	}
	b.From = b.Record.From
	return b, nil
}

// find returns the cached block that covers a key.
func (c *blockCache) find(key string) (*Block, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.empty {
		return &Block{To: lastBlockKey}, true
	}
	b := c.firstEndingAfter(key)
	if b == nil || !b.covers(key) {
		return nil, false
	}
	c.recency.Get(b.To)
	c.stats.Hits++
	return b, true
}

// firstEndingAfter returns the first cached block that ends after a key.
func (c *blockCache) firstEndingAfter(key string) (b *Block) {
	c.blocks.Ascend(key, func(to string, at *Block) bool {
		if to == key {
			return true // it ends there, and the next one begins with the key
		}
		b = at
		return false
	})
	return b
}

// beginRead counts a read, and returns what insertPage must be given to tell whether changes
// were missed since.
func (c *blockCache) beginRead() (resets int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	return c.resets
}

// insertPage takes a page of blocks that was read, and returns the first of them. A page that
// is older than a known change, or from before a reset, is used for this answer only.
func (c *blockCache) insertPage(page *wire.KeyValueList, resets int) (first *Block, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := c.resets == resets && page.Revision >= c.lastChange
	if len(page.Items) == 0 {
		c.empty = fresh
		return &Block{To: lastBlockKey}, nil
	}
	for i, it := range page.Items {
		var b *Block
		var itemErr error
		if fresh {
			b, itemErr = c.insert(it)
		} else {
			b, itemErr = decodeBlock(it)
		}
		if i == 0 {
			if itemErr != nil {
				return nil, fmt.Errorf("%s: %w", it.Key, itemErr)
			}
			first = b
		}
	}
	return first, nil
}

// applyOwnWrite takes blocks that this controller has written, ahead of the watch.
func (c *blockCache) applyOwnWrite(blocks []*Block, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.empty = false
	c.lastChange = max(c.lastChange, revision)
	for _, written := range blocks {
		if old, ok := c.blocks.Get(written.To); ok && old.Version >= revision {
			continue
		}
		b := *written
		b.Version = revision
		c.blocks.Set(b.To, &b)
		c.recency.Add(b.To, true)
	}
}

// countUnreadable counts a block whose jobs can't be decoded.
func (c *blockCache) countUnreadable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Unreadable++
}

// snapshotStats returns the counts.
func (c *blockCache) snapshotStats() CacheStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Cached = uint64(c.blocks.Len())
	return c.stats
}
