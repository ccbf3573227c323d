package tier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Preemption is what is preempted for the tasks of one job. Each of its reservations is a record of the
// round that decides it, and only once the store has taken the round is anything stopped. The next
// leader continues with it: it stops what the reservations name, and nothing else for the tasks
// that they cover.
type Preemption struct{ Reservations []Reservation }

// Reservation is the capacity that is being freed on one machine. It is stored as an array: the order of its
// fields is part of the format.
type Reservation struct {
	_        struct{} `cbor:",toarray"`
	Machine  string
	Tier     string            // that gets the capacity back
	Level    int               // work of this queue level and behind may not use it
	Tasks    int               // of the job that fit in
	Deadline int64             // when all named attempts are to be gone, in Unix milliseconds
	Stops    map[string]uint64 // attempts that are stopped at once, by task
	Awaits   map[string]uint64 // attempts that should end in time, and are stopped only if they don't
}

const (
	// DefaultReclaimWithin bounds how long getting back lent cards may take where nothing is configured: a
	// stop, the saving of progress and a launch.
	DefaultReclaimWithin = 30 * time.Second
	// stopLead is how long before the deadline attempts that should have ended are stopped after all: a
	// stop reaches its machine within a heartbeat, and the launch after it needs as long.
	stopLead = 8 * time.Second
	// reservationGrace is how long after the deadline freed capacity still waits for its task: a few rounds.
	reservationGrace = 5 * time.Second
)

// EndsInTime reports whether a task is left to end by itself: by its owner's estimate it does before the
// deadline, and if it does not, there is time to save its progress. left is the rest of the
// estimate; a task that has exceeded it is never waited for.
func EndsInTime(remaining, checkpoint, within time.Duration) bool {
	return remaining > 0 && remaining+checkpoint+stopLead <= within
}

// Facts is what a preemption is reviewed by.
type Facts struct {
	Now           time.Time
	WaitingTasks  func(job string) (tasks int, known bool)               // waiting tasks of a job, -1 if it is over
	MachineUsable func(machine string) bool                              // whether a machine can run tasks
	MayOccupy     func(task string, attempt uint64, machine string) bool // whether an attempt may still be there
}

// Review returns what is still needed of a preemption, and the attempts that have not stopped in time. A
// reservation is dropped if its job is over or has its tasks elsewhere, if its machine is gone, or
// if an attempt that was to stop is still there after the deadline.
func (c *Preemption) Review(job string, f Facts) (next *Preemption, stuck map[string]uint64) {
	waiting, known := f.WaitingTasks(job)
	if !known {
		return c, nil
	}
	candidates, stuck := c.candidates(f)
	next = &Preemption{}
	for _, x := range candidates {
		if waiting <= 0 {
			break
		}
		x.Tasks = min(x.Tasks, waiting)
		waiting -= x.Tasks
		next.Reservations = append(next.Reservations, x.Reservation)
	}
	slices.SortStableFunc(next.Reservations, func(a, b Reservation) int { return cmp.Compare(a.Machine, b.Machine) })
	return next, stuck
}

// candidate is a reservation that may be kept.
type candidate struct {
	Reservation
	waits, told int // 1 while an attempt is still there, and if any was told to stop
}

// candidates lists the reservations that can still be used, in the order in which they are kept, and the
// attempts that have not stopped in time. Free capacity is kept first, and reservations for which
// nothing was stopped yet are dropped first.
func (c *Preemption) candidates(f Facts) (out []candidate, stuck map[string]uint64) {
	for _, r := range c.Reservations {
		late := f.Now.UnixMilli() - r.Deadline
		there := r.occupants(f)
		switch {
		case !f.MachineUsable(r.Machine):
		case len(there) > 0 && late > 0:
			if stuck == nil {
				stuck = make(map[string]uint64)
			}
			maps.Copy(stuck, there)
		case late > reservationGrace.Milliseconds():
		default:
			out = append(out, candidate{r, min(1, len(there)), min(1, len(r.Stops))})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.waits, b.waits), cmp.Compare(b.told, a.told)) })
	return out, stuck
}

// occupants returns the attempts that a reservation waits for.
func (r *Reservation) occupants(f Facts) map[string]uint64 {
	out := make(map[string]uint64)
	for _, named := range []map[string]uint64{r.Stops, r.Awaits} {
		for task, attempt := range named {
			if f.MayOccupy(task, attempt, r.Machine) {
				out[task] = attempt
			}
		}
	}
	return out
}

// Add returns the preemption with more reservations.
func (c *Preemption) Add(rooms ...Reservation) *Preemption {
	next := &Preemption{Reservations: slices.Clone(c.Reservations)}
	for _, r := range rooms {
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

// WithPlaced returns the preemption after a task of the job was placed into its reservation on a machine.
func (c *Preemption) WithPlaced(machine string) *Preemption {
	next := &Preemption{Reservations: slices.Clone(c.Reservations)}
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

// DueVictims lists the attempts that are to be stopped by now, by task. save is how long a task takes to save
// its progress.
func (c *Preemption) DueVictims(now time.Time, save func(task string) time.Duration) []Victim {
	var out []Victim
	for _, r := range c.Reservations {
		for task, attempt := range r.Stops {
			out = append(out, Victim{task, attempt, r.Machine})
		}
		for task, attempt := range r.Awaits {
			if time.UnixMilli(r.Deadline).Sub(now) <= stopLead+save(task) {
				out = append(out, Victim{task, attempt, r.Machine})
			}
		}
	}
	slices.SortFunc(out, func(a, b Victim) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// Victim is an attempt that is preempted.
type Victim struct {
	Task    string
	Attempt uint64
	Machine string
}

// ID returns the task of a victim.
func (v Victim) ID() wire.TaskID {
	id, _ := wire.ParseTaskID(v.Task)
	return id
}

// SizeBound bounds the size of a reservation as a record.
func (r *Reservation) SizeBound() int {
	n := len(r.Machine) + len(r.Tier) + 40
	for _, named := range []map[string]uint64{r.Stops, r.Awaits} {
		for task := range named {
			n += len(task) + 12
		}
	}
	return n
}

// Reservation returns the reservation on a machine, an empty one if there is none.
func (c *Preemption) Reservation(machine string) Reservation {
	for _, r := range c.Reservations {
		if r.Machine == machine {
			return r
		}
	}
	return Reservation{Machine: machine}
}
