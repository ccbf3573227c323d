package store

import (
	"maps"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

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
