package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// reconcile compares the placements with the jobs of the snapshot: what is
// over is stopped or withdrawn, what is stored is settled.
func (h *Holder) reconcile(now time.Time) {
	for _, m := range h.fleet.Machines() {
		if now.Sub(m.Heard) > h.times.fresh || !h.fleet.Heeds(now, m) || m.Draining != "" || !m.Notice.IsZero() || m.Releasing {
			for _, p := range m.Placements() {
				h.fleet.Withdraw(p) // planned where nothing is said any more
			}
		}
		for _, p := range m.Placements() {
			l := h.live[p.Task.Job]
			if l == nil {
				h.over(now, m, p)
				continue
			}
			if p.Stop != nil && h.fleet.Withdraw(p) {
				continue // told to stop while its launch was on its way, which was in vain
			}
			j := h.history(p.Task.Job)
			if !p.Settled && p.State == fleet.Ended && j.stored.Has(p.Task.Index) {
				p.Settled = true
			}
			if !m.Notice.IsZero() && p.Active() && p.Stop == nil && l.Record.Job.CheckpointS > 0 {
				h.stop(now, p, l.Record.Job, "the machine is being taken")
			}
		}
	}
	h.tearGangs(now)
	h.calledOff(now)
	for id, j := range h.jobs {
		if h.live[id] != nil {
			continue
		}
		if h.closed(now, id, j); now.Sub(j.ended) > 10*time.Minute {
			delete(h.jobs, id)
		}
	}
}

// closed notes when a job was done or cancelled.
func (h *Holder) closed(now time.Time, id string, j *history) {
	if !j.ended.IsZero() {
		return
	}
	j.ended = now
	rec, ok := h.known.Job(id)
	if at := time.UnixMilli(rec.Ended); ok && rec.Ended > 0 && at.Before(now) {
		j.ended = at // its user was told then, by whichever controller
	}
	h.ledger.ForgetJob(id, rec.Tasks)
	h.unstored.remove(id)
	delete(h.implied, id)
}

// over deals with a placement of a job that is done or cancelled.
func (h *Holder) over(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	if h.fleet.Withdraw(p) {
		return
	}
	j := h.history(p.Task.Job)
	h.closed(now, p.Task.Job, j)
	if p.State == fleet.Ended {
		p.Settled = true
		return
	}
	if p.Stop == nil || !p.Stop.Over {
		p.Stop = &fleet.Stop{Why: "job is over", Since: now, Over: true, Until: j.ended.Add(h.cfg.Workers.Linger())}
		h.log.Debug("stopping", "task", p.Task, "machine", p.Machine, "why", "job is over")
	}
	// A machine that can't be reached, or to which a launch may still be on its
	// way, is released before the time is up. While the cloud does not take that, the
	// launch is kept from being executed by a lease that no answer renews (fleet.Lapses).
	switch age := now.Sub(j.ended); {
	case p.Loose() && age > h.cfg.Workers.Linger()/2:
		h.giveUp(m, "the launch of a cancelled task may still be on its way there")
	case age > h.cfg.Workers.Cancel-15*time.Second && now.Sub(m.Heard) > h.times.direct:
		h.giveUp(m, "it may run a task of a cancelled job, and is silent")
	}
}

// spare takes a later attempt of a task back that is done after all, as an old report has told,
// or has it stopped: its job may be called done before the attempt begins. The other tasks of
// a gang are about to say that they are done.
func (h *Holder) spare(t wire.TaskID, gang bool) {
	p := h.fleet.Active(t)
	for p != nil && h.fleet.Withdraw(p) {
		p = h.fleet.Active(t)
	}
	if p != nil && p.Stop == nil && !gang {
		p.Stop = &fleet.Stop{Why: "its task is done", Since: p.Placed}
	}
}

// stop asks a task to end, with time to save; a gang is stopped as a whole.
func (h *Holder) stop(now time.Time, p *fleet.Placement, job *wire.Job, why string) {
	var grace time.Duration
	if job.CheckpointS > 0 {
		grace = wire.Seconds(job.SaveS) + 5*time.Second
	}
	all := []*fleet.Placement{p}
	if job.Shape == wire.Gang {
		for i := range job.Tasks {
			if q := h.fleet.Active(wire.TaskID{Job: job.ID, Index: i}); q != nil && q != p {
				all = append(all, q)
			}
		}
	}
	for _, q := range all {
		if q.Stop == nil && !h.fleet.Withdraw(q) {
			q.Stop = &fleet.Stop{Grace: grace, Why: why, Since: now}
			h.noteVain(q)
			h.log.Info("stopping", "task", q.Task, "attempt", q.Attempt, "machine", q.Machine, "why", why)
		}
	}
}

// noteVain counts that a task is stopped before its image has come.
func (h *Holder) noteVain(p *fleet.Placement) {
	if p.State != fleet.Fetching {
		return
	}
	j := h.history(p.Task.Job)
	if j.vain == nil {
		j.vain = make(map[int]int)
	}
	j.vain[p.Task.Index]++
}

// tearGangs stops what is left of a gang that has lost a task: a new attempt
// needs all of the old one gone.
func (h *Holder) tearGangs(now time.Time) {
	for id, l := range h.live {
		if l.Record.Job.Shape != wire.Gang || l.Record.Tasks < 2 {
			continue
		}
		if !h.group.Whole() && !h.history(id).finished.Has(0) && gangDone(l, h.sharesOf(l)) {
			h.finish(wire.TaskID{Job: id}, h.history(id)) // another part has seen it complete
		}
		var left []*fleet.Placement
		for i := range l.Record.Tasks {
			if p := h.fleet.Active(wire.TaskID{Job: id, Index: i}); p != nil {
				left = append(left, p)
			}
		}
		if len(left) == 0 || len(left) == h.piece(l) || h.history(id).finished.Has(0) {
			continue
		}
		for _, p := range left {
			if p.Stop == nil && !h.fetchesOn(now, p) && !h.fleet.Withdraw(p) {
				p.Stop = &fleet.Stop{Why: "gang is torn", Since: now}
			}
		}
	}
}

// fetchMost is for how long a fetch is waited for that may be all that a gang lacks.
const fetchMost = 3 * time.Minute

// fetchesOn reports whether a task of a gang is left alone until it has its image. The others waited
// for it in vain: were its fetch given up with them, the next attempt would wait in vain for the same.
func (h *Holder) fetchesOn(now time.Time, p *fleet.Placement) bool {
	return p.Seen && p.State == fleet.Fetching && h.history(p.Task.Job).alone == p.Attempt && now.Sub(p.Placed) < fetchMost
}

// piece tells how many tasks of a gang this part has: all, but of one that ran when the
// state was divided anew.
func (h *Holder) piece(l *store.LiveJob) int {
	mine, elsewhere := h.shares(l)
	if elsewhere == 0 && len(mine) == 0 {
		return l.Record.Tasks
	}
	return tasksOf(mine)
}

// giveUp has a machine released, whatever is on it.
func (h *Holder) giveUp(m *fleet.Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	h.release[m.ID] = true
	h.log.Info("releasing", "machine", m.ID, "why", why)
}
