package leader

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Where tiers are configured, nothing is preempted before the store has taken the round that says for
// whom. What the records name is stopped by any leader of the shard, and capacity that comes free
// is reserved for its job until the job uses it or no longer needs it.

// reviewPreemptions drops reservations that are no longer needed, and stops what is due.
func (h *Leader) reviewPreemptions(now time.Time, rebuilding bool) {
	f := tier.Facts{Now: now, MachineUsable: func(id string) bool { return h.machineUsable(now, id, rebuilding) }, MayOccupy: h.victimPresent,
		WaitingTasks: func(job string) (int, bool) { return h.tasksWaiting(job), !rebuilding || h.liveJobs[job] == nil }}
	h.preemptions.Review(f, func(job, task string) { h.log.Warn("task does not stop", "task", task, "job", job) })
	h.stopDueVictims(now)
}

// tasksWaiting counts the tasks of a job that are not placed and have not finished; it is -1 if the job
// is over.
func (h *Leader) tasksWaiting(job string) (n int) {
	l := h.liveJobs[job]
	if l == nil {
		return -1
	}
	shares, _ := h.ownRanges(l)
	for _, s := range shares {
		for i := s.From; i < s.To; i++ {
			if j := h.jobStates[job]; (j == nil || !j.finished.Contains(i)) && h.fleet.ActivePlacement(wire.TaskID{Job: job, Index: i}) == nil {
				n++
			}
		}
	}
	return n
}

// machineUsable reports whether a machine can run tasks. While the fleet is being rebuilt, its heartbeats may
// not have come yet.
func (h *Leader) machineUsable(now time.Time, id string, rebuilding bool) bool {
	m := h.fleet.Machine(id)
	return m != nil && m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero() && (rebuilding || h.monitor.HeartbeatAge(now, m) < h.timeouts.unreachableAfter)
}

// victimPresent reports whether an attempt may still be on a machine. A later attempt of the same task does
// not count: late copies of a stop name the attempt, too.
func (h *Leader) victimPresent(task string, attempt uint64, machine string) bool {
	return h.victimPlacement(tier.Victim{Task: task, Attempt: attempt, Machine: machine}) != nil
}

// victimPlacement returns the placement of an attempt that is to be stopped, or nil if it is gone.
func (h *Leader) victimPlacement(v tier.Victim) *fleet.Placement {
	if m := h.fleet.Machine(v.Machine); m != nil {
		for _, p := range m.Placements() {
			if p.Active() && p.Attempt == v.Attempt && p.Task == v.ID() {
				return p
			}
		}
	}
	return nil
}

// stopDueVictims stops the attempts that stored reservations name, once they are due.
func (h *Leader) stopDueVictims(now time.Time) {
	save := func(task string) time.Duration { return h.checkpointTime(tier.Victim{Task: task}.ID().Job) }
	for _, s := range h.preemptions.DueStops(now, save) {
		if p, l := h.victimPlacement(s.Victim), h.liveJobs[s.Victim.ID().Job]; p != nil && l != nil {
			h.stopTask(now, p, l.Record.Job, "room for "+s.Job)
		}
	}
}

// checkpointTime is how long tasks of a job take to save their progress.
func (h *Leader) checkpointTime(job string) time.Duration {
	if l := h.liveJobs[job]; l != nil {
		return wire.Seconds(l.Record.Job.SaveS)
	}
	return 0
}

// addPreemptions adds preemptions to a snapshot: the reserved capacity, and which tasks are leaving.
func (h *Leader) addPreemptions(snapshot *scheduler.Snapshot) {
	if snapshot.Tiers = h.preemptions.Tiers(); !snapshot.Tiers.Configured() {
		return
	}
	leaving := make(map[string]uint64)
	for _, job := range h.preemptions.Jobs() {
		for _, r := range h.preemptions.For(job).Reservations {
			snapshot.Reclaims = append(snapshot.Reclaims, scheduler.Reclaim{Job: job, Machine: r.Machine, Tasks: r.Tasks, Level: r.Level})
			for task, attempt := range r.Awaits {
				leaving[task] = attempt
			}
		}
	}
	for _, m := range snapshot.Machines {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			id := wire.TaskID{Job: t.Job.ID, Index: t.Index}
			if p := h.fleet.ActivePlacement(id); p != nil {
				t.Stopping = t.Stopping || leaving[id.String()] == p.Attempt
				t.StopOverdue = h.preemptions.Overdue(id.String(), p.Attempt)
			}
		}
	}
}

// preemptionFor returns the preemption for a job with the changes of a round.
func (h *Leader) preemptionFor(d *Draft, job string) *tier.Preemption {
	if c := d.expansions[job]; c != nil {
		return c
	}
	return h.preemptions.For(job)
}

