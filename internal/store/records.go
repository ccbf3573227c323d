package store

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Versions of the storage format.
const (
	// Format is the format that this version of the software writes. Format 1 had no format
	// record and kept a key for each ended job.
	Format = 2
	// FormatSharded is the format of a state whose fleet is divided into several shards.
	// Versions that support only a single shard refuse to work on it.
	FormatSharded = 3
)

// JobRecord is the stored form of a job. The record of an ended job keeps the stage, the number
// of tasks and, as long as any of its tasks may still be running, the demand of each task.
type JobRecord struct {
	Stage   wire.Stage  `cbor:"stage"`
	Tasks   int         `cbor:"tasks"`
	Created int64       `cbor:"created,omitempty"` // ms since 1970
	Job     *wire.Job   `cbor:"job,omitempty"`
	Demand  *TaskDemand `cbor:"takes,omitempty"`
	Ended   int64       `cbor:"ended,omitempty"` // ms since 1970
	// Ranges assigns the tasks to shards and covers all of them. A job without ranges
	// belongs to the first shard.
	Ranges []ShardRange `cbor:"shares,omitempty"`
	// ShardingGeneration is the generation of the sharding that Ranges refers to. If the
	// fleet has been resharded since, the previous ledgers say where the tasks are, and
	// FinishedIn names the ledgers of the shards that have finished all their tasks.
	ShardingGeneration uint64   `cbor:"grouping,omitempty"`
	FinishedIn         []string `cbor:"done_in,omitempty"`
	// CoAllocation is the instruction to the shards that have tasks of a gang: 0 for none,
	// one of the constants below, or the attempt with which to start the tasks.
	CoAllocation uint64 `cbor:"muster,omitempty"`
}

// Instructions to the shards of a gang; see JobRecord.CoAllocation.
const (
	CoAllocationRelease uint64 = 1 // stop the gang's tasks and release their capacity
	CoAllocationReserve uint64 = 2 // reserve capacity for the gang's tasks
	// CoAllocationFirstAttempt is the lowest value that denotes a start attempt.
	CoAllocationFirstAttempt uint64 = 1 << 24
)

// ShardRange is the half-open range [From, To) of a job's tasks for which a shard is responsible.
// Only the shard's leader launches these tasks or hands them over to another shard. It hands them
// over in a fenced round, once it has proof that none of them is running.
type ShardRange struct {
	_     struct{} `cbor:",toarray"`
	From  int
	To    int
	Shard string
	Done  bool // all tasks of the range have finished
}

// Within reports whether the range is valid for a job with the given number of tasks. An invalid
// range belongs to no shard.
func (s ShardRange) Within(tasks int) bool { return s.From >= 0 && s.From < s.To && s.To <= tasks }

// TaskDemand is the resource demand of each task of a job, and the team whose quota it counts against.
type TaskDemand struct {
	Team     string  `cbor:"team"`
	CPUs     float64 `cbor:"cpus"`
	GPUs     float64 `cbor:"gpus"`
	MemoryGB float64 `cbor:"memory_gb"`
}

// TaskDemand returns the resource demand of each task of the job, if it is known.
func (r *JobRecord) TaskDemand() (TaskDemand, bool) {
	switch {
	case r.Job != nil:
		return TaskDemand{r.Job.Team, r.Job.CPUs, r.Job.GPUs, r.Job.MemoryGB}, true
	case r.Demand != nil:
		return *r.Demand, true
	}
	return TaskDemand{}, false
}

// End returns the record that replaces r when the job is done or cancelled.
func (r *JobRecord) End(stage wire.Stage, now time.Time) JobRecord {
	end := JobRecord{Stage: stage, Tasks: r.Tasks, Ended: now.UnixMilli()}
	if demand, ok := r.TaskDemand(); ok {
		end.Demand = &demand
	}
	return end
}

// BatchRecord holds jobs that were accepted together. Since is the revision at which the batch
// was created; it is set when the batch is rewritten.
type BatchRecord struct {
	Jobs  map[string]JobRecord `cbor:"jobs"`
	Since uint64               `cbor:"since,omitempty"`
}

const (
	// jobOverheadBytes is added to 5/4 of the encoded size of a job's record to bound its
	// stored size. reservedJobBytes of it are reserved for fields that are written later.
	jobOverheadBytes = 150
	reservedJobBytes = 90
	// rangeOverheadBytes is added for each range of the job.
	rangeOverheadBytes = 16
)

// JobRecordBytes returns an upper bound of a job's stored size as the state service counts it.
func JobRecordBytes(rec *JobRecord) int {
	return len(wire.Encode(rec))*5/4 + rangeOverheadBytes*len(rec.Ranges) + jobOverheadBytes
}

// FormatRecord is the format marker of the state. Since is when the state was converted from
// another format, if it was. Import names an import in progress, during which no controller
// works on the state.
type FormatRecord struct {
	Format int    `cbor:"format"`
	Since  int64  `cbor:"since,omitempty"` // ms since 1970
	Import string `cbor:"import,omitempty"`
}

// SubmissionFenceRecord counts how many times the submission fence has advanced.
type SubmissionFenceRecord struct {
	Generation uint64 `cbor:"moved"`
}

// LeaderRecord names the controller that leads a shard. Its key is attached to the leader's lease.
type LeaderRecord struct {
	Leader       string `cbor:"holder"`
	FencingToken uint64 `cbor:"term"`
	Lease        uint64 `cbor:"lease"`
	Format       int    `cbor:"format,omitempty"` // storage format that the leader writes, 0 for format 1
}

// ShardingRecord describes how the fleet is divided into shards. Generation counts the changes of
// the sharding. PreviousLedgers names the ledgers of earlier generations: they are no longer
// written, but still say which tasks may run where.
type ShardingRecord struct {
	Text            string   `cbor:"text"`
	Generation      uint64   `cbor:"number,omitempty"`
	PreviousLedgers []string `cbor:"before,omitempty"`
}

// TiersRecord is a digest of the tier configuration. Winning a leadership election is conditional
// on it, so that no two leaders use different configurations.
type TiersRecord struct {
	Digest string `cbor:"digest"`
}

// MachineTypesRecord keeps the machine types available during an outage of the cloud.
type MachineTypesRecord struct {
	Types []wire.MachineType `cbor:"types"`
}
