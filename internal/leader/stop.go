package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// Stopping tasks of live jobs, and withdrawing their planned placements.

// checkpointMargin is the time that a stopped task gets in addition to its checkpoint time.
const checkpointMargin = 5 * time.Second

// stopTask stops a task with a grace period for saving a checkpoint. A gang is stopped as a whole.
func (l *Leader) stopTask(now time.Time, p *fleet.Placement, job *wire.Job, why string) {
	grace := stopGrace(job)
	for _, q := range l.placementsToStop(p, job) {
		if q.Stop == nil && !l.fleet.Withdraw(q) {
			l.orderStop(q, fleet.StopOrder{Grace: grace, Reason: why, Since: now})
			l.countFailedAttempt(q)
		}
	}
}

// orderStop marks a placement to be stopped by the next commands for its machine, and logs the reason. It logs at debug
// level if the job has finished, since a job may have many tasks and its end is logged once for the job.
func (l *Leader) orderStop(p *fleet.Placement, order fleet.StopOrder) {
	p.Stop = &order
	fields := []any{"task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "reason", order.Reason}
	if order.JobFinished {
		l.log.Debug("stopping", fields...)
		return
	}
	l.log.Info("stopping", fields...)
}

// stopGrace returns the grace period in which a task of a job may save a checkpoint.
func stopGrace(job *wire.Job) time.Duration {
	if job.CheckpointS <= 0 {
		return 0
	}
	return wire.Seconds(job.SaveS) + checkpointMargin
}

// placementsToStop returns a placement and, if its job is a gang, the active placements of all other tasks.
func (l *Leader) placementsToStop(p *fleet.Placement, job *wire.Job) []*fleet.Placement {
	placements := []*fleet.Placement{p}
	if job.Shape != wire.Gang {
		return placements
	}
	for _, q := range l.activePlacements(job.ID, job.Tasks) {
		if q != p {
			placements = append(placements, q)
		}
	}
	return placements
}

// activePlacements returns the active placements of the first tasks of a job, ordered by task index.
func (l *Leader) activePlacements(job string, tasks int) (active []*fleet.Placement) {
	for i := range tasks {
		if p := l.fleet.ActivePlacement(wire.TaskID{Job: job, Index: i}); p != nil {
			active = append(active, p)
		}
	}
	return active
}

// countFailedAttempt counts an attempt as failed if it is stopped while it is still fetching its image.
func (l *Leader) countFailedAttempt(p *fleet.Placement) {
	if p.State != fleet.Fetching {
		return
	}
	j := l.jobState(p.Task.Job)
	if j.failedAttempts == nil {
		j.failedAttempts = make(map[int]int)
	}
	j.failedAttempts[p.Task.Index]++
}

// withdrawLaterAttempt withdraws or stops a later attempt of a task after a late heartbeat has reported that the task
// finished: the job may be stored as done before that attempt starts. An attempt of a gang is only withdrawn, not
// stopped, since the other tasks of the gang are about to finish.
func (l *Leader) withdrawLaterAttempt(t wire.TaskID, gang bool) {
	p := l.fleet.ActivePlacement(t)
	for p != nil && l.fleet.Withdraw(p) {
		p = l.fleet.ActivePlacement(t)
	}
	if p != nil && p.Stop == nil && !gang {
		l.orderStop(p, fleet.StopOrder{Reason: "its task is done", Since: p.PlacedAt})
	}
}
