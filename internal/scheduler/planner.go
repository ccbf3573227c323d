package scheduler

import (
	"math"

	"amberdeal.example/amberdeal/wire"
)

// planner holds the state of a plan while it is made. A fleet has thousands of machines, of which most jobs fit
// only a few: the machines that a job can use are looked up once and kept in a search, and a failed attempt is undone
// by reverting only its own changes.
type planner struct {
	*Snapshot
	plan      Plan
	pool      machinePool
	valuation valuation
	undo      undoLog
	turnover  turnover
	tiering   *tiering // nil if no tiers are configured

	searchBudget    int                  // number of machines that may still be examined in detail
	lowestRank      int                  // lowest priority rank of the jobs that have a task which could be preempted
	productionWaits bool                 // at least one production job has waiting tasks
	reservingGangs  []*Job               // gangs that reserve machines, by reservationTurn
	headroomByClass map[string]int       // number of tasks for which headroom is reserved on running machines
	serviceUsage    map[string]Resources // resources that services use, by team; nil until needed
	serviceClasses  []*Job               // one job of each class of services; nil until needed
}

// maxSearchBudget bounds how many machines a plan examines in detail to preempt tasks or to reserve capacity that
// will be free later. It is enough for any fleet under ordinary load. If it is used up, jobs later in the queue are
// considered again in the next round.
const maxSearchBudget = 100_000

// Schedule makes a plan for a snapshot. It modifies the snapshot's machines, jobs and teams.
func Schedule(s *Snapshot) Plan {
	teams := make(map[string]Team, len(s.Teams)) // copies, without what the plan reserves
	for name, t := range s.Teams {
		teams[name] = *t
	}
	pl := newPlanner(s)
	pl.sortJobs()
	pl.valuation = newValuation(pl.Jobs, pl.Types)
	pl.countTurnover()
	pl.reserveMachines()
	queue := pl.buildQueue()
	pl.launchFirstReplicas()
	pl.placeJobs(queue)
	pl.admitStarved(teams)
	pl.planScaleOut()
	pl.planScaleIn()
	pl.reportFreeCapacity()
	pl.planReclaims()
	pl.rebalanceServices()
	pl.sumSpareCapacity()
	return pl.plan
}

func newPlanner(s *Snapshot) *planner {
	pl := &planner{Snapshot: s, pool: newMachinePool(s.Types, s.MaxTasksPerMachine), lowestRank: math.MaxInt, searchBudget: maxSearchBudget}
	for _, m := range pl.Machines {
		pl.lowestRank = min(pl.lowestRank, m.countTasks())
		pl.pool.insert(m)
	}
	return pl
}

// placeJobs places the jobs in the order of the queue. It reserves headroom before it places the first job that
// must not use it.
func (pl *planner) placeJobs(queue []*Job) {
	reserved := false
	for _, j := range queue {
		pl.beginJob(j, true)
		if len(j.Waiting) == 0 || j.Terminating || j.MaybeRunning && j.reservationTurn == 0 {
			continue
		}
		pl.undo.clear()
		if !reserved && pl.mustLeaveHeadroom(j) {
			pl.reserveHeadroom()
			reserved = true
		}
		if j.Shape == wire.Gang {
			pl.placeGang(j)
		} else {
			pl.placeTasks(j)
		}
	}
	if !reserved {
		pl.reserveHeadroom()
	}
}
