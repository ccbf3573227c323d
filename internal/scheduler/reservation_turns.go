package scheduler

import (
	"cmp"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// Those that have waited for a part of the bound gather, and hold a part of the fleet
// together at the most, but always one.
const (
	reservationWaitDivisor = 4
	maxReservedShare       = 0.25
	maxReservingGangs      = 8
)

// earnsReservation reports whether a job has waited for so long that it must not be passed over
// any more.
func (pl *planner) earnsReservation(j *Job) bool {
	return pl.MaxGangWait > 0 && j.Age+pl.fetchTime(j) >= pl.MaxGangWait/reservationWaitDivisor
}

// assignReservationTurns marks the jobs that must not be passed over: those go first that have waited for the
// most, which counts for each of their tasks, since a larger one is passed over more often.
// Of a team whose limit leaves no room for its first gang, no other gathers: that would be
// in vain.
func (pl *planner) assignReservationTurns() {
	var waiting, arrays []*Job
	for _, j := range pl.Jobs {
		coAllocated := pl.Sharded && !j.OneZone && j.Zone == "" && j.RemoteTasks == 0 // from several parts, which tell what is free
		if j.Shape == wire.Gang && j.Priority != wire.Production && (len(j.Waiting) > 1 || j.RemoteTasks > 0 && len(j.Waiting) > 0) && j.Active == 0 && !j.Terminating && !coAllocated && pl.earnsReservation(j) {
			waiting = append(waiting, j)
		}
		if j.Shape == wire.Array && j.Priority != wire.Production && len(j.Waiting) > 1 && !j.Terminating && pl.earnsReservation(j) {
			arrays = append(arrays, j)
		}
	}
	if len(waiting)+len(arrays) == 0 {
		return
	}
	var most Resources
	for _, m := range pl.usable {
		if t := pl.types[m.Type]; t != nil {
			most = most.AddScaled(Resources{t.CPUs, t.GPUs, t.MemoryGB}, maxReservedShare)
		}
	}
	pl.prioritizeArrays(arrays, most, pl.selectReservingGangs(waiting, most))
}

// sortByWait orders jobs by how long they have waited, which counts for each of their tasks.
func sortByWait(jobs []*Job) {
	weight := func(j *Job) float64 { return j.Age.Seconds() * float64(j.Tasks) }
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Order, b.Order))
	})
}

// prioritizeArrays has the largest arrays of each class that have waited for half the bound go
// behind the gangs that gather, and before all others: of what those leave, smaller work
// would take each bit before the last tasks of a large array. They take room as it comes,
// and hold none.
func (pl *planner) prioritizeArrays(waiting []*Job, most Resources, turn int) {
	sortByWait(waiting)
	first, large, sum := turn, make(map[string]int), Resources{}
	for _, j := range waiting {
		large[j.Class] = max(large[j.Class], j.Tasks)
	}
	for _, j := range waiting {
		if j.Age < pl.MaxGangWait/2 || j.Age >= pl.MaxGangWait || 2*j.Tasks < large[j.Class] {
			continue // or has missed the bound: smaller ones would starve for nothing
		}
		if sum = sum.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting))); turn > first && !most.Fits(sum) {
			return
		}
		turn++
		j.reservationTurn = turn
	}
}

// selectReservingGangs picks the gangs that gather, and gives the last one's turn.
func (pl *planner) selectReservingGangs(waiting []*Job, most Resources) (turn int) {
	sortByWait(waiting)
	// What has found no room for twice the bound may never find any, and must not keep others
	// from gathering for as long as it lives.
	slices.SortStableFunc(waiting, func(a, b *Job) int {
		return cmp.Compare(a.Age/(2*pl.MaxGangWait), b.Age/(2*pl.MaxGangWait))
	})
	var sum Resources
	teams := make(map[string]Resources)
	for _, j := range waiting {
		team, whole := pl.Teams[j.Team], Resources{}.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)))
		switch used, stuck := teams[j.Team]; {
		case team == nil, stuck && used == (Resources{}):
			continue
		case !team.allows(used.AddScaled(whole, 1)):
			if teams[j.Team] = (Resources{}); !pl.worthReservingQuota(j, whole) {
				continue
			}
		case len(pl.reservingGangs) > 0 && !most.Fits(sum.AddScaled(whole, 1)), len(pl.reservingGangs) == maxReservingGangs:
			return turn
		default:
			teams[j.Team], sum = used.AddScaled(whole, 1), sum.AddScaled(whole, 1)
			pl.reservingGangs = append(pl.reservingGangs, j)
		}
		turn++
		j.reservationTurn = turn
	}
	return turn
}

// worthReservingQuota reports whether a team's limit will leave room for so much of a job that has
// waited for long, so that smaller work of the team is to wait for it: not beside services,
// which stay, and not where more urgent work has taken it for twice the bound.
func (pl *planner) worthReservingQuota(j *Job, a Resources) bool {
	if !pl.earnsReservation(j) || j.Age >= 2*pl.MaxGangWait {
		return false
	}
	t := *pl.Teams[j.Team]
	t.UsedCPUs, t.UsedGPUs = 0, 0
	pl.countServiceUsage()
	return t.allows(pl.serviceUsage[j.Team].AddScaled(a, 1))
}

// countServiceUsage sums what services take, by team.
func (pl *planner) countServiceUsage() {
	if pl.serviceUsage != nil {
		return
	}
	pl.serviceUsage = make(map[string]Resources)
	for _, other := range pl.Jobs {
		if other.Shape == wire.Service {
			pl.serviceUsage[other.Team] = pl.serviceUsage[other.Team].AddScaled(ResourcesOf(other.Job), float64(other.Active+len(other.Waiting)))
		}
	}
}
