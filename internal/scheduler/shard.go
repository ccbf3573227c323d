package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// ShardReport is the part of a plan that is reported to the leaders of other shards. Unplaced and
// ReadyGangs refer to single jobs; the other fields are aggregated by class or team.
type ShardReport struct {
	Unplaced     []UnplacedJob
	ReadyGangs   []string                // IDs of the ReserveOnly gangs for which there is capacity
	FreeCapacity map[string]FreeCapacity // by class
	QuotaDemands map[string]QuotaDemand  // by team
	ServiceUsage map[string]Resources    // resources that services use or will use, by team
}

// UnplacedJob is a job with tasks that found no capacity. Coming counts the tasks for which capacity
// will become available, Unserved those for which none is expected.
type UnplacedJob struct {
	Job              *Job
	Coming, Unserved int
}

// FreeCapacity is the number of additional tasks of a class that a shard could take. The field names
// are part of the protocol between controllers.
type FreeCapacity struct {
	Now   int  // tasks that fit on machines with free capacity now
	Below int  // further tasks that would fit if work of lower rank were stopped
	Rent  bool // machines for the class can be rented
}

// QuotaDemand is the work of a team that would be launched if the team's quota in this shard were
// larger. The field names are part of the protocol between controllers.
type QuotaDemand struct {
	CPUs, GPUs float64
	Rank       int       // priority rank of the most urgent of this work
	Since      time.Time // submission time of the oldest work of that rank
	Least      Resources // smallest unit of the work: a task, or a whole gang
}

// Compare orders demands by precedence: by rank, then by submission time. It does not compare ages:
// the reports of other shards arrive with a delay, so that of two equally old demands each shard would
// consider its own to be the older.
func (d QuotaDemand) Compare(other QuotaDemand) int {
	return cmp.Or(cmp.Compare(other.Rank, d.Rank), d.Since.Compare(other.Since))
}

// IsPending reports whether the demand is not empty.
func (d QuotaDemand) IsPending() bool { return d.CPUs > 0 || d.GPUs > 0 }

// WorthReserving reports whether work of other shards must wait for a demand: the demand has waited
// for long, and will fit into the limit once everything but services has ended. It is the counterpart
// of worthReservingQuota for the work of several shards.
func (d QuotaDemand) WorthReserving(waited, maxGangWait time.Duration, limit Team, services Resources) bool {
	return maxGangWait > 0 && waited >= maxGangWait/reservationWaitDivisor && waited < 2*maxGangWait && limit.allows(services.AddScaled(d.Least, 1))
}

// reportQuotaDemand reports tasks that wait because of a team's quota in this shard. It demands nothing
// for tasks that would exceed the limit of all shards together, given what the team uses in this shard:
// a shard that reserved the rest of the limit for them would needlessly keep it from smaller work in
// other shards. These tasks still wait.
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

// reportUnplaced reports a job's tasks that found no capacity in this round.
func (pl *planner) reportUnplaced(j *Job, coming, unserved int) {
	if coming+unserved == 0 {
		return
	}
	pl.plan.Backlogged = true
	if pl.Sharded {
		pl.plan.Unplaced = append(pl.plan.Unplaced, UnplacedJob{j, coming, unserved})
	}
}

// useRemoteCapacity deducts capacity for a number of tasks of a job from the free capacity of other
// shards. It returns false if they do not have enough.
func (pl *planner) useRemoteCapacity(j *Job, tasks int) bool {
	if j.Spread || j.OneZone && j.Shape != wire.Gang || min(j.RemoteCapacity, pl.RemoteCapacity[j.Class]) < tasks {
		return false
	}
	pl.RemoteCapacity[j.Class] -= tasks
	return true
}

// reportFreeCapacity reports for each class how many more tasks would find capacity in addition to
// everything that is planned.
func (pl *planner) reportFreeCapacity() {
	if !pl.Sharded {
		return
	}
	pl.plan.ServiceUsage = pl.usageOfServices()
	typical := make(map[string]*Job) // by class: the newest job, preferably one not bound to a zone
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

// moreTypical reports whether a job represents its class better than the known one. The capacity that
// a job bound to a zone finds says little about other jobs of its class.
func moreTypical(j, known *Job) bool {
	if bound, knownBound := j.Zone != "", known.Zone != ""; bound != knownBound {
		return knownBound
	}
	return j.SubmissionOrder > known.SubmissionOrder
}

// freeCapacityFor returns the capacity for additional tasks like those of a job.
func (pl *planner) freeCapacityFor(j *Job) FreeCapacity {
	need, rank := ResourcesOf(j.Job), j.Priority.Rank()
	slotsByZone := make(map[string]int)
	free := FreeCapacity{Now: pl.headroomByClass[j.Class], Rent: pl.canRent(j)}
	for _, m := range pl.pool.usable {
		if !m.Usable || !allowsOffer(j, pl.pool.offers[m.offerIndex]) {
			continue
		}
		slots := max(0, m.Free.Slots(need))
		slotsByZone[m.Zone] += slots
		free.Below += max(0, m.freeWithoutLowerRanks(rank).Slots(need)-slots)
	}
	for _, n := range slotsByZone {
		if j.OneZone {
			free.Now = max(free.Now, n)
		} else {
			free.Now += n
		}
	}
	return free
}

// canRent reports whether machines for a job can be rented. Doubtful offers that are no longer
// unavailable count: otherwise nobody would ever request them again, and a gang that needs one would
// wait forever.
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

// sumSpareCapacity sums the free resources of usable machines.
func (pl *planner) sumSpareCapacity() {
	for _, m := range pl.pool.usable {
		if m.Usable {
			pl.plan.SpareCapacity = pl.plan.SpareCapacity.AddScaled(m.Free, 1)
		}
	}
}
