package store

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// BatchUpdate is the next value of a home, in which some of its jobs have ended.
type BatchUpdate struct {
	batch *Batch
	jobs  []BatchJob
}

// Update begins the next value of a home.
func (h *Batch) Update() *BatchUpdate { return &BatchUpdate{h, slices.Clone(h.Jobs)} }

// IsFor reports whether it is the home, as it is there, that is written again.
func (r *BatchUpdate) IsFor(h *Batch) bool { return r.batch == h }

// EndJob marks a job as done or cancelled.
func (r *BatchUpdate) EndJob(id string, stage wire.Stage, now time.Time) JobRecord {
	return r.change(id, func(rec *JobRecord) { *rec = rec.End(stage, now) })
}

// AssignRanges gives a job other shares, of the grouping of a number.
func (r *BatchUpdate) AssignRanges(id string, ranges []ShardRange, generation uint64) JobRecord {
	return r.change(id, func(rec *JobRecord) {
		rec.Ranges, rec.ShardingGeneration, rec.FinishedIn, rec.CoAllocation = ranges, generation, nil, 0
	})
}

// SetCoAllocation says what the parts that have tasks of a gang are to do.
func (r *BatchUpdate) SetCoAllocation(id string, order uint64) JobRecord {
	return r.change(id, func(rec *JobRecord) { rec.CoAllocation = order })
}

// MarkFinishedIn notes that the part of a ledger has finished all that it has of a job.
func (r *BatchUpdate) MarkFinishedIn(id, ledger string) JobRecord {
	return r.change(id, func(rec *JobRecord) { rec.FinishedIn = append(slices.Clone(rec.FinishedIn), ledger) })
}

func (r *BatchUpdate) change(id string, change func(*JobRecord)) JobRecord {
	for i := range r.jobs {
		if m := &r.jobs[i]; m.ID == id {
			change(&m.Record)
			return m.Record
		}
	}
	return JobRecord{}
}

// BytesWithRanges bounds what the new value would take with other shares of a job. Little is left of
// what was set aside for each job when it came.
func (r *BatchUpdate) BytesWithRanges(id string, ranges []ShardRange, generation uint64) int {
	n := 100
	for _, m := range r.jobs {
		if m.ID == id {
			m.Record.Ranges, m.Record.ShardingGeneration = ranges, generation
		}
		n += len(m.ID) + JobRecordBytes(&m.Record) - reservedJobBytes
	}
	return n
}

// Change is the put of the new value; the condition on the home's version goes
// with it.
func (r *BatchUpdate) Change() wire.Operation {
	if r.batch.standalone {
		return wire.Operation{Put: r.batch.Key, Value: r.jobs[0].Record}
	}
	rec := BatchRecord{Jobs: make(map[string]JobRecord, len(r.jobs)), Since: r.batch.SinceRevision}
	for _, m := range r.jobs {
		rec.Jobs[m.ID] = m.Record
	}
	return wire.Operation{Put: r.batch.Key, Value: rec}
}

// Condition is the condition that nobody has written the home since it was read.
func (r *BatchUpdate) Condition() wire.Condition {
	return wire.Condition{Key: r.batch.Key, Version: r.batch.Version}
}

// Committed gives the home as it is once the change was taken at a revision.
func (r *BatchUpdate) Committed(revision uint64) *Batch {
	return &Batch{r.batch.Key, revision, r.batch.SinceRevision, r.jobs, r.batch.standalone}
}
