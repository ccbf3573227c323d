package tier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Preemption describes what is preempted for the tasks of one job. Each of its reservations is written as a record in
// the scheduling round that decides it, and no attempt is stopped before the store has committed the round. After a
// failover the next leader continues from these records: it stops the attempts that the reservations name, and no
// others for the tasks that they cover.
type Preemption struct{ Reservations []Reservation }

// Reservation is capacity that is being freed on one machine. It is stored as an array, so the order of its fields is
// part of the format.
type Reservation struct {
	_        struct{} `cbor:",toarray"`
	Machine  string
	Tier     string            // the tier that gets the capacity back
	Level    int               // work at this queue level or after it must not use the capacity
	Tasks    int               // number of the job's tasks that fit into the capacity
	Deadline int64             // when all attempts in Stops and Awaits must have ended, in Unix milliseconds
	Stops    map[string]uint64 // attempts that are stopped at once, by task
	Awaits   map[string]uint64 // attempts expected to end in time and stopped only if they do not, by task
}

const (
	// DefaultReclaimWithin bounds the time to reclaim lent cards unless a tier configures another bound. The time
	// covers stopping a task, saving its progress and launching another one.
	DefaultReclaimWithin = 30 * time.Second
	// stopLead is how long before the deadline an awaited attempt that has not ended is stopped, not counting the time
	// to save its progress. A stop takes up to one heartbeat to reach the machine, and so does the launch that follows.
	stopLead = 8 * time.Second
	// reservationGrace is how long freed capacity stays reserved after the deadline: a few scheduling rounds.
	reservationGrace = 5 * time.Second
)

// EndsInTime reports whether a task may run to its end rather than be stopped at once: by its owner's estimate it ends
// early enough that there would still be time to save its progress before the deadline. remaining is the rest of the
// estimate; a task that has exceeded its estimate is never waited for.
func EndsInTime(remaining, checkpoint, within time.Duration) bool {
	return remaining > 0 && remaining+checkpoint+stopLead <= within
}

// ReviewInput is the state of the cluster by which a preemption is reviewed.
type ReviewInput struct {
	Now           time.Time
	WaitingTasks  func(job string) (tasks int, known bool)               // waiting tasks of a job, -1 if it has ended
	MachineUsable func(machine string) bool                              // whether a machine can run tasks
	MayOccupy     func(task string, attempt uint64, machine string) bool // whether an attempt may still run on it
}

// Review returns the part of a preemption that is still needed, and the attempts that have not stopped in time. A
// reservation is dropped if its job has ended or its tasks were placed elsewhere, if its machine is not usable, if one
// of its attempts may still run after the deadline, or if the freed capacity was not used within reservationGrace.
func (p *Preemption) Review(job string, f ReviewInput) (next *Preemption, stuck map[string]uint64) {
	waiting, known := f.WaitingTasks(job)
	if !known {
		return p, nil
	}
	candidates, stuck := p.candidates(f)
	next = &Preemption{}
	for _, c := range candidates {
		if waiting <= 0 {
			break
		}
		c.Tasks = min(c.Tasks, waiting)
		waiting -= c.Tasks
		next.Reservations = append(next.Reservations, c.Reservation)
	}
	slices.SortStableFunc(next.Reservations, func(a, b Reservation) int { return cmp.Compare(a.Machine, b.Machine) })
	return next, stuck
}

// candidate is a reservation that Review may keep.
type candidate struct {
	Reservation
	occupied, stopping int // 1 if the capacity is still occupied, and if attempts are being stopped
}

// candidates lists the reservations that can still be used, in the order in which they are kept, and the attempts that
// have not stopped in time. Reservations whose capacity is already free come first, and among the rest those for which
// attempts are being stopped come before those that only await attempts.
func (p *Preemption) candidates(f ReviewInput) (out []candidate, stuck map[string]uint64) {
	for _, r := range p.Reservations {
		lateMillis := f.Now.UnixMilli() - r.Deadline
		occupants := r.occupants(f)
		switch {
		case !f.MachineUsable(r.Machine):
		case len(occupants) > 0 && lateMillis > 0:
			if stuck == nil {
				stuck = make(map[string]uint64)
			}
			maps.Copy(stuck, occupants)
		case lateMillis > reservationGrace.Milliseconds():
		default:
			out = append(out, candidate{r, min(1, len(occupants)), min(1, len(r.Stops))})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.occupied, b.occupied), cmp.Compare(b.stopping, a.stopping))
	})
	return out, stuck
}

