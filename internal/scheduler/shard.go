package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// ShardReport is what a plan reports to the leaders of other shards. All but Unplaced and
// ReadyGangs is for all of a class or team.
type ShardReport struct {
	Unplaced     []UnplacedJob
	ReadyGangs   []string                // gangs to reserve for which there is capacity, by their IDs
	FreeCapacity map[string]FreeCapacity // by class
	QuotaDemands map[string]QuotaDemand  // by team
	ServiceUsage map[string]Resources    // what services use or are to use, by team
}

// UnplacedJob is a job with tasks that found no capacity: some wait for what is on its way, for
// others nothing is.
type UnplacedJob struct {
	Job              *Job
	Coming, Unserved int
}

// FreeCapacity is how many more tasks of a class a shard could take. It travels between
// controllers by these field names.
type FreeCapacity struct {
	Now   int  // on machines that have capacity now
	Below int  // more on machines beside lesser work, which would be stopped
	Rent  bool // machines for it can be rented
}

// QuotaDemand is work that a team's quota in this shard holds back: it would be launched if the
// quota were larger. It travels between controllers by these field names.
type QuotaDemand struct {
	CPUs, GPUs float64
	Rank       int       // of the most urgent of it
	Since      time.Time // when the oldest of that was submitted
	Least      Resources // what any of it needs: a task, or a gang
}

// Compare orders demands, the one that goes first before others. It compares submission times, not ages: another
// shard's report is a while old, so that of two equally old demands each shard would take its own for the older.
func (d QuotaDemand) Compare(other QuotaDemand) int {
	return cmp.Or(cmp.Compare(other.Rank, d.Rank), d.Since.Compare(other.Since))
}

// IsPending reports whether anything is demanded now.
func (d QuotaDemand) IsPending() bool { return d.CPUs > 0 || d.GPUs > 0 }

// WorthReserving reports whether work of other shards is to wait for a demand: it has waited for
// long, and will fit into the limit once all has ended but services. This is what
// worthReservingQuota is within a shard.
func (d QuotaDemand) WorthReserving(waited, maxGangWait time.Duration, limit Team, services Resources) bool {
	return maxGangWait > 0 && waited >= maxGangWait/reservationWaitDivisor && waited < 2*maxGangWait && limit.allows(services.AddScaled(d.Least, 1))
}

// reportQuotaDemand reports tasks that a team's quota in this shard holds back. For those for which
// the limit of all shards together leaves nothing beside what is used here, nothing is demanded: a
// shard that kept a rest of the limit for them would keep it from smaller work in others for
// nothing. They wait all the same.
func (pl *planner) reportQuotaDemand(j *Job, tasks int) {
	if !pl.Sharded || tasks <= 0 {
		return
	}
	least := ResourcesOf(j.Job)
	fit := min(tasks, pl.Teams[j.Team].maxMoreTasks(least))
	if j.Shape == wire.Gang {
		least = least.Scaled(float64(tasks))
		if fit < tasks {
			fit = 0
		}
	}
	if pl.plan.QuotaDemands == nil {
		pl.plan.QuotaDemands = make(map[string]QuotaDemand)
	}
	d, known := pl.plan.QuotaDemands[j.Team]
	d.CPUs += j.CPUs * float64(fit)
	d.GPUs += j.GPUs * float64(fit)
	if !known || d.Least.Fits(least) {
		d.Least = least
	}
	rank := j.Priority.Rank()
	if !known || rank > d.Rank || rank == d.Rank && j.SubmittedAt.Before(d.Since) {
		d.Rank, d.Since = rank, j.SubmittedAt
	}
	pl.plan.QuotaDemands[j.Team] = d
}

// reportUnplaced reports tasks that found no capacity now.
func (pl *planner) reportUnplaced(j *Job, coming, unserved int) {
	if coming+unserved == 0 {
		return
	}
	pl.plan.Backlogged = true
	if pl.Sharded {
		pl.plan.Unplaced = append(pl.plan.Unplaced, UnplacedJob{j, coming, unserved})
	}
}

// useRemoteCapacity takes capacity of other shards for so many tasks of a job, if they have it.
func (pl *planner) useRemoteCapacity(j *Job, tasks int) bool {
	if j.Spread || j.OneZone && j.Shape != wire.Gang || min(j.RemoteCapacity, pl.RemoteCapacity[j.Class]) < tasks {
		return false
	}
	pl.RemoteCapacity[j.Class] -= tasks
	return true
}

// reportFreeCapacity reports for each class how many more of its tasks would find capacity once
// all that is planned has its own.
func (pl *planner) reportFreeCapacity() {
	if !pl.Sharded {
		return
	}
	pl.plan.ServiceUsage = pl.usageOfServices()
	typical := make(map[string]*Job) // by class: the newest job, of those that are bound to no zone where there are any
	for _, j := range pl.Jobs {
		if known := typical[j.Class]; known == nil || moreTypical(j, known) {
			typical[j.Class] = j
		}
	}
	pl.plan.FreeCapacity = make(map[string]FreeCapacity, len(typical))
	for _, class := range slices.Sorted(maps.Keys(typical)) {
		pl.plan.FreeCapacity[class] = pl.freeCapacityFor(typical[class])
	}
}

// moreTypical reports whether a job represents its class better than another. One that is
// bound to a zone is no measure of the capacity that others of its class find.
func moreTypical(j, known *Job) bool {
	if bound, knownBound := j.Zone != "", known.Zone != ""; bound != knownBound {
		return knownBound
	}
	return j.Order > known.Order
}

// freeCapacityFor returns how many more tasks like those of a job would find capacity.
func (pl *planner) freeCapacityFor(j *Job) FreeCapacity {
	need, rank := ResourcesOf(j.Job), j.Priority.Rank()
	now := make(map[string]int) // by zone
	free := FreeCapacity{Now: pl.headroomByClass[j.Class], Rent: pl.canRent(j)}
	for _, m := range pl.pool.usable {
		if !m.Usable || !allowsOffer(j, pl.pool.offers[m.offerIndex]) {
			continue
		}
		slots := max(0, m.Free.Slots(need))
		now[m.Zone] += slots
		free.Below += max(0, m.freeWithoutLowerRanks(rank).Slots(need)-slots)
	}
	for _, n := range now {
		if j.OneZone {
			free.Now = max(free.Now, n)
		} else {
			free.Now += n
		}
	}
	return free
}

// canRent reports whether machines for a job can be rented. A doubtful offer that is not left alone
// any more counts: nobody else would ever ask for it, and a gang that needs it would wait for ever.
func (pl *planner) canRent(j *Job) bool {
	for i := range pl.Types {
		t := &pl.Types[i]
		if !capacityOf(t).Fits(ResourcesOf(j.Job)) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if o := (Offer{t.Name, zone, spot}); allowsOffer(j, o) && !pl.Unavailable[o] {
					return true
				}
			}
		}
	}
	return false
}

// sumSpareCapacity sums what is left on machines that are up.
func (pl *planner) sumSpareCapacity() {
	for _, m := range pl.pool.usable {
		if m.Usable {
			pl.plan.SpareCapacity = pl.plan.SpareCapacity.AddScaled(m.Free, 1)
		}
	}
}
