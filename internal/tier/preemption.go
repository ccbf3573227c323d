package tier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Preemption is a claim back: room that is being made for tasks of one job. Each room is a
// record of the round that decides it, and only once that is taken is anything stopped.
// The next holder goes on with it: it stops what the claim names, and nothing else for
// the tasks that it covers.
type Preemption struct{ Reservations []Reservation }

// Reservation is what a claim makes on one machine.
type Reservation struct {
	_        struct{} `cbor:",toarray"`
	Machine  string
	Tier     string            // that it is claimed back for
	Level    int               // of the work that leaves it alone: this one and those behind
	Tasks    int               // of the job, for which it is
	Deadline int64             // when all that is named is to be gone, in milliseconds
	Stops    map[string]uint64 // attempts that are stopped, by task
	Awaits   map[string]uint64 // that should end before, and are stopped only if they don't
}

// The times of a claim.
const (
	// DefaultReclaimWithin is the bound in which what was lent comes back, where none is set.
	DefaultReclaimWithin = 30 * time.Second
	// stopLead is how long before its bound a claim no longer waits for what was to end.
	stopLead = 8 * time.Second
	// reservationGrace is how long after its bound room that has come free waits for its task.
	reservationGrace = 5 * time.Second
)

// EndsInTime reports whether work is left to end by itself: if it does so before a claim's bound,
// by its owner's estimate, with time to save left if it doesn't. Left is what remains of the
// estimate: of what has run for longer nobody knows.
func EndsInTime(remaining, checkpoint, within time.Duration) bool {
	return remaining > 0 && remaining+checkpoint+stopLead <= within
}

// Facts is what a claim is looked at by.
type Facts struct {
	Now           time.Time
	WaitingTasks  func(job string) (tasks int, known bool) // of a job, -1 where it is over
	MachineUsable func(machine string) bool                // and may serve again
	MayOccupy     func(task string, attempt uint64, machine string) bool
}

// Review gives what is left of a claim, and the attempts that have not gone in time. The
// room goes that is of no more use: its job is over or has its tasks elsewhere, the machine
// is gone, or what was to leave is still there when the time is up.
func (c *Preemption) Review(job string, f Facts) (next *Preemption, stuck map[string]uint64) {
	waiting, known := f.WaitingTasks(job)
	if !known {
		return c, nil
	}
	type candidate struct {
		Reservation
		waits, told int // 1 while somebody is there, and where somebody was told to stop
	}
	var candidates []candidate
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
			candidates = append(candidates, candidate{r, min(1, len(there)), min(1, len(r.Stops))})
		}
	}
	// Room that is free is kept first, and what nobody was told of goes first.
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.waits, b.waits), cmp.Compare(b.told, a.told)) })
	next = &Preemption{}
	for _, l := range candidates {
		if waiting <= 0 {
			break
		}
		l.Tasks = min(l.Tasks, waiting)
		waiting -= l.Tasks
		next.Reservations = append(next.Reservations, l.Reservation)
	}
	slices.SortStableFunc(next.Reservations, func(a, b Reservation) int { return cmp.Compare(a.Machine, b.Machine) })
	return next, stuck
}

// occupants gives those that a room waits for.
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

// Add gives the claim with more room.
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

// WithPlaced gives the claim once a task of the job is placed in room that it made.
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

// DueVictims names the attempts that are to be stopped by now.
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

// Victim is an attempt that makes way.
type Victim struct {
	Task    string
	Attempt uint64
	Machine string
}

// ID gives the task of a victim.
func (v Victim) ID() wire.TaskID {
	id, _ := wire.ParseTaskID(v.Task)
	return id
}

// SizeBound bounds what a room takes as a record.
func (r *Reservation) SizeBound() int {
	n := len(r.Machine) + len(r.Tier) + 40
	for _, named := range []map[string]uint64{r.Stops, r.Awaits} {
		for task := range named {
			n += len(task) + 12
		}
	}
	return n
}

// Reservation gives the room on a machine, an empty one where there is none.
func (c *Preemption) Reservation(machine string) Reservation {
	for _, r := range c.Reservations {
		if r.Machine == machine {
			return r
		}
	}
	return Reservation{Machine: machine}
}
