package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// jobState is what the leader remembers about a job besides its placements.
type jobState struct {
	failures        map[string]time.Time  // when the job last failed on each machine
	lastSuccess     time.Time             // when a task of the job was last reported as done
	notBefore       time.Time             // earliest time of the next placement
	finished        *store.TaskSet        // tasks that were reported as finished
	storedFinished  *store.TaskSet        // those of them that are stored as finished
	endedAt         time.Time             // when the job was cancelled or done
	liveRevision    uint64                // last revision at which the job was seen live
	waitingSince    time.Time             // since when tasks of the job have found no capacity here
	coAllocation    handover.CoAllocation // for a gang that is split among shards
	starvedSince    time.Time             // since when no task of the job is placed although some could be
	failedAttempts  map[int]int           // by task: how often it was stopped before its image was fetched
	timedOutAttempt uint64                // gang attempt in which a task timed out waiting for the others
}

// JobIndex answers questions about all jobs, including those that have ended.
type JobIndex interface {
	// Job returns the record of a job, if it is known.
	Job(id string) (store.JobRecord, bool)
	// Compacted reports whether a job was compacted, which proves that no task of it is left anywhere.
	Compacted(id string) bool
	// HasEndedBatches reports whether there are ended jobs that are yet to be compacted.
	HasEndedBatches() bool
	// Migrated reports whether a shard no longer needs the ledgers of previous shardings.
	Migrated(shard string) bool
	// PreviousSegmentKeys returns the keys of the segments of the ledgers of previous shardings.
	PreviousSegmentKeys() []string
}

// uncompactedTasks returns the tasks of a machine's record without those of compacted jobs. An earlier leader had proof
// that these are gone; the record may still name them, because compaction does not rewrite it.
func uncompactedTasks(tasks map[string]uint64, jobIndex JobIndex) map[string]uint64 {
	out := make(map[string]uint64, len(tasks))
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil && !jobIndex.Compacted(t.Job) {
			out[name] = attempt
		}
	}
	return out
}

// UnfinishedJobs returns the jobs that have or may have a task on a machine, and those whose end this leader has not
// applied yet. ok is false until all reachable machines are accounted for; what may be on unreachable machines is known
// from their records.
func (l *Leader) UnfinishedJobs() (jobs map[string]bool, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs = make(map[string]bool)
	for _, m := range l.fleet.Machines() {
		for _, p := range m.Placements() {
			if !p.IsTombstone() {
				jobs[p.Task.Job] = true
			}
		}
	}
	for id, j := range l.jobStates {
		if j.endedAt.IsZero() {
			jobs[id] = true
		}
	}
	return jobs, l.rebuiltReachable
}

// jobTable holds the live jobs and what the leader remembers about each job. Each refresh replaces the live jobs
// with those of its snapshot, and a round that changes a job's record replaces that job. Job states are kept until
// reconciliation removes them.
type jobTable struct {
	liveJobs      map[string]*store.LiveJob // by job ID, as of the last refresh
	viewCurrentAt time.Time                 // every job end that was stored by then has been applied
	jobStates     map[string]*jobState
}

func newJobTable(snap store.Snapshot) jobTable {
	return jobTable{liveJobs: snap.LiveJobs, viewCurrentAt: snap.CurrentAt, jobStates: map[string]*jobState{}}
}

// jobState returns the state of a job, and creates it for an unknown job.
func (t *jobTable) jobState(job string) *jobState {
	j := t.jobStates[job]
	if j == nil {
		j = &jobState{failures: map[string]time.Time{}, finished: store.NewTaskSet(0), storedFinished: store.NewTaskSet(0)}
		t.jobStates[job] = j
	}
	return j
}
