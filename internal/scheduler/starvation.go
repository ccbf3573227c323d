package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// The starvation guard bounds how long a job waits while capacity is idle. Several rules keep capacity
// from a job: reservations for gangs, headroom, the rest of a team's limit that is kept for an
// earlier job of the team, machines that fetch an image for production, and machines on which the job
// failed. Each of them may apply for as long as its cause lasts. To bound the wait, a job that has had
// no task anywhere for starvationLimit takes capacity that has been idle for as long without a break,
// whatever it is reserved for. It takes no more than one task or one whole gang needs, so that the work
// for which the capacity is reserved is delayed only a little.
const (
	// starvationLimit is the longest time that a job waits while capacity for it is idle.
	starvationLimit = 60 * time.Second
	// idleCapacityStep is the time resolution at which idle capacity is recorded.
	idleCapacityStep  = 15 * time.Second
	idleCapacitySteps = int(starvationLimit/idleCapacityStep) + 1
)

// IdleCapacity records the recent minimum of a machine's free resources. The zero value has no records.
type IdleCapacity struct {
	currentStep int64                        // index of the current step, counted from the Unix epoch
	leastFree   [idleCapacitySteps]Resources // minimum of the free resources in each step, the current step first
}

// Record records the resources that are free now, and returns those that have been free throughout
// starvationLimit. Steps without a record count as having no free resources.
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

// starvationGuard tracks the launches of the plan while starved jobs are admitted in addition.
type starvationGuard struct {
	teams             map[string]Team      // quota usage without the plan's reservations
	launchedByMachine map[string]Resources // resources of the plan's launches, by machine
	launchedJobs      map[*Job]bool        // jobs with at least one launch in the plan
}

// countLaunch adds a launch of the plan to the tracked usage.
func (g *starvationGuard) countLaunch(l Launch) {
	need := ResourcesOf(l.Job.Job)
	g.launchedByMachine[l.Machine] = g.launchedByMachine[l.Machine].AddScaled(need, 1)
	team := g.teams[l.Job.Team]
	team.consume(need)
	g.teams[l.Job.Team] = team
	g.launchedJobs[l.Job] = true
}

// admitStarved launches starved jobs on idle capacity, in queue order. It does nothing where tiers are
// set, because capacity that a tier does not lend must stay with that tier.
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

// admitStarvedJob launches one task of a starved job, or the whole gang, if there is idle capacity for it.
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

// placeStarved picks machines for a number of tasks of a starved job, those with its image first. It
// skips machines with stopping tasks: their capacity belongs to the job for which the tasks are stopped.
func (pl *planner) placeStarved(j *Job, zone string, tasks int, launched map[string]Resources) (picks []*Machine) {
	need, tasksByZone, tasksByMachine := ResourcesOf(j.Job), make(map[string]int), make(map[*Machine]int)
	for _, withImage := range []bool{true, false} {
		for _, m := range pl.pool.usable {
			if m.hasImage(j.Image) != withImage || !m.Usable || m.stopping != (Resources{}) || !allowsOffer(j, pl.pool.offers[m.offerIndex]) || zone != "" && zone != m.Zone {
				continue
			}
			for len(picks) < tasks && zoneAllowed(j, tasksByZone, m.Zone) && m.IdleCapacity.AddScaled(launched[m.ID], -1).AddScaled(need, -float64(tasksByMachine[m])).Fits(need) {
				tasksByZone[m.Zone]++
				tasksByMachine[m]++
				picks = append(picks, m)
			}
			if len(picks) == tasks {
				return picks
			}
		}
	}
	return nil
}
