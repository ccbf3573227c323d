package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// placeTasks places the tasks of an array or a service one by one.
func (pl *planner) placeTasks(j *Job) {
	team, need := pl.Teams[j.Team], ResourcesOf(j.Job)
	if team == nil {
		return
	}
	s := pl.newSearch(j, j.InZone, "")
	waiting := s.launchNow(j.Waiting[j.launchedEarly:])
	if len(waiting) > 0 && !team.allows(need) {
		if pl.reportQuotaDemand(j, len(waiting)); pl.worthReservingQuota(j, need) {
			team.consume(need) // its next task goes before smaller ones that stand behind it
		}
		return
	}
	coming, none, launching := 0, 0, pl.LaunchBudget > 0
	for k := range waiting {
		if !team.allows(need) {
			pl.reportQuotaDemand(j, len(waiting)-k)
			break
		}
		if pl.useRemoteCapacity(j, 1) { // it goes there, rather than have more rented here
			team.consume(need)
			coming++
			continue
		}
		m := s.soonestMachine()
		if m == nil && !s.waitsForTurnover {
			none = len(waiting) - k
			break
		}
		if m == nil || !m.Usable {
			coming++
		}
		if m != nil {
			s.place(m)
		}
		team.consume(need)
	}
	if launching {
		pl.reportUnplaced(j, coming, none)
	}
}

// launchNow launches tasks where there is room now, in order, and gives back the rest.
func (s *search) launchNow(waiting []int) []int {
	pl, j, far := s.planner, s.job, false
	for team := pl.Teams[j.Team]; len(waiting) > 0 && pl.LaunchBudget > 0 && team.allows(s.need); waiting = waiting[1:] {
		m := s.bestFit()
		if m == nil {
			break
		}
		if !far && !m.hasImage(j.Image) {
			if soon := s.preemptNearImage(); soon != nil {
				s.place(soon)
				team.consume(s.need)
				continue
			}
			far = true
		}
		pl.plan.Launches = append(pl.plan.Launches, Launch{j, waiting[0], m.ID})
		pl.LaunchBudget--
		s.place(m)
		team.consume(s.need)
	}
	return waiting
}

// longFetch is a fetch that takes longer than lesser work takes to end.
const longFetch = 6 * time.Second

// preemptNearImage makes room for a production task where its image is, rather than
// have it wait for a long fetch beside others; nil means that there is none.
// Its replicas would be away for that fetch, which is longer still when
// several images come to one machine at once.
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
