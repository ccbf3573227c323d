package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Where tiers are set, nothing is stopped to make room before the round that says for whom
// is in the store. What the records name is stopped by whoever holds the part, and room
// that comes free is kept for its job until that has it, or needs it no more.

// preemptions is what a holder knows of the room that is claimed back.
type preemptions struct {
	tierSet      *tier.Set
	byJob        map[string]*tier.Preemption // by job, as the store has them but for what has since fallen away
	staleRecords map[reservationKey]bool     // records to write anew, or to drop
	stuck        map[string]uint64           // attempts that have not gone in time
	statuses     []tier.Status
}

// reservationKey names the record of a room.
type reservationKey struct{ job, machine string }

// recoverPreemptions takes over what an earlier holder has claimed back.
func (h *Leader) recoverPreemptions(by map[string]*tier.Preemption) {
	h.preemptions = preemptions{tierSet: h.cfg.Tiers().PerShard(len(h.sharding.Shards()), h.sharding.KeepsZonesWhole()), byJob: by, staleRecords: map[reservationKey]bool{}, stuck: map[string]uint64{}}
	if h.preemptions.tierSet.Configured() {
		return
	}
	for job, c := range by { // the tiers are no longer set
		for _, r := range c.Reservations {
			h.preemptions.staleRecords[reservationKey{job, r.Machine}] = true
		}
	}
	clear(by)
}

// reviewPreemptions drops what nobody needs any more, and stops what is due. The records that say
// less can wait for company: who recalls one finds it of no use as well.
func (h *Leader) reviewPreemptions(now time.Time, rebuilding bool) {
	f := tier.Facts{Now: now, MachineUsable: func(id string) bool { return h.machineUsable(now, id, rebuilding) }, MayOccupy: h.victimPresent,
		WaitingTasks: func(job string) (int, bool) { return h.tasksWaiting(job), !rebuilding || h.liveJobs[job] == nil }}
	for _, job := range sortedKeys(h.preemptions.byJob) {
		c := h.preemptions.byJob[job]
		next, stuck := c.Review(job, f)
		for task, attempt := range stuck {
			h.preemptions.stuck[task] = attempt
			h.log.Warn("task does not stop", "task", task, "job", job)
		}
		for _, r := range c.Reservations {
			if i := slices.IndexFunc(next.Reservations, func(o tier.Reservation) bool { return o.Machine == r.Machine }); i < 0 || next.Reservations[i].Tasks != r.Tasks {
				h.preemptions.staleRecords[reservationKey{job, r.Machine}] = true
			}
		}
		if h.preemptions.byJob[job] = next; len(next.Reservations) == 0 {
			delete(h.preemptions.byJob, job)
		}
	}
	h.stopDueVictims(now)
}

// tasksWaiting counts the tasks of a job that are nowhere and have not finished, -1 for one
// that is over.
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

func (h *Leader) machineUsable(now time.Time, id string, rebuilding bool) bool {
	m := h.fleet.Machine(id)
	return m != nil && m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero() && (rebuilding || h.heartbeatAge(now, m) < h.timeouts.unreachableAfter)
}

// victimPresent reports whether an attempt may still be on a machine. A later one of the same
// task is another's business: late copies of a stop name the attempt as well.
func (h *Leader) victimPresent(task string, attempt uint64, machine string) bool {
	return h.victimPlacement(tier.Victim{Task: task, Attempt: attempt, Machine: machine}) != nil
}

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

// stopDueVictims stops what claims in the store name, once it is due.
func (h *Leader) stopDueVictims(now time.Time) {
	for _, job := range sortedKeys(h.preemptions.byJob) {
		for _, v := range h.preemptions.byJob[job].DueVictims(now, func(task string) time.Duration { return h.checkpointTime(tier.Victim{Task: task}.ID().Job) }) {
			if p, l := h.victimPlacement(v), h.liveJobs[v.ID().Job]; p != nil && l != nil {
				h.stopTask(now, p, l.Record.Job, "room for "+job)
			}
		}
	}
}

func (h *Leader) checkpointTime(job string) time.Duration {
	if l := h.liveJobs[job]; l != nil {
		return wire.Seconds(l.Record.Job.SaveS)
	}
	return 0
}

// addPreemptions tells sched what is being claimed back: the room, and which tasks make way.
func (h *Leader) addPreemptions(pic *scheduler.Snapshot) {
	if pic.Tiers = h.preemptions.tierSet; !pic.Tiers.Configured() {
		return
	}
	leaving := make(map[string]uint64)
	for _, job := range sortedKeys(h.preemptions.byJob) {
		for _, r := range h.preemptions.byJob[job].Reservations {
			pic.Reclaims = append(pic.Reclaims, scheduler.Reclaim{Job: job, Machine: r.Machine, Tasks: r.Tasks, Level: r.Level})
			for task, attempt := range r.Awaits {
				leaving[task] = attempt
			}
		}
	}
	for _, m := range pic.Machines {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			id := wire.TaskID{Job: t.Job.ID, Index: t.Index}
			if p := h.fleet.ActivePlacement(id); p != nil {
				t.Stopping = t.Stopping || leaving[id.String()] == p.Attempt
				t.StopOverdue = h.preemptions.stuck[id.String()] == p.Attempt
			}
		}
	}
}

