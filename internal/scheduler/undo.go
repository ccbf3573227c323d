package scheduler

import "amberdeal.example/amberdeal/wire"

// undoEntry is what a try has changed of a machine.
type undoEntry struct {
	machine        *Machine
	free, stopping Resources
	loadByRank     [4]Resources
	usedByPlan     bool
	plannedFetches int
	task           int // that was marked as stopping, or -1
}

// recordUndo remembers a machine as it is before a change.
func (pl *planner) recordUndo(m *Machine, task int) {
	pl.undoLog = append(pl.undoLog, undoEntry{m, m.Free, m.stopping, m.loadByRank, m.usedByPlan, len(m.plannedFetches), task})
}

// savepoint is a state of the plan to come back to.
type savepoint struct{ undoLog, newMachines, stoppingMachines, stops int }

func (pl *planner) savepoint() savepoint {
	return savepoint{len(pl.undoLog), len(pl.newMachines), len(pl.stoppingMachines), len(pl.plan.Stops)}
}

// rollback takes back all changes after a mark.
func (pl *planner) rollback(to savepoint) {
	for i := len(pl.undoLog) - 1; i >= to.undoLog; i-- {
		u := pl.undoLog[i]
		m := u.machine
		m.Free, m.stopping, m.loadByRank, m.usedByPlan, m.plannedFetches = u.free, u.stopping, u.loadByRank, u.usedByPlan, m.plannedFetches[:u.plannedFetches]
		if u.task >= 0 {
			m.Tasks[u.task].Stopping = false
		}
	}
	for _, m := range pl.newMachines[to.newMachines:] {
		pl.machinesInZone[m.Zone]--
		pl.requested[pl.offers[m.offerIndex]]--
		pl.booting[m.offerIndex] = pl.booting[m.offerIndex][:len(pl.booting[m.offerIndex])-1]
	}
	pl.undoLog, pl.newMachines = pl.undoLog[:to.undoLog], pl.newMachines[:to.newMachines]
	pl.stoppingMachines, pl.plan.Stops = pl.stoppingMachines[:to.stoppingMachines], pl.plan.Stops[:to.stops]
}

func (pl *planner) occupy(j *Job, m *Machine) {
	pl.recordUndo(m, -1)
	m.Free = m.Free.AddScaled(ResourcesOf(j.Job), -1)
	m.usedByPlan = true
	if !m.hasImage(j.Image) {
		m.plannedFetches = append(m.plannedFetches, Fetch{j.Image, j.Priority == wire.Production})
	}
}
