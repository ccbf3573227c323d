package scheduler

import (
	"cmp"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

const (
	// reservationWaitDivisor divides MaxGangWait to give the wait after which a job reserves capacity or goes first:
	// a quarter, so that three quarters are left for capacity to be freed.
	reservationWaitDivisor = 4
	// maxReservedShare is the maximum share of the fleet that all reservations may take together. One gang may always
	// reserve.
	maxReservedShare = 0.25
	// maxReservingGangs is the maximum number of gangs that reserve at once, since each costs a search.
	maxReservingGangs = 8
)

// qualifiesForReservation reports whether a job has waited so long that it must no longer be passed over.
func (pl *planner) qualifiesForReservation(j *Job) bool {
	return pl.MaxGangWait > 0 && j.Age+pl.fetchTime(j) >= pl.MaxGangWait/reservationWaitDivisor
}

// assignReservationTurns orders the jobs that must not be passed over, by their wait multiplied by their number of
// tasks, since a larger job is passed over more often. Gangs come before arrays.
func (pl *planner) assignReservationTurns() {
	var gangs, arrays []*Job
	for _, j := range pl.Jobs {
		switch {
		case j.Priority == wire.Production || j.Terminating || len(j.Waiting) == 0:
		case j.Shape == wire.Gang && pl.canReserve(j) && pl.qualifiesForReservation(j):
			gangs = append(gangs, j)
		case j.Shape == wire.Array && len(j.Waiting) > 1 && pl.qualifiesForReservation(j):
			arrays = append(arrays, j)
		}
	}
	if len(gangs)+len(arrays) == 0 {
		return
	}
	limit := pl.reservableCapacity()
	turn := pl.selectReservingGangs(gangs, limit)
	pl.prioritizeArrays(arrays, limit, turn)
}

// canReserve reports whether a gang may reserve capacity: it has several tasks, all of which wait. A gang that could be
// co-allocated across shards may not, since the shards report their free capacity to each other for that.
func (pl *planner) canReserve(j *Job) bool {
	coAllocated := pl.Sharded && !j.OneZone && j.Zone == "" && j.RemoteTasks == 0
	return !coAllocated && j.ActiveTasks == 0 && len(j.Waiting)+j.RemoteTasks > 1
}

// reservableCapacity returns the capacity that may be reserved at once.
func (pl *planner) reservableCapacity() (sum Resources) {
	for _, m := range pl.pool.usable {
		if t := pl.pool.typeOf(m); t != nil {
			sum = sum.AddScaled(capacityOf(t), maxReservedShare)
		}
	}
	return sum
}

// sortByWait sorts jobs by their wait multiplied by their number of tasks, the largest product first.
func sortByWait(jobs []*Job) {
	weight := func(j *Job) float64 { return j.Age.Seconds() * float64(j.Tasks) }
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.SubmissionOrder, b.SubmissionOrder))
	})
}

// selectReservingGangs picks the gangs that reserve machines, and returns the last turn that it assigned. If a team's
// limit does not allow its first gang, no other gang of the team reserves: it could not start either.
func (pl *planner) selectReservingGangs(waiting []*Job, limit Resources) (turn int) {
	sortByWait(waiting)
	// A gang that has found no capacity for twice MaxGangWait may never find any, and must not keep others from
	// reserving for as long as it waits.
	slices.SortStableFunc(waiting, func(a, b *Job) int {
		return cmp.Compare(a.Age/(2*pl.MaxGangWait), b.Age/(2*pl.MaxGangWait))
	})
	var sum Resources
	reservedByTeam := make(map[string]Resources) // what the team's gangs reserve; zero if its limit is reached
	for _, j := range waiting {
		team, totalNeed := pl.Teams[j.Team], ResourcesOf(j.Job).Scaled(float64(len(j.Waiting)))
		used, known := reservedByTeam[j.Team]
		if team == nil || known && used == (Resources{}) {
			continue
		}
		if !team.allows(used.AddScaled(totalNeed, 1)) {
			reservedByTeam[j.Team] = Resources{}
			if pl.worthReservingQuota(j, totalNeed) { // the gang goes first, but reserves no machines
				turn++
				j.reservationTurn = turn
			}
			continue
		}
		if n := len(pl.reservingGangs); n > 0 && !limit.Fits(sum.AddScaled(totalNeed, 1)) || n == maxReservingGangs {
			return turn
		}
		reservedByTeam[j.Team], sum = used.AddScaled(totalNeed, 1), sum.AddScaled(totalNeed, 1)
		pl.reservingGangs = append(pl.reservingGangs, j)
		turn++
		j.reservationTurn = turn
	}
	return turn
}

// prioritizeArrays assigns turns after the reserving gangs to the largest arrays of each class that have waited for
// half of MaxGangWait. Otherwise smaller jobs would take each piece of capacity that the gangs leave before the last
// tasks of a large array. Arrays take capacity as it is freed, and reserve none.
func (pl *planner) prioritizeArrays(waiting []*Job, limit Resources, turn int) {
	sortByWait(waiting)
	largest := make(map[string]int) // tasks, by class
	for _, j := range waiting {
		largest[j.Class] = max(largest[j.Class], j.Tasks)
	}
	first, sum := turn, Resources{}
	for _, j := range waiting {
		if j.Age < pl.MaxGangWait/2 || j.Age >= pl.MaxGangWait || 2*j.Tasks < largest[j.Class] {
			continue // a job past MaxGangWait has missed it already: smaller jobs would starve for nothing
		}
		sum = sum.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)))
		if turn > first && !limit.Fits(sum) {
			return
		}
		turn++
		j.reservationTurn = turn
	}
}

// worthReservingQuota reports whether smaller jobs of a team must wait so that a job that has waited for a long time
// gets the needed part of the team's limit. It is not worth it if the limit does not allow the job beside the team's
// services, which do not end, or if the job has waited for twice MaxGangWait because more urgent work took the quota.
func (pl *planner) worthReservingQuota(j *Job, need Resources) bool {
	if !pl.qualifiesForReservation(j) || j.Age >= 2*pl.MaxGangWait {
		return false
	}
	team := *pl.Teams[j.Team]
	team.UsedCPUs, team.UsedGPUs = 0, 0
	return team.allows(pl.usageOfServices()[j.Team].AddScaled(need, 1))
}

// usageOfServices sums the resources of running and waiting service replicas by team.
func (pl *planner) usageOfServices() map[string]Resources {
	if pl.serviceUsage == nil {
		pl.serviceUsage = make(map[string]Resources)
		for _, j := range pl.Jobs {
			if j.Shape == wire.Service {
				pl.serviceUsage[j.Team] = pl.serviceUsage[j.Team].AddScaled(ResourcesOf(j.Job), float64(j.ActiveTasks+len(j.Waiting)))
			}
		}
	}
	return pl.serviceUsage
}