// consumeReservation records that a task is placed into capacity that was reserved for its job. Otherwise the
// reservation would hold capacity for one task too many.
func (h *Leader) consumeReservation(d *Draft, p *fleet.Placement) {
	job := p.Task.Job
	if c := h.preemptionFor(d, job); c.Reservation(p.Machine).Tasks > 0 {
		d.expansions[job] = c.WithPlaced(p.Machine)
		d.stale[tier.ReservationKey{Job: job, Machine: p.Machine}] = true
	}
}

// startPreemptions adds the preemptions of a plan to a round, as far as they fit in.
func (h *Leader) startPreemptions(now time.Time, d *Draft, all []scheduler.PlannedReclaim) {
	for _, c := range all {
		r := tier.Reservation{Machine: c.Machine, Tier: c.Tier, Level: c.Level, Tasks: c.Tasks, Deadline: now.Add(c.Within).UnixMilli()}
		r.Stops, r.Awaits = map[string]uint64{}, map[string]uint64{}
		for _, s := range c.Stops {
			p := h.fleet.ActivePlacement(wire.TaskID{Job: s.Job.ID, Index: s.TaskIndex})
			switch {
			case p == nil:
			case s.AwaitCompletion:
				r.Awaits[p.Task.String()] = p.Attempt
			default:
				r.Stops[p.Task.String()] = p.Attempt
			}
		}
		if next := h.preemptionFor(d, c.Job).Add(r); d.Add(store.PreemptionEntry(c.Job, next.Reservation(c.Machine))) {
			d.expansions[c.Job] = next
			d.stale[tier.ReservationKey{Job: c.Job, Machine: c.Machine}] = false
			h.log.Info("preempting for a tier", "job", c.Job, "tier", c.Tier, "machine", c.Machine, "stops", len(r.Stops), "awaits", len(r.Awaits), "round", d.Number)
		}
	}
}

// writeStalePreemptions adds the records of reservations that have changed to a round, as far as they fit in.
func (h *Leader) writeStalePreemptions(d *Draft) {
	h.preemptions.MarkStale(d.stale)
	for _, key := range tier.SortedKeys(d.stale) {
		if !d.stale[key] {
			continue
		}
		e := store.DropPreemption(key.Job, key.Machine)
		r := h.preemptionFor(d, key.Job).Reservation(key.Machine)
		if r.Tasks > 0 {
			e = store.PreemptionEntry(key.Job, r)
		}
		if r.Tasks == 0 && !h.ledger.HasPreemption(key.Job, key.Machine) || d.Add(e) {
			d.stale[key] = false
		}
	}
}

// preemptionsCommitted applies the preemptions of a round that the store has taken: from now on they are carried out.
func (h *Leader) preemptionsCommitted(d *Draft) {
	h.preemptions.Commit(d.expansions, d.stale)
	if len(d.expansions) > 0 {
		h.stopDueVictims(d.decidedAt)
	}
}

// tierStatuses returns how the tiers do, by name; nil where none are set.
func (h *Leader) tierStatuses() map[string]tier.Status {
	statuses := h.preemptions.Statuses()
	if len(statuses) == 0 {
		return nil
	}
	out := make(map[string]tier.Status)
	for i, s := range statuses {
		out[h.preemptions.Tiers().Tiers[i].Name] = s
	}
	return out
}

// sortFirstTierFirst puts jobs of the first tier before the others, since not all may fit into a round.
func (h *Leader) sortFirstTierFirst(jobs []string) []string {
	slices.SortStableFunc(jobs, func(a, b string) int { return cmp.Compare(h.tierRank(a), h.tierRank(b)) })
	return jobs
}

// tierRank is 0 for a job of the first tier.
func (h *Leader) tierRank(job string) int {
	if l := h.liveJobs[job]; l != nil && h.preemptions.Tiers().InFirst(l.Record.Job) {
		return 0
	}
	return 1
}

// machinesByUrgency lists the machines to call, and how many of them are to launch or preempt for the first
// tier: these come first, however many calls there are for other work.
func (h *Leader) machinesByUrgency() (machines []*fleet.Machine, urgent int) {
	makes := h.preemptions.FirstTierMachines()
	var others []*fleet.Machine
	for _, m := range h.fleet.Machines() {
		if makes[m.ID] || slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.State == fleet.Planned && h.tierRank(p.Task.Job) == 0 }) {
			machines = append(machines, m)
		} else {
			others = append(others, m)
		}
	}
	return append(machines, others...), len(machines)
}
