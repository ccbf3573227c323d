package scheduler

import "amberdeal.example/amberdeal/wire"

// maxStartableChecks bounds how many machines Startable looks at.
const maxStartableChecks = 200_000

// FirstStartable gives a job of which a task, or the gang whole, has room on machines that are there and
// within its team's limit, or nil. It knows nothing of what room is kept for: it is for noticing
// that nothing is started at all. It is asked before Choose changes the picture.
func (p *Snapshot) FirstStartable() *Job {
	effort := maxStartableChecks
	for _, j := range p.Jobs {
		if len(j.Waiting) == 0 || j.Terminating || j.MaybeRunning || j.ReserveOnly {
			continue
		}
		if effort -= len(p.Machines); effort < 0 {
			return nil
		}
		if p.canStart(j) {
			return j
		}
	}
	return nil
}

func (p *Snapshot) canStart(j *Job) bool {
	team, need, wanted := p.Teams[j.Team], ResourcesOf(j.Job), 1
	if j.Shape == wire.Gang {
		wanted = len(j.Waiting)
	}
	if team == nil || !team.allows(Resources{}.AddScaled(need, float64(wanted))) {
		return false
	}
	slots, most := make(map[string]int), 0 // by zone, or all together
	for _, m := range p.Machines {
		if !m.Usable || j.AvoidMachines[m.ID] || !allowsOffer(j, Offer{m.Type, m.Zone, m.Spot}) || !zoneAllowed(j, j.InZone, m.Zone) {
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
