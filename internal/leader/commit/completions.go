package commit

import (
	"cmp"
	"maps"
	"slices"
)

// CompletionQueue holds the jobs with tasks that have finished and are not stored as finished yet,
// each with the number of the last round before the first of these was reported.
type CompletionQueue map[string]uint64

// Add records that a task of a job has finished. A job that waits already keeps its turn.
func (u CompletionQueue) Add(job string, round uint64) {
	if _, waits := u[job]; !waits {
		u[job] = round
	}
}

// Remove takes a job out of the queue.
func (u CompletionQueue) Remove(job string) { delete(u, job) }

// OldestFirst lists the jobs in the order in which they are to be stored. A round has capacity for a
// bounded number of them, so that any other order could make some of them wait without end.
func (u CompletionQueue) OldestFirst() []string {
	return slices.SortedFunc(maps.Keys(u), func(a, b string) int {
		return cmp.Or(cmp.Compare(u[a], u[b]), cmp.Compare(a, b))
	})
}
