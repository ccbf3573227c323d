package scheduler

import (
	"math"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Job is an unfinished job.
type Job struct {
	*wire.Job
	Age           time.Duration
	SubmittedAt   time.Time // of its submission
	Order         uint64
	Waiting       []int // tasks that are nowhere and may be placed
	InZone        map[string]int
	Active        int
	StarvedFor    time.Duration   // for how long no task of it was anywhere and some could have been
	Terminating   bool            // a gang of which tasks are still to leave
	AvoidMachines map[string]bool // machines on which it failed
	SpreadRule    *SpreadRule     // of a service; may be nil

	LocalTasks     int  // tasks of it that are of this part, where there are several
	RemoteTasks    int  // tasks that other parts have yet to finish
	RemoteCapacity int  // tasks for which another part has room that the job allows
	ReserveOnly    bool // a gang of which other parts have the rest: room is held, nothing is started
	MaybeRunning   bool // a gang that may be running somewhere: nothing is started, what it had gathered stays

	guaranteed       bool
	launchedEarly    int // tasks of Waiting that the plan has launched before the others' turn
	work             tier.Workload
	tier             int
	queueLevel       int           // in the queue, where tiers are set
	remainder        *Job          // of which this is what its tier is guaranteed
	queuePosition    int           // in the order in which jobs get room
	timeLeft         time.Duration // until it must start to meet the next aim
	weightedSlack    time.Duration // the same, less for rare classes
	reservationTurn  int           // its turn among those that gather room, 0 for none
	reservedMachines []*Machine    // that are gathered for it
}

// starved reports whether a job is to wait no longer where there is room.
func (j *Job) starved() bool {
	return j.StarvedFor >= starvationLimit && len(j.Waiting) > 0 && j.Active+j.RemoteTasks == 0 && !j.Terminating && !j.MaybeRunning && !j.ReserveOnly
}

// Task is a task on a machine.
type Task struct {
	Job            *Job
	Index          int
	RunTime        time.Duration // since it was seen running
	Stopping       bool          // or should end for a claim back
	FailedAttempts int           // times that it was stopped before its image had come
	StopOverdue    bool          // it has not stopped in time: nothing is to wait for its room
}

// remaining tells after how long a task should end, as far as its estimate can tell.
func (t Task) remaining() time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.Job.Shape == wire.Service:
		return math.MaxInt64
	}
	return max(t.Job.Estimate()-t.RunTime, 5*time.Second)
}
