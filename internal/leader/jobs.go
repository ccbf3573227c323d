package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// jobState is what the holder remembers of a job beside its placements.
type jobState struct {
	failedMachines  map[string]bool // machines on which it failed
	notBefore       time.Time       // back-off
	failures        int
	finished        *store.TaskSet // tasks that were reported done
	storedFinished  *store.TaskSet // and are in the store
	endedAt         time.Time      // when it was cancelled or done
	liveRevision    uint64         // the last revision at which it was seen live
	waitingSince    time.Time      // when tasks of it first waited here
	coAllocation    coAllocation   // of a gang
	starvedSince    time.Time      // since when no task of it is anywhere and some could be
	failedAttempts  map[int]int    // times that a task was stopped before its image had come
	timedOutAttempt uint64         // the attempt of a gang of which a task waited for the others in vain
}

// JobIndex is what is known of jobs, be they over.
type JobIndex interface {
	Job(id string) (store.JobRecord, bool)
	// Compacted reports whether no task of a job can be anywhere any more.
	Compacted(id string) bool
	// Uncompacted reports whether jobs are over that may be folded.
	Uncompacted() bool
	// Migrated reports whether a part needs the ledgers of earlier groupings no more.
	Migrated(part string) bool
	// PreviousLedgerSlots names the slots of these.
	PreviousLedgerSlots() []string
}

// unsettled leaves out the tasks of jobs that were folded: an earlier holder had
// proof that they are gone, whatever a machine's record, which is not written for
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

// UnfinishedJobs names the jobs of which a task is or may be on a machine, or whose end
// this holder has not taken in. Until the fleet is rebuilt, but for silent machines,
// nobody can tell: what may be on those is known by their records.
func (h *Leader) UnfinishedJobs() (jobs map[string]bool, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	jobs = make(map[string]bool)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if !p.IsTombstone() {
				jobs[p.Task.Job] = true
			}
		}
	}
	for id, j := range h.jobStates {
		if j.endedAt.IsZero() {
			jobs[id] = true
		}
	}
	return jobs, h.rebuiltReachable
}

func (h *Leader) jobState(job string) *jobState {
	j := h.jobStates[job]
	if j == nil {
		j = &jobState{failedMachines: map[string]bool{}, finished: store.NewTaskSet(0), storedFinished: store.NewTaskSet(0)}
		h.jobStates[job] = j
	}
	return j
}
