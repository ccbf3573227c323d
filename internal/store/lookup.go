package store

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Loaded reports whether the view has been loaded at least once.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded
}

// Revision returns the latest revision whose changes are in the view.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Job looks up a job. The record contains the job's description only while the job is live. A job
// that is not known may be in the archive.
func (v *View) Job(id string) (rec JobRecord, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.job(id)
}

// LiveJob looks up a live job, one that has not ended.
func (v *View) LiveJob(id string) (*LiveJob, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	job, ok := v.jobs.live[id]
	return job, ok
}

// Compacted reports whether no batch contains the job any more. If the job was accepted, it has then
// ended and was compacted: none of its tasks can be running anywhere.
func (v *View) Compacted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	key, _ := v.unreadable.mayHold(id)
	return len(v.jobs.batchesOf[id]) == 0 && key == ""
}

// UnreadableRecordFor returns a record that could not be decoded and may contain the job, with the
// decoding error; the key is empty if there is none. As long as there is one, the job must not be
// reported as unknown.
func (v *View) UnreadableRecordFor(id string) (key string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreadable.mayHold(id)
}

// UnreadableRecords returns the keys of records that could not be decoded.
func (v *View) UnreadableRecords() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreadable.keys()
}

// Empty reports whether the state service has never held any state.
func (v *View) Empty() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.fencingToken.Version == 0 && len(v.jobs.batches) == 0 && len(v.unreadable.errs) == 0
}

// EndedBatches returns, oldest first, at most limit of the batches whose jobs have all ended and for
// which accept returns true.
func (v *View) EndedBatches(limit int, accept func(*Batch) bool) []*Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.selectEnded(limit, accept)
}

// RecentBlocks returns the recent blocks, sorted by index.
func (v *View) RecentBlocks() []RecentBlock {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.sortedRecentBlocks()
}

// Size returns the numbers of live jobs, of ended jobs that are still in a batch, of batches, and of
// jobs in recent blocks.
func (v *View) Size() (live, ended, batches, recent int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.jobs.live), len(v.jobs.ended), len(v.jobs.batches), v.jobs.recentJobs()
}

// HasEndedBatches reports whether any batch waits for compaction because all of its jobs have ended.
func (v *View) HasEndedBatches() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.endedBatches.Len() > 0
}

// OldestEnd returns the earliest end of a job in the oldest batch that waits for compaction, or zero
// if no batch waits or the times are not recorded.
func (v *View) OldestEnd() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.oldestEnd()
}

// Leader returns the record of a shard's leader, if it has one.
func (v *View) Leader(shard string) (Versioned[LeaderRecord], bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	leader, ok := v.fleet.leaders[shard]
	return leader, ok
}

// FencingToken returns the counter of fencing tokens; version 0 means that it does not exist yet.
func (v *View) FencingToken() Versioned[uint64] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.fencingToken
}

// SubmissionFence returns the submission fence; version 0 means that it does not exist yet.
func (v *View) SubmissionFence() Versioned[SubmissionFenceRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.submissionFence
}

// Format returns the record of the state's format, or a zero value if there is none.
func (v *View) Format() FormatRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.format
}

// MachineTypes returns the machine types stored in the state service, if any.
func (v *View) MachineTypes() []wire.MachineType {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.machineTypes
}

// Sharding returns how the fleet is divided into shards; version 0 means a single shard.
func (v *View) Sharding() Versioned[ShardingRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.sharding
}

// Tiers returns the configuration of the tiers of work; version 0 means the default.
func (v *View) Tiers() Versioned[TiersRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.tiers
}

// Snapshot returns a copy of the state on which a leader bases its decisions.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Snapshot{v.revision, v.currentAt, maps.Clone(v.jobs.live), v.fleet.quotaGrants, v.fleet.sharding}
}
