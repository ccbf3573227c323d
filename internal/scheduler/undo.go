package scheduler

import "amberdeal.example/amberdeal/wire"

// undoLog records the state of each machine before the plan changed it. It grows with each change and is cleared
// before each job.
type undoLog []undoEntry

// undoEntry is the state of a machine before a change.
type undoEntry struct {
	machine        *Machine
	free, stopping Resources
	loadByRank     [priorityRanks]Resources
	usedByPlan     bool
	plannedFetches int
	task           int // index of the task that the change marks as stopping, or noTask
}

// noTask is the value of undoEntry.task for a change that marks no task as stopping.
const noTask = -1

// record saves the state of a machine before a change.
func (l *undoLog) record(m *Machine, task int) {
	*l = append(*l, undoEntry{m, m.Free, m.stopping, m.loadByRank, m.usedByPlan, len(m.plannedFetches), task})
}

// clear drops all entries, but keeps the allocated memory for the next ones.
func (l *undoLog) clear() { *l = (*l)[:0] }

// rollback undoes all changes except the first n, in reverse order.
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

// savepoint identifies a state of the plan to which it can be rolled back.
type savepoint struct{ changes, added, stopping, stops int }

func (pl *planner) savepoint() savepoint {
	return savepoint{len(pl.undo), len(pl.pool.added), len(pl.pool.stopping), len(pl.plan.Stops)}
}

// rollback undoes everything that was planned since a savepoint.
func (pl *planner) rollback(to savepoint) {
	pl.undo.rollback(to.changes)
	pl.pool.truncateAdded(to.added)
	pl.pool.stopping = pl.pool.stopping[:to.stopping]
	pl.plan.Stops = pl.plan.Stops[:to.stops]
}

// occupy deducts the needs of one task of a job from a machine's free capacity. It also notes the image fetch that
// the task causes.
func (pl *planner) occupy(j *Job, m *Machine) {
	pl.undo.record(m, noTask)
	m.Free = m.Free.AddScaled(ResourcesOf(j.Job), -1)
	m.usedByPlan = true
	if !m.hasImage(j.Image) {
		m.plannedFetches = append(m.plannedFetches, Fetch{j.Image, j.Priority == wire.Production})
	}
}
