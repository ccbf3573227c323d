package store

import (
	"maps"
	"slices"
)

// Batch is the value of a key that holds jobs: those that were accepted together or, in format 1,
// a single job. The version of the key orders the launch, cancellation and end of all of them.
// A Batch is immutable: an update creates a new one.
type Batch struct {
	Key           string
	Version       uint64
	SinceRevision uint64 // the revision at which the batch was created
	Jobs          []BatchJob
	standalone    bool // holds a single job of format 1
}

// BatchJob is a job of a batch.
type BatchJob struct {
	ID     string
	Record JobRecord
}

// batchOverheadBytes is an upper bound of the stored size of a batch without its jobs.
const batchOverheadBytes = 100

// newBatch returns the batch for a record that was read at the given version of its key.
func newBatch(key string, version uint64, rec BatchRecord) *Batch {
	since := version
	if rec.Since > 0 {
		since = rec.Since
	}
	return &Batch{key, version, since, sortedJobs(rec.Jobs), false}
}

// standaloneBatch returns the batch that holds a single job of format 1.
func standaloneBatch(key string, version uint64, id string, rec JobRecord) *Batch {
	return &Batch{key, version, version, []BatchJob{{id, rec}}, true}
}

// sortedJobs lists the jobs of a batch in the order of their IDs.
func sortedJobs(jobs map[string]JobRecord) []BatchJob {
	out := make([]BatchJob, 0, len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		out = append(out, BatchJob{id, jobs[id]})
	}
	return out
}

// job returns the record of a job, or an empty record if the batch doesn't hold the job.
func (b *Batch) job(id string) *JobRecord {
	for i := range b.Jobs {
		if b.Jobs[i].ID == id {
			return &b.Jobs[i].Record
		}
	}
	return &JobRecord{}
}

// Bytes returns an upper bound of the batch's stored size as the state service counts it.
func (b *Batch) Bytes() int {
	n := batchOverheadBytes
	for i := range b.Jobs {
		n += len(b.Jobs[i].ID) + JobRecordBytes(&b.Jobs[i].Record)
	}
	return n
}

// Update starts an update of the batch.
func (b *Batch) Update() *BatchUpdate { return &BatchUpdate{b, slices.Clone(b.Jobs)} }
