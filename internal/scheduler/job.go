package scheduler

import (
	"math"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Job is an unfinished job, as the snapshot has it.
type Job struct {
	*wire.Job
	Age           time.Duration   // since its submission
	SubmittedAt   time.Time       // the same as a time
	Order         uint64          // of its submission among all jobs
	Waiting       []int           // indices of the tasks that are nowhere and may be placed
	InZone        map[string]int  // how many of its tasks are in each zone, old attempts included
	Active        int             // tasks that are on machines
	StarvedFor    time.Duration   // for how long it has had no task anywhere although some could have been placed
	Terminating   bool            // a gang of which some tasks have yet to end
	AvoidMachines map[string]bool // machines on which it failed
	SpreadRule    *SpreadRule     // of a service; may be nil

	// These matter where the fleet is divided into several shards.

	LocalTasks     int  // tasks that belong to this shard
	RemoteTasks    int  // tasks that other shards have yet to finish
	RemoteCapacity int  // tasks for which another shard has free capacity that the job allows
	ReserveOnly    bool // a gang whose other tasks are in other shards: capacity is reserved, nothing is started
	MaybeRunning   bool // a gang that may be running somewhere: nothing is started, its reservation stays

	jobPlan
}

// jobPlan is what the planner keeps with a job while it makes a plan.
type jobPlan struct {
	work          tier.Workload // what tiers go by
	tier          int
	guaranteed    bool // it is within its team's guarantee
	queuePosition int  // in the order in which jobs are placed
	queueLevel    int  // the level of the queue, where tiers are set
	remainder     *Job // where this is the part of a job that its tier's share has capacity for: the job itself
	launchedEarly int  // tasks of Waiting that were launched before the job's turn

	timeLeft      time.Duration // until it must start to meet its next objective
	weightedSlack time.Duration // timeLeft, reduced for classes with few jobs

	reservationTurn  int        // its turn among the jobs that must not be passed over; 0 for none
	reservedMachines []*Machine // a machine for each waiting task, or less
}

// starved reports whether a job is to be admitted wherever there is idle capacity.
func (j *Job) starved() bool {
	if j.StarvedFor < starvationLimit || len(j.Waiting) == 0 || j.Active+j.RemoteTasks > 0 {
		return false
	}
	return !j.Terminating && !j.MaybeRunning && !j.ReserveOnly
}

// minRemaining is the least time that a task is expected to run on: estimates are often too low.
const minRemaining = 5 * time.Second

// Task is a task on a machine.
type Task struct {
	Job            *Job
	Index          int
	RunTime        time.Duration // since it was first seen running
	Stopping       bool          // it is being stopped, or is awaited by a reclaim
	FailedAttempts int           // times that it was stopped before its image had come
	StopOverdue    bool          // it has not stopped in time: its resources are not waited for
}

// remaining returns the time until a task should end, according to its estimate.
func (t Task) remaining() time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.Job.Shape == wire.Service:
		return math.MaxInt64
	}
	return max(t.Job.Estimate()-t.RunTime, minRemaining)
}
