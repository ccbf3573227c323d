package scheduler

import (
	"math"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Job is an unfinished job in a snapshot.
type Job struct {
	*wire.Job
	Age             time.Duration  // since the job was submitted
	SubmittedAt     time.Time      // when the job was submitted
	SubmissionOrder uint64         // position in the order in which all jobs were submitted
	Waiting         []int          // indices of the tasks that are on no machine and may be placed
	TasksByZone     map[string]int // number of its tasks by zone, earlier attempts that have yet to end included
	ActiveTasks     int            // number of tasks that are on machines
	StarvedFor      time.Duration  // how long it has had no task on any machine although some could have been placed
	Terminating     bool           // a gang with tasks that are being stopped and have yet to end
	AvoidMachines   Avoidances     // machines on which it failed
	SpreadRule      *SpreadRule    // services only; may be nil

	// The fields below matter if the fleet is divided into several shards.

	LocalTasks     int  // number of tasks that belong to this shard
	RemoteTasks    int  // number of tasks that other shards have yet to finish
	RemoteCapacity int  // number of tasks for which another shard has free capacity that the job may use
	ReserveOnly    bool // a gang whose other tasks are in other shards: reserve capacity, launch nothing
	MaybeRunning   bool // a gang that may be running, as far as a new leader knows: launch nothing, keep its reservation

	jobPlan
}

// jobPlan is the planner's state of a job while it makes a plan.
type jobPlan struct {
	work          tier.Workload // the properties that decide the job's tier
	tier          int           // index of the job's tier
	guaranteed    bool          // the job is within its team's guaranteed quota
	queuePosition int           // index in the order in which jobs are placed
	queueLevel    int           // level of the queue, if tiers are configured
	originalJob   *Job          // the original job, if this one is only the part of it that fits into its tier's share
	launchedEarly int           // number of leading tasks of Waiting that launchFirstReplicas has launched

	timeLeft      time.Duration // until the job must start to meet its next objective
	weightedSlack time.Duration // timeLeft, scaled down for classes with few jobs

	lastResort       bool       // the job may use machines that it only prefers to avoid
	reservationTurn  int        // order among the jobs that must not be passed over, from 1; 0 if it is none of them
	reservedMachines []*Machine // one for each waiting task, or fewer if the rest can be rented sooner
}

// starved reports whether the job has waited so long that it is admitted wherever there is idle capacity.
func (j *Job) starved() bool {
	if j.StarvedFor < starvationLimit || len(j.Waiting) == 0 || j.ActiveTasks+j.RemoteTasks > 0 {
		return false
	}
	return !j.Terminating && !j.MaybeRunning && !j.ReserveOnly
}

// minRemaining is the minimum time for which a task is expected to keep running, since estimates are often too low.
const minRemaining = 5 * time.Second

// Task is a task on a machine.
type Task struct {
	Job            *Job
	Index          int           // index within the job
	RunTime        time.Duration // since the task was first reported as running
	Stopping       bool          // the task is being stopped, or a reclaim waits for it to end
	FailedAttempts int           // number of attempts that were stopped before the image was fetched
	StopOverdue    bool          // the task did not stop in time: do not wait for its resources
}

// remaining returns the time until the task should end according to its estimate. Services never end.
func (t Task) remaining() time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.Job.Shape == wire.Service:
		return math.MaxInt64
	}
	return max(t.Job.Estimate()-t.RunTime, minRemaining)
}
