package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// endsBeforeReclaim reports whether a task ends by itself before a reclaim for a job is due.
func (pl *planner) endsBeforeReclaim(j *Job, t Task) bool {
	if pl.tiering == nil || t.Job.Shape != wire.Array || t.RunTime == 0 {
		return false
	}
	return tier.EndsInTime(t.Job.Estimate()-t.RunTime, wire.Seconds(t.Job.SaveS), pl.Tiers.Tiers[j.tier].ReclaimWithin)
}

// mayTakeFromTier reports whether a task of a machine may be stopped for a job beside others that
// were picked there: what its tier is guaranteed is left to it.
func (pl *planner) mayTakeFromTier(j *Job, m *Machine, picked []int, task int) bool {
	victim := m.Tasks[task].Job
	if pl.tiering == nil || victim.tier == j.tier {
		return true
	}
	stopped := pl.plannedStops()
	all, here := stopGPUs(victim), victim.GPUs // that the tier would lose, in all and in the machine's zone
	for _, i := range picked {
		if other := m.Tasks[i].Job; other.tier == victim.tier {
			all += stopGPUs(other)
			here += other.GPUs
		}
	}
	all += stopped.Total[victim.tier]
	here += stopped.Zones[victim.tier][m.Zone]
	return tier.CanSpare(pl.tiering.shares[victim.tier], pl.tiering.usage, victim.tier, m.Zone, all, here)
}

// plannedStops counts what the plan's stops free. It is called before each stop, so that a try that
// was undone shows by their number.
func (pl *planner) plannedStops() *tier.Usage {
	t := pl.tiering
	if t.stopped == nil || t.countedStops != len(pl.plan.Stops) {
		t.stopped, t.countedStops = pl.Tiers.NewUsage(), len(pl.plan.Stops)
		for _, s := range pl.plan.Stops {
			t.stopped.Add(s.Job.tier, t.zoneByMachine[s.Machine], s.Job.GPUs)
			t.stopped.Total[s.Job.tier] += stopGPUs(s.Job) - s.Job.GPUs
		}
	}
	return t.stopped
}

// stopGPUs is how many GPUs are freed with a task of a job: a gang is stopped as a whole.
func stopGPUs(j *Job) float64 {
	if j.Shape == wire.Gang {
		return j.GPUs * float64(max(1, j.Active))
	}
	return j.GPUs
}

// planReclaims turns the plan's stops into reclaims, by the job for which they are and by machine.
// The tasks are stopped once the reclaims are stored.
func (pl *planner) planReclaims() {
	if pl.tiering == nil {
		return
	}
	for _, s := range pl.plan.Stops {
		r := pl.reclaimFor(s)
		r.Stops = append(r.Stops, s)
	}
	for i := range pl.plan.Reclaims {
		r := &pl.plan.Reclaims[i]
		var frees Resources
		for _, s := range r.Stops {
			frees = frees.AddScaled(ResourcesOf(s.Job.Job), 1)
		}
		job := r.Stops[0].Beneficiary
		r.Tasks = max(1, min(frees.Slots(ResourcesOf(job.Job)), len(job.Waiting)))
	}
	pl.plan.Stops = nil
}

// reclaimFor returns the plan's reclaim that a stop belongs to, a new one where there is none yet.
func (pl *planner) reclaimFor(s Stop) *PlannedReclaim {
	job := s.Beneficiary
	i := slices.IndexFunc(pl.plan.Reclaims, func(r PlannedReclaim) bool { return r.Job == job.ID && r.Machine == s.Machine })
	if i < 0 {
		t := &pl.Tiers.Tiers[job.tier]
		i = len(pl.plan.Reclaims)
		pl.plan.Reclaims = append(pl.plan.Reclaims, PlannedReclaim{
			Reclaim: Reclaim{Job: job.ID, Machine: s.Machine, Level: job.queueLevel},
			Tier:    t.Name,
			Within:  t.ReclaimWithin,
		})
	}
	return &pl.plan.Reclaims[i]
}
