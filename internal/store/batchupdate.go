package store

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// BatchUpdate collects changes of jobs in a batch, to be written as the batch's next value.
type BatchUpdate struct {
	batch *Batch
	jobs  []BatchJob
}

// IsFor reports whether u is an update of exactly this value of a batch.
func (u *BatchUpdate) IsFor(b *Batch) bool { return u.batch == b }

// EndJob marks a job as done or cancelled and returns its new record.
func (u *BatchUpdate) EndJob(id string, stage wire.Stage, now time.Time) JobRecord {
	return u.change(id, func(rec *JobRecord) { *rec = rec.End(stage, now) })
}

// AssignRanges sets the ranges of a job for a generation of the sharding and returns its new record.
// It clears FinishedIn and CoAllocation, which refer to the previous ranges.
func (u *BatchUpdate) AssignRanges(id string, ranges []ShardRange, generation uint64) JobRecord {
	return u.change(id, func(rec *JobRecord) {
		rec.Ranges, rec.ShardingGeneration = ranges, generation
		rec.FinishedIn, rec.CoAllocation = nil, 0
	})
}

// SetCoAllocation sets the instruction to the shards that have tasks of a gang and returns the job's
// new record; see JobRecord.CoAllocation.
func (u *BatchUpdate) SetCoAllocation(id string, order uint64) JobRecord {
	return u.change(id, func(rec *JobRecord) { rec.CoAllocation = order })
}

// MarkFinishedIn records that the shard of a ledger has finished all its tasks of a job, and returns
// the job's new record.
func (u *BatchUpdate) MarkFinishedIn(id, ledger string) JobRecord {
	return u.change(id, func(rec *JobRecord) { rec.FinishedIn = append(slices.Clone(rec.FinishedIn), ledger) })
}

// change applies a function to the record of a job and returns the new record. It returns an empty
// record if the batch doesn't hold the job.
func (u *BatchUpdate) change(id string, change func(*JobRecord)) JobRecord {
	for i := range u.jobs {
		if job := &u.jobs[i]; job.ID == id {
			change(&job.Record)
			return job.Record
		}
	}
	return JobRecord{}
}

// BytesWithRanges returns an upper bound of the size of the new value if a job had the given ranges.
// The bytes that were reserved for each job when it was accepted are available for this and are
// not counted.
func (u *BatchUpdate) BytesWithRanges(id string, ranges []ShardRange, generation uint64) int {
	n := batchOverheadBytes
	for _, job := range u.jobs {
		if job.ID == id {
			job.Record.Ranges, job.Record.ShardingGeneration = ranges, generation
		}
		n += len(job.ID) + JobRecordBytes(&job.Record) - reservedJobBytes
	}
	return n
}

// Operation returns the operation that writes the new value. It must be sent in one transaction with
// Condition.
func (u *BatchUpdate) Operation() wire.Operation {
	if u.batch.standalone {
		return wire.Operation{Put: u.batch.Key, Value: u.jobs[0].Record}
	}
	rec := BatchRecord{Jobs: make(map[string]JobRecord, len(u.jobs)), Since: u.batch.SinceRevision}
	for _, job := range u.jobs {
		rec.Jobs[job.ID] = job.Record
	}
	return wire.Operation{Put: u.batch.Key, Value: rec}
}

// Condition returns the condition that the batch has not been written since it was read.
func (u *BatchUpdate) Condition() wire.Condition {
	return wire.Condition{Key: u.batch.Key, Version: u.batch.Version}
}

// Committed returns the batch after the update was committed at the given revision.
func (u *BatchUpdate) Committed(revision uint64) *Batch {
	return &Batch{u.batch.Key, revision, u.batch.SinceRevision, u.jobs, u.batch.standalone}
}
