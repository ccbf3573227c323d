package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// The starvation guard. Capacity is reserved for what is to come: for gangs, as headroom, for the
// first of a team that takes up its limit, beside images that come for production, away from
// machines on which a job failed. Each of these rules may reserve it for as long as its cause lasts.
// No job waits for as long as that: what has had no task anywhere for starvationLimit takes capacity
// that has been idle for as long without a break, whatever it is reserved for. It takes no more than
// a task, or a whole gang, so that what capacity is reserved for is put off by little.
const (
	// starvationLimit is for how long a job is passed over beside idle capacity, at most.
	starvationLimit = 60 * time.Second
	// idleCapacityStep is the resolution at which idle capacity is recorded.
	idleCapacityStep  = 15 * time.Second
	idleCapacitySteps = int(starvationLimit/idleCapacityStep) + 1
)

// IdleCapacity records what has been free on a machine recently. The zero value has no record.
type IdleCapacity struct {
	currentStep int64                        // the present one, counted from 1970
	leastFree   [idleCapacitySteps]Resources // in each step, the present one first
}

// Record records what is free now, and returns what has been free throughout starvationLimit. Steps
// in which nothing was recorded count as without free capacity.
func (c *IdleCapacity) Record(now time.Time, free Resources) Resources {
	step := now.UnixNano() / int64(idleCapacityStep)
	if passed := step - c.currentStep; passed > 0 {
		var next [idleCapacitySteps]Resources
		if passed == 1 {
			copy(next[1:], c.leastFree[:])
		}
		next[0] = free
		c.currentStep, c.leastFree = step, next
	}
	c.leastFree[0] = c.leastFree[0].min(free)
	idle := c.leastFree[0]
	for _, least := range c.leastFree[1:] {
		idle = idle.min(least)
	}
	return idle
}

// starvationGuard launches starved jobs beside what the plan has launched already.
type starvationGuard struct {
	teams             map[string]Team      // their use without what the plan reserves
	launchedByMachine map[string]Resources // what the plan launches, by machine
	launchedJobs      map[*Job]bool        // jobs of which the plan launches something
}

// count counts a launch of the plan.
func (g *starvationGuard) countLaunch(l Launch) {
	need := ResourcesOf(l.Job.Job)
	g.launchedByMachine[l.Machine] = g.launchedByMachine[l.Machine].AddScaled(need, 1)
	team := g.teams[l.Job.Team]
	team.consume(need)
	g.teams[l.Job.Team] = team
	g.launchedJobs[l.Job] = true
}

// admitStarved launches what has waited beside idle capacity for too long, in the order of jobs.
// Where tiers are set nothing is admitted: capacity that a tier does not lend stays its own.
func (pl *planner) admitStarved(teams map[string]Team) {
	if pl.Tiers.Configured() {
		return
	}
	var starved []*Job
	for _, j := range pl.Jobs {
		if j.starved() {
			starved = append(starved, j)
		}
	}
	if len(starved) == 0 {
		return
	}
	guard := &starvationGuard{teams: teams, launchedByMachine: make(map[string]Resources), launchedJobs: make(map[*Job]bool)}
	for _, l := range pl.plan.Launches {
		guard.countLaunch(l)
	}
	for _, j := range starved {
		pl.admitStarvedJob(j, guard)
	}
}

// admit launches a task of a starved job, or the whole gang, if there is idle capacity for it.
func (pl *planner) admitStarvedJob(j *Job, guard *starvationGuard) {
	tasks := 1
	if j.Shape == wire.Gang {
		tasks = len(j.Waiting)
	}
	team := guard.teams[j.Team]
	if guard.launchedJobs[j] || tasks > pl.LaunchBudget || pl.Teams[j.Team] == nil || !team.allows(ResourcesOf(j.Job).Scaled(float64(tasks))) {
		return
	}
	for _, zone := range pl.candidateZones(j) {
		picks := pl.placeStarved(j, zone, tasks, guard.launchedByMachine)
		if picks == nil {
			continue
		}
		for i, m := range picks {
			l := Launch{j, j.Waiting[i], m.ID}
			pl.plan.Launches = append(pl.plan.Launches, l)
			m.usedByPlan = true
			guard.countLaunch(l)
		}
		pl.LaunchBudget -= tasks
		return
	}
}

// placeStarved picks machines for so many tasks of a starved job: those that have its image first.
// Where something is being stopped, the capacity is left to what it is stopped for.
func (pl *planner) placeStarved(j *Job, zone string, tasks int, launched map[string]Resources) (picks []*Machine) {
	need, tasksByZone, own := ResourcesOf(j.Job), make(map[string]int), make(map[*Machine]int)
	for _, withImage := range []bool{true, false} {
		for _, m := range pl.pool.usable {
			if m.hasImage(j.Image) != withImage || !m.Usable || m.stopping != (Resources{}) || !allowsOffer(j, pl.pool.offers[m.offerIndex]) || zone != "" && zone != m.Zone {
				continue
			}
			for len(picks) < tasks && zoneAllowed(j, tasksByZone, m.Zone) && m.IdleCapacity.AddScaled(launched[m.ID], -1).AddScaled(need, -float64(own[m])).Fits(need) {
				tasksByZone[m.Zone]++
				own[m]++
				picks = append(picks, m)
			}
			if len(picks) == tasks {
				return picks
			}
		}
	}
	return nil
}
