package store

import (
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Batch is a key that holds jobs: a batch, or a single job in the form of version
// 1. Its version orders launch, cancel and done of all of them. A home is never
// changed; another takes its place.
type Batch struct {
	Key           string
	Version       uint64
	SinceRevision uint64 // the first revision that held it
	Jobs          []BatchJob
	standalone    bool
}

// BatchJob is a job of a home.
type BatchJob struct {
	ID     string
	Record JobRecord
}

// sortedJobs lists the jobs of a batch in order.
func sortedJobs(jobs map[string]JobRecord) []BatchJob {
	out := make([]BatchJob, 0, len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		out = append(out, BatchJob{id, jobs[id]})
	}
	return out
}

// job gives the record of a job that the home holds.
func (h *Batch) job(id string) *JobRecord {
	for i := range h.Jobs {
		if h.Jobs[i].ID == id {
			return &h.Jobs[i].Record
		}
	}
	return &JobRecord{}
}

// Bytes bounds what the home's value takes in the state service.
func (h *Batch) Bytes() int {
	n := 100
	for i := range h.Jobs {
		n += len(h.Jobs[i].ID) + JobRecordBytes(&h.Jobs[i].Record)
	}
	return n
}

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
