package store

import (
	"maps"
	"slices"
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
