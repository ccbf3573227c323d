package store

import (
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Job looks a job up; its description is there only while it is live. One that
// is not known may stand in the history.
func (v *View) Job(id string) (rec JobRecord, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l, ok := v.liveJobs[id]; ok {
		return l.Record, true
	}
	if rec, ok := v.endedJobs[id]; ok {
		return *rec, true
	}
	if e, ok := v.recentEntry(id); ok {
		return JobRecord{Stage: e.Stage, Tasks: e.Tasks}, true
	}
	return JobRecord{}, false
}

// Live looks a job up that is not over.
func (v *View) Live(id string) (*LiveJob, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.liveJobs[id]
	return l, ok
}

// Compacted reports whether a job is over and was folded: no task of it can be
// anywhere any more.
func (v *View) Compacted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	key, _ := v.unreadableRecordFor(id)
	return len(v.batchesOf[id]) == 0 && key == ""
}

// UnreadableRecordFor names a record that was not understood and that may hold the job: as
// long as there is one, nobody can say that the job is not known.
func (v *View) UnreadableRecordFor(id string) (key string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreadableRecordFor(id)
}

func (v *View) unreadableRecordFor(id string) (key string, err error) {
	if len(v.unreadable) == 0 {
		return "", nil
	}
	for _, key := range slices.Sorted(maps.Keys(v.unreadable)) {
		switch Kind(key) {
		case "batch", "recent":
			return key, v.unreadable[key]
		case "job":
			if key == JobKey(id) {
				return key, v.unreadable[key]
			}
		}
	}
	return "", nil
}

// UnreadableRecords lists the records that were not understood.
func (v *View) UnreadableRecords() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.unreadable))
}

// SubmissionFence gives the version of the gate, 0 while there is none.
func (v *View) SubmissionFence() Versioned[SubmissionFenceRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.submissionFence
}

// Format is the form of the state as its marker says, 0 without one.
func (v *View) Format() FormatRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.format
}

// Empty reports whether nothing was ever kept in the state service.
func (v *View) Empty() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fencingToken.Version == 0 && len(v.batches) == 0 && len(v.unreadable) == 0
}

// EndedBatches lists homes of which every job is over, the oldest first: at most so many
// of those that fit.
func (v *View) EndedBatches(limit int, accept func(*Batch) bool) []*Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*Batch
	v.endedBatches.Scan(func(h *Batch) bool {
		if accept(h) {
			out = append(out, h)
		}
		return len(out) < limit
	})
	return out
}

// RecentBlocks lists the recent blocks in order of their slots.
func (v *View) RecentBlocks() []RecentBlock {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.SortedFunc(maps.Values(v.recentBlocks), func(a, b RecentBlock) int { return a.Index - b.Index })
}

// Size tells how much the view holds: jobs that are live, jobs that are over and
// have a home, homes, and jobs in recent blocks.
func (v *View) Size() (live, ended, batches, recent int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.recentBlocks {
		if r.Block != nil {
			recent += r.Block.Len()
		}
	}
	return len(v.liveJobs), len(v.endedJobs), len(v.batches), recent
}

// Uncompacted reports whether there are homes of which every job is over.
func (v *View) Uncompacted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.endedBatches.Len() > 0
}

// OldestEnd is when the first of the jobs ended that wait to be folded.
func (v *View) OldestEnd() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	var at int64
	if h, ok := v.endedBatches.Min(); ok {
		for _, m := range h.Jobs {
			if e := m.Record.Ended; e > 0 && (at == 0 || e < at) {
				at = e
			}
		}
	}
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}

// Leader tells who holds a part.
func (v *View) Leader(shard string) (Versioned[LeaderRecord], bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.leaders[shard]
	return p, ok
}

// FencingToken gives the counter of terms; version 0 means that there is none yet.
func (v *View) FencingToken() Versioned[uint64] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fencingToken
}

// MachineTypes gives the machine types kept in the store, if any.
func (v *View) MachineTypes() []wire.MachineType {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machineTypes
}

// Snapshot copies what a holder decides on.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Snapshot{v.revision, v.currentAt, maps.Clone(v.liveJobs), v.quotaGrants, v.sharding}
}

// Sharding tells how the state is divided into parts; version 0 means one part.
func (v *View) Sharding() Versioned[ShardingRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sharding
}

// Tiers tells how the tiers of work are set; version 0 means the default.
func (v *View) Tiers() Versioned[TiersRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tiers
}
