package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// jobStateRetention is how long a job that is over is remembered.
	jobStateRetention = 10 * time.Minute
	// checkpointMargin is what a task gets beside the time that saving takes.
	checkpointMargin = 5 * time.Second
	// cancelMargin is how long before a cancelled task must be gone its machine is given up, if it
	// does not answer: the cloud needs some time.
	cancelMargin = 15 * time.Second
	// maxFetchWait bounds how long a fetch is waited for that may be all that a gang lacks.
	maxFetchWait = 3 * time.Minute
)

// reconcilePlacements compares the placements with the live jobs: what is over is stopped or
// withdrawn, and an end that is stored needs nothing more.
func (h *Leader) reconcilePlacements(now time.Time) {
	for _, m := range h.fleet.Machines() {
		if now.Sub(m.LastHeartbeat) > h.timeouts.launchWithin || !h.fleet.ReceivesCommands(now, m) || m.DrainReason != "" || !m.TerminationTime.IsZero() || m.Releasing {
			for _, p := range m.Placements() {
				h.fleet.Withdraw(p) // planned on a machine that gets no more launches
			}
		}
		for _, p := range m.Placements() {
			l := h.liveJobs[p.Task.Job]
			if l == nil {
				h.reconcileEnded(now, m, p)
				continue
			}
			if p.Stop != nil && h.fleet.Withdraw(p) {
				continue // it was told to stop while its launch was on its way, which did not arrive
			}
			j := h.jobState(p.Task.Job)
			if !p.EndHandled && p.State == fleet.Ended && j.storedFinished.Contains(p.Task.Index) {
				p.EndHandled = true
			}
			if !m.TerminationTime.IsZero() && p.Active() && p.Stop == nil && l.Record.Job.CheckpointS > 0 {
				h.stopTask(now, p, l.Record.Job, "the machine is being taken")
			}
		}
	}
	h.stopBrokenGangs(now)
	h.stopAborted(now)
	for id, j := range h.jobStates {
		if h.liveJobs[id] != nil {
			continue
		}
		if h.noteJobEnded(now, id, j); now.Sub(j.endedAt) > jobStateRetention {
			delete(h.jobStates, id)
		}
	}
}

// noteJobEnded records when a job was done or cancelled, and forgets what only live jobs need.
func (h *Leader) noteJobEnded(now time.Time, id string, j *jobState) {
	if !j.endedAt.IsZero() {
		return
	}
	j.endedAt = now
	rec, ok := h.jobIndex.Job(id)
	if at := time.UnixMilli(rec.Ended); ok && rec.Ended > 0 && at.Before(now) {
		j.endedAt = at // its user was told then, by whichever controller
	}
	h.ledger.DiscardJob(id, rec.Tasks)
	h.unstored.Remove(id)
	h.assignment.Forget(id)
}

// reconcileEnded stops a placement of a job that is done or cancelled.
func (h *Leader) reconcileEnded(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	if h.fleet.Withdraw(p) {
		return
	}
	j := h.jobState(p.Task.Job)
	h.noteJobEnded(now, p.Task.Job, j)
	if p.State == fleet.Ended {
		p.EndHandled = true
		return
	}
	if p.Stop == nil || !p.Stop.JobFinished {
		p.Stop = &fleet.StopOrder{Reason: "job is over", Since: now, JobFinished: true, RenewUntil: j.endedAt.Add(h.cfg.Workers.MaxCancelStaleness())}
		h.log.Debug("stopping", "task", p.Task, "machine", p.Machine, "reason", "job is over")
	}
	// A machine that can't be reached, or to which a launch may still be on its way, is released
	// before the task must be gone. While the cloud does not confirm that, the launch is kept from
	// being executed by a lease that no answer renews (Fleet.MustLapse).
	switch age := now.Sub(j.endedAt); {
	case p.CallPending() && age > h.cfg.Workers.MaxCancelStaleness()/2:
		h.releaseMachine(m, "the launch of a cancelled task may still be on its way there")
	case age > h.cfg.Workers.Cancel-cancelMargin && now.Sub(m.LastHeartbeat) > h.timeouts.directLaunchWithin:
		h.releaseMachine(m, "it may run a task of a cancelled job, and is silent")
	}
}

