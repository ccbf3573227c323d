package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// Stopping tasks whose jobs are live, and withdrawing what is planned for them.

// checkpointMargin is what a task gets beside the time that saving takes.
const checkpointMargin = 5 * time.Second

// stopTask stops a task, with time to save a checkpoint; a gang is stopped as a whole.
func (l *Leader) stopTask(now time.Time, p *fleet.Placement, job *wire.Job, why string) {
	grace := stopGrace(job)
	for _, q := range l.stoppedTogether(p, job) {
		if q.Stop == nil && !l.fleet.Withdraw(q) {
			l.orderStop(q, fleet.StopOrder{Grace: grace, Reason: why, Since: now})
			l.countFailedAttempt(q)
		}
	}
}

// orderStop has a placement stopped by the next commands for its machine, and logs why. The end of a job,
// which may have many tasks, is logged for the job.
func (l *Leader) orderStop(p *fleet.Placement, order fleet.StopOrder) {
	p.Stop = &order
	fields := []any{"task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "reason", order.Reason}
	if order.JobFinished {
		l.log.Debug("stopping", fields...)
		return
	}
	l.log.Info("stopping", fields...)
}

// stopGrace returns the time that a task of a job gets to save a checkpoint.
func stopGrace(job *wire.Job) time.Duration {
	if job.CheckpointS <= 0 {
		return 0
	}
	return wire.Seconds(job.SaveS) + checkpointMargin
}

// stoppedTogether returns a placement and, of a gang, those of all other tasks.
func (l *Leader) stoppedTogether(p *fleet.Placement, job *wire.Job) []*fleet.Placement {
	all := []*fleet.Placement{p}
	if job.Shape != wire.Gang {
		return all
	}
	for _, q := range l.activePlacements(job.ID, job.Tasks) {
		if q != p {
			all = append(all, q)
		}
	}
	return all
}

// activePlacements returns the active placements of a job's first tasks, in the tasks' order.
func (l *Leader) activePlacements(job string, tasks int) (active []*fleet.Placement) {
	for i := range tasks {
		if p := l.fleet.ActivePlacement(wire.TaskID{Job: job, Index: i}); p != nil {
			active = append(active, p)
		}
	}
	return active
}

// countFailedAttempt counts a task that is stopped before its image has come.
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

// withdrawLaterAttempt takes back, or stops, a later attempt of a task that has finished after all, as
// a late heartbeat has told: its job may be stored as done before the attempt begins. The other tasks
// of a gang are left alone, since they are about to finish.
func (l *Leader) withdrawLaterAttempt(t wire.TaskID, gang bool) {
	p := l.fleet.ActivePlacement(t)
	for p != nil && l.fleet.Withdraw(p) {
		p = l.fleet.ActivePlacement(t)
	}
	if p != nil && p.Stop == nil && !gang {
		l.orderStop(p, fleet.StopOrder{Reason: "its task is done", Since: p.PlacedAt})
	}
}
