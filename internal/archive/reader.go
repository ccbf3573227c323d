// Package archive keeps ended jobs for good, in blocks that divide all ids among them, and
// finds them again.
//
// A block's key is the first id that it no longer covers, so that the key that follows an
// id, in the order of the state service, is that of its block: no index is needed, and a
// controller that starts reads none of it. Compactor moves jobs there; Reader reads blocks on
// demand, through a bounded cache that follows their changes. Verify checks a whole state.
package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// readAhead is how many blocks are read together: the one that was asked for and those
	// that follow it, so that a cache fills with few requests.
	readAhead = 16
	// maxConcurrentReads bounds the reads that are under way. Each brings the blocks of many
	// jobs, and they share this controller's requests with the read barriers, for which all
	// other answers wait: with a read for each question, as after a start, there would be no
	// barrier for as long as questions come.
	maxConcurrentReads = 2
)

// errUncovered means that no block covers a key although there are others.
var errUncovered = errors.New("no block of the history covers it")

// Lister reads pages of keys.
type Lister interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error)
}

// Reader finds jobs in the archive. It implements store.ArchiveObserver.
type Reader struct {
	store     Lister
	readSlots chan struct{} // holds a token for each read that is under way
	cache     *blockCache
}

// NewReader returns a reader with a cache of so many blocks.
func NewReader(s Lister, blocks int, log *slog.Logger) *Reader {
	return &Reader{store: s, readSlots: make(chan struct{}, maxConcurrentReads), cache: newBlockCache(blocks, log)}
}

// Reset implements store.ArchiveObserver.
func (r *Reader) Reset() { r.cache.reset() }

// BlockChanged implements store.ArchiveObserver.
func (r *Reader) BlockChanged(key string, raw wire.Raw, version uint64) {
	r.cache.applyChange(wire.KeyValue{Key: key, Value: raw, Version: version})
}

// Stats returns the counts of the cache.
func (r *Reader) Stats() CacheStats { return r.cache.snapshotStats() }

// blockFor returns the block that covers a key, and reads it if need be. A read goes on when
// its caller has gone, for those who ask later.
func (r *Reader) blockFor(ctx context.Context, key string) (*Block, error) {
	if b, ok := r.cache.find(key); ok {
		return b, nil
	}
	select {
	case r.readSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if b, ok := r.cache.find(key); ok { // another call has read it meanwhile
		<-r.readSlots
		return b, nil
	}
	type result struct {
		block *Block
		err   error
	}
	done := make(chan result, 1)
	go func() { // ends with its read, which is bounded by the client's timeout
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

// fetch reads the block of a key, and some that follow it, from the state service.
func (r *Reader) fetch(ctx context.Context, key string) (*Block, error) {
	resets := r.cache.beginRead()
	page, err := r.store.List(ctx, store.ArchivePrefix, store.ArchivePrefix+key, readAhead)
	if err != nil {
		return nil, fmt.Errorf("read archive block of %s: %w", key, err)
	}
	b, err := r.cache.insertPage(page, resets)
	if err != nil {
		return nil, err
	}
	if !b.covers(key) {
		return nil, fmt.Errorf("%w: %s, next is %s from %q", errUncovered, key, b.To, b.From)
	}
	return b, nil
}

// Find looks up a job. One that is not found was not in the archive when Find was called.
func (r *Reader) Find(ctx context.Context, id string) (entry jobblock.Entry, found bool, err error) {
	b, err := r.blockFor(ctx, jobblock.SortKey(id))
	if err != nil {
		return jobblock.Entry{}, false, err
	}
	blk, err := b.unpack()
	if err != nil {
		r.cache.countUnreadable()
		return jobblock.Entry{}, false, err
	}
	entry, found = blk.Find(id)
	return entry, found, nil
}

// Cached looks up a job in memory only.
func (r *Reader) Cached(id string) (jobblock.Entry, bool) {
	b, ok := r.cache.find(jobblock.SortKey(id))
	if !ok {
		return jobblock.Entry{}, false
	}
	blk, err := b.unpack()
	if err != nil {
		return jobblock.Entry{}, false
	}
	return blk.Find(id)
}
