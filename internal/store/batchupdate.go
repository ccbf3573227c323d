package store

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// BatchUpdate is the next value of a batch, in which some of its jobs have changed.
type BatchUpdate struct {
	batch *Batch
	jobs  []BatchJob
}

// IsFor reports whether it is an update of this value of a batch.
func (u *BatchUpdate) IsFor(b *Batch) bool { return u.batch == b }

// EndJob marks a job as done or cancelled.
func (u *BatchUpdate) EndJob(id string, stage wire.Stage, now time.Time) JobRecord {
	return u.change(id, func(rec *JobRecord) { *rec = rec.End(stage, now) })
}

// AssignRanges gives a job the ranges of a generation of the sharding.
func (u *BatchUpdate) AssignRanges(id string, ranges []ShardRange, generation uint64) JobRecord {
	return u.change(id, func(rec *JobRecord) {
		rec.Ranges, rec.ShardingGeneration = ranges, generation
		rec.FinishedIn, rec.CoAllocation = nil, 0
	})
}

// SetCoAllocation says what the shards that have tasks of a gang are to do.
func (u *BatchUpdate) SetCoAllocation(id string, order uint64) JobRecord {
	return u.change(id, func(rec *JobRecord) { rec.CoAllocation = order })
}

// MarkFinishedIn notes that the shard of a ledger has finished all its tasks of a job.
func (u *BatchUpdate) MarkFinishedIn(id, ledger string) JobRecord {
	return u.change(id, func(rec *JobRecord) { rec.FinishedIn = append(slices.Clone(rec.FinishedIn), ledger) })
}

// change changes the record of a job, and returns it.
func (u *BatchUpdate) change(id string, change func(*JobRecord)) JobRecord {
	for i := range u.jobs {
		if job := &u.jobs[i]; job.ID == id {
			change(&job.Record)
			return job.Record
		}
	}
	return JobRecord{}
}

// BytesWithRanges bounds what the new value would take with other ranges of a job. The
// bytes that were reserved for each job when it was accepted are counted as used.
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

// Change returns the operation that puts the new value; it is only valid together with
// Condition.
func (u *BatchUpdate) Change() wire.Operation {
	if u.batch.standalone {
		return wire.Operation{Put: u.batch.Key, Value: u.jobs[0].Record}
	}
	rec := BatchRecord{Jobs: make(map[string]JobRecord, len(u.jobs)), Since: u.batch.SinceRevision}
	for _, job := range u.jobs {
		rec.Jobs[job.ID] = job.Record
	}
	return wire.Operation{Put: u.batch.Key, Value: rec}
}

// Condition demands that nobody has written the batch since it was read.
func (u *BatchUpdate) Condition() wire.Condition {
	return wire.Condition{Key: u.batch.Key, Version: u.batch.Version}
}

// Committed returns the batch as it is once the change was committed at a revision.
func (u *BatchUpdate) Committed(revision uint64) *Batch {
	return &Batch{u.batch.Key, revision, u.batch.SinceRevision, u.jobs, u.batch.standalone}
}
