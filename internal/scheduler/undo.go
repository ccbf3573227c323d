package scheduler

import "amberdeal.example/amberdeal/wire"

// undoLog remembers the machines that the plan has changed, as they were before. It grows with
// each change and is cleared with each job.
type undoLog []undoEntry

// undoEntry is a machine before a change.
type undoEntry struct {
	machine        *Machine
	free, stopping Resources
	loadByRank     [ranks]Resources
	usedByPlan     bool
	plannedFetches int
	task           int // that the change marks as stopping, or noTask
}

// noTask stands for a change that marks no task as stopping.
const noTask = -1

// record remembers a machine before a change.
func (l *undoLog) record(m *Machine, task int) {
	*l = append(*l, undoEntry{m, m.Free, m.stopping, m.loadByRank, m.usedByPlan, len(m.plannedFetches), task})
}

// clear forgets all changes, but keeps the memory for the next ones.
func (l *undoLog) clear() { *l = (*l)[:0] }

// rollback undoes all changes but the first n, the last one first.
func (l *undoLog) rollback(n int) {
	for i := len(*l) - 1; i >= n; i-- {
		(*l)[i].undo()
	}
	*l = (*l)[:n]
}

func (e *undoEntry) undo() {
	m := e.machine
	m.Free, m.stopping, m.loadByRank = e.free, e.stopping, e.loadByRank
	m.usedByPlan, m.plannedFetches = e.usedByPlan, m.plannedFetches[:e.plannedFetches]
	if e.task != noTask {
		m.Tasks[e.task].Stopping = false
	}
}

// savepoint is a state of the plan to come back to.
type savepoint struct{ changes, added, stopping, stops int }

func (pl *planner) savepoint() savepoint {
	return savepoint{len(pl.undo), len(pl.pool.added), len(pl.pool.stopping), len(pl.plan.Stops)}
}

// rollback undoes all that was planned since a savepoint.
func (pl *planner) rollback(to savepoint) {
	pl.undo.rollback(to.changes)
	pl.pool.keepAdded(to.added)
	pl.pool.stopping = pl.pool.stopping[:to.stopping]
	pl.plan.Stops = pl.plan.Stops[:to.stops]
}

// occupy takes what a task of a job needs from a machine.
func (pl *planner) occupy(j *Job, m *Machine) {
	pl.undo.record(m, noTask)
	m.Free = m.Free.AddScaled(ResourcesOf(j.Job), -1)
	m.usedByPlan = true
	if !m.hasImage(j.Image) {
		m.plannedFetches = append(m.plannedFetches, Fetch{j.Image, j.Priority == wire.Production})
	}
}
