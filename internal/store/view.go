package store

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/wire"
)

// Versioned is a record with the version of its key.
type Versioned[T any] struct {
	Record  T
	Version uint64
}

// LiveJob is a job that is neither done nor cancelled. Since is the revision
// from which on it is known.
type LiveJob struct {
	Record JobRecord
	Home   *Home
	Since  uint64
}

// Snapshot is a copy of what a holder decides on. Its maps are its own; what
// they point to is never changed.
type Snapshot struct {
	Revision uint64
	Fresh    time.Time // everything that was in the store by then is in it
	Live     map[string]*LiveJob
	Grants   Versioned[GrantRecord]
	Grouping Versioned[GroupingRecord]
}

// Recent is a block of jobs that are over and on their way into the history.
type Recent struct {
	Slot    int
	Version uint64
	Block   *jobblock.Block // nil where it was not understood
	Bytes   int
}

// Blocks is told what becomes of the blocks of the history.
type Blocks interface {
	// Changed tells a block's new value, Reset that changes were missed.
	Changed(key string, raw wire.Raw, version uint64)
	Reset()
}

// View is the content of the state service as last seen, but for the history.
// It is pure: lists and changes come in, in any order, and are applied once.
type View struct {
	log *slog.Logger
	// Blocks follows the history, if it is set before the first list.
	Blocks Blocks

	mu       sync.Mutex
	loaded   bool
	fresh    time.Time
	revision uint64
	homes    map[string]*Home
	in       map[string][]*Home // the homes of each job
	live     map[string]*LiveJob
	final    map[string]*JobRecord // jobs that are over and still have a home
	over     *btree.BTreeG[*Home]  // homes of which every job is over, the oldest first
	recents  map[int]Recent
	slots    map[string]Versioned[wire.Raw]
	parts    map[string]Versioned[PartRecord]
	term     Versioned[uint64]
	gate     Versioned[GateRecord]
	format   FormatRecord
	grouping Versioned[GroupingRecord]
	grants   Versioned[GrantRecord]
	tiers    Versioned[TiersRecord]
	types    []wire.MachineType
	broken   map[string]error // records that were not understood
	changed  chan struct{}
}

// NewView gives an empty view that is not loaded.
func NewView(log *slog.Logger) *View {
	v := &View{log: log, changed: make(chan struct{})}
	v.clear()
	return v
}

func (v *View) clear() {
	v.homes = make(map[string]*Home)
	v.in = make(map[string][]*Home)
	v.live = make(map[string]*LiveJob)
	v.final = make(map[string]*JobRecord)
	v.over = btree.NewBTreeGOptions(func(a, b *Home) bool {
		return cmp.Or(cmp.Compare(a.Since, b.Since), strings.Compare(a.Key, b.Key)) < 0
	}, btree.Options{NoLocks: true})
	v.recents = make(map[int]Recent)
	v.slots = make(map[string]Versioned[wire.Raw])
	v.parts = make(map[string]Versioned[PartRecord])
	v.broken = make(map[string]error)
	v.term, v.gate = Versioned[uint64]{}, Versioned[GateRecord]{}
	v.grouping, v.grants = Versioned[GroupingRecord]{}, Versioned[GrantRecord]{}
	v.tiers = Versioned[TiersRecord]{}
	v.revision, v.format = 0, FormatRecord{}
	if v.Blocks != nil {
		v.Blocks.Reset()
	}
}

// Load replaces the content by a list that was begun at a revision, with the
// changes that came while it was read. Both are taken in at once: a mixture of
// pages from different moments must not be seen, in which a job may seem to
// begin in its second home.
func (v *View) Load(items []wire.Item, revision uint64, since *wire.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && max(revision, since.Revision) < v.revision {
		return // a list that was overtaken by a barrier
	}
	v.clear()
	for _, it := range items {
		v.put(it.Key, it.Value, it.Version)
	}
	v.revision = revision
	v.apply(since)
	v.loaded = true
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
	v.apply(ch)
	if len(ch.Events) > 0 {
		v.wake()
	}
}

func (v *View) apply(ch *wire.Changes) {
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

// Wrote takes in that this controller's own change of some homes was taken, ahead
// of the watch: what it does next must not be refused for its own sake.
func (v *View) Wrote(homes ...*Home) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range homes {
		if old := v.homes[h.Key]; old != nil && old.Version < h.Version {
			v.putHome(h)
		}
	}
}

// Reached takes in that an answer which was asked for at a time has been taken in: all
// that was in the store by then is in the view.
func (v *View) Reached(asked time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded && asked.After(v.fresh) {
		v.fresh = asked
	}
}

// CurrentAt tells up to when all that was in the store is surely in the view.
func (v *View) CurrentAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fresh
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
		v.breaks(key, err)
		return rec, false
	}
	delete(v.broken, key)
	return rec, true
}

func (v *View) breaks(key string, err error) {
	v.log.Error("record not understood", "key", key, "error", err)
	v.broken[key] = err
}

