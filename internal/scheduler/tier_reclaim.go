package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// endsBeforeReclaim reports whether a task is expected to complete by itself before a reclaim for a
// job is due.
func (pl *planner) endsBeforeReclaim(j *Job, t Task) bool {
	if pl.tiering == nil || t.Job.Shape != wire.Array || t.RunTime == 0 {
		return false
	}
	return tier.EndsInTime(t.Job.Estimate()-t.RunTime, wire.Seconds(t.Job.SaveS), pl.Tiers.Tiers[j.tier].ReclaimWithin)
}

// mayTakeFromTier reports whether a task of a machine may be stopped for a job in addition to the tasks
// picked so far. The guaranteed share of the victim's tier is never reclaimed.
func (pl *planner) mayTakeFromTier(j *Job, m *Machine, picked []int, task int) bool {
	victim := m.Tasks[task].Job
	if pl.tiering == nil || victim.tier == j.tier {
		return true
	}
	stopped := pl.plannedStops()
	all, here := stopGPUs(victim), victim.GPUs // GPUs that the tier would lose, in total and in the machine's zone
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

// plannedStops returns the GPUs that the plan's stops free, by tier. The result is cached. It is called
// before each stop, so that a change in the number of stops reveals a rolled-back attempt.
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

// stopGPUs returns the number of GPUs that stopping a task of a job frees. A gang is stopped as a whole.
func stopGPUs(j *Job) float64 {
	if j.Shape == wire.Gang {
		return j.GPUs * float64(max(1, j.ActiveTasks))
	}
	return j.GPUs
}

// planReclaims turns the plan's stops into reclaims, grouped by beneficiary and machine. The tasks are
// stopped once the reclaims are stored.
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
		var freed Resources
		for _, s := range r.Stops {
			freed = freed.AddScaled(ResourcesOf(s.Job.Job), 1)
		}
		job := r.Stops[0].Beneficiary
		r.Tasks = max(1, min(freed.Slots(ResourcesOf(job.Job)), len(job.Waiting)))
	}
	pl.plan.Stops = nil
}

// reclaimFor returns the plan's reclaim to which a stop belongs, and adds a new one if there is none.
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
