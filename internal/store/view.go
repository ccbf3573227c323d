package store

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"amberdeal.example/amberdeal/wire"
)

// Versioned is a record with the version of its key.
type Versioned[T any] struct {
	Record  T
	Version uint64
}

// LiveJob is a job that is neither done nor cancelled.
type LiveJob struct {
	Versioned[JobRecord]
	Finished *Bits
	Blocks   map[int]bool // progress records that exist
}

// Snapshot is a copy of what a holder decides on. Its maps are its own; what
// they point to is never changed.
type Snapshot struct {
	Revision uint64
	Live     map[string]*LiveJob
	Machines map[string]MachineRecord
	Asks     map[string]AskRecord
}

// View is the state service's content as last seen. It is pure: lists and
// changes come in, in any order, and are applied once.
type View struct {
	log *slog.Logger

	mu       sync.Mutex
	loaded   bool
	revision uint64
	live     map[string]*LiveJob
	final    map[string]Versioned[JobRecord]
	machines map[string]MachineRecord
	asks     map[string]AskRecord
	parts    map[string]Versioned[PartRecord]
	rounds   map[string]Versioned[RoundRecord]
	term     Versioned[uint64]
	types    []wire.MachineType
	changed  chan struct{}
}

// NewView gives an empty view that is not loaded.
func NewView(log *slog.Logger) *View {
	v := &View{log: log, changed: make(chan struct{})}
	v.clear()
	return v
}

func (v *View) clear() {
	v.live = make(map[string]*LiveJob)
	v.final = make(map[string]Versioned[JobRecord])
	v.machines = make(map[string]MachineRecord)
	v.asks = make(map[string]AskRecord)
	v.parts = make(map[string]Versioned[PartRecord])
	v.rounds = make(map[string]Versioned[RoundRecord])
	v.term = Versioned[uint64]{}
	v.revision = 0
}

// Load replaces the content by a list that was begun at a revision. Items may
// be newer than that; the changes after it are applied again on top.
func (v *View) Load(items []wire.Item, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && revision < v.revision {
		return // a list that was overtaken by a barrier
	}
	v.clear()
	// Progress sorts after the jobs that it belongs to.
	for _, it := range items {
		v.put(it.Key, it.Value, it.Version)
	}
	v.revision, v.loaded = revision, true
	v.wake()
}

// Apply takes in the changes of a watch. Revisions that were seen are skipped,
// because a late answer must not bring back a key that has since been dropped.
func (v *View) Apply(ch *wire.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded {
		return
	}
	seen := v.revision
	for _, e := range ch.Events {
		if e.Version <= seen {
			continue
		}
		if e.Delete != "" {
			v.drop(e.Delete)
		} else {
			v.put(e.Put, e.Value, e.Version)
		}
	}
	if ch.Revision > seen {
		v.revision = ch.Revision
	}
	if len(ch.Events) > 0 {
		v.wake()
	}
}

func (v *View) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// read decodes a record; a malformed one is logged and left out.
func read[T any](v *View, key string, raw wire.Raw) (T, bool) {
	var rec T
	if err := wire.DecodeValue(raw, &rec); err != nil {
		v.log.Error("record not understood", "key", key, "error", err)
		return rec, false
	}
	return rec, true
}

func (v *View) put(key string, raw wire.Raw, version uint64) {
	switch {
	case strings.HasPrefix(key, jobs):
		if rec, ok := read[JobRecord](v, key, raw); ok {
			v.putJob(strings.TrimPrefix(key, jobs), rec, version)
		}
	case strings.HasPrefix(key, progress):
		job, block, ok := splitProgress(key)
		text, ok2 := read[string](v, key, raw)
		if live := v.live[job]; ok && ok2 && live != nil {
			// Snapshots share the job: give the view a new one.
			next := *live
			next.Finished = NewBits(live.Record.Tasks)
			*next.Finished = Bits{slices.Clone(live.Finished.words), live.Finished.count}
			next.Finished.Merge(block, text)
			next.Blocks = maps.Clone(live.Blocks)
			next.Blocks[block] = true
			v.live[job] = &next
		}
	case strings.HasPrefix(key, machines):
		if rec, ok := read[MachineRecord](v, key, raw); ok {
			v.machines[strings.TrimPrefix(key, machines)] = rec
		}
	case strings.HasPrefix(key, asks):
		if rec, ok := read[AskRecord](v, key, raw); ok {
			v.asks[strings.TrimPrefix(key, asks)] = rec
		}
	case strings.HasPrefix(key, parts):
		if rec, ok := read[PartRecord](v, key, raw); ok {
			v.parts[strings.TrimPrefix(key, parts)] = Versioned[PartRecord]{rec, version}
		}
	case strings.HasPrefix(key, rounds):
		if rec, ok := read[RoundRecord](v, key, raw); ok {
			v.rounds[strings.TrimPrefix(key, rounds)] = Versioned[RoundRecord]{rec, version}
		}
	case key == TermKey:
		if rec, ok := read[uint64](v, key, raw); ok {
			v.term = Versioned[uint64]{rec, version}
		}
	case key == TypesKey:
		if rec, ok := read[TypesRecord](v, key, raw); ok {
			v.types = rec.Types
		}
	}
}

func (v *View) putJob(id string, rec JobRecord, version uint64) {
	if rec.Stage.Final() || rec.Job == nil {
		delete(v.live, id)
		v.final[id] = Versioned[JobRecord]{rec, version}
		return
	}
	if _, over := v.final[id]; over {
		return // a change from before the list was read, applied again
	}
	v.live[id] = &LiveJob{Versioned[JobRecord]{rec, version}, NewBits(rec.Tasks), map[int]bool{}}
}

func (v *View) drop(key string) {
	switch {
	case strings.HasPrefix(key, machines):
		delete(v.machines, strings.TrimPrefix(key, machines))
	case strings.HasPrefix(key, asks):
		delete(v.asks, strings.TrimPrefix(key, asks))
	case strings.HasPrefix(key, parts):
		delete(v.parts, strings.TrimPrefix(key, parts))
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

// Job looks a job up; its description is there only while it is live.
func (v *View) Job(id string) (rec JobRecord, version uint64, finished int, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f, ok := v.final[id]; ok {
		return f.Record, f.Version, 0, true
	}
	if l, ok := v.live[id]; ok {
		return l.Record, l.Version, l.Finished.Count(), true
	}
	return JobRecord{}, 0, 0, false
}

// Part tells who holds a part.
func (v *View) Part(part string) (Versioned[PartRecord], bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.parts[part]
	return p, ok
}

// Term gives the counter of terms; version 0 means that there is none yet.
func (v *View) Term() Versioned[uint64] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.term
}

// Round gives the last round of a part; version 0 means that there was none.
func (v *View) Round(part string) Versioned[RoundRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rounds[part]
}

// Types gives the machine types kept in the store, if any.
func (v *View) Types() []wire.MachineType {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.types
}

// Snapshot copies what a holder decides on.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Snapshot{v.revision, maps.Clone(v.live), maps.Clone(v.machines), maps.Clone(v.asks)}
}
