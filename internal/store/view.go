package store

import (
	"cmp"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"

	"amberdeal.example/amberdeal/wire"
)

// Versioned is a record with the version of its key.
type Versioned[T any] struct {
	Record  T
	Version uint64
}

// Snapshot is a copy of what a holder decides on. Its maps are its own; what
// they point to is never changed.
type Snapshot struct {
	Revision    uint64
	CurrentAt   time.Time // everything that was in the store by then is in it
	LiveJobs    map[string]*LiveJob
	QuotaGrants Versioned[QuotaGrantRecord]
	Sharding    Versioned[ShardingRecord]
}

// ArchiveObserver is told what becomes of the blocks of the history.
type ArchiveObserver interface {
	// BlockChanged tells a block's new value, Reset that changes were missed.
	BlockChanged(key string, raw wire.Raw, version uint64)
	Reset()
}

// View is the content of the state service as last seen, but for the history.
// It is pure: lists and changes come in, in any order, and are applied once.
type View struct {
	log *slog.Logger
	// Archive follows the history, if it is set before the first list.
	Archive ArchiveObserver

	mu              sync.Mutex
	loaded          bool
	currentAt       time.Time
	revision        uint64
	batches         map[string]*Batch
	batchesOf       map[string][]*Batch // the homes of each job
	liveJobs        map[string]*LiveJob
	endedJobs       map[string]*JobRecord // jobs that are over and still have a home
	endedBatches    *btree.BTreeG[*Batch] // homes of which every job is over, the oldest first
	recentBlocks    map[int]RecentBlock
	segments        map[string]Versioned[wire.Raw]
	leaders         map[string]Versioned[LeaderRecord]
	fencingToken    Versioned[uint64]
	submissionFence Versioned[SubmissionFenceRecord]
	format          FormatRecord
	sharding        Versioned[ShardingRecord]
	quotaGrants     Versioned[QuotaGrantRecord]
	tiers           Versioned[TiersRecord]
	machineTypes    []wire.MachineType
	unreadable      map[string]error // records that were not understood
	changed         chan struct{}
}

// NewView gives an empty view that is not loaded.
func NewView(log *slog.Logger) *View {
	v := &View{log: log, changed: make(chan struct{})}
	v.reset()
	return v
}

func (v *View) reset() {
	v.batches = make(map[string]*Batch)
	v.batchesOf = make(map[string][]*Batch)
	v.liveJobs = make(map[string]*LiveJob)
	v.endedJobs = make(map[string]*JobRecord)
	v.endedBatches = btree.NewBTreeGOptions(func(a, b *Batch) bool {
		return cmp.Or(cmp.Compare(a.SinceRevision, b.SinceRevision), strings.Compare(a.Key, b.Key)) < 0
	}, btree.Options{NoLocks: true})
	v.recentBlocks = make(map[int]RecentBlock)
	v.segments = make(map[string]Versioned[wire.Raw])
	v.leaders = make(map[string]Versioned[LeaderRecord])
	v.unreadable = make(map[string]error)
	v.fencingToken, v.submissionFence = Versioned[uint64]{}, Versioned[SubmissionFenceRecord]{}
	v.sharding, v.quotaGrants = Versioned[ShardingRecord]{}, Versioned[QuotaGrantRecord]{}
	v.tiers = Versioned[TiersRecord]{}
	v.revision, v.format = 0, FormatRecord{}
	if v.Archive != nil {
		v.Archive.Reset()
	}
}

// Load replaces the content by a list that was begun at a revision, with the
// changes that came while it was read. Both are taken in at once: a mixture of
// pages from different moments must not be seen, in which a job may seem to
// begin in its second home.
func (v *View) Load(items []wire.KeyValue, revision uint64, since *wire.WatchResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && max(revision, since.Revision) < v.revision {
		return // a list that was overtaken by a barrier
	}
	v.reset()
	for _, it := range items {
		v.put(it.Key, it.Value, it.Version)
	}
	v.revision = revision
	v.apply(since)
	v.loaded = true
	v.notify()
}

// Apply takes in the changes of a watch. Revisions that were seen are skipped,
// because a late answer must not bring back a key that has since been dropped.
func (v *View) Apply(ch *wire.WatchResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded {
		return
	}
	v.apply(ch)
	if len(ch.Events) > 0 {
		v.notify()
	}
}

func (v *View) apply(ch *wire.WatchResponse) {
	seen := v.revision
	for _, e := range ch.Events {
		switch {
		case e.Version <= seen:
		case e.Delete != "":
			v.drop(e.Delete)
		default:
			v.put(e.Put, e.Value, e.Version)
		}
	}
	v.revision = max(seen, ch.Revision)
}

