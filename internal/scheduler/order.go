package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// sortJobs sorts the jobs by their tiers, which are without settings: production first,
// then what a team is guaranteed, then by priority. Within a tier it goes by priority, then
// the gangs that gather room go, then by the time that is left to meet the aims.
func (pl *planner) sortJobs() {
	slices.SortFunc(pl.Jobs, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	sum := make(map[string]Resources)
	for _, j := range pl.Jobs {
		t := pl.Teams[j.Team]
		if t == nil {
			continue
		}
		sum[j.Team] = sum[j.Team].AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)+j.Active+j.RemoteTasks))
		s := sum[j.Team]
		j.guaranteed = t.GuaranteedCPUs+t.GuaranteedGPUs > 0 && (t.GuaranteedCPUs == 0 || s.CPUs <= t.GuaranteedCPUs) && (t.GuaranteedGPUs == 0 || s.GPUs <= t.GuaranteedGPUs)
	}
	if pl.Tiers == nil {
		pl.Tiers = tier.Default()
	}
	// An aim counts by class, however many jobs the class has: the jobs of a
	// rare one weigh more.
	count, most := make(map[string]int), 1
	for _, j := range pl.Jobs {
		count[j.Class]++
		pl.productionWaits = pl.productionWaits || j.Priority == wire.Production && len(j.Waiting) > 0
		most = max(most, count[j.Class])
	}
	pl.assignReservationTurns()
	for _, j := range pl.Jobs {
		j.work = tier.Workload{Priority: j.Priority, Class: j.Class, Team: j.Team, Service: j.Shape == wire.Service, Guaranteed: j.guaranteed}
		j.tier = pl.Tiers.IndexOf(j.work)
		j.timeLeft = pl.slackOf(j)
		j.weightedSlack = j.timeLeft * time.Duration(count[j.Class]) / time.Duration(most)
	}
	turn := func(j *Job) int { return cmp.Or(j.reservationTurn, math.MaxInt) }
	slices.SortStableFunc(pl.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(turn(a), turn(b)),
			pl.compareProduction(a, b), cmp.Compare(a.weightedSlack, b.weightedSlack), cmp.Compare(a.Order, b.Order))
	})
	for i, j := range pl.Jobs {
		j.queuePosition = i
	}
}

// slackOf tells how long a job can still wait without missing the next aim
// that it can meet. A job that has missed them all makes room for those that
// have not, but comes closer to the front the longer it waits.
func (pl *planner) slackOf(j *Job) time.Duration {
	const late = 45 * time.Second
	best, missed := time.Duration(math.MaxInt64), time.Duration(0)
	for _, o := range pl.Objectives {
		need := pl.fetchTime(j) + 3*time.Second
		switch {
		case o.Kind == GuaranteeWithin && j.guaranteed, o.Kind == StartWithin && o.Class == j.Class:
		case o.Kind == FinishWithin && o.Class == j.Class:
			need += j.Estimate() * 11 / 10
		default:
			continue
		}
		if slack := o.Within - j.Age - need; slack >= 0 {
			best = min(best, slack)
		} else {
			missed = max(missed, -slack)
		}
	}
	if best == math.MaxInt64 {
		best = late - missed/4
		if missed == 0 {
			best -= j.Age / 4
		}
	}
	return best
}

// fetchTime is how long a machine takes to fetch a job's image, at the rate of the
// slowest type.
func (pl *planner) fetchTime(j *Job) time.Duration {
	var longest float64
	for _, t := range pl.Types {
		if t.FetchGBps > 0 {
			longest = max(longest, j.ImageGB/t.FetchGBps)
		}
	}
	return wire.Seconds(longest)
}

// compareProduction compares production jobs by how much of each waits, and then by how soon the image
// could be there, as far as that differs by much.
func (pl *planner) compareProduction(a, b *Job) int {
	if a.Priority != wire.Production || b.Priority != wire.Production {
		return 0
	}
	missing := func(j *Job) float64 {
		if j.Shape != wire.Service {
			return float64(min(1, len(j.Waiting)))
		}
		return float64(len(j.Waiting)) / float64(j.Tasks)
	}
	return cmp.Or(cmp.Compare(missing(b), missing(a)), cmp.Compare(pl.fetchTime(a)/fetchTimeStep, pl.fetchTime(b)/fetchTimeStep))
}

// fetchTimeStep is the step in which fetches differ by much: that of weights, which take longer
// than a machine boots.
const fetchTimeStep = 30 * time.Second
