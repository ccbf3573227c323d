package tier

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReservationKey identifies the stored record of a reservation.
type ReservationKey struct{ Job, Machine string }

// Preemptions holds a leader's preemptions by job: the stored reservations that are still needed, and the keys of the
// records that no longer match them. It is not safe for concurrent use.
type Preemptions struct {
	tiers    *Set
	byJob    map[string]*Preemption
	stale    map[ReservationKey]bool // records to rewrite or delete
	overdue  map[string]uint64       // attempts that have not stopped in time, by task
	statuses []Status                // as of the last plan
}

// NewPreemptions returns the preemptions that the store holds. If no tiers are configured any longer, it drops all of
// them and marks their records as stale.
func NewPreemptions(tiers *Set, stored map[string]*Preemption) *Preemptions {
	p := &Preemptions{tiers: tiers, byJob: stored, stale: make(map[ReservationKey]bool), overdue: make(map[string]uint64)}
	if tiers.Configured() {
		return p
	}
	for job, preemption := range stored {
		for _, r := range preemption.Reservations {
			p.stale[ReservationKey{job, r.Machine}] = true
		}
	}
	clear(stored)
	return p
}

// Tiers returns the tiers of the leader's shard.
func (p *Preemptions) Tiers() *Set { return p.tiers }

// Jobs lists the jobs for which something is preempted, sorted.
func (p *Preemptions) Jobs() []string { return slices.Sorted(maps.Keys(p.byJob)) }

// For returns the preemption for a job, or an empty one if there is none.
func (p *Preemptions) For(job string) *Preemption {
	if preemption := p.byJob[job]; preemption != nil {
		return preemption
	}
	return &Preemption{}
}

// Overdue reports whether an attempt of a task has not stopped by its deadline.
func (p *Preemptions) Overdue(task string, attempt uint64) bool { return p.overdue[task] == attempt }

// Review drops the reservations that are no longer needed, and calls report for each task that has not stopped in
// time. Stale records need not be rewritten at once and can wait for a round that has space: a leader that recovers
// one drops it in its own review.
func (p *Preemptions) Review(f ReviewInput, report func(job, task string)) {
	for _, job := range p.Jobs() {
		preemption := p.byJob[job]
		next, overdue := preemption.Review(job, f)
		for task, attempt := range overdue {
			p.overdue[task] = attempt
			report(job, task)
		}
		for _, r := range preemption.Reservations {
			i := slices.IndexFunc(next.Reservations, func(o Reservation) bool { return o.Machine == r.Machine })
			if i < 0 || next.Reservations[i].Tasks != r.Tasks {
				p.stale[ReservationKey{job, r.Machine}] = true
			}
		}
		p.set(job, next)
	}
}

// Commit applies a round that the store has committed: the preemptions that it changed, and for each record that it
// decided on whether the record is still stale.
func (p *Preemptions) Commit(changed map[string]*Preemption, stale map[ReservationKey]bool) {
	for job, preemption := range changed {
		p.set(job, preemption)
	}
	for key, isStale := range stale {
		if isStale {
			p.stale[key] = true
		} else {
			delete(p.stale, key)
		}
	}
}

func (p *Preemptions) set(job string, preemption *Preemption) {
	if p.byJob[job] = preemption; len(preemption.Reservations) == 0 {
		delete(p.byJob, job)
	}
}

// MarkStale marks the stale records in a round, except for those that the round has already decided on.
func (p *Preemptions) MarkStale(round map[ReservationKey]bool) {
	for key := range p.stale {
		if _, decided := round[key]; !decided {
			round[key] = true
		}
	}
}

// SortedKeys returns the keys of records, sorted by job and machine.
func SortedKeys(records map[ReservationKey]bool) []ReservationKey {
	return slices.SortedFunc(maps.Keys(records), func(a, b ReservationKey) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Machine, b.Machine))
	})
}

// Stop is an attempt that must be stopped to free capacity for a job.
type Stop struct {
	Job    string
	Victim Victim
}

// DueStops lists the attempts that must be stopped now. checkpoint returns how long a task takes to save its progress.
func (p *Preemptions) DueStops(now time.Time, checkpoint func(task string) time.Duration) []Stop {
	var out []Stop
	for _, job := range p.Jobs() {
		for _, v := range p.byJob[job].DueVictims(now, checkpoint) {
			out = append(out, Stop{job, v})
		}
	}
	return out
}

// FirstTierMachines returns the machines on which something is preempted. The value is true if any of that is for the
// first tier.
func (p *Preemptions) FirstTierMachines() map[string]bool {
	out := make(map[string]bool)
	for _, preemption := range p.byJob {
		for _, r := range preemption.Reservations {
			out[r.Machine] = out[r.Machine] || r.Level == 0
		}
	}
	return out
}

// SetStatuses records the status of each tier after a plan, and adds the number of jobs with preemptions to each.
func (p *Preemptions) SetStatuses(statuses []Status) {
	p.statuses = statuses
	for _, preemption := range p.byJob {
		p.statuses[p.tiers.IndexOfName(preemption.Reservations[0].Tier)].Claims++
	}
}

// Statuses returns the status of each tier, in the order of the tiers. It is nil if no tiers are configured, and
// before the first plan.
func (p *Preemptions) Statuses() []Status { return p.statuses }
