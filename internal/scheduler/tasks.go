package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// placeTasks places the tasks of an array or a service one by one: launches them where there is
// capacity now, and reserves capacity that is to come for the rest.
func (pl *planner) placeTasks(j *Job) {
	team, need := pl.Teams[j.Team], ResourcesOf(j.Job)
	if team == nil {
		return
	}
	s := pl.newSearch(j, j.InZone, "")
	waiting := s.launchNow(j.Waiting[j.launchedEarly:])
	if len(waiting) > 0 && !team.allows(need) {
		pl.reportQuotaDemand(j, len(waiting))
		if pl.worthReservingQuota(j, need) {
			team.consume(need) // its next task goes before smaller ones that are behind it
		}
		return
	}
	launching := pl.LaunchBudget > 0
	coming, unserved := s.reserveLater(waiting)
	if launching {
		pl.reportUnplaced(j, coming, unserved)
	}
}

// reserveLater reserves capacity that is to come for waiting tasks. It counts those for which some is
// on its way, and those for which there is none.
func (s *search) reserveLater(waiting []int) (coming, unserved int) {
	pl, j := s.planner, s.job
	team := pl.Teams[j.Team]
	for k := range waiting {
		if !team.allows(s.need) {
			pl.reportQuotaDemand(j, len(waiting)-k)
			break
		}
		if pl.useRemoteCapacity(j, 1) { // it goes there, rather than have more rented here
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

// launchNow launches tasks where there is capacity now, in order, and gives back the rest.
func (s *search) launchNow(waiting []int) []int {
	pl, j := s.planner, s.job
	team := pl.Teams[j.Team]
	fetching := false // no machine near the image could be had, so that the rest fetch it
	for len(waiting) > 0 && pl.LaunchBudget > 0 && team.allows(s.need) {
		m := s.bestFit()
		if m == nil {
			break
		}
		var near *Machine
		if !fetching && !m.hasImage(j.Image) {
			near = s.preemptNearImage()
			fetching = near == nil
		}
		if near != nil {
			m = near // once what is stopped there has ended
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

// longFetch is a fetch that takes longer than lesser work takes to end.
const longFetch = 6 * time.Second

// preemptNearImage makes room for a production task where its image is, rather than have it wait
// for a long fetch beside others; nil means that it can't. Its replicas would be down for that
// fetch, which is longer still when several images come to one machine at once.
func (s *search) preemptNearImage() *Machine {
	if s.job.Priority != wire.Production || s.planner.fetchTime(s.job) < longFetch || s.job.SpreadRule != nil {
		return nil
	}
	near := func(m *Machine) bool { return m.hasImage(s.job.Image) && s.permitsMachine(m) }
	if m := s.planner.stoppingMachine(s.need, near); m != nil {
		return m
	}
	return s.planner.preempt(s.job, s.need, near)
}