func (v *View) put(key string, raw wire.Raw, version uint64) {
	kind, name := key, ""
	if i := strings.IndexByte(key[min(len(key), len(Root)):], '/'); i >= 0 {
		kind, name = key[:len(Root)+i+1], key[len(Root)+i+1:]
	}
	switch kind {
	case jobs:
		if rec, ok := read[JobRecord](v, key, raw); ok {
			v.putHome(&Home{key, version, version, []Member{{name, rec}}, true})
		}
	case batches:
		if rec, ok := read[BatchRecord](v, key, raw); ok {
			since := version
			if rec.Since > 0 {
				since = rec.Since
			}
			v.putHome(&Home{key, version, since, members(rec.Jobs), false})
		}
	case recents:
		v.putRecent(key, name, raw, version)
	case ledgers:
		v.slots[key] = Versioned[wire.Raw]{raw, version} // read by a new holder only
	case parts:
		if rec, ok := read[PartRecord](v, key, raw); ok {
			v.parts[name] = Versioned[PartRecord]{rec, version}
		}
	case TermKey:
		if rec, ok := read[uint64](v, key, raw); ok {
			v.term = Versioned[uint64]{rec, version}
		}
	case TypesKey:
		if rec, ok := read[TypesRecord](v, key, raw); ok {
			v.types = rec.Types
		}
	case GateKey:
		if rec, ok := read[GateRecord](v, key, raw); ok {
			v.gate = Versioned[GateRecord]{rec, version}
		}
	case GroupingKey:
		if rec, ok := read[GroupingRecord](v, key, raw); ok {
			v.grouping = Versioned[GroupingRecord]{rec, version}
		}
	case GrantKey:
		if rec, ok := read[GrantRecord](v, key, raw); ok {
			v.grants = Versioned[GrantRecord]{rec, version}
		}
	case TiersKey:
		if rec, ok := read[TiersRecord](v, key, raw); ok {
			v.tiers = Versioned[TiersRecord]{rec, version}
		}
	case FormatKey:
		if rec, ok := read[FormatRecord](v, key, raw); ok {
			v.format = rec
		}
	default:
		if strings.HasPrefix(key, History) && v.Blocks != nil {
			v.Blocks.Changed(key, raw, version)
		}
	}
}

// putHome takes in a home's newest value.
func (v *View) putHome(h *Home) {
	old := v.homes[h.Key]
	if old != nil && old.Version >= h.Version {
		return // taken in ahead of the watch
	}
	v.homes[h.Key] = h
	if old != nil {
		v.leave(old)
	}
	for _, m := range h.Jobs {
		v.in[m.ID] = append(v.in[m.ID], h)
	}
	v.settle(h)
	if old != nil {
		v.settle(old)
	}
	v.tally(h)
}

// leave takes a home from the jobs that it held.
func (v *View) leave(h *Home) {
	v.over.Delete(h)
	for _, m := range h.Jobs {
		v.in[m.ID] = slices.DeleteFunc(v.in[m.ID], func(o *Home) bool { return o == h })
		if len(v.in[m.ID]) == 0 {
			delete(v.in, m.ID)
		}
	}
}

// settle finds out about all jobs of a home, and which of their other homes are
// over by it.
func (v *View) settle(h *Home) {
	for _, m := range h.Jobs {
		v.settleJob(m.ID)
	}
	for _, m := range h.Jobs {
		for _, other := range v.in[m.ID] {
			if other != h {
				v.tally(other)
			}
		}
	}
}

// tally notes whether every job of a home is over.
func (v *View) tally(h *Home) {
	for _, m := range h.Jobs {
		if v.live[m.ID] != nil {
			v.over.Delete(h)
			return
		}
	}
	v.over.Set(h)
}

// settleJob finds out what a job's homes and the recent blocks say of it. The
// same job may be in several batches: the first revision that holds it is its
// beginning, and an end anywhere is its end.
func (v *View) settleJob(id string) {
	delete(v.live, id)
	delete(v.final, id)
	if len(v.in[id]) == 0 {
		return
	}
	// What was folded came first: an end that comes late changes nothing.
	e, folded := v.recent(id)
	if folded {
		v.final[id] = &JobRecord{Stage: e.Stage, Tasks: e.Tasks}
	}
	var home *Home
	since := uint64(0)
	for _, h := range v.in[id] {
		rec := h.job(id)
		if !folded && (rec.Stage.Final() || rec.Job == nil) {
			v.final[id] = rec
		}
		if since == 0 || h.Since < since {
			since = h.Since
		}
		// A key of its own goes before a batch, as it did in version 1.
		if home == nil || h.single && !home.single || h.single == home.single && h.Since < home.Since {
			home = h
		}
	}
	if _, over := v.final[id]; !over {
		v.live[id] = &LiveJob{*home.job(id), home, since}
	}
}

func (v *View) recent(id string) (jobblock.Entry, bool) {
	for _, r := range v.recents {
		if r.Block != nil {
			if e, ok := r.Block.Find(id); ok {
				return e, true
			}
		}
	}
	return jobblock.Entry{}, false
}

func (v *View) putRecent(key, name string, raw wire.Raw, version uint64) {
	slot, err := strconv.Atoi(name)
	if err != nil || slot < 0 {
		v.breaks(key, fmt.Errorf("%q is not a slot", name))
		return
	}
	r := Recent{Slot: slot, Version: version}
	if rec, ok := read[jobblock.Record](v, key, raw); ok {
		if r.Block, err = rec.Unpack(); err != nil {
			v.breaks(key, err)
		}
		r.Bytes = rec.Bytes()
	}
	v.recents[slot] = r
	if r.Block == nil {
		return
	}
	for _, e := range r.Block.Entries() { // a home may still call it live
		for _, h := range v.in[e.ID] {
			v.settleJob(e.ID)
			v.tally(h)
		}
	}
}

func (v *View) drop(key string) {
	delete(v.broken, key)
	switch {
	case strings.HasPrefix(key, batches), strings.HasPrefix(key, jobs):
		if h := v.homes[key]; h != nil {
			delete(v.homes, key)
			v.leave(h)
			v.settle(h)
		}
	case strings.HasPrefix(key, ledgers):
		delete(v.slots, key)
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
