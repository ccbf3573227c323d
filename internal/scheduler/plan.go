package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/internal/tier"
)

// Plan lists the changes to make to the cluster.
type Plan struct {
	Launches  []Launch
	Stops     []Stop
	ScaleOuts []ScaleOut
	ScaleIns  []string         // IDs of idle machines to release
	Reclaims  []PlannedReclaim // with tiers configured, instead of the stops that free capacity
	Tiers     []tier.Status    // with tiers configured

	SpreadViolated bool      // at least one service is not spread as its rule requires
	Backlogged     bool      // some work has no capacity now
	SpareCapacity  Resources // free on running machines once all waiting work is placed

	ShardReport
}

// Launch starts a task on a machine. The launches of a gang are adjacent in a plan.
type Launch struct {
	Job       *Job
	TaskIndex int
	Machine   string
}

// Stop stops a task.
type Stop struct {
	Job             *Job
	TaskIndex       int
	Machine         string
	Reason          string
	Beneficiary     *Job // the job that gets the capacity; nil if none does
	AwaitCompletion bool // wait for the task, which should end by itself in time
}

// ScaleOut requests machines of an offer.
type ScaleOut struct {
	Offer
	Count         int
	QueuePosition int // of the most urgent job that needs the machines
}

// Reclaim is capacity on a machine that is being reclaimed for tasks of a job.
type Reclaim struct {
	Job, Machine string
	Tasks        int // number of the job's tasks that the capacity is for
	Level        int // work at a lower queue level, which is placed earlier, may take the capacity
}

// PlannedReclaim is a reclaim to begin, with the tasks to stop for it.
type PlannedReclaim struct {
	Reclaim
	Tier   string
	Within time.Duration
	Stops  []Stop
}
