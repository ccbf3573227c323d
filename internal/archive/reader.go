// Package archive keeps the jobs that are over, for ever, in blocks that divide
// all ids among them, and finds them there again.
//
// A block's key is the first id that it no longer covers, so that the key after
// an id, in the order of the state service, is its block: no index is needed, and
// a controller that starts reads none of it. Folder brings jobs there; Reader
// reads blocks by need, through a bounded cache that follows the changes.
package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/tidwall/btree"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// readAhead is how many blocks are read together: what was asked for and the next
// ones, so that a cache fills with few requests.
const readAhead = 16

// Lister reads pages of keys.
type Lister interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error)
}

// Reader finds jobs in the history.
type Reader struct {
	store     Lister
	log       *slog.Logger
	readSlots chan struct{} // a place for each that is under way

	mu         sync.Mutex
	blocks     btree.Map[string, *Block] // by To
	recency    *lru.LRU[string, bool]
	empty      bool   // there is no block at all
	lastChange uint64 // revision of the last change of any block
	resets     int
	stats      CacheStats
}

// CacheStats tells how often a block was looked for, and read for that.
type CacheStats struct{ Hits, Reads, Cached, Unreadable uint64 }

// NewReader gives a reader with a cache of so many blocks.
func NewReader(s Lister, blocks int, log *slog.Logger) *Reader {
	r := &Reader{store: s, log: log, readSlots: make(chan struct{}, maxConcurrentReads)}
	used, err := lru.NewLRU(max(1, blocks), func(to string, _ bool) { r.blocks.Delete(to) })
	if err != nil {
		panic(err) // only a size below 1 can do this
	}
	r.recency = used
	return r
}

// Reset implements store.Blocks.
func (r *Reader) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recency.Purge()
	r.blocks = btree.Map[string, *Block]{}
	r.empty = false
	r.resets++
}

// BlockChanged implements store.Blocks.
func (r *Reader) BlockChanged(key string, raw wire.Raw, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastChange = max(r.lastChange, version)
	r.insert(key, raw, version)
}

// insert takes in a block's value unless a newer one is known.
func (r *Reader) insert(key string, raw wire.Raw, version uint64) (*Block, error) {
	r.empty = false
	b := &Block{To: strings.TrimPrefix(key, store.ArchivePrefix), Version: version}
	if old, ok := r.blocks.Get(b.To); ok && old.Version >= version {
		return old, nil
	}
	if err := wire.DecodeValue(raw, &b.Record); err != nil {
		r.recency.Remove(b.To)
		r.stats.Unreadable++
		r.log.Error("record not understood", "key", key, "error", err)
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	b.From = b.Record.From
	r.blocks.Set(b.To, b)
	r.recency.Add(b.To, true)
	return b, nil
}

// Stats tells how the cache does.
func (r *Reader) Stats() CacheStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Cached = uint64(r.blocks.Len())
	return r.stats
}

// cached gives the block of a key if it is in memory.
func (r *Reader) cached(key string) (*Block, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.empty {
		return &Block{To: lastBlock}, true
	}
	var b *Block
	r.blocks.Ascend(key, func(to string, at *Block) bool {
		if to == key {
			return true // that key is the first of the next block
		}
		b = at
		return false
	})
	if b == nil || !b.covers(key) {
		return nil, false
	}
	r.recency.Get(b.To)
	r.stats.Hits++
	return b, true
}

// errUncovered means that no block covers a key although others are there.
var errUncovered = errors.New("no block of the history covers it")

// maxConcurrentReads bounds the reads that are under way. Each brings the blocks of many, and they share
// this controller's requests with the barriers, which all other answers wait for: as many reads
// as there are questions, after a start, would keep those away for as long as more come.
const maxConcurrentReads = 2

// blockFor gives the block that covers a key, read if need be. A read goes on when whoever asked
// has gone, for those who come after.
func (r *Reader) blockFor(ctx context.Context, key string) (*Block, error) {
	if b, ok := r.cached(key); ok {
		return b, nil
	}
	select {
	case r.readSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if b, ok := r.cached(key); ok { // another has read it meanwhile
		<-r.readSlots
		return b, nil
	}
	type result struct {
		block *Block
		err   error
	}
	done := make(chan result, 1)
	go func() {
		b, err := r.fetch(context.WithoutCancel(ctx), key)
		<-r.readSlots
		done <- result{b, err}
	}()
	select {
	case res := <-done:
		return res.block, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fetch asks the state service for a key's block and some that follow it. What
// was read before a change that is known already is not kept.
func (r *Reader) fetch(ctx context.Context, key string) (*Block, error) {
	r.mu.Lock()
	resets := r.resets
	r.stats.Reads++
	r.mu.Unlock()
	page, err := r.store.List(ctx, store.ArchivePrefix, store.ArchivePrefix+key, readAhead)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.resets == resets && page.Revision >= r.lastChange
	if len(page.Items) == 0 {
		r.empty = fresh
		return &Block{To: lastBlock}, nil
	}
	var found *Block
	for i, it := range page.Items {
		b := &Block{To: strings.TrimPrefix(it.Key, store.ArchivePrefix), Version: it.Version}
		if fresh {
			b, err = r.insert(it.Key, it.Value, it.Version)
		} else if err = wire.DecodeValue(it.Value, &b.Record); err == nil {
			b.From = b.Record.From
		}
		if i == 0 {
			if err != nil {
				return nil, fmt.Errorf("%s: %w", it.Key, err)
			}
			found = b
		}
	}
	if !found.covers(key) {
		return nil, fmt.Errorf("%w: %s, next is %s from %q", errUncovered, key, found.To, found.From)
	}
	return found, nil
}

// Find looks a job up. One that is not found was not in the history when Find was
// called.
func (r *Reader) Find(ctx context.Context, id string) (jobblock.Entry, bool, error) {
	b, err := r.blockFor(ctx, jobblock.SortKey(id))
	if err != nil {
		return jobblock.Entry{}, false, err
	}
	blk, err := b.unpack()
	if err != nil {
		r.mu.Lock()
		r.stats.Unreadable++
		r.mu.Unlock()
		return jobblock.Entry{}, false, err
	}
	e, ok := blk.Find(id)
	return e, ok, nil
}

// Cached looks a job up in memory only.
func (r *Reader) Cached(id string) (jobblock.Entry, bool) {
	b, ok := r.cached(jobblock.SortKey(id))
	if !ok {
		return jobblock.Entry{}, false
	}
	blk, err := b.unpack()
	if err != nil {
		return jobblock.Entry{}, false
	}
	return blk.Find(id)
}

// applyOwnWrite takes in blocks that were written here, ahead of the watch.
func (r *Reader) applyOwnWrite(parts []*Block, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.empty = false
	r.lastChange = max(r.lastChange, revision)
	for _, p := range parts {
		if old, ok := r.blocks.Get(p.To); ok && old.Version >= revision {
			continue
		}
		b := *p
		b.Version = revision
		r.blocks.Set(b.To, &b)
		r.recency.Add(b.To, true)
	}
}
