package store

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// The formats of the state.
const (
	// Format is the one that this version writes. Format 1, which had no marker, kept a
	// key for each job that had ended.
	Format = 2
	// FormatSharded is the format of a state whose fleet is in several shards. Versions
	// that know only a single shard don't work on it.
	FormatSharded = 3
)

// JobRecord is a job as it is stored. One that has ended keeps its stage and size and, until
// no task of it can be anywhere any more, the demand of its tasks.
type JobRecord struct {
	Stage   wire.Stage  `cbor:"stage"`
	Tasks   int         `cbor:"tasks"`
	Created int64       `cbor:"created,omitempty"` // ms since 1970
	Job     *wire.Job   `cbor:"job,omitempty"`
	Demand  *TaskDemand `cbor:"takes,omitempty"`
	Ended   int64       `cbor:"ended,omitempty"` // ms since 1970
	// Ranges says which shard is responsible for which tasks. They cover all tasks of the
	// job; a job without any belongs to the first shard.
	Ranges []ShardRange `cbor:"shares,omitempty"`
	// ShardingGeneration is the sharding that the ranges are of. Where the fleet was
	// resharded since, the previous ledgers say where the tasks are, and FinishedIn names
	// the ledgers of those shards that have finished all of theirs.
	ShardingGeneration uint64   `cbor:"grouping,omitempty"`
	FinishedIn         []string `cbor:"done_in,omitempty"`
	// CoAllocation says what the shards that have tasks of a gang are to do: nothing, one
	// of the constants below, or start them with this attempt.
	CoAllocation uint64 `cbor:"muster,omitempty"`
}

// What the shards of a gang are to do; see JobRecord.CoAllocation.
const (
	CoAllocationRelease uint64 = 1 // stop its tasks and release their capacity
	CoAllocationReserve uint64 = 2 // reserve capacity for its tasks
	// CoAllocationFirstAttempt is the first value that is an attempt to start.
	CoAllocationFirstAttempt uint64 = 1 << 24
)

// ShardRange is a range of a job's tasks for which a shard is responsible: From up to but
// without To. Only the shard's leader launches them, and only it hands them over to another
// shard, in a fenced round, once it has proof that none of them is running.
type ShardRange struct {
	_     struct{} `cbor:",toarray"`
	From  int
	To    int
	Shard string
	Done  bool // every task of it has finished
}

// Within reports whether a range is one of a job of so many tasks. One that is not belongs
// to no shard.
func (s ShardRange) Within(tasks int) bool { return s.From >= 0 && s.From < s.To && s.To <= tasks }

// TaskDemand is what each task of a job needs, and the team whose quota it counts against.
type TaskDemand struct {
	Team     string  `cbor:"team"`
	CPUs     float64 `cbor:"cpus"`
	GPUs     float64 `cbor:"gpus"`
	MemoryGB float64 `cbor:"memory_gb"`
}

// TaskDemand returns what each task of the job needs, if that is known.
func (r *JobRecord) TaskDemand() (TaskDemand, bool) {
	switch {
	case r.Job != nil:
		return TaskDemand{r.Job.Team, r.Job.CPUs, r.Job.GPUs, r.Job.MemoryGB}, true
	case r.Demand != nil:
		return *r.Demand, true
	}
	return TaskDemand{}, false
}

// End returns the record of the job once it is done or cancelled.
func (r *JobRecord) End(stage wire.Stage, now time.Time) JobRecord {
	end := JobRecord{Stage: stage, Tasks: r.Tasks, Ended: now.UnixMilli()}
	if demand, ok := r.TaskDemand(); ok {
		end.Demand = &demand
	}
	return end
}

// BatchRecord holds jobs that were accepted together. Since is the first revision that held
// it, where it was written again.
type BatchRecord struct {
	Jobs  map[string]JobRecord `cbor:"jobs"`
	Since uint64               `cbor:"since,omitempty"`
}

const (
	// jobOverheadBytes is what a job's record may take beside a quarter more than its
	// encoding, with reservedJobBytes of it for what is written of the job later.
	jobOverheadBytes = 150
	reservedJobBytes = 90
	// rangeOverheadBytes is what a range may take beside that.
	rangeOverheadBytes = 16
)

// JobRecordBytes bounds what a job takes as the state service counts it.
func JobRecordBytes(rec *JobRecord) int {
	return len(wire.Encode(rec))*5/4 + rangeOverheadBytes*len(rec.Ranges) + jobOverheadBytes
}

// FormatRecord marks the state with its format, and since when it has this one if it was in
// another before. While an import is under way it names that, and no controller works on
// the state.
type FormatRecord struct {
	Format int    `cbor:"format"`
	Since  int64  `cbor:"since,omitempty"` // ms since 1970
	Import string `cbor:"import,omitempty"`
}

// SubmissionFenceRecord counts how often the submission fence has advanced.
type SubmissionFenceRecord struct {
	Generation uint64 `cbor:"moved"`
}

// LeaderRecord says which controller leads a shard. It is attached to the leader's lease.
type LeaderRecord struct {
	Leader       string `cbor:"holder"`
	FencingToken uint64 `cbor:"term"`
	Lease        uint64 `cbor:"lease"`
	Format       int    `cbor:"format,omitempty"` // of the state that the leader writes, 0 for format 1
}

// ShardingRecord says how the fleet is divided into shards, and how often that has changed.
// PreviousLedgers names the ledgers of earlier shardings that nobody writes any more and
// that still say which tasks may run where.
type ShardingRecord struct {
	Text            string   `cbor:"text"`
	Generation      uint64   `cbor:"number,omitempty"`
	PreviousLedgers []string `cbor:"before,omitempty"`
}

// TiersRecord is a digest of the configuration of the tiers of work. Becoming a leader is
// conditional on it, so that no two leaders go by different ones.
type TiersRecord struct {
	Digest string `cbor:"digest"`
}

// MachineTypesRecord keeps the machine types through an outage of the cloud.
type MachineTypesRecord struct {
	Types []wire.MachineType `cbor:"types"`
}
