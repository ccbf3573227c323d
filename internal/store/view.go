package store

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/wire"
)

// Versioned is a record with the version of its key; version 0 means that the key does not exist.
type Versioned[T any] struct {
	Record  T
	Version uint64
}

// Snapshot is a copy of the state on which a leader bases its decisions. The caller owns its maps;
// the values that they point to are immutable.
type Snapshot struct {
	Revision    uint64
	CurrentAt   time.Time // the snapshot includes all changes that were committed by then
	LiveJobs    map[string]*LiveJob
	QuotaGrants Versioned[QuotaGrantRecord]
	Sharding    Versioned[ShardingRecord]
}

// ArchiveObserver is notified of changes to the blocks of the archive, which a View does not store.
type ArchiveObserver interface {
	// BlockChanged is called with the new value of a block.
	BlockChanged(key string, raw wire.Raw, version uint64)
	// Reset is called when changes may have been missed.
	Reset()
}

// View is an in-memory copy of the state service's content, except the archive. It makes no calls:
// its user passes in lists and changes, in any order, and each change is applied once.
type View struct {
	log *slog.Logger
	// Archive observes the archive's blocks. It may be nil, and must be set before the first load.
	Archive ArchiveObserver

	mu         sync.Mutex
	loaded     bool
	currentAt  time.Time
	revision   uint64
	changed    chan struct{} // closed and replaced at each change
	jobs       jobIndex
	segments   ledgerSegments
	fleet      fleetRecords
	unreadable unreadableRecords
}

// fleetRecords holds the records of which there is one for the fleet, or one for each shard.
type fleetRecords struct {
	leaders         map[string]Versioned[LeaderRecord] // by shard
	fencingToken    Versioned[uint64]
	submissionFence Versioned[SubmissionFenceRecord]
	format          FormatRecord
	sharding        Versioned[ShardingRecord]
	quotaGrants     Versioned[QuotaGrantRecord]
	tiers           Versioned[TiersRecord]
	machineTypes    []wire.MachineType
}

// NewView returns an empty view that has not been loaded.
func NewView(log *slog.Logger) *View {
	v := &View{log: log, changed: make(chan struct{})}
	v.reset()
	return v
}

// reset discards everything except the machine types, which are retained across reloads.
func (v *View) reset() {
	v.jobs = newJobIndex()
	v.segments = make(ledgerSegments)
	v.fleet = fleetRecords{leaders: make(map[string]Versioned[LeaderRecord]), machineTypes: v.fleet.machineTypes}
	v.unreadable = unreadableRecords{log: v.log, errs: make(map[string]error)}
	v.revision = 0
	if v.Archive != nil {
		v.Archive.Reset()
	}
}

// Load replaces the content with a list whose first page is of the given revision, and applies the
// changes since then, which were committed while the list was read. Both become visible at once:
// the pages alone are of different revisions, so that a job's second batch could appear to be its
// first.
func (v *View) Load(items []wire.KeyValue, revision uint64, since *wire.WatchResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && max(revision, since.Revision) < v.revision {
		return // a barrier that overtook the list has already shown a later revision to its callers
	}
	v.reset()
	for _, kv := range items {
		v.put(kv)
	}
	v.revision = revision
	v.apply(since)
	v.loaded = true
	v.notify()
}

// Apply applies the changes of a watch. It skips revisions that were applied before, because a late
// response must not restore a key that has been deleted since.
func (v *View) Apply(changes *wire.WatchResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded {
		return
	}
	v.apply(changes)
	if len(changes.Events) > 0 {
		v.notify()
	}
}

// apply is Apply without locking and notification.
func (v *View) apply(changes *wire.WatchResponse) {
	seen := v.revision
	for _, event := range changes.Events {
		switch {
		case event.Version <= seen:
		case event.Delete != "":
			v.remove(event.Delete)
		default:
			v.put(wire.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version})
		}
	}
	v.revision = max(seen, changes.Revision)
}

// ApplyOwnWrite applies batches that this controller has written without waiting for the watch, so
// that the controller's next write does not conflict with its own previous one.
func (v *View) ApplyOwnWrite(batches ...*Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range batches {
		if old := v.jobs.batches[b.Key]; old != nil && old.Version < b.Version {
			v.jobs.putBatch(b)
		}
	}
}

// MarkCurrent records that the response to a request made at requestedAt has been applied, so that
// the view includes all changes that were committed by then.
func (v *View) MarkCurrent(requestedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && requestedAt.After(v.currentAt) {
		v.currentAt = requestedAt
	}
}

// CurrentAt returns the latest time for which the view is known to include all changes that were
// committed by then.
func (v *View) CurrentAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.currentAt
}