// preemptionFor gives the claim for a job as a round leaves it.
func (h *Leader) preemptionFor(d *Draft, job string) *tier.Preemption {
	if c := d.expansions[job]; c != nil {
		return c
	}
	if c := h.preemptions.byJob[job]; c != nil {
		return c
	}
	return &tier.Preemption{}
}

// consumeReservation takes in that a task is placed where room was made for it: or the room that is
// still to come would be taken for one too many.
func (h *Leader) consumeReservation(d *Draft, p *fleet.Placement) {
	job := p.Task.Job
	if c := h.preemptionFor(d, job); c.Reservation(p.Machine).Tasks > 0 {
		d.expansions[job] = c.WithPlaced(p.Machine)
		d.stale[reservationKey{job, p.Machine}] = true
	}
}

// startPreemptions takes what is to be stopped into the round, as far as there is room.
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
			d.stale[reservationKey{c.Job, c.Machine}] = false
			h.log.Info("claiming back", "job", c.Job, "tier", c.Tier, "machine", c.Machine, "stops", len(r.Stops), "awaits", len(r.Awaits), "round", d.Number)
		}
	}
}

// writeStalePreemptions writes what has fallen away, as far as the round has room.
func (h *Leader) writeStalePreemptions(d *Draft) {
	for key := range h.preemptions.staleRecords {
		if _, dealt := d.stale[key]; !dealt {
			d.stale[key] = true
		}
	}
	keys := slices.SortedFunc(maps.Keys(d.stale), func(a, b reservationKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.machine, b.machine))
	})
	for _, key := range keys {
		if !d.stale[key] {
			continue
		}
		e := store.DropPreemption(key.job, key.machine)
		r := h.preemptionFor(d, key.job).Reservation(key.machine)
		if r.Tasks > 0 {
			e = store.PreemptionEntry(key.job, r)
		}
		if r.Tasks == 0 && !h.ledger.HasPreemption(key.job, key.machine) || d.Add(e) {
			d.stale[key] = false
		}
	}
}

// preemptionsCommitted takes in that the store has taken the claims of a round: from now on they are said.
func (h *Leader) preemptionsCommitted(d *Draft) {
	for job, c := range d.expansions {
		if h.preemptions.byJob[job] = c; len(c.Reservations) == 0 {
			delete(h.preemptions.byJob, job)
		}
	}
	for key, still := range d.stale {
		if h.preemptions.staleRecords[key] = true; !still {
			delete(h.preemptions.staleRecords, key)
		}
	}
	if len(d.expansions) > 0 {
		h.stopDueVictims(d.decidedAt)
	}
}

// noteTierStatuses keeps how the tiers stand, for display.
func (h *Leader) noteTierStatuses(plan *scheduler.Plan) {
	h.preemptions.statuses = plan.Tiers
	for _, c := range h.preemptions.byJob {
		h.preemptions.statuses[h.preemptions.tierSet.IndexOfName(c.Reservations[0].Tier)].Claims++
	}
}

// tierStatuses tells how the tiers stand, by name; nothing where none are set.
func (h *Leader) tierStatuses() map[string]tier.Status {
	if len(h.preemptions.statuses) == 0 {
		return nil
	}
	out := make(map[string]tier.Status)
	for i, s := range h.preemptions.statuses {
		out[h.preemptions.tierSet.Tiers[i].Name] = s
	}
	return out
}

// sortFirstTierFirst puts jobs of the first tier before the others: a round may not have room for
// all that it has to say.
func (h *Leader) sortFirstTierFirst(jobs []string) []string {
	slices.SortStableFunc(jobs, func(a, b string) int { return cmp.Compare(h.tierRank(a), h.tierRank(b)) })
	return jobs
}

// tierRank is 0 for a job of the first tier.
func (h *Leader) tierRank(job string) int {
	if l := h.liveJobs[job]; l != nil && h.preemptions.tierSet.InFirst(l.Record.Job) {
		return 0
	}
	return 1
}

// machinesByUrgency lists the machines to call, and how many of them are to be told of work of the
// first tier, or to make room for it: calls of lesser work, however many, never go before.
func (h *Leader) machinesByUrgency() (machines []*fleet.Machine, urgent int) {
	makes := make(map[string]bool)
	for _, c := range h.preemptions.byJob {
		for _, r := range c.Reservations {
			makes[r.Machine] = makes[r.Machine] || r.Level == 0
		}
	}
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
