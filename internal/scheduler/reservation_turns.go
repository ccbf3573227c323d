package scheduler

import (
	"cmp"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

const (
	// reservationWaitDivisor is the part of MaxGangWait after which a job reserves or goes first: a
	// quarter, so that three quarters are left for capacity to come free.
	reservationWaitDivisor = 4
	// maxReservedShare bounds the part of the fleet that is reserved together; one gang always is.
	maxReservedShare = 0.25
	// maxReservingGangs bounds how many gangs reserve at once, each of which costs a search.
	maxReservingGangs = 8
)

// earnsReservation reports whether a job has waited for so long that it must not be passed over
// any more.
func (pl *planner) earnsReservation(j *Job) bool {
	return pl.MaxGangWait > 0 && j.Age+pl.fetchTime(j) >= pl.MaxGangWait/reservationWaitDivisor
}

// assignReservationTurns assigns turns to the jobs that must not be passed over: the first to those
// that have waited for the most, which counts for each of their tasks, since a larger one is
// passed over more often.
func (pl *planner) assignReservationTurns() {
	var gangs, arrays []*Job
	for _, j := range pl.Jobs {
		switch {
		case j.Priority == wire.Production || j.Terminating || len(j.Waiting) == 0:
		case j.Shape == wire.Gang && pl.waitsWhole(j) && pl.earnsReservation(j):
			gangs = append(gangs, j)
		case j.Shape == wire.Array && len(j.Waiting) > 1 && pl.earnsReservation(j):
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

// waitsWhole reports whether all of a gang of several tasks waits, so that it may reserve. One
// that could be co-allocated over several shards does not: those exchange what is free.
func (pl *planner) waitsWhole(j *Job) bool {
	coAllocated := pl.Sharded && !j.OneZone && j.Zone == "" && j.RemoteTasks == 0
	return !coAllocated && j.Active == 0 && len(j.Waiting)+j.RemoteTasks > 1
}

// reservableCapacity returns how much of the fleet may be reserved at once.
func (pl *planner) reservableCapacity() (sum Resources) {
	for _, m := range pl.pool.usable {
		if t := pl.pool.typeOf(m); t != nil {
			sum = sum.AddScaled(capacityOf(t), maxReservedShare)
		}
	}
	return sum
}

// sortByWait orders jobs by how long they have waited, which counts for each of their tasks.
func sortByWait(jobs []*Job) {
	weight := func(j *Job) float64 { return j.Age.Seconds() * float64(j.Tasks) }
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Order, b.Order))
	})
}

// selectReservingGangs picks the gangs that reserve, and returns the last turn. Of a team whose
// limit leaves nothing for its first gang, no other reserves: it could not start either.
func (pl *planner) selectReservingGangs(waiting []*Job, limit Resources) (turn int) {
	sortByWait(waiting)
	// What has found no capacity for twice the bound may never find any, and must not keep others
	// from reserving for as long as it waits.
	slices.SortStableFunc(waiting, func(a, b *Job) int {
		return cmp.Compare(a.Age/(2*pl.MaxGangWait), b.Age/(2*pl.MaxGangWait))
	})
	var sum Resources
	byTeam := make(map[string]Resources) // nothing for a team that is at its limit
	for _, j := range waiting {
		team, whole := pl.Teams[j.Team], ResourcesOf(j.Job).Scaled(float64(len(j.Waiting)))
		used, known := byTeam[j.Team]
		if team == nil || known && used == (Resources{}) {
			continue
		}
		if !team.allows(used.AddScaled(whole, 1)) {
			byTeam[j.Team] = Resources{}
			if pl.worthReservingQuota(j, whole) { // it goes first, but reserves no machines
				turn++
				j.reservationTurn = turn
			}
			continue
		}
		if n := len(pl.reservingGangs); n > 0 && !limit.Fits(sum.AddScaled(whole, 1)) || n == maxReservingGangs {
			return turn
		}
		byTeam[j.Team], sum = used.AddScaled(whole, 1), sum.AddScaled(whole, 1)
		pl.reservingGangs = append(pl.reservingGangs, j)
		turn++
		j.reservationTurn = turn
	}
	return turn
}

// prioritizeArrays has the largest arrays of each class that have waited for half the bound go
// behind the gangs that reserve, and before all others: of what those leave, smaller work would
// take each bit before the last tasks of a large array. They take capacity as it comes, and
// reserve none.
func (pl *planner) prioritizeArrays(waiting []*Job, limit Resources, turn int) {
	sortByWait(waiting)
	largest := make(map[string]int) // tasks, by class
	for _, j := range waiting {
		largest[j.Class] = max(largest[j.Class], j.Tasks)
	}
	first, sum := turn, Resources{}
	for _, j := range waiting {
		if j.Age < pl.MaxGangWait/2 || j.Age >= pl.MaxGangWait || 2*j.Tasks < largest[j.Class] {
			continue // of one that has missed the bound: smaller ones would starve for nothing
		}
		sum = sum.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)))
		if turn > first && !limit.Fits(sum) {
			return
		}
		turn++
		j.reservationTurn = turn
	}
}

// worthReservingQuota reports whether a team's limit will allow so much of a job that has waited
// for long, so that smaller work of the team is to wait for it: not beside services, which do not
// end, and not where more urgent work has taken it for twice the bound.
func (pl *planner) worthReservingQuota(j *Job, need Resources) bool {
	if !pl.earnsReservation(j) || j.Age >= 2*pl.MaxGangWait {
		return false
	}
	team := *pl.Teams[j.Team]
	team.UsedCPUs, team.UsedGPUs = 0, 0
	return team.allows(pl.usageOfServices()[j.Team].AddScaled(need, 1))
}

// usageOfServices sums what services use or are to use, by team.
func (pl *planner) usageOfServices() map[string]Resources {
	if pl.serviceUsage == nil {
		pl.serviceUsage = make(map[string]Resources)
		for _, j := range pl.Jobs {
			if j.Shape == wire.Service {
				pl.serviceUsage[j.Team] = pl.serviceUsage[j.Team].AddScaled(ResourcesOf(j.Job), float64(j.Active+len(j.Waiting)))
			}
		}
	}
	return pl.serviceUsage
}