// notify wakes all receivers of the channel returned by Changed.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// splitKey splits a key into the prefix of its kind and the name after it. A key without a name,
// which is the only one of its kind, is returned whole as kind.
func splitKey(key string) (kind, name string) {
	start := min(len(key), len(StatePrefix))
	i := strings.IndexByte(key[start:], '/')
	if i < 0 {
		return key, ""
	}
	end := len(StatePrefix) + i + 1
	return key[:end], key[end:]
}

// put stores the newest value of a key.
func (v *View) put(kv wire.KeyValue) {
	kind, name := splitKey(kv.Key)
	switch kind {
	case jobPrefix:
		if rec, ok := decodeRecord[JobRecord](&v.unreadable, kv.Key, kv.Value); ok {
			v.jobs.putBatch(standaloneBatch(kv.Key, kv.Version, name, rec))
		}
	case batchPrefix:
		if rec, ok := decodeRecord[BatchRecord](&v.unreadable, kv.Key, kv.Value); ok {
			v.jobs.putBatch(newBatch(kv.Key, kv.Version, rec))
		}
	case recentPrefix:
		v.putRecentBlock(kv, name)
	case ledgerPrefix:
		v.segments[kv.Key] = Versioned[wire.Raw]{kv.Value, kv.Version}
	case leaderPrefix:
		if rec, ok := decodeRecord[LeaderRecord](&v.unreadable, kv.Key, kv.Value); ok {
			v.fleet.leaders[name] = Versioned[LeaderRecord]{rec, kv.Version}
		}
	default:
		v.putFleetRecord(kv)
	}
}

// putFleetRecord stores the newest value of a key that is the only one of its kind, and passes the
// blocks of the archive to its observer.
func (v *View) putFleetRecord(kv wire.KeyValue) {
	switch kv.Key {
	case FencingTokenKey:
		putVersioned(v, &v.fleet.fencingToken, kv)
	case SubmissionFenceKey:
		putVersioned(v, &v.fleet.submissionFence, kv)
	case ShardingKey:
		putVersioned(v, &v.fleet.sharding, kv)
	case QuotaGrantKey:
		putVersioned(v, &v.fleet.quotaGrants, kv)
	case TiersKey:
		putVersioned(v, &v.fleet.tiers, kv)
	case MachineTypesKey:
		if rec, ok := decodeRecord[MachineTypesRecord](&v.unreadable, kv.Key, kv.Value); ok {
			v.fleet.machineTypes = rec.Types
		}
	case FormatKey:
		if rec, ok := decodeRecord[FormatRecord](&v.unreadable, kv.Key, kv.Value); ok {
			v.fleet.format = rec
		}
	default:
		if strings.HasPrefix(kv.Key, ArchivePrefix) && v.Archive != nil {
			v.Archive.BlockChanged(kv.Key, kv.Value, kv.Version)
		}
	}
}

// putVersioned decodes a value into record, which stays unchanged if the value can't be decoded.
func putVersioned[T any](v *View, record *Versioned[T], kv wire.KeyValue) {
	if rec, ok := decodeRecord[T](&v.unreadable, kv.Key, kv.Value); ok {
		*record = Versioned[T]{rec, kv.Version}
	}
}

// putRecentBlock stores the newest value of a recent block. A block that can't be decoded is kept
// without its jobs, so that it is not overwritten.
func (v *View) putRecentBlock(kv wire.KeyValue, name string) {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 {
		v.unreadable.mark(kv.Key, fmt.Errorf("%q is not the number of a recent block", name))
		return
	}
	block := RecentBlock{Index: index, Version: kv.Version}
	if rec, ok := decodeRecord[jobblock.Record](&v.unreadable, kv.Key, kv.Value); ok {
		if block.Block, err = rec.Unpack(); err != nil {
			v.unreadable.mark(kv.Key, err)
		}
		block.Bytes = rec.Bytes()
	}
	v.jobs.putRecentBlock(block)
}

// remove applies the deletion of a key. Only batches, segments and leaders are deleted while
// controllers run; records of other kinds stay in the view until the next load.
func (v *View) remove(key string) {
	delete(v.unreadable.errs, key)
	switch {
	case strings.HasPrefix(key, batchPrefix), strings.HasPrefix(key, jobPrefix):
		v.jobs.removeBatch(key)
	case strings.HasPrefix(key, ledgerPrefix):
		delete(v.segments, key)
	case strings.HasPrefix(key, leaderPrefix):
		delete(v.fleet.leaders, strings.TrimPrefix(key, leaderPrefix))
	}
}
