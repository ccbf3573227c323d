// Package archive stores ended jobs permanently, in blocks that partition the range of job ids, and
// looks them up.
//
// The key of a block is the exclusive upper bound of the sort keys that it covers. The first block
// key after the sort key of an id, in the key order of the state service, is therefore the block of
// that id: lookups need no index, and a controller does not read the archive when it starts.
// Compactor moves jobs into the archive. Reader reads blocks on demand, through a bounded cache
// that follows changes to them. Verify checks the consistency of a whole state.
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
	// readAhead is how many blocks one request reads: the requested block and those that follow it,
	// so that a cold cache fills with few requests.
	readAhead = 16
	// maxConcurrentReads bounds the concurrent reads. Each read returns the blocks of many jobs.
	// Reads share the request rate of this controller with the read barriers, which all other
	// responses wait for: one read for each lookup, as with a cold cache after a start, would
	// starve the barriers for as long as lookups arrive.
	maxConcurrentReads = 2
)

// errUncovered means that no block covers a sort key although the archive is not empty.
var errUncovered = errors.New("no archive block covers the key")

// Lister reads pages of keys from the state service.
type Lister interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error)
}

// Reader looks up jobs in the archive. It implements store.ArchiveObserver.
type Reader struct {
	store     Lister
	readSlots chan struct{} // semaphore: holds a token for each read in progress
	cache     *blockCache
}

// NewReader returns a reader whose cache holds at most the given number of blocks.
func NewReader(s Lister, blocks int, log *slog.Logger) *Reader {
	return &Reader{store: s, readSlots: make(chan struct{}, maxConcurrentReads), cache: newBlockCache(blocks, log)}
}

// Reset implements store.ArchiveObserver.
func (r *Reader) Reset() { r.cache.reset() }

// BlockChanged implements store.ArchiveObserver.
func (r *Reader) BlockChanged(key string, raw wire.Raw, version uint64) {
	r.cache.applyChange(wire.KeyValue{Key: key, Value: raw, Version: version})
}

// Stats returns the statistics of the block cache.
func (r *Reader) Stats() CacheStats { return r.cache.snapshotStats() }

// blockFor returns the block that covers a sort key, from the cache or else from the state service.
// A read continues after the context of its caller ends, so that later lookups find the block in
// the cache.
func (r *Reader) blockFor(ctx context.Context, key string) (*Block, error) {
	if b, ok := r.cache.find(key); ok {
		return b, nil
	}
	select {
	case r.readSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if b, ok := r.cache.find(key); ok { // another call has read it while this one waited
		<-r.readSlots
		return b, nil
	}
	type result struct {
		block *Block
		err   error
	}
	done := make(chan result, 1)
	go func() { // ends with the read, which the timeout of the client bounds
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

// fetch reads the block that covers a sort key, and some blocks that follow it, from the state
// service.
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
		return nil, fmt.Errorf("%w: %s; the next block is %s, which begins at %q", errUncovered, key, b.To, b.From)
	}
	return b, nil
}

// Find looks up a job. A job that is not found was not in the archive when Find was called.
func (r *Reader) Find(ctx context.Context, id string) (entry jobblock.Entry, found bool, err error) {
	b, err := r.blockFor(ctx, jobblock.SortKey(id))
	if err != nil {
		return jobblock.Entry{}, false, err
	}
	jobs, err := b.unpack()
	if err != nil {
		r.cache.countUnreadable()
		return jobblock.Entry{}, false, err
	}
	entry, found = jobs.Find(id)
	return entry, found, nil
}

// Cached looks up a job in the cache only.
func (r *Reader) Cached(id string) (jobblock.Entry, bool) {
	b, ok := r.cache.find(jobblock.SortKey(id))
	if !ok {
		return jobblock.Entry{}, false
	}
	jobs, err := b.unpack()
	if err != nil {
		return jobblock.Entry{}, false
	}
	return jobs.Find(id)
}
