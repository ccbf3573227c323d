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
func (l *Leader) reviewPreemptions(now time.Time, rebuilding bool) {
	f := tier.Facts{Now: now, MachineUsable: func(id string) bool { return l.machineUsable(now, id, rebuilding) }, MayOccupy: l.victimPresent,
		WaitingTasks: func(job string) (int, bool) { return l.tasksWaiting(job), !rebuilding || l.liveJobs[job] == nil }}
	l.preemptions.Review(f, func(job, task string) { l.log.Warn("task does not stop", "task", task, "job", job) })
	l.stopDueVictims(now)
}

// tasksWaiting counts the tasks of a job that are not placed and have not finished; it is -1 if the job
// is over.
func (l *Leader) tasksWaiting(job string) (n int) {
	live := l.liveJobs[job]
	if live == nil {
		return -1
	}
	ranges, _ := l.ownRanges(live)
	for _, r := range ranges {
		for i := r.From; i < r.To; i++ {
			if j := l.jobStates[job]; (j == nil || !j.finished.Contains(i)) && l.fleet.ActivePlacement(wire.TaskID{Job: job, Index: i}) == nil {
				n++
			}
		}
	}
	return n
}

// machineUsable reports whether a machine can run tasks. While the fleet is being rebuilt, its heartbeats may
// not have come yet.
func (l *Leader) machineUsable(now time.Time, id string, rebuilding bool) bool {
	m := l.fleet.Machine(id)
	return m != nil && m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero() && (rebuilding || l.monitor.HeartbeatAge(now, m) < l.timeouts.unreachableAfter)
}

// victimPresent reports whether an attempt may still be on a machine. A later attempt of the same task does
// not count: late copies of a stop name the attempt, too.
func (l *Leader) victimPresent(task string, attempt uint64, machine string) bool {
	return l.victimPlacement(tier.Victim{Task: task, Attempt: attempt, Machine: machine}) != nil
}

// victimPlacement returns the placement of an attempt that is to be stopped, or nil if it is gone.
func (l *Leader) victimPlacement(v tier.Victim) *fleet.Placement {
	if m := l.fleet.Machine(v.Machine); m != nil {
		for _, p := range m.Placements() {
			if p.Active() && p.Attempt == v.Attempt && p.Task == v.ID() {
				return p
			}
		}
	}
	return nil
}

// stopDueVictims stops the attempts that stored reservations name, once they are due.
func (l *Leader) stopDueVictims(now time.Time) {
	save := func(task string) time.Duration { return l.checkpointTime(tier.Victim{Task: task}.ID().Job) }
	for _, s := range l.preemptions.DueStops(now, save) {
		if p, live := l.victimPlacement(s.Victim), l.liveJobs[s.Victim.ID().Job]; p != nil && live != nil {
			l.stopTask(now, p, live.Record.Job, "room for "+s.Job)
		}
	}
}

// checkpointTime is how long tasks of a job take to save their progress.
func (l *Leader) checkpointTime(job string) time.Duration {
	if live := l.liveJobs[job]; live != nil {
		return wire.Seconds(live.Record.Job.SaveS)
	}
	return 0
}

// addPreemptions adds preemptions to a snapshot: the reserved capacity, and which tasks are leaving.
func (l *Leader) addPreemptions(snapshot *scheduler.Snapshot) {
	if snapshot.Tiers = l.preemptions.Tiers(); !snapshot.Tiers.Configured() {
		return
	}
	leaving := make(map[string]uint64)
	for _, job := range l.preemptions.Jobs() {
		for _, r := range l.preemptions.For(job).Reservations {
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
			if p := l.fleet.ActivePlacement(id); p != nil {
				t.Stopping = t.Stopping || leaving[id.String()] == p.Attempt
				t.StopOverdue = l.preemptions.Overdue(id.String(), p.Attempt)
			}
		}
	}
}

// preemptionFor returns the preemption for a job with the changes of a round.
func (l *Leader) preemptionFor(d *Draft, job string) *tier.Preemption {
	if preemption := d.expansions[job]; preemption != nil {
		return preemption
	}
	return l.preemptions.For(job)
}

