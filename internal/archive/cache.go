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

// CacheStats counts the hits of the block cache, the reads from the state service, the cached
// blocks, and the failures to decode a block.
type CacheStats struct{ Hits, Reads, Cached, Unreadable uint64 }

// blockCache is an LRU cache of archive blocks that is kept current by watch events and by the
// controller's own writes.
type blockCache struct {
	log *slog.Logger

	mu         sync.Mutex
	blocks     btree.Map[string, *Block] // by To, their exclusive upper bound
	recency    *lru.LRU[string, bool]    // of the keys in blocks
	empty      bool                      // the archive is known to have no blocks
	lastChange uint64                    // revision of the latest known change to any block
	resets     int                       // number of calls to reset, to detect a reset during a read
	stats      CacheStats
}

// newBlockCache returns a cache that holds at most size blocks, but at least one.
func newBlockCache(size int, log *slog.Logger) *blockCache {
	c := &blockCache{log: log}
	recency, err := lru.NewLRU(max(1, size), func(to string, _ bool) { c.blocks.Delete(to) })
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	c.recency = recency
	return c
}

// reset empties the cache after watch events may have been missed.
func (c *blockCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recency.Purge()
	c.blocks = btree.Map[string, *Block]{}
	c.empty = false
	c.resets++
}

// applyChange stores the new value of a block from a watch event.
func (c *blockCache) applyChange(item wire.KeyValue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastChange = max(c.lastChange, item.Version)
	_, _ = c.insert(item) // insert logs and counts a value that can't be decoded
}

// insert decodes and caches the value of a block, unless the cache already has the same or a newer
// version. It returns the cached block. The caller must hold mu.
func (c *blockCache) insert(item wire.KeyValue) (*Block, error) {
	c.empty = false
	to := strings.TrimPrefix(item.Key, store.ArchivePrefix)
	if old, ok := c.blocks.Get(to); ok && old.Version >= item.Version {
		return old, nil
	}
	b, err := decodeBlock(item)
	if err != nil {
		c.recency.Remove(to)
		c.stats.Unreadable++
		c.log.Error("record not understood", "key", item.Key, "err", err)
		return nil, fmt.Errorf("%s: %w", item.Key, err)
	}
	c.blocks.Set(to, b)
	c.recency.Add(to, true)
	return b, nil
}

// decodeBlock decodes the record of a block, but not its jobs.
func decodeBlock(item wire.KeyValue) (*Block, error) {
	b := &Block{To: strings.TrimPrefix(item.Key, store.ArchivePrefix), Version: item.Version}
	if err := wire.DecodeValue(item.Value, &b.Record); err != nil {
		return nil, err
	}
	b.From = b.Record.From
	return b, nil
}

// find returns the cached block that covers a sort key. If the archive is known to be empty, it
// returns an unwritten block that covers every key.
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

// firstEndingAfter returns the first cached block whose upper bound is greater than key, or nil.
// The caller must hold mu.
func (c *blockCache) firstEndingAfter(key string) (b *Block) {
	c.blocks.Ascend(key, func(to string, at *Block) bool {
		if to == key {
			return true // To is exclusive: the following block begins at key
		}
		b = at
		return false
	})
	return b
}

// beginRead counts a read and returns the current number of resets. The caller passes it to
// insertPage, which uses it to detect a reset during the read.
func (c *blockCache) beginRead() (resets int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	return c.resets
}

// insertPage caches a page of blocks and returns the first of them. A page that is older than the
// latest known change, or whose read began before a reset, may be stale: it only serves the current
// request and is not cached.
func (c *blockCache) insertPage(page *wire.KeyValueList, resets int) (first *Block, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := c.resets == resets && page.Revision >= c.lastChange
	if len(page.Items) == 0 {
		c.empty = fresh
		return &Block{To: lastBlockKey}, nil
	}
	for i, item := range page.Items {
		var b *Block
		var itemErr error
		if fresh {
			b, itemErr = c.insert(item)
		} else {
			b, itemErr = decodeBlock(item)
		}
		if i == 0 {
			if itemErr != nil {
				return nil, fmt.Errorf("%s: %w", item.Key, itemErr)
			}
			first = b
		}
	}
	return first, nil
}

// applyOwnWrite caches blocks that this controller has written at a revision, without waiting for
// their watch events.
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

// countUnreadable counts a lookup that failed because the jobs of a block can't be decoded.
func (c *blockCache) countUnreadable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Unreadable++
}

// snapshotStats returns a copy of the current statistics.
func (c *blockCache) snapshotStats() CacheStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Cached = uint64(c.blocks.Len())
	return c.stats
}
