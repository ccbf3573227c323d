package store

import (
	"maps"
	"slices"
)

// Batch is a key that holds jobs: those that were accepted together or, in format 1, a
// single one. The version of the key orders launch, cancellation and end of all of them.
// A Batch is never changed; its next value is another one.
type Batch struct {
	Key           string
	Version       uint64
	SinceRevision uint64 // the first revision that held it
	Jobs          []BatchJob
	standalone    bool // a single job of format 1
}

// BatchJob is a job of a batch.
type BatchJob struct {
	ID     string
	Record JobRecord
}

// batchOverheadBytes bounds what a batch takes beside its jobs.
const batchOverheadBytes = 100

// newBatch returns the batch that a record of a version holds.
func newBatch(key string, version uint64, rec BatchRecord) *Batch {
	since := version
	if rec.Since > 0 {
		since = rec.Since
	}
	return &Batch{key, version, since, sortedJobs(rec.Jobs), false}
}

// standaloneBatch returns the batch of a single job of format 1.
func standaloneBatch(key string, version uint64, id string, rec JobRecord) *Batch {
	return &Batch{key, version, version, []BatchJob{{id, rec}}, true}
}

// sortedJobs lists the jobs of a batch in order.
func sortedJobs(jobs map[string]JobRecord) []BatchJob {
	out := make([]BatchJob, 0, len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		out = append(out, BatchJob{id, jobs[id]})
	}
	return out
}

// job returns the record of a job that the batch holds.
func (b *Batch) job(id string) *JobRecord {
	for i := range b.Jobs {
		if b.Jobs[i].ID == id {
			return &b.Jobs[i].Record
		}
	}
	return &JobRecord{}
}

// Bytes bounds what the batch takes in the state service.
func (b *Batch) Bytes() int {
	n := batchOverheadBytes
	for i := range b.Jobs {
		n += len(b.Jobs[i].ID) + JobRecordBytes(&b.Jobs[i].Record)
	}
	return n
}

// Update begins the next value of the batch.
func (b *Batch) Update() *BatchUpdate { return &BatchUpdate{b, slices.Clone(b.Jobs)} }