// ApplyOwnWrite takes in that this controller's own change of some homes was taken, ahead
// of the watch: what it does next must not be refused for its own sake.
func (v *View) ApplyOwnWrite(batches ...*Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range batches {
		if old := v.batches[h.Key]; old != nil && old.Version < h.Version {
			v.putBatch(h)
		}
	}
}

// MarkCurrent takes in that an answer which was asked for at a time has been taken in: all
// that was in the store by then is in the view.
func (v *View) MarkCurrent(requestedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && requestedAt.After(v.currentAt) {
		v.currentAt = requestedAt
	}
}

// CurrentAt tells up to when all that was in the store is surely in the view.
func (v *View) CurrentAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.currentAt
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// decodeRecord decodes a record; a malformed one is logged and left out.
func decodeRecord[T any](v *View, key string, raw wire.Raw) (T, bool) {
	var rec T
	if err := wire.DecodeValue(raw, &rec); err != nil {
		v.markUnreadable(key, err)
		return rec, false
	}
	delete(v.unreadable, key)
	return rec, true
}

func (v *View) markUnreadable(key string, err error) {
	v.log.Error("record not understood", "key", key, "error", err)
	v.unreadable[key] = err
}

func (v *View) put(key string, raw wire.Raw, version uint64) {
	kind, name := key, ""
	if i := strings.IndexByte(key[min(len(key), len(StatePrefix)):], '/'); i >= 0 {
		kind, name = key[:len(StatePrefix)+i+1], key[len(StatePrefix)+i+1:]
	}
	switch kind {
	case jobPrefix:
		if rec, ok := decodeRecord[JobRecord](v, key, raw); ok {
			v.putBatch(&Batch{key, version, version, []BatchJob{{name, rec}}, true})
		}
	case batchPrefix:
		if rec, ok := decodeRecord[BatchRecord](v, key, raw); ok {
			since := version
			if rec.Since > 0 {
				since = rec.Since
			}
			v.putBatch(&Batch{key, version, since, sortedJobs(rec.Jobs), false})
		}
	case recentPrefix:
		v.putRecentBlock(key, name, raw, version)
	case ledgerPrefix:
		v.segments[key] = Versioned[wire.Raw]{raw, version} // read by a new holder only
	case leaderPrefix:
		if rec, ok := decodeRecord[LeaderRecord](v, key, raw); ok {
			v.leaders[name] = Versioned[LeaderRecord]{rec, version}
		}
	case FencingTokenKey:
		if rec, ok := decodeRecord[uint64](v, key, raw); ok {
			v.fencingToken = Versioned[uint64]{rec, version}
		}
	case MachineTypesKey:
		if rec, ok := decodeRecord[MachineTypesRecord](v, key, raw); ok {
			v.machineTypes = rec.Types
		}
	case SubmissionFenceKey:
		if rec, ok := decodeRecord[SubmissionFenceRecord](v, key, raw); ok {
			v.submissionFence = Versioned[SubmissionFenceRecord]{rec, version}
		}
	case ShardingKey:
		if rec, ok := decodeRecord[ShardingRecord](v, key, raw); ok {
			v.sharding = Versioned[ShardingRecord]{rec, version}
		}
	case QuotaGrantKey:
		if rec, ok := decodeRecord[QuotaGrantRecord](v, key, raw); ok {
			v.quotaGrants = Versioned[QuotaGrantRecord]{rec, version}
		}
	case TiersKey:
		if rec, ok := decodeRecord[TiersRecord](v, key, raw); ok {
			v.tiers = Versioned[TiersRecord]{rec, version}
		}
	case FormatKey:
		if rec, ok := decodeRecord[FormatRecord](v, key, raw); ok {
			v.format = rec
		}
	default:
		if strings.HasPrefix(key, ArchivePrefix) && v.Archive != nil {
			v.Archive.BlockChanged(key, raw, version)
		}
	}
}

func (v *View) drop(key string) {
	delete(v.unreadable, key)
	switch {
	case strings.HasPrefix(key, batchPrefix), strings.HasPrefix(key, jobPrefix):
		if h := v.batches[key]; h != nil {
			delete(v.batches, key)
			v.detach(h)
			v.refresh(h)
		}
	case strings.HasPrefix(key, ledgerPrefix):
		delete(v.segments, key)
	case strings.HasPrefix(key, leaderPrefix):
		delete(v.leaders, strings.TrimPrefix(key, leaderPrefix))
	}
}

// Loaded reports whether the view has ever been complete.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded
}

// Revision is how far the view has come.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}
