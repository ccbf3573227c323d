package store

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Loaded reports whether the view has ever been complete.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded
}

// Revision returns the last revision whose changes are in the view.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Job looks up a job; it has its description only while it is live. One that is not known
// may be in the archive.
func (v *View) Job(id string) (rec JobRecord, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.job(id)
}

// Live looks up a job that has not ended.
func (v *View) Live(id string) (*LiveJob, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.jobs.live[id]
	return l, ok
}

// Compacted reports whether no batch holds a job any more. A job that was accepted has then
// ended and was compacted: no task of it can be anywhere.
func (v *View) Compacted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	key, _ := v.unreadable.mayHold(id)
	return len(v.jobs.batchesOf[id]) == 0 && key == ""
}

// UnreadableRecordFor returns a record that could not be decoded and that may hold a job:
// as long as there is one, the job must not be called unknown.
func (v *View) UnreadableRecordFor(id string) (key string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreadable.mayHold(id)
}

// UnreadableRecords lists the keys of records that could not be decoded.
func (v *View) UnreadableRecords() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreadable.keys()
}

// Empty reports whether nothing was ever kept in the state service.
func (v *View) Empty() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.fencingToken.Version == 0 && len(v.jobs.batches) == 0 && len(v.unreadable.errs) == 0
}

// EndedBatches lists batches whose jobs have all ended, the oldest first: at most limit of
// those that are accepted.
func (v *View) EndedBatches(limit int, accept func(*Batch) bool) []*Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.selectEnded(limit, accept)
}

// RecentBlocks lists the recent blocks by their index.
func (v *View) RecentBlocks() []RecentBlock {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.sortedRecentBlocks()
}

// Size counts what the view holds: live jobs, ended jobs that a batch still holds, batches,
// and jobs in recent blocks.
func (v *View) Size() (live, ended, batches, recent int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.jobs.live), len(v.jobs.ended), len(v.jobs.batches), v.jobs.recentJobs()
}

// Uncompacted reports whether there are batches whose jobs have all ended.
func (v *View) Uncompacted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.endedBatches.Len() > 0
}

// OldestEnd returns when the first of the jobs ended that wait for compaction.
func (v *View) OldestEnd() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.jobs.oldestEnd()
}

// Leader returns the record of a shard's leader, if it has one.
func (v *View) Leader(shard string) (Versioned[LeaderRecord], bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.fleet.leaders[shard]
	return p, ok
}

// FencingToken returns the counter of fencing tokens; version 0 means that there is none yet.
func (v *View) FencingToken() Versioned[uint64] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.fencingToken
}

// SubmissionFence returns the submission fence; version 0 means that there is none yet.
func (v *View) SubmissionFence() Versioned[SubmissionFenceRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.submissionFence
}

// Format returns the format of the state as its marker says, zero without one.
func (v *View) Format() FormatRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.format
}

// MachineTypes returns the machine types kept in the state service, if any.
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

// Tiers returns how the tiers of work are configured; version 0 means the default.
func (v *View) Tiers() Versioned[TiersRecord] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.tiers
}

// Snapshot copies what a leader's decisions are based on.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Snapshot{v.revision, v.currentAt, maps.Clone(v.jobs.live), v.fleet.quotaGrants, v.fleet.sharding}
}
