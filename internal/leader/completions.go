package leader

import (
	"cmp"
	"maps"
	"slices"
)

// completionQueue holds the jobs with tasks that have finished and are not stored as finished yet, each
// with the number of the last round before the first of these was reported.
type completionQueue map[string]uint64

// add takes in that a task of a job has finished. A job that waits already keeps its turn.
func (u completionQueue) add(job string, round uint64) {
	if _, waits := u[job]; !waits {
		u[job] = round
	}
}

func (u completionQueue) remove(job string) { delete(u, job) }

// oldestFirst lists the jobs in the order in which they are to be stored. A round has room for a
// bounded number of them, so that any other order would have some of them wait without an end.
func (u completionQueue) oldestFirst() []string {
	return slices.SortedFunc(maps.Keys(u), func(a, b string) int {
		return cmp.Or(cmp.Compare(u[a], u[b]), cmp.Compare(a, b))
	})
}
