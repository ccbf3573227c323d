package commit

import (
	"cmp"
	"maps"
	"slices"
)

// CompletionQueue holds the jobs with finished tasks that are not stored as finished yet. The value of each is the
// number of the last round before the first of these tasks was reported.
type CompletionQueue map[string]uint64

// Add records that a task of a job has finished. A job that is in the queue already keeps its position.
func (q CompletionQueue) Add(job string, round uint64) {
	if _, queued := q[job]; !queued {
		q[job] = round
	}
}

// Remove removes a job from the queue.
func (q CompletionQueue) Remove(job string) { delete(q, job) }

// OldestFirst returns the jobs in the order in which to store them. A round has capacity for a bounded number of jobs,
// so any other order could starve some of them.
func (q CompletionQueue) OldestFirst() []string {
	return slices.SortedFunc(maps.Keys(q), func(a, b string) int {
		return cmp.Or(cmp.Compare(q[a], q[b]), cmp.Compare(a, b))
	})
}
