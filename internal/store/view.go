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

// Versioned is a record with the version of its key; version 0 means that the key is absent.
type Versioned[T any] struct {
	Record  T
	Version uint64
}

// Snapshot is a copy of what a leader's decisions are based on. Its maps belong to the
// caller; what they point to is never changed.
type Snapshot struct {
	Revision    uint64
	CurrentAt   time.Time // all changes that were committed by then are in it
	LiveJobs    map[string]*LiveJob
	QuotaGrants Versioned[QuotaGrantRecord]
	Sharding    Versioned[ShardingRecord]
}

// ArchiveObserver follows the blocks of the archive, which a View does not keep.
type ArchiveObserver interface {
	// BlockChanged gives a block's new value.
	BlockChanged(key string, raw wire.Raw, version uint64)
	// Reset says that changes may have been missed.
	Reset()
}

// View is the content of the state service as last seen, but for the archive. It makes no
// calls: lists and changes come in, in any order, and each is applied once.
type View struct {
	log *slog.Logger
	// Archive follows the archive's blocks, if it is set before the first load.
	Archive ArchiveObserver

	mu         sync.Mutex
	loaded     bool
	currentAt  time.Time
	revision   uint64
	changed    chan struct{} // closed at the next change
	jobs       jobIndex
	segments   ledgerSegments
	fleet      fleetRecords
	unreadable unreadableRecords
}

// fleetRecords are the records of which there is one for the fleet, or one for each shard.
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

// NewView returns an empty view that is not loaded.
func NewView(log *slog.Logger) *View {
	v := &View{log: log, changed: make(chan struct{})}
	v.reset()
	return v
}

// reset forgets everything but the machine types, which outlive a state that is loaded again.
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

// Load replaces the content by a list that began at a revision, and the changes that came
// while it was read. Both are taken at once: pages of different revisions must not be seen
// without the changes between them, or a job may seem to begin in its second batch.
func (v *View) Load(items []wire.KeyValue, revision uint64, since *wire.WatchResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && max(revision, since.Revision) < v.revision {
		return // a barrier was faster, and its callers have seen more
	}
	v.reset()
	for _, it := range items {
		v.put(it)
	}
	v.revision = revision
	v.apply(since)
	v.loaded = true
	v.notify()
}

// Apply takes the changes of a watch. Revisions that were seen are skipped, because a late
// response must not bring back a key that was deleted since.
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
			v.remove(e.Delete)
		default:
			v.put(wire.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version})
		}
	}
	v.revision = max(seen, ch.Revision)
}

// ApplyOwnWrite takes batches that this controller has written, ahead of the watch: its next
// write must not be refused because of its own last one.
func (v *View) ApplyOwnWrite(batches ...*Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range batches {
		if old := v.jobs.batches[b.Key]; old != nil && old.Version < b.Version {
			v.jobs.putBatch(b)
		}
	}
}

// MarkCurrent says that the response to a request made at a time was applied: all changes
// that were committed by then are in the view.
func (v *View) MarkCurrent(requestedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && requestedAt.After(v.currentAt) {
		v.currentAt = requestedAt
	}
}

// CurrentAt returns the time by which all committed changes are in the view.
func (v *View) CurrentAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.currentAt
}

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

// splitKey returns the prefix of a key's kind, and the name after it, or the whole key for
// one of which there is only one.
func splitKey(key string) (kind, name string) {
	start := min(len(key), len(StatePrefix))
	i := strings.IndexByte(key[start:], '/')
	if i < 0 {
		return key, ""
	}
	end := len(StatePrefix) + i + 1
	return key[:end], key[end:]
}

// put takes the newest value of a key.
func (v *View) put(it wire.KeyValue) {
	kind, name := splitKey(it.Key)
	switch kind {
	case jobPrefix:
		if rec, ok := decodeRecord[JobRecord](&v.unreadable, it.Key, it.Value); ok {
			v.jobs.putBatch(standaloneBatch(it.Key, it.Version, name, rec))
		}
	case batchPrefix:
		if rec, ok := decodeRecord[BatchRecord](&v.unreadable, it.Key, it.Value); ok {
			v.jobs.putBatch(newBatch(it.Key, it.Version, rec))
		}
	case recentPrefix:
		v.putRecentBlock(it, name)
	case ledgerPrefix:
		v.segments[it.Key] = Versioned[wire.Raw]{it.Value, it.Version}
	case leaderPrefix:
		if rec, ok := decodeRecord[LeaderRecord](&v.unreadable, it.Key, it.Value); ok {
			v.fleet.leaders[name] = Versioned[LeaderRecord]{rec, it.Version}
		}
	default:
		v.putFleetRecord(it)
	}
}

// putFleetRecord takes the newest value of a key of which there is only one, or of the archive.
func (v *View) putFleetRecord(it wire.KeyValue) {
	switch it.Key {
	case FencingTokenKey:
		putVersioned(v, &v.fleet.fencingToken, it)
	case SubmissionFenceKey:
		putVersioned(v, &v.fleet.submissionFence, it)
	case ShardingKey:
		putVersioned(v, &v.fleet.sharding, it)
	case QuotaGrantKey:
		putVersioned(v, &v.fleet.quotaGrants, it)
	case TiersKey:
		putVersioned(v, &v.fleet.tiers, it)
	case MachineTypesKey:
		if rec, ok := decodeRecord[MachineTypesRecord](&v.unreadable, it.Key, it.Value); ok {
			v.fleet.machineTypes = rec.Types
		}
	case FormatKey:
		if rec, ok := decodeRecord[FormatRecord](&v.unreadable, it.Key, it.Value); ok {
			v.fleet.format = rec
		}
	default:
		if strings.HasPrefix(it.Key, ArchivePrefix) && v.Archive != nil {
			v.Archive.BlockChanged(it.Key, it.Value, it.Version)
		}
	}
}

// putVersioned decodes a record in place; one that can't be decoded changes nothing.
func putVersioned[T any](v *View, record *Versioned[T], it wire.KeyValue) {
	if rec, ok := decodeRecord[T](&v.unreadable, it.Key, it.Value); ok {
		*record = Versioned[T]{rec, it.Version}
	}
}

// putRecentBlock takes the newest value of a recent block. One that can't be decoded is kept
// without its jobs, so that nobody writes over it.
func (v *View) putRecentBlock(it wire.KeyValue, name string) {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 {
		v.unreadable.mark(it.Key, fmt.Errorf("%q is not the number of a recent block", name))
		return
	}
	r := RecentBlock{Index: index, Version: it.Version}
	if rec, ok := decodeRecord[jobblock.Record](&v.unreadable, it.Key, it.Value); ok {
		if r.Block, err = rec.Unpack(); err != nil {
			v.unreadable.mark(it.Key, err)
		}
		r.Bytes = rec.Bytes()
	}
	v.jobs.putRecentBlock(r)
}

// remove takes the deletion of a key. Only batches, segments and leaders are deleted while
// controllers run; records of other kinds are kept until the next load.
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
