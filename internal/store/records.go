package store

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Format is the form of the state that this version writes. 1, which had no
// marker, kept a key for each job that was over.
const Format = 2

// FormatSharded is the form of a state of which the fleet is in several parts. Versions that
// know of one part alone don't work on it.
const FormatSharded = 3

// JobRecord is a job as it is stored. One that is over keeps its stage and size,
// and, until no task of it can be anywhere any more, what its tasks take.
type JobRecord struct {
	Stage   wire.Stage   `cbor:"stage"`
	Tasks   int          `cbor:"tasks"`
	Created int64        `cbor:"created,omitempty"` // ms since 1970
	Job     *wire.Job    `cbor:"job,omitempty"`
	Demand  *TaskDemand  `cbor:"takes,omitempty"`
	Ended   int64        `cbor:"ended,omitempty"` // ms since 1970
	Ranges  []ShardRange `cbor:"shares,omitempty"`
	// ShardingGeneration is the number of the grouping that the shares are of. Where the state has been
	// divided anew since, the ledgers of the groupings before say whose the tasks are; DoneIn
	// then names the ledgers of the parts that have finished all of theirs.
	ShardingGeneration uint64   `cbor:"grouping,omitempty"`
	FinishedIn         []string `cbor:"done_in,omitempty"`
	// CoAllocation says what the parts that have tasks of a gang are to do: nothing, hold room for
	// them, stop them, or start them with this attempt.
	CoAllocation uint64 `cbor:"muster,omitempty"`
}

// ShardRange is a run of a job's tasks that a part answers for: From up to and without To. Only
// its holder launches them, and only the holder gives them to another part, in a
// fenced round, once it has proof that they are nowhere. The shares of a job cover all
// its tasks; a job without any is of the first part.
type ShardRange struct {
	_     struct{} `cbor:",toarray"`
	From  int
	To    int
	Shard string
	Done  bool // every task of it has finished
}

// What a gang's parts are to do; from CoAllocationFirst on it is the attempt to start.
const (
	CoAllocationRelease      uint64 = 1
	CoAllocationReserve      uint64 = 2
	CoAllocationFirstAttempt uint64 = 1 << 24
)

// Within reports whether a share is a run of so many tasks. One that is not is of nobody.
func (s ShardRange) Within(tasks int) bool { return s.From >= 0 && s.From < s.To && s.To <= tasks }

// TaskDemand is what each task of a job takes, and whose limit it counts against.
type TaskDemand struct {
	Team     string  `cbor:"team"`
	CPUs     float64 `cbor:"cpus"`
	GPUs     float64 `cbor:"gpus"`
	MemoryGB float64 `cbor:"memory_gb"`
}

// TaskDemand tells what each task of the job takes, if that is known.
func (r *JobRecord) TaskDemand() (TaskDemand, bool) {
	switch {
	case r.Job != nil:
		return TaskDemand{r.Job.Team, r.Job.CPUs, r.Job.GPUs, r.Job.MemoryGB}, true
	case r.Demand != nil:
		return *r.Demand, true
	}
	return TaskDemand{}, false
}

// End gives the record of the job once it is done or cancelled.
func (r *JobRecord) End(stage wire.Stage, now time.Time) JobRecord {
	end := JobRecord{Stage: stage, Tasks: r.Tasks, Ended: now.UnixMilli()}
	if t, ok := r.TaskDemand(); ok {
		end.Demand = &t
	}
	return end
}

// BatchRecord is a number of jobs that were accepted together. One that was
// written again says since which revision it is there.
type BatchRecord struct {
	Jobs  map[string]JobRecord `cbor:"jobs"`
	Since uint64               `cbor:"since,omitempty"`
}

// JobRecordBytes bounds what a job takes in the form in which the service counts.
func JobRecordBytes(rec *JobRecord) int {
	return len(wire.Encode(rec))*5/4 + rangeOverheadBytes*len(rec.Ranges) + 150
}

// rangeOverheadBytes is what a share may take beyond a quarter more than its encoding, and
// spareBytes what of a job's bound is left for what is written of it later.
const (
	rangeOverheadBytes = 16
	reservedJobBytes   = 90
)

// FormatRecord says in which form the state is, and since when, if it was in
// another one before. While an export is being put in, it names that, and no
// controller works on the state.
type FormatRecord struct {
	Format int    `cbor:"format"`
	Since  int64  `cbor:"since,omitempty"` // ms since 1970
	Import string `cbor:"import,omitempty"`
}

// SubmissionFenceRecord counts how often the gate has moved.
type SubmissionFenceRecord struct {
	Generation uint64 `cbor:"moved"`
}

// LeaderRecord says who holds a part. It is attached to the holder's lease.
type LeaderRecord struct {
	Leader       string `cbor:"holder"`
	FencingToken uint64 `cbor:"term"`
	Lease        uint64 `cbor:"lease"`
	Format       int    `cbor:"format,omitempty"` // of the state that the holder writes, 0 for version 1
}

// ShardingRecord says how the fleet is divided into parts, and how often it was divided
// anew. Before names the ledgers of earlier groupings that nobody writes any more and that
// still say what may be where.
type ShardingRecord struct {
	Text            string   `cbor:"text"`
	Generation      uint64   `cbor:"number,omitempty"`
	PreviousLedgers []string `cbor:"before,omitempty"`
}

// QuotaGrantRecord says what each part may spend of the limit of each team that has one: CPUs
// and GPUs, by team and part. Only a part's holder changes the part's own grants, under
// its fence and on the version that it has seen; their sum never exceeds the limit.
type QuotaGrantRecord struct {
	Teams map[string]map[string][2]float64 `cbor:"teams"`
}

// TiersRecord tells in short how the tiers of work are set. Claims are conditional on it, so
// that no two holders go by different ones.
type TiersRecord struct {
	Digest string `cbor:"digest"`
}

// MachineTypesRecord keeps the machine types through an outage of the cloud.
type MachineTypesRecord struct {
	Types []wire.MachineType `cbor:"types"`
}
