package scheduler

import "amberdeal.example/amberdeal/wire"

// startableEffort bounds how many machines Startable looks at.
const startableEffort = 200_000

// Startable gives a job of which a task, or the gang whole, has room on machines that are there and
// within its team's limit, or nil. It knows nothing of what room is kept for: it is for noticing
// that nothing is started at all. It is asked before Choose changes the picture.
func (p *Picture) Startable() *Job {
	effort := startableEffort
	for _, j := range p.Jobs {
		if len(j.Waiting) == 0 || j.Ending || j.Unsure || j.Hold {
			continue
		}
		if effort -= len(p.Machines); effort < 0 {
			return nil
		}
		if p.startable(j) {
			return j
		}
	}
	return nil
}

func (p *Picture) startable(j *Job) bool {
	team, need, wanted := p.Teams[j.Team], Of(j.Job), 1
	if j.Shape == wire.Gang {
		wanted = len(j.Waiting)
	}
	if team == nil || !team.allows(Amount{}.Plus(need, float64(wanted))) {
		return false
	}
	slots, most := make(map[string]int), 0 // by zone, or all together
	for _, m := range p.Machines {
		if !m.Usable || j.Avoid[m.ID] || !allowed(j, Offer{m.Type, m.Zone, m.Spot}) || !zoneOpen(j, j.InZone, m.Zone) {
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
