package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// sortJobs sorts the jobs by tier. The default tiers, if none are configured, are production first, then work within
// its team's guarantee, then the rest by priority. Within a tier jobs are sorted by priority, then jobs that must not
// be passed over go first, then jobs with the least time left to meet their objectives.
func (pl *planner) sortJobs() {
	slices.SortFunc(pl.Jobs, func(a, b *Job) int { return cmp.Compare(a.SubmissionOrder, b.SubmissionOrder) })
	pl.markGuaranteed()
	if pl.Tiers == nil {
		pl.Tiers = tier.Default()
	}
	pl.assignReservationTurns()
	pl.setSlack()
	slices.SortStableFunc(pl.Jobs, pl.compareJobs)
	for i, j := range pl.Jobs {
		j.queuePosition = i
	}
}

// compareJobs compares two jobs by the order in which they are placed.
func (pl *planner) compareJobs(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(b.Priority.Rank(), a.Priority.Rank()),
		cmp.Compare(cmp.Or(a.reservationTurn, math.MaxInt), cmp.Or(b.reservationTurn, math.MaxInt)),
		pl.compareProduction(a, b),
		cmp.Compare(a.weightedSlack, b.weightedSlack),
		cmp.Compare(a.SubmissionOrder, b.SubmissionOrder),
	)
}

// markGuaranteed marks the jobs that are within their teams' guarantees, which are used up in submission order.
func (pl *planner) markGuaranteed() {
	demand := make(map[string]Resources) // by team
	for _, j := range pl.Jobs {
		t := pl.Teams[j.Team]
		if t == nil {
			continue
		}
		sum := demand[j.Team].AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)+j.ActiveTasks+j.RemoteTasks))
		demand[j.Team] = sum
		j.guaranteed = t.GuaranteedCPUs+t.GuaranteedGPUs > 0 &&
			(t.GuaranteedCPUs == 0 || sum.CPUs <= t.GuaranteedCPUs) &&
			(t.GuaranteedGPUs == 0 || sum.GPUs <= t.GuaranteedGPUs)
	}
}

// setSlack sets the tier of each job and how long the job can wait. Objectives are measured per class, however many
// jobs a class has: therefore each job of a class with few jobs weighs more.
func (pl *planner) setSlack() {
	jobsByClass, maxJobs := make(map[string]int), 1
	for _, j := range pl.Jobs {
		jobsByClass[j.Class]++
		maxJobs = max(maxJobs, jobsByClass[j.Class])
		if j.Priority == wire.Production && len(j.Waiting) > 0 {
			pl.productionWaits = true
		}
	}
	for _, j := range pl.Jobs {
		j.work = tier.Workload{Priority: j.Priority, Class: j.Class, Team: j.Team, Service: j.Shape == wire.Service, Guaranteed: j.guaranteed}
		j.tier = pl.Tiers.IndexOf(j.work)
		j.timeLeft = pl.slackOf(j)
		j.weightedSlack = j.timeLeft * time.Duration(jobsByClass[j.Class]) / time.Duration(maxJobs)
	}
}

const (
	// launchDelay is about how long a launch takes, not counting the image fetch.
	launchDelay = 3 * time.Second
	// missedObjectiveSlack is the slack of a job that has just missed all its objectives. It lets jobs go first
	// that can still meet theirs.
	missedObjectiveSlack = 45 * time.Second
	// latenessDivisor divides the time by which a job is late. The result is subtracted from the job's slack, so that
	// the job moves toward the front of the queue the longer it waits.
	latenessDivisor = 4
)

// slackOf returns how long a job can still wait without missing the next objective that it can meet.
func (pl *planner) slackOf(j *Job) time.Duration {
	minSlack, maxLateness := time.Duration(math.MaxInt64), time.Duration(0)
	for _, o := range pl.Objectives {
		need, applies := pl.timeNeeded(j, o)
		if !applies {
			continue
		}
		if slack := o.Within - j.Age - need; slack >= 0 {
			minSlack = min(minSlack, slack)
		} else {
			maxLateness = max(maxLateness, -slack)
		}
	}
	switch {
	case minSlack < math.MaxInt64:
		return minSlack
	case maxLateness > 0:
		return missedObjectiveSlack - maxLateness/latenessDivisor
	}
	return missedObjectiveSlack - j.Age/latenessDivisor // the job has no objective
}

// timeNeeded returns how long a job that is launched now takes to meet an objective, and whether the objective
// applies to the job.
func (pl *planner) timeNeeded(j *Job, o Objective) (need time.Duration, applies bool) {
	switch {
	case o.Kind == GuaranteeWithin && j.guaranteed, o.Kind == StartWithin && o.Class == j.Class:
		return pl.fetchTime(j) + launchDelay, true
	case o.Kind == FinishWithin && o.Class == j.Class:
		return pl.fetchTime(j) + launchDelay + j.Estimate()*11/10, true // a tenth more, as estimates may be too low
	}
	return 0, false
}

// fetchTime returns how long a machine takes to fetch a job's image, at the rate of the slowest machine type.
func (pl *planner) fetchTime(j *Job) time.Duration {
	var longest float64
	for i := range pl.Types {
		if rate := pl.Types[i].FetchGBps; rate > 0 {
			longest = max(longest, j.ImageGB/rate)
		}
	}
	return wire.Seconds(longest)
}

// fetchTimeStep is the granularity at which fetch times are compared. It distinguishes images with model weights,
// whose fetch takes longer than a machine boots.
const fetchTimeStep = 30 * time.Second

// compareProduction compares production jobs by the share of each that waits, largest first, and then by fetch time in
// steps of fetchTimeStep, shortest first. It returns 0 unless both jobs are production jobs.
func (pl *planner) compareProduction(a, b *Job) int {
	if a.Priority != wire.Production || b.Priority != wire.Production {
		return 0
	}
	return cmp.Or(
		cmp.Compare(b.waitingShare(), a.waitingShare()),
		cmp.Compare(pl.fetchTime(a)/fetchTimeStep, pl.fetchTime(b)/fetchTimeStep),
	)
}

// waitingShare returns the fraction of a service's replicas that wait. For other jobs it is 1 if any task waits,
// else 0.
func (j *Job) waitingShare() float64 {
	if j.Shape != wire.Service {
		return float64(min(1, len(j.Waiting)))
	}
	return float64(len(j.Waiting)) / float64(j.Tasks)
}
