package scheduler

import (
	"cmp"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
)

// Launch places a task. Launches of a gang come together.
type Launch struct {
	Job       *Job
	TaskIndex int
	Machine   string
}

// Stop ends a task to make room.
type Stop struct {
	Job             *Job
	TaskIndex       int
	Machine         string
	Reason          string
	Beneficiary     *Job // that gets the room, nil where nobody does
	AwaitCompletion bool // it should end by itself in time
}

// ScaleOut asks for machines.
type ScaleOut struct {
	Offer
	Count         int
	QueuePosition int // in the order of jobs, of the most urgent one that it is for
}

// Plan is what to do.
type Plan struct {
	Launches  []Launch
	Stops     []Stop
	ScaleOuts []ScaleOut
	ScaleIns  []string
	Reclaims  []PlannedReclaim // what is stopped where tiers are set
	Tiers     []tier.Status

	// Where the fleet is in several parts: what the others should know.
	Unplaced     []UnplacedJob
	FreeCapacity map[string]FreeCapacity // by class
	QuotaDemands map[string]QuotaDemand  // by team
	ServiceUsage map[string]Resources    // what services take, by team
	ReadyGangs   []string                // gangs to hold for which there is room

	SpreadViolated bool // services are to be moved

	Backlogged    bool      // work found no room now
	SpareCapacity Resources // that is left once all that waits has its own
}

// FreeCapacity is how many more tasks of a class a part could take: on machines that have room
// now, on those beside lesser work, and whether machines for it can be rented.
type FreeCapacity struct {
	Now, Below int
	Rent       bool
}

// QuotaDemand is what a team's grant holds back: work that would be launched if it were larger.
type QuotaDemand struct {
	CPUs, GPUs float64
	Rank       int       // of the most urgent of it
	Since      time.Time // when the oldest of that was submitted
	Least      Resources // that any of it takes: a task, or a gang
}

// Compare orders wants, the one that goes first before others. An age would not do: what another
// part has told was so a while ago, and of two that are as old each would take its own for the older.
func (w QuotaDemand) Compare(other QuotaDemand) int {
	return cmp.Or(cmp.Compare(other.Rank, w.Rank), w.Since.Compare(other.Since))
}

// IsPending reports whether a want asks for anything now.
func (w QuotaDemand) IsPending() bool { return w.CPUs > 0 || w.GPUs > 0 }

// WorthReserving reports whether what is wanted will fit into a limit once all has ended but what stays, so
// that work of other parts is to wait for it: it has waited for long, as in one part.
func (w QuotaDemand) WorthReserving(waited, beginWithin time.Duration, limit Team, stays Resources) bool {
	return beginWithin > 0 && waited >= beginWithin/reservationWaitDivisor && waited < 2*beginWithin && limit.allows(stays.AddScaled(w.Least, 1))
}

// UnplacedJob is a job of which tasks found no room: some wait for what is on its way, for
// others nothing is.
type UnplacedJob struct {
	Job              *Job
	Coming, Unserved int
}

// Reclaim is room on a machine that is being claimed back for tasks of a job.
type Reclaim struct {
	Job, Machine string
	Tasks        int
	Level        int // work ahead of it may take the room
}

// PlannedReclaim is room to claim back on a machine.
type PlannedReclaim struct {
	Reclaim
	Tier   string
	Within time.Duration
	Stops  []Stop
}
