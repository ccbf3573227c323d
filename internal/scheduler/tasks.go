package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// placeTasks places the tasks of an array or a service one by one: it launches tasks where there is capacity now, and
// reserves future capacity for the rest.
func (pl *planner) placeTasks(j *Job) {
	team, need := pl.Teams[j.Team], ResourcesOf(j.Job)
	if team == nil {
		return
	}
	s := pl.newSearch(j, j.TasksByZone, "")
	waiting := s.launchNow(j.Waiting[j.launchedEarly:])
	if len(waiting) > 0 && !team.allows(need) {
		pl.reportQuotaDemand(j, len(waiting))
		if pl.worthReservingQuota(j, need) {
			team.consume(need) // keep quota for its next task, ahead of smaller tasks of jobs that come later
		}
		return
	}
	launching := pl.LaunchBudget > 0
	coming, unserved := s.reserveFutureCapacity(waiting)
	unserved = pl.launchAsLastResort(j, waiting[len(waiting)-unserved:])
	if launching {
		pl.reportUnplaced(j, coming, unserved)
	}
}

// reserveFutureCapacity reserves capacity that will be free later for waiting tasks. coming counts the tasks whose
// capacity is on its way: in another shard, on a machine that is not up yet, or freed by ending tasks. unserved counts
// the tasks for which there is none.
func (s *search) reserveFutureCapacity(waiting []int) (coming, unserved int) {
	pl, j := s.planner, s.job
	team := pl.Teams[j.Team]
	for k := range waiting {
		if !team.allows(s.need) {
			pl.reportQuotaDemand(j, len(waiting)-k)
			break
		}
		if pl.useRemoteCapacity(j, 1) { // use another shard's capacity rather than rent more machines here
			team.consume(s.need)
			coming++
			continue
		}
		m := s.soonestMachine()
		if m == nil && !s.waitsForTurnover {
			unserved = len(waiting) - k
			break
		}
		if m == nil || !m.Usable {
			coming++
		}
		if m != nil {
			s.place(m)
		}
		team.consume(s.need)
	}
	return coming, unserved
}

// launchNow launches tasks in order where there is capacity now, and returns the tasks that are left.
func (s *search) launchNow(waiting []int) []int {
	pl, j := s.planner, s.job
	team := pl.Teams[j.Team]
	fetching := false // no machine that has the image could be freed: the remaining tasks fetch it
	for len(waiting) > 0 && pl.LaunchBudget > 0 && team.allows(s.need) {
		m := s.bestFit()
		if m == nil {
			break
		}
		var preempted *Machine
		if !fetching && !m.hasImage(j.Image) {
			preempted = s.preemptNearImage()
			fetching = preempted == nil
		}
		if preempted != nil {
			m = preempted // a later round launches the task there, once the preempted tasks have ended
		} else {
			pl.plan.Launches = append(pl.plan.Launches, Launch{j, waiting[0], m.ID})
			pl.LaunchBudget--
		}
		s.place(m)
		team.consume(s.need)
		waiting = waiting[1:]
	}
	return waiting
}

// longFetchThreshold is the fetch time from which preempting work where the image is already is faster, since
// preempted tasks end sooner.
const longFetchThreshold = 6 * time.Second

// preemptNearImage frees capacity for a production task on a machine that has its image, so that the task does not
// wait for a long fetch, during which the replica would be down. The fetch takes even longer if a machine fetches
// several images at once. It returns nil if there is no such machine.
func (s *search) preemptNearImage() *Machine {
	if s.job.Priority != wire.Production || s.planner.fetchTime(s.job) < longFetchThreshold || s.job.SpreadRule != nil {
		return nil
	}
	permitted := func(m *Machine) bool { return m.hasImage(s.job.Image) && s.permitsMachine(m) }
	if m := s.planner.stoppingMachine(s.need, permitted); m != nil {
		return m
	}
	return s.planner.preempt(s.job, s.need, permitted)
}
