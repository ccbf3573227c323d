package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// jobState is what the leader remembers of a job beside its placements.
type jobState struct {
	failedMachines  map[string]bool       // machines on which it failed
	notBefore       time.Time             // when it may be placed again
	finished        *store.TaskSet        // tasks that were reported as finished
	storedFinished  *store.TaskSet        // and are stored as such
	endedAt         time.Time             // when it was cancelled or done
	liveRevision    uint64                // the last revision at which it was seen live
	waitingSince    time.Time             // when tasks of it first waited here
	coAllocation    handover.CoAllocation // of a gang
	starvedSince    time.Time             // since when none of its tasks is placed though some could be
	failedAttempts  map[int]int           // times that a task was stopped before its image had come
	timedOutAttempt uint64                // the attempt of a gang of which a task timed out waiting for the others
}

const (
	// delayAfterMachines is on how many machines a job fails before its next attempt is delayed:
	// until then a machine may be at fault.
	delayAfterMachines = 3
	// maxJobBackoff bounds how long a job that fails again and again waits for its next attempt: it
	// must not be left waiting while there are machines on which it may succeed.
	maxJobBackoff = 45 * time.Second
	// maxJobBackoffShift bounds the doublings, so that they don't overflow.
	maxJobBackoffShift = 7
)

// noteFailure records that the job has failed on a machine. Each machine more doubles the delay.
func (j *jobState) noteFailure(now time.Time, machine string) {
	j.failedMachines[machine] = true
	if n := len(j.failedMachines); n >= delayAfterMachines {
		j.notBefore = now.Add(min(maxJobBackoff, time.Second<<min(n, maxJobBackoffShift)))
	}
}

// JobIndex answers questions about all jobs, also those that are over.
type JobIndex interface {
	// Job returns the record of a job, if it is known.
	Job(id string) (store.JobRecord, bool)
	// Compacted reports whether no task of a job can be anywhere any more.
	Compacted(id string) bool
	// Uncompacted reports whether jobs are over that may be compacted.
	Uncompacted() bool
	// Migrated reports whether a shard no longer needs the ledgers of previous shardings.
	Migrated(shard string) bool
	// PreviousLedgerSlots returns the keys of the segments of these ledgers.
	PreviousLedgerSlots() []string
}

// unsettled leaves out the tasks of jobs that were compacted: an earlier leader had
// proof that they are gone, whatever a machine's record, which is not rewritten for
// that, still says.
func unsettled(tasks map[string]uint64, jobIndex JobIndex) map[string]uint64 {
	out := make(map[string]uint64, len(tasks))
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil && !jobIndex.Compacted(t.Job) {
			out[name] = attempt
		}
	}
	return out
}

// UnfinishedJobs returns the jobs of which a task is or may be on a machine, or whose end this
// leader has not applied yet. It is not ok until all reachable machines are accounted for; what may
// be on unreachable ones is known by their records.
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

// jobTable is what the leader knows of the jobs: which are live, and what it remembers of each. Each
// refresh replaces the live jobs by those of its snapshot; a round that changes the record of one puts the
// new record in its place. What is remembered is kept until reconciliation forgets it.
type jobTable struct {
	liveJobs      map[string]*store.LiveJob // of the last view
	viewCurrentAt time.Time                 // every end of a job that was stored by then is applied
	jobStates     map[string]*jobState
}

func newJobTable(snap store.Snapshot) jobTable {
	return jobTable{liveJobs: snap.LiveJobs, viewCurrentAt: snap.CurrentAt, jobStates: map[string]*jobState{}}
}

// jobState returns what is remembered of a job, beginning anew for one that is not known.
func (t *jobTable) jobState(job string) *jobState {
	j := t.jobStates[job]
	if j == nil {
		j = &jobState{failedMachines: map[string]bool{}, finished: store.NewTaskSet(0), storedFinished: store.NewTaskSet(0)}
		t.jobStates[job] = j
	}
	return j
}
