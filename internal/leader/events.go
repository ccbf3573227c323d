package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// applyEvents reacts to what heartbeats and lease expiries have shown about placements.
func (h *Leader) applyEvents(now time.Time, events []fleet.Event) {
	for _, e := range events {
		p := e.Placement
		if e.Gone {
			h.log.Info("task gone", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine)
		} else if p.State == fleet.Ended && !p.EndHandled {
			h.taskEnded(now, p)
		} else if p.State == fleet.Running {
			h.log.Debug("task running", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "after", now.Sub(p.PlacedAt))
		}
		// What a heartbeat shows for the first time, of a job that is known to be over, is
		// stopped by the answer to that heartbeat, which may be the last one for long.
		if m := h.fleet.Machine(p.Machine); m != nil && !e.Gone && p.Active() && p.Stop == nil && h.liveJobs[p.Task.Job] == nil {
			h.reconcileEnded(now, m, p)
		}
	}
	if len(events) > 0 || !h.rebuilt {
		h.Wake()
	}
}

const (
	// cordonAfterJobs is how many different jobs fail on a machine before it is cordoned: one may
	// be at fault itself.
	cordonAfterJobs = 2
	// refusedLaunchDelay is how long a job waits after a machine has refused a launch of it, which
	// is about as long as the heartbeat takes that shows what else is there.
	refusedLaunchDelay = time.Second
)

// taskEnded applies the end of a task for which nothing was done yet.
func (h *Leader) taskEnded(now time.Time, p *fleet.Placement) {
	j, m := h.jobState(p.Task.Job), h.fleet.Machine(p.Machine)
	h.log.Debug("task ended", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause, "saved", p.Saved)
	if p.Cause == wire.CauseDone {
		clear(m.JobFailures)
		h.markFinished(p.Task, j)
		return
	}
	p.EndHandled = true
	switch p.Cause {
	case wire.CauseError:
		// Evidence about the machine and about the job: different jobs that fail on one
		// machine cordon it, a job that fails on several machines is delayed.
		h.log.Info("task failed", "task", p.Task, "machine", p.Machine)
		m.JobFailures[p.Task.Job]++
		j.noteFailure(now, p.Machine)
		if len(m.JobFailures) >= cordonAfterJobs && m.DrainReason == "" {
			m.DrainReason = "different jobs fail on it"
			h.log.Warn("machine cordoned", "machine", m.ID, "reason", m.DrainReason)
		}
	case wire.CauseAlone:
		j.timedOutAttempt = p.Attempt
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown:
		h.log.Info("launch refused", "task", p.Task, "machine", p.Machine, "cause", p.Cause)
		j.notBefore = now.Add(refusedLaunchDelay)
	}
}

// markFinished marks a task as finished; the tasks of a gang finish together.
func (h *Leader) markFinished(t wire.TaskID, j *jobState) {
	j.finished.Add(t.Index)
	l := h.liveJobs[t.Job]
	gang := l != nil && l.Record.Job.Shape == wire.Gang
	h.withdrawLaterAttempt(t, gang)
	if gang {
		for i := range l.Record.Tasks {
			j.finished.Add(i)
			h.withdrawLaterAttempt(wire.TaskID{Job: t.Job, Index: i}, true)
		}
	}
	h.unstored.Add(t.Job, h.lastRound)
}
