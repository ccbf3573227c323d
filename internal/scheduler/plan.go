package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/internal/tier"
)

// Plan is what is to be done.
type Plan struct {
	Launches  []Launch
	Stops     []Stop
	ScaleOuts []ScaleOut
	ScaleIns  []string         // idle machines to return
	Reclaims  []PlannedReclaim // where tiers are set, in place of the stops that make room
	Tiers     []tier.Status    // where tiers are set

	SpreadViolated bool      // some service is not spread as its rule demands
	Backlogged     bool      // some work found no capacity now
	SpareCapacity  Resources // free on machines that are up once all that waits has its own

	ShardReport
}

// Launch places a task. The launches of a gang are next to one another.
type Launch struct {
	Job       *Job
	TaskIndex int
	Machine   string
}

// Stop ends a task.
type Stop struct {
	Job             *Job
	TaskIndex       int
	Machine         string
	Reason          string
	Beneficiary     *Job // the job that gets the capacity; nil where none does
	AwaitCompletion bool // the task should end by itself in time
}

// ScaleOut asks for machines of an offer.
type ScaleOut struct {
	Offer
	Count         int
	QueuePosition int // of the most urgent job for which they are
}

// Reclaim is capacity of a machine that is being reclaimed for tasks of a job.
type Reclaim struct {
	Job, Machine string
	Tasks        int
	Level        int // work ahead of this level of the queue may take the capacity
}

// PlannedReclaim is capacity of a machine to reclaim, with the tasks to stop for it.
type PlannedReclaim struct {
	Reclaim
	Tier   string
	Within time.Duration
	Stops  []Stop
}
