package scheduler

import "amberdeal.example/amberdeal/wire"

// maxStartableChecks bounds how many machines FirstStartable examines.
const maxStartableChecks = 200_000

// FirstStartable returns the first job for which a task, or the whole gang, would fit on the running machines and
// within its team's limit, or nil. It ignores reservations: its purpose is to detect that nothing is launched at all.
// It must be called before Schedule, which modifies the snapshot.
func (s *Snapshot) FirstStartable() *Job {
	budget := maxStartableChecks
	for _, j := range s.Jobs {
		if len(j.Waiting) == 0 || j.Terminating || j.MaybeRunning || j.ReserveOnly {
			continue
		}
		budget -= len(s.Machines)
		if budget < 0 {
			return nil
		}
		if s.canStart(j) {
			return j
		}
	}
	return nil
}

// canStart reports whether there is capacity for one task of a job, or for all waiting tasks of a gang.
func (s *Snapshot) canStart(j *Job) bool {
	team, need, wanted := s.Teams[j.Team], ResourcesOf(j.Job), 1
	if j.Shape == wire.Gang {
		wanted = len(j.Waiting)
	}
	if team == nil || !team.allows(need.Scaled(float64(wanted))) {
		return false
	}
	slots, most := make(map[string]int), 0 // by zone if the job must be in a single zone, else all under the empty key
	for _, m := range s.Machines {
		if !m.Usable || j.avoids(m.ID) || !allowsOffer(j, Offer{m.Type, m.Zone, m.Spot}) || !zoneAllowed(j, j.TasksByZone, m.Zone) {
			continue
		}
		zone := ""
		if j.OneZone {
			zone = m.Zone
		}
		slots[zone] += max(0, m.Free.Slots(need))
		most = max(most, slots[zone])
	}
	return most >= wanted
}
