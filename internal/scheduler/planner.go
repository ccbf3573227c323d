package scheduler

import (
	"math"

	"amberdeal.example/amberdeal/wire"
)

// planner carries a plan in the making. A fleet has thousands of machines, and most jobs fit few
// of them: what a job could use is looked up once and kept in a search, and a try that fails is
// undone by what it changed.
type planner struct {
	*Snapshot
	plan      Plan
	pool      machinePool
	valuation valuation
	undo      undoLog
	turnover  turnover
	tiering   *tiering // nil where no tiers are set

	searchBudget    int                  // machines that may still be examined closely
	lowestRank      int                  // the least rank of a job with a task that could be stopped
	productionWaits bool                 // some production job has waiting tasks
	reservingGangs  []*Job               // that reserve machines, in their turn
	headroomByClass map[string]int       // tasks for which headroom is reserved on machines that are up
	serviceUsage    map[string]Resources // what services use, by team; nil until needed
	serviceClasses  []*Job               // a job of each class of services; nil until needed
}

// maxSearchBudget bounds how many machines a plan examines closely, to stop lesser work or to
// reserve capacity that is to come: enough for any fleet under ordinary load. Jobs later in the
// queue are considered again in the next round.
const maxSearchBudget = 100_000

// Schedule makes the plan for a snapshot. It changes the snapshot's machines, jobs and teams.
func Schedule(s *Snapshot) Plan {
	teams := make(map[string]Team, len(s.Teams)) // their use without what the plan reserves
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
	pl := &planner{Snapshot: s, pool: newMachinePool(s.Types), lowestRank: math.MaxInt, searchBudget: maxSearchBudget}
	for _, m := range pl.Machines {
		pl.lowestRank = min(pl.lowestRank, m.countTasks())
		pl.pool.insert(m)
	}
	return pl
}

// placeJobs places the jobs in the order of the queue, and reserves headroom before the first job
// that must leave it alone.
func (pl *planner) placeJobs(queue []*Job) {
	reserved := false
	for _, j := range queue {
		pl.beginJob(j, true)
		if len(j.Waiting) == 0 || j.Terminating || j.MaybeRunning && j.reservationTurn == 0 {
			continue
		}
		pl.undo.clear()
		if !reserved && pl.sparesHeadroom(j) {
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
