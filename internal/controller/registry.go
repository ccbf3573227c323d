package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/leadership"
)

// ledShard is a shard that this controller leads, together with what stops its leader.
type ledShard struct {
	*leader.Leader
	compactor *archive.Compactor // nil if the leader of another shard compacts
	tenure    leadership.Tenure
	stop      context.CancelFunc
	done      chan struct{} // closed once the leader's goroutines have returned
}

// shardRegistry holds the shards that this controller leads.
type shardRegistry struct {
	mu        sync.Mutex
	byName    map[string]*ledShard
	changedAt time.Time // when a shard was last won, lost or given up
}

func newShardRegistry() *shardRegistry { return &shardRegistry{byName: make(map[string]*ledShard)} }

// get returns a shard, or nil if this controller does not lead it.
func (r *shardRegistry) get(shard string) *ledShard {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[shard]
}

// all returns the shards that this controller leads, in no particular order.
func (r *shardRegistry) all() []*ledShard {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.byName))
}

func (r *shardRegistry) add(now time.Time, s *ledShard) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[s.tenure.Shard], r.changedAt = s, now
}

func (r *shardRegistry) remove(shard string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byName, shard)
	r.changedAt = time.Now()
}

// unchangedFor returns the time since this controller last won, lost or gave up a shard.
func (r *shardRegistry) unchangedFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.changedAt)
}
