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

// Preemption for tiers. An attempt is stopped only after the round with its reservation has been committed to the
// store, so that any later leader of the shard can carry out the stops that the stored reservations name. Capacity that
// is freed stays reserved for the job until the job uses it or no longer needs it.

// reviewPreemptions drops reservations that are no longer needed, and stops the attempts that are due.
func (l *Leader) reviewPreemptions(now time.Time, rebuilding bool) {
	f := tier.ReviewInput{Now: now, MachineUsable: func(id string) bool { return l.machineUsable(now, id, rebuilding) }, MayOccupy: l.victimPresent,
		WaitingTasks: func(job string) (int, bool) { return l.countWaitingTasks(job), !rebuilding || l.liveJobs[job] == nil }}
	l.preemptions.Review(f, func(job, task string) { l.log.Warn("task does not stop", "task", task, "job", job) })
	l.stopDueVictims(now)
}

// countWaitingTasks returns the number of this shard's tasks of a job that are neither placed nor finished, or -1 if
// the job has ended.
func (l *Leader) countWaitingTasks(job string) (n int) {
	live := l.liveJobs[job]
	if live == nil {
		return -1
	}
	ranges, _ := l.unfinishedOwnRanges(live)
	for _, r := range ranges {
		for i := r.From; i < r.To; i++ {
			if j := l.jobStates[job]; (j == nil || !j.finished.Contains(i)) && l.fleet.ActivePlacement(wire.TaskID{Job: job, Index: i}) == nil {
				n++
			}
		}
	}
	return n
}

// machineUsable reports whether a machine can run tasks. The age of its last heartbeat is not checked while the fleet
// is being rebuilt, since the machine may not have sent a heartbeat to this leader yet.
func (l *Leader) machineUsable(now time.Time, id string, rebuilding bool) bool {
	m := l.fleet.Machine(id)
	return m != nil && !m.Cordoned && !m.Releasing && m.TerminationTime.IsZero() && (rebuilding || l.monitor.HeartbeatAge(now, m) < l.timeouts.unreachableAfter)
}

// victimPresent reports whether an attempt may still be on a machine. A later attempt of the same task is ignored: a
// stop command names the attempt, so a delayed copy of it can't stop a later one.
func (l *Leader) victimPresent(task string, attempt uint64, machine string) bool {
	return l.victimPlacement(tier.Victim{Task: task, Attempt: attempt, Machine: machine}) != nil
}

// victimPlacement returns the active placement of an attempt that is to be stopped, or nil if there is none.
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

// stopDueVictims stops the attempts in stored reservations whose stop is due.
func (l *Leader) stopDueVictims(now time.Time) {
	checkpointTime := func(task string) time.Duration { return l.checkpointTime(tier.Victim{Task: task}.ID().Job) }
	for _, s := range l.preemptions.DueStops(now, checkpointTime) {
		if p, live := l.victimPlacement(s.Victim), l.liveJobs[s.Victim.ID().Job]; p != nil && live != nil {
			l.stopTask(now, p, live.Record.Job, "room for "+s.Job)
		}
	}
}

// checkpointTime returns how long the tasks of a live job take to save a checkpoint, or 0 if the job is not live.
func (l *Leader) checkpointTime(job string) time.Duration {
	if live := l.liveJobs[job]; live != nil {
		return wire.Seconds(live.Record.Job.SaveS)
	}
	return 0
}

// addPreemptionsToSnapshot adds the reserved capacity to a snapshot, and marks the tasks whose end a reservation awaits and those
// that have not stopped in time.
func (l *Leader) addPreemptionsToSnapshot(snapshot *scheduler.Snapshot) {
	if snapshot.Tiers = l.preemptions.Tiers(); !snapshot.Tiers.Configured() {
		return
	}
	awaited := make(map[string]uint64) // attempts by task
	for _, job := range l.preemptions.Jobs() {
		for _, r := range l.preemptions.For(job).Reservations {
			snapshot.Reclaims = append(snapshot.Reclaims, scheduler.Reclaim{Job: job, Machine: r.Machine, Tasks: r.Tasks, Level: r.Level})
			for task, attempt := range r.Awaits {
				awaited[task] = attempt
			}
		}
	}
	for _, m := range snapshot.Machines {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			id := wire.TaskID{Job: t.Job.ID, Index: t.Index}
			if p := l.fleet.ActivePlacement(id); p != nil {
				t.Stopping = t.Stopping || awaited[id.String()] == p.Attempt
				t.StopOverdue = l.preemptions.Overdue(id.String(), p.Attempt)
			}
		}
	}
}

// preemptionFor returns the preemption for a job, including the changes of a round that is not committed yet.
func (l *Leader) preemptionFor(d *Draft, job string) *tier.Preemption {
	if preemption := d.expansions[job]; preemption != nil {
		return preemption
	}
	return l.preemptions.For(job)
}

// consumeReservation records that a task was placed into capacity that was reserved for its job. Otherwise the
// reservation would keep holding capacity for that task.
func (l *Leader) consumeReservation(d *Draft, p *fleet.Placement) {
	job := p.Task.Job
	if preemption := l.preemptionFor(d, job); preemption.Reservation(p.Machine).Tasks > 0 {
		d.expansions[job] = preemption.WithPlaced(p.Machine)
		d.stale[tier.ReservationKey{Job: job, Machine: p.Machine}] = true
	}
}

// startPreemptions adds the preemptions of a plan to a round, as many as fit.
func (l *Leader) startPreemptions(now time.Time, d *Draft, reclaims []scheduler.PlannedReclaim) {
	for _, reclaim := range reclaims {
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

// writeStalePreemptions adds the records of reservations that have changed to a round, as many as fit.
func (l *Leader) writeStalePreemptions(d *Draft) {
	l.preemptions.MarkStale(d.stale)
	for _, key := range tier.SortedKeys(d.stale) {
		if !d.stale[key] {
			continue
		}
		e := store.PreemptionTombstone(key.Job, key.Machine)
		r := l.preemptionFor(d, key.Job).Reservation(key.Machine)
		if r.Tasks > 0 {
			e = store.PreemptionEntry(key.Job, r)
		}
		if r.Tasks == 0 && !l.ledger.HasPreemption(key.Job, key.Machine) || d.Add(e) {
			d.stale[key] = false
		}
	}
}

// commitPreemptions applies the preemptions of a committed round, and stops the attempts that are due.
func (l *Leader) commitPreemptions(d *Draft) {
	l.preemptions.Commit(d.expansions, d.stale)
	if len(d.expansions) > 0 {
		l.stopDueVictims(d.decidedAt)
	}
}

// tierStatuses returns the status of each tier by its name, or nil if no tiers are configured.
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

// sortByTierRank sorts jobs of the first tier before all others, since a round may not have space for every job. It
// keeps the order otherwise.
func (l *Leader) sortByTierRank(jobs []string) []string {
	slices.SortStableFunc(jobs, func(a, b string) int { return cmp.Compare(l.tierRank(a), l.tierRank(b)) })
	return jobs
}

// tierRank returns 0 for a job of the first tier and 1 for any other.
func (l *Leader) tierRank(job string) int {
	if live := l.liveJobs[job]; live != nil && l.preemptions.Tiers().InFirstTier(live.Record.Job) {
		return 0
	}
	return 1
}

// machinesByUrgency returns all machines in the order in which to call them, and how many of them are urgent. The
// urgent ones, which are to launch or preempt for the first tier, come first, so that calls for other work can't delay
// them.
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
