package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// applyEvents reacts to what heartbeats and lease expiries have shown about placements.
func (l *Leader) applyEvents(now time.Time, events []fleet.Event) {
	for _, e := range events {
		p := e.Placement
		if e.Unlaunched {
			l.log.Warn("attempt listed that was not launched", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause)
		}
		if e.Gone {
			l.log.Info("task gone", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine)
		} else if p.State == fleet.Ended && !p.EndHandled {
			l.taskEnded(now, p)
		} else if p.State == fleet.Running {
			l.log.Debug("task running", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "after", now.Sub(p.PlacedAt))
		}
		// What a heartbeat shows for the first time, of a job that is known to be over, is
		// stopped by the answer to that heartbeat, which may be the last one for long.
		if m := l.fleet.Machine(p.Machine); m != nil && !e.Gone && p.Active() && p.Stop == nil && l.liveJobs[p.Task.Job] == nil {
			l.reconcileEnded(now, m, p)
		}
	}
	if len(events) > 0 || !l.rebuilt {
		l.Wake()
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
func (l *Leader) taskEnded(now time.Time, p *fleet.Placement) {
	j, m := l.jobState(p.Task.Job), l.fleet.Machine(p.Machine)
	l.log.Debug("task ended", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause, "saved", p.Saved)
	if p.Cause == wire.CauseDone {
		clear(m.JobFailures)
		l.markFinished(p.Task, j)
		return
	}
	p.EndHandled = true
	switch p.Cause {
	case wire.CauseError:
		// Evidence about the machine and about the job: different jobs that fail on one
		// machine cordon it, a job that fails on several machines is delayed.
		l.log.Info("task failed", "task", p.Task, "machine", p.Machine)
		m.JobFailures[p.Task.Job]++
		j.noteFailure(now, p.Machine)
		if len(m.JobFailures) >= cordonAfterJobs && m.DrainReason == "" {
			m.DrainReason = "different jobs fail on it"
			l.log.Warn("machine cordoned", "machine", m.ID, "reason", m.DrainReason)
		}
	case wire.CauseAlone:
		j.timedOutAttempt = p.Attempt
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown:
		l.log.Info("launch refused", "task", p.Task, "machine", p.Machine, "cause", p.Cause)
		j.notBefore = now.Add(refusedLaunchDelay)
	}
}

// markFinished marks a task as finished; the tasks of a gang finish together.
func (l *Leader) markFinished(t wire.TaskID, j *jobState) {
	j.finished.Add(t.Index)
	live := l.liveJobs[t.Job]
	gang := live != nil && live.Record.Job.Shape == wire.Gang
	l.withdrawLaterAttempt(t, gang)
	if gang {
		for i := range live.Record.Tasks {
			j.finished.Add(i)
			l.withdrawLaterAttempt(wire.TaskID{Job: t.Job, Index: i}, true)
		}
	}
	l.unstored.Add(t.Job, l.lastRound)
}
