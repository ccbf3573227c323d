package scheduler

import (
	"maps"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// reportQuotaDemand notes tasks that a team's grant holds back. Of those for which the limit of all parts together
// has no room beside what is used here nothing is asked for: a part that kept a rest of the limit
// for them would keep it from smaller work in others for nothing. They wait all the same.
func (pl *planner) reportQuotaDemand(j *Job, tasks int) {
	if !pl.Sharded || tasks <= 0 {
		return
	}
	fit := min(tasks, pl.Teams[j.Team].maxMoreTasks(ResourcesOf(j.Job)))
	least := ResourcesOf(j.Job)
	if j.Shape == wire.Gang {
		if least = (Resources{}).AddScaled(least, float64(tasks)); fit < tasks {
			fit = 0
		}
	}
	if pl.plan.QuotaDemands == nil {
		pl.plan.QuotaDemands = make(map[string]QuotaDemand)
	}
	w, known := pl.plan.QuotaDemands[j.Team]
	w.CPUs += j.CPUs * float64(fit)
	w.GPUs += j.GPUs * float64(fit)
	if w.Least.Fits(least) || !known {
		w.Least = least
	}
	if rank := j.Priority.Rank(); !known || rank > w.Rank || rank == w.Rank && j.SubmittedAt.Before(w.Since) {
		w.Rank, w.Since = rank, j.SubmittedAt
	}
	pl.plan.QuotaDemands[j.Team] = w
}

// reportUnplaced notes tasks that found no room now.
func (pl *planner) reportUnplaced(j *Job, coming, none int) {
	pl.plan.Backlogged = pl.plan.Backlogged || coming+none > 0
	if pl.Sharded && coming+none > 0 {
		pl.plan.Unplaced = append(pl.plan.Unplaced, UnplacedJob{j, coming, none})
	}
}

// useRemoteCapacity takes room for so many tasks of a job that another part has, if any has.
func (pl *planner) useRemoteCapacity(j *Job, tasks int) bool {
	if j.Spread || j.OneZone && j.Shape != wire.Gang || min(j.RemoteCapacity, pl.RemoteCapacity[j.Class]) < tasks {
		return false
	}
	pl.RemoteCapacity[j.Class] -= tasks
	return true
}

// reportFreeCapacity tells for each class how many more of its tasks would find room once all that is
// planned has its own.
func (pl *planner) reportFreeCapacity() {
	if !pl.Sharded {
		return
	}
	pl.countServiceUsage()
	pl.plan.ServiceUsage = pl.serviceUsage
	newest := make(map[string]*Job)
	for _, j := range pl.Jobs {
		// One that is bound to a zone says nothing of the room that others of its class find.
		if n := newest[j.Class]; n == nil || n.Zone != "" && j.Zone == "" || (n.Zone == "") == (j.Zone == "") && j.Order > n.Order {
			newest[j.Class] = j
		}
	}
	pl.plan.FreeCapacity = make(map[string]FreeCapacity, len(newest))
	for _, class := range slices.Sorted(maps.Keys(newest)) {
		pl.plan.FreeCapacity[class] = pl.freeCapacityFor(newest[class])
	}
}

func (pl *planner) freeCapacityFor(j *Job) FreeCapacity {
	need, rank := ResourcesOf(j.Job), j.Priority.Rank()
	now, below := make(map[string]int), 0
	for _, m := range pl.usable {
		if !allowsOffer(j, pl.offers[m.offerIndex]) || !m.Usable {
			continue
		}
		slots := max(0, m.Free.Slots(need))
		now[m.Zone] += slots
		room := m.Free.AddScaled(m.stopping, 1)
		for _, l := range m.loadByRank[:rank] {
			room = room.AddScaled(l, 1)
		}
		below += max(0, room.Slots(need)-slots)
	}
	r := FreeCapacity{Below: below, Now: pl.headroomByClass[j.Class]}
	for _, n := range now {
		if j.OneZone {
			r.Now = max(r.Now, n)
		} else {
			r.Now += n
		}
	}
	for _, t := range pl.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, zone, spot}
				// One in doubt that is not left alone any more counts: nobody else would ever ask it, and a
				// gang that needs room there would wait for ever.
				r.Rent = r.Rent || allowsOffer(j, o) && !pl.Unavailable[o] && (Resources{t.CPUs, t.GPUs, t.MemoryGB}).Fits(need)
			}
		}
	}
	return r
}

// sumSpareCapacity sums what is left on machines that are up.
func (pl *planner) sumSpareCapacity() {
	for _, m := range pl.usable {
		if m.Usable {
			pl.plan.SpareCapacity = pl.plan.SpareCapacity.AddScaled(m.Free, 1)
		}
	}
}
