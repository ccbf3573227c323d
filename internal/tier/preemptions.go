package tier

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReservationKey names the stored record of a reservation.
type ReservationKey struct{ Job, Machine string }

// Preemptions holds what a leader preempts for jobs of tiers: the stored reservations as far as they
// are still needed, and which records no longer match them. It is not safe for concurrent use.
type Preemptions struct {
	tiers    *Set
	byJob    map[string]*Preemption
	stale    map[ReservationKey]bool // records to write anew, or to drop
	overdue  map[string]uint64       // attempts that have not stopped in time, by task
	statuses []Status                // by the last plan
}

// NewPreemptions continues with the preemptions that the store holds. Where no tiers are set any
// more, their records are dropped.
func NewPreemptions(tiers *Set, stored map[string]*Preemption) *Preemptions {
	p := &Preemptions{tiers: tiers, byJob: stored, stale: make(map[ReservationKey]bool), overdue: make(map[string]uint64)}
	if tiers.Configured() {
		return p
	}
	for job, c := range stored {
		for _, r := range c.Reservations {
			p.stale[ReservationKey{job, r.Machine}] = true
		}
	}
	clear(stored)
	return p
}

// Tiers returns the tiers of the leader's shard.
func (p *Preemptions) Tiers() *Set { return p.tiers }

// Jobs lists the jobs for which something is preempted, in order.
func (p *Preemptions) Jobs() []string { return slices.Sorted(maps.Keys(p.byJob)) }

// For returns the preemption for a job, an empty one where there is none.
func (p *Preemptions) For(job string) *Preemption {
	if c := p.byJob[job]; c != nil {
		return c
	}
	return &Preemption{}
}

// Overdue reports whether an attempt of a task was to stop and has not in time.
func (p *Preemptions) Overdue(task string, attempt uint64) bool { return p.overdue[task] == attempt }

// Review drops the reservations that are no longer needed. It calls report for each task that has not
// stopped in time. Records that say more than is left can wait for a round that has space: a
// leader that recovers one finds it of no use as well.
func (p *Preemptions) Review(f Facts, report func(job, task string)) {
	for _, job := range p.Jobs() {
		c := p.byJob[job]
		next, overdue := c.Review(job, f)
		for task, attempt := range overdue {
			p.overdue[task] = attempt
			report(job, task)
		}
		for _, r := range c.Reservations {
			i := slices.IndexFunc(next.Reservations, func(o Reservation) bool { return o.Machine == r.Machine })
			if i < 0 || next.Reservations[i].Tasks != r.Tasks {
				p.stale[ReservationKey{job, r.Machine}] = true
			}
		}
		p.set(job, next)
	}
}

// Commit records the preemptions of a round that the store has taken, and for each record of which
// the round decided whether it is still stale.
func (p *Preemptions) Commit(changed map[string]*Preemption, stale map[ReservationKey]bool) {
	for job, c := range changed {
		p.set(job, c)
	}
	for key, still := range stale {
		if still {
			p.stale[key] = true
		} else {
			delete(p.stale, key)
		}
	}
}

func (p *Preemptions) set(job string, c *Preemption) {
	if p.byJob[job] = c; len(c.Reservations) == 0 {
		delete(p.byJob, job)
	}
}

// MarkStale adds the stale records to those of a round, but for the ones that it has decided on.
func (p *Preemptions) MarkStale(round map[ReservationKey]bool) {
	for key := range p.stale {
		if _, decided := round[key]; !decided {
			round[key] = true
		}
	}
}

// SortedKeys returns the keys of records in order.
func SortedKeys(records map[ReservationKey]bool) []ReservationKey {
	return slices.SortedFunc(maps.Keys(records), func(a, b ReservationKey) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Machine, b.Machine))
	})
}

// Stop is an attempt that is to be stopped for a job.
type Stop struct {
	Job    string
	Victim Victim
}

// DueStops lists the attempts that are to be stopped by now. checkpoint tells how long a task takes
// to save its progress.
func (p *Preemptions) DueStops(now time.Time, checkpoint func(task string) time.Duration) []Stop {
	var out []Stop
	for _, job := range p.Jobs() {
		for _, v := range p.byJob[job].DueVictims(now, checkpoint) {
			out = append(out, Stop{job, v})
		}
	}
	return out
}

// FirstTierMachines names the machines on which something is preempted for the first tier.
func (p *Preemptions) FirstTierMachines() map[string]bool {
	out := make(map[string]bool)
	for _, c := range p.byJob {
		for _, r := range c.Reservations {
			out[r.Machine] = out[r.Machine] || r.Level == 0
		}
	}
	return out
}

// SetStatuses records how the tiers do by a plan, and adds the preemptions of each.
func (p *Preemptions) SetStatuses(statuses []Status) {
	p.statuses = statuses
	for _, c := range p.byJob {
		p.statuses[p.tiers.IndexOfName(c.Reservations[0].Tier)].Claims++
	}
}

// Statuses returns how the tiers do, in their order; nil where none are set.
func (p *Preemptions) Statuses() []Status { return p.statuses }