// occupants returns the attempts that may still occupy the reserved capacity.
func (r *Reservation) occupants(f ReviewInput) map[string]uint64 {
	out := make(map[string]uint64)
	for _, attempts := range []map[string]uint64{r.Stops, r.Awaits} {
		for task, attempt := range attempts {
			if f.MayOccupy(task, attempt, r.Machine) {
				out[task] = attempt
			}
		}
	}
	return out
}

// Add returns a copy of the preemption with more reservations. Reservations on the same machine are merged.
func (p *Preemption) Add(reservations ...Reservation) *Preemption {
	next := &Preemption{Reservations: slices.Clone(p.Reservations)}
	for _, r := range reservations {
		i := slices.IndexFunc(next.Reservations, func(o Reservation) bool { return o.Machine == r.Machine })
		if i < 0 {
			next.Reservations = append(next.Reservations, r)
			continue
		}
		old := next.Reservations[i]
		r.Tasks += old.Tasks
		r.Stops, r.Awaits = merge(old.Stops, r.Stops), merge(old.Awaits, r.Awaits)
		next.Reservations[i] = r
	}
	slices.SortStableFunc(next.Reservations, func(a, b Reservation) int { return cmp.Compare(a.Machine, b.Machine) })
	return next
}

// WithPlaced returns a copy of the preemption after a task of the job used its reservation on a machine.
func (p *Preemption) WithPlaced(machine string) *Preemption {
	next := &Preemption{Reservations: slices.Clone(p.Reservations)}
	for i := range next.Reservations {
		if r := &next.Reservations[i]; r.Machine == machine {
			if r.Tasks--; r.Tasks == 0 {
				next.Reservations = slices.Delete(next.Reservations, i, i+1)
			}
			break
		}
	}
	return next
}

func merge(a, b map[string]uint64) map[string]uint64 {
	if len(a) == 0 {
		return b
	}
	out := maps.Clone(a)
	maps.Copy(out, b)
	return out
}

// DueVictims lists the attempts that must be stopped now, sorted by task. checkpoint returns how long a task takes to
// save its progress.
func (p *Preemption) DueVictims(now time.Time, checkpoint func(task string) time.Duration) []Victim {
	var out []Victim
	for _, r := range p.Reservations {
		for task, attempt := range r.Stops {
			out = append(out, Victim{task, attempt, r.Machine})
		}
		for task, attempt := range r.Awaits {
			if time.UnixMilli(r.Deadline).Sub(now) <= stopLead+checkpoint(task) {
				out = append(out, Victim{task, attempt, r.Machine})
			}
		}
	}
	slices.SortFunc(out, func(a, b Victim) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// Victim is an attempt that is preempted, and the machine it runs on.
type Victim struct {
	Task    string
	Attempt uint64
	Machine string
}

// ID returns the task ID of a victim.
func (v Victim) ID() wire.TaskID {
	id, _ := wire.ParseTaskID(v.Task)
	return id
}

// SizeBound returns an upper bound on the size of the reservation's record, in bytes.
func (r *Reservation) SizeBound() int {
	n := len(r.Machine) + len(r.Tier) + 40
	for _, attempts := range []map[string]uint64{r.Stops, r.Awaits} {
		for task := range attempts {
			n += len(task) + 12
		}
	}
	return n
}

// Reservation returns the reservation on a machine, or an empty one if there is none.
func (p *Preemption) Reservation(machine string) Reservation {
	for _, r := range p.Reservations {
		if r.Machine == machine {
			return r
		}
	}
	return Reservation{Machine: machine}
}