// withdrawLaterAttempt takes back, or stops, a later attempt of a task that has finished after all, as
// a late heartbeat has told: its job may be stored as done before the attempt begins. The other tasks
// of a gang are left alone, since they are about to finish.
func (h *Leader) withdrawLaterAttempt(t wire.TaskID, gang bool) {
	p := h.fleet.ActivePlacement(t)
	for p != nil && h.fleet.Withdraw(p) {
		p = h.fleet.ActivePlacement(t)
	}
	if p != nil && p.Stop == nil && !gang {
		p.Stop = &fleet.StopOrder{Reason: "its task is done", Since: p.PlacedAt}
	}
}

// stopTask stops a task, with time to save a checkpoint; a gang is stopped as a whole.
func (h *Leader) stopTask(now time.Time, p *fleet.Placement, job *wire.Job, why string) {
	var grace time.Duration
	if job.CheckpointS > 0 {
		grace = wire.Seconds(job.SaveS) + checkpointMargin
	}
	all := []*fleet.Placement{p}
	if job.Shape == wire.Gang {
		for i := range job.Tasks {
			if q := h.fleet.ActivePlacement(wire.TaskID{Job: job.ID, Index: i}); q != nil && q != p {
				all = append(all, q)
			}
		}
	}
	for _, q := range all {
		if q.Stop == nil && !h.fleet.Withdraw(q) {
			q.Stop = &fleet.StopOrder{Grace: grace, Reason: why, Since: now}
			h.countFailedAttempt(q)
			h.log.Info("stopping", "task", q.Task, "attempt", q.Attempt, "machine", q.Machine, "reason", why)
		}
	}
}

// countFailedAttempt counts a task that is stopped before its image has come.
func (h *Leader) countFailedAttempt(p *fleet.Placement) {
	if p.State != fleet.Fetching {
		return
	}
	j := h.jobState(p.Task.Job)
	if j.failedAttempts == nil {
		j.failedAttempts = make(map[int]int)
	}
	j.failedAttempts[p.Task.Index]++
}

// stopBrokenGangs stops what is left of a gang that has lost a task: a new attempt
// needs all of the old one gone.
func (h *Leader) stopBrokenGangs(now time.Time) {
	for id, l := range h.liveJobs {
		if l.Record.Job.Shape != wire.Gang || l.Record.Tasks < 2 {
			continue
		}
		if !h.sharding.IsSingle() && !h.jobState(id).finished.Contains(0) && gangCompleted(l, h.assignment.Ranges(l)) {
			h.markFinished(wire.TaskID{Job: id}, h.jobState(id)) // another shard has seen it finish
		}
		var left []*fleet.Placement
		for i := range l.Record.Tasks {
			if p := h.fleet.ActivePlacement(wire.TaskID{Job: id, Index: i}); p != nil {
				left = append(left, p)
			}
		}
		if len(left) == 0 || len(left) == h.gangTasksHere(l) || h.jobState(id).finished.Contains(0) {
			continue
		}
		for _, p := range left {
			if p.Stop == nil && !h.keepsFetching(now, p) && !h.fleet.Withdraw(p) {
				p.Stop = &fleet.StopOrder{Reason: "gang is torn", Since: now}
			}
		}
	}
}

// keepsFetching reports whether a task of a gang is left alone until it has its image. The others have
// timed out waiting for it: were its fetch stopped with them, the next attempt would time out as well.
func (h *Leader) keepsFetching(now time.Time, p *fleet.Placement) bool {
	return p.Reported && p.State == fleet.Fetching && h.jobState(p.Task.Job).timedOutAttempt == p.Attempt && now.Sub(p.PlacedAt) < maxFetchWait
}

// gangTasksHere returns how many tasks of a gang this shard has: all, but for one that is split among
// shards.
func (h *Leader) gangTasksHere(l *store.LiveJob) int {
	mine, elsewhere := h.ownRanges(l)
	if elsewhere == 0 && len(mine) == 0 {
		return l.Record.Tasks
	}
	return handover.Count(mine)
}

// releaseMachine has a machine returned to the cloud, whatever is on it.
func (h *Leader) releaseMachine(m *fleet.Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	h.scaler.Release(m.ID)
	h.log.Info("releasing", "machine", m.ID, "reason", why)
}
