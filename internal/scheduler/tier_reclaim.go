package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// endsBeforeReclaim reports whether a task ends by itself before a claim for a job is due.
func (pl *planner) endsBeforeReclaim(j *Job, t Task) bool {
	if pl.tiering == nil || t.Job.Shape != wire.Array || t.RunTime == 0 {
		return false
	}
	return tier.EndsInTime(t.Job.Estimate()-t.RunTime, wire.Seconds(t.Job.SaveS), pl.Tiers.Tiers[j.tier].ReclaimWithin)
}

// mayTakeFromTier reports whether a task may be stopped for a job beside others on its machine: what
// its tier is guaranteed is left to it.
func (pl *planner) mayTakeFromTier(j *Job, m *Machine, picked []int, i int) bool {
	victim := m.Tasks[i].Job
	if pl.tiering == nil || victim.tier == j.tier {
		return true
	}
	all, here := pl.gpusFreedByStop(victim), victim.GPUs
	for _, k := range picked {
		if o := m.Tasks[k].Job; o.tier == victim.tier {
			all, here = all+pl.gpusFreedByStop(o), here+o.GPUs
		}
	}
	gone := pl.plannedStops()
	all, here = all+gone.Total[victim.tier], here+gone.Zones[victim.tier][m.Zone]
	return tier.CanSpare(pl.tiering.shares[victim.tier], pl.tiering.use, victim.tier, m.Zone, all, here)
}

// plannedStops counts what the plan stops. It is asked for before each stop, so that a try that was
// undone shows by their number.
func (pl *planner) plannedStops() *tier.Usage {
	t := pl.tiering
	if t.stopped == nil || t.countedStops != len(pl.plan.Stops) {
		t.stopped, t.countedStops = pl.Tiers.NewUsage(), len(pl.plan.Stops)
		for _, s := range pl.plan.Stops {
			t.stopped.Add(s.Job.tier, t.zoneByMachine[s.Machine], s.Job.GPUs)
			t.stopped.Total[s.Job.tier] += pl.gpusFreedByStop(s.Job) - s.Job.GPUs
		}
	}
	return t.stopped
}

// gpusFreedByStop is how many go with a task of a job: a gang is stopped as a whole.
func (pl *planner) gpusFreedByStop(j *Job) float64 {
	if j.Shape == wire.Gang {
		return j.GPUs * float64(max(1, j.Active))
	}
	return j.GPUs
}

// planReclaims gathers what the plan stops by whom it is for and where: it is stopped once the
// round is taken.
func (pl *planner) planReclaims() {
	if pl.tiering == nil {
		return
	}
	for _, s := range pl.plan.Stops {
		i := slices.IndexFunc(pl.plan.Reclaims, func(c PlannedReclaim) bool { return c.Job == s.Beneficiary.ID && c.Machine == s.Machine })
		if i < 0 {
			t := &pl.Tiers.Tiers[s.Beneficiary.tier]
			i = len(pl.plan.Reclaims)
			pl.plan.Reclaims = append(pl.plan.Reclaims, PlannedReclaim{Reclaim: Reclaim{Job: s.Beneficiary.ID, Machine: s.Machine, Level: s.Beneficiary.queueLevel}, Tier: t.Name, Within: t.ReclaimWithin})
		}
		pl.plan.Reclaims[i].Stops = append(pl.plan.Reclaims[i].Stops, s)
	}
	for i := range pl.plan.Reclaims {
		c := &pl.plan.Reclaims[i]
		var room Resources
		for _, s := range c.Stops {
			room = room.AddScaled(ResourcesOf(s.Job.Job), 1)
		}
		f := c.Stops[0].Beneficiary
		c.Tasks = max(1, min(room.Slots(ResourcesOf(f.Job)), len(f.Waiting)))
	}
	pl.plan.Stops = nil
}