// consumeReservation records that a task is placed into capacity that was reserved for its job. Otherwise the
// reservation would hold capacity for one task too many.
func (l *Leader) consumeReservation(d *Draft, p *fleet.Placement) {
	job := p.Task.Job
	if preemption := l.preemptionFor(d, job); preemption.Reservation(p.Machine).Tasks > 0 {
		d.expansions[job] = preemption.WithPlaced(p.Machine)
		d.stale[tier.ReservationKey{Job: job, Machine: p.Machine}] = true
	}
}

// startPreemptions adds the preemptions of a plan to a round, as far as they fit in.
func (l *Leader) startPreemptions(now time.Time, d *Draft, all []scheduler.PlannedReclaim) {
	for _, reclaim := range all {
		r := tier.Reservation{Machine: reclaim.Machine, Tier: reclaim.Tier, Level: reclaim.Level, Tasks: reclaim.Tasks, Deadline: now.Add(reclaim.Within).UnixMilli()}
		r.Stops, r.Awaits = map[string]uint64{}, map[string]uint64{}
		for _, s := range reclaim.Stops {
			p := l.fleet.ActivePlacement(wire.TaskID{Job: s.Job.ID, Index: s.TaskIndex})
			switch {
			case p == nil:
			case s.AwaitCompletion:
				r.Awaits[p.Task.String()] = p.Attempt
			default:
				r.Stops[p.Task.String()] = p.Attempt
			}
		}
		if next := l.preemptionFor(d, reclaim.Job).Add(r); d.Add(store.PreemptionEntry(reclaim.Job, next.Reservation(reclaim.Machine))) {
			d.expansions[reclaim.Job] = next
			d.stale[tier.ReservationKey{Job: reclaim.Job, Machine: reclaim.Machine}] = false
			l.log.Info("preempting for a tier", "job", reclaim.Job, "tier", reclaim.Tier, "machine", reclaim.Machine, "stops", len(r.Stops), "awaits", len(r.Awaits), "round", d.Number)
		}
	}
}

// writeStalePreemptions adds the records of reservations that have changed to a round, as far as they fit in.
func (l *Leader) writeStalePreemptions(d *Draft) {
	l.preemptions.MarkStale(d.stale)
	for _, key := range tier.SortedKeys(d.stale) {
		if !d.stale[key] {
			continue
		}
		e := store.DropPreemption(key.Job, key.Machine)
		r := l.preemptionFor(d, key.Job).Reservation(key.Machine)
		if r.Tasks > 0 {
			e = store.PreemptionEntry(key.Job, r)
		}
		if r.Tasks == 0 && !l.ledger.HasPreemption(key.Job, key.Machine) || d.Add(e) {
			d.stale[key] = false
		}
	}
}

// preemptionsCommitted applies the preemptions of a round that the store has taken: from now on they are carried out.
func (l *Leader) preemptionsCommitted(d *Draft) {
	l.preemptions.Commit(d.expansions, d.stale)
	if len(d.expansions) > 0 {
		l.stopDueVictims(d.decidedAt)
	}
}

// tierStatuses returns how the tiers do, by name; nil where none are set.
func (l *Leader) tierStatuses() map[string]tier.Status {
	statuses := l.preemptions.Statuses()
	if len(statuses) == 0 {
		return nil
	}
	out := make(map[string]tier.Status)
	for i, s := range statuses {
		out[l.preemptions.Tiers().Tiers[i].Name] = s
	}
	return out
}

// sortFirstTierFirst puts jobs of the first tier before the others, since not all may fit into a round.
func (l *Leader) sortFirstTierFirst(jobs []string) []string {
	slices.SortStableFunc(jobs, func(a, b string) int { return cmp.Compare(l.tierRank(a), l.tierRank(b)) })
	return jobs
}

// tierRank is 0 for a job of the first tier.
func (l *Leader) tierRank(job string) int {
	if live := l.liveJobs[job]; live != nil && l.preemptions.Tiers().InFirst(live.Record.Job) {
		return 0
	}
	return 1
}

// machinesByUrgency lists the machines to call, and how many of them are to launch or preempt for the first
// tier: these come first, however many calls there are for other work.
func (l *Leader) machinesByUrgency() (machines []*fleet.Machine, urgent int) {
	firstTier := l.preemptions.FirstTierMachines()
	var others []*fleet.Machine
	for _, m := range l.fleet.Machines() {
		if firstTier[m.ID] || slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.State == fleet.Planned && l.tierRank(p.Task.Job) == 0 }) {
			machines = append(machines, m)
		} else {
			others = append(others, m)
		}
	}
	return append(machines, others...), len(machines)
}
