package tier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Claim is a claim back: room that is being made for tasks of one job. Each room is a
// record of the round that decides it, and only once that is taken is anything stopped.
// The next holder goes on with it: it stops what the claim names, and nothing else for
// the tasks that it covers.
type Claim struct{ Rooms []Room }

// Room is what a claim makes on one machine.
type Room struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Tier    string            // that it is claimed back for
	Level   int               // of the work that leaves it alone: this one and those behind
	Tasks   int               // of the job, for which it is
	Until   int64             // when all that is named is to be gone, in milliseconds
	Stops   map[string]uint64 // attempts that are stopped, by task
	Awaits  map[string]uint64 // that should end before, and are stopped only if they don't
}

// The times of a claim.
const (
	// DefaultWithin is the bound in which what was lent comes back, where none is set.
	DefaultWithin = 30 * time.Second
	// lead is how long before its bound a claim no longer waits for what was to end.
	lead = 8 * time.Second
	// keep is how long after its bound room that has come free waits for its task.
	keep = 5 * time.Second
)

// Soon reports whether work is left to end by itself: if it does so before a claim's bound,
// by its owner's estimate, with time to save left if it doesn't. Left is what remains of the
// estimate: of what has run for longer nobody knows.
func Soon(left, save, within time.Duration) bool { return left > 0 && left+save+lead <= within }

// Facts is what a claim is looked at by.
type Facts struct {
	Now     time.Time
	Waiting func(job string) (tasks int, known bool) // of a job, -1 where it is over
	Serves  func(machine string) bool                // and may serve again
	On      func(task string, attempt uint64, machine string) bool
}

// Review gives what is left of a claim, and the attempts that have not gone in time. The
// room goes that is of no more use: its job is over or has its tasks elsewhere, the machine
// is gone, or what was to leave is still there when the time is up.
func (c *Claim) Review(job string, f Facts) (next *Claim, stuck map[string]uint64) {
	waiting, known := f.Waiting(job)
	if !known {
		return c, nil
	}
	type lot struct {
		Room
		waits, told int // 1 while somebody is there, and where somebody was told to stop
	}
	var lots []lot
	for _, r := range c.Rooms {
		late := f.Now.UnixMilli() - r.Until
		there := r.there(f)
		switch {
		case !f.Serves(r.Machine):
		case len(there) > 0 && late > 0:
			if stuck == nil {
				stuck = make(map[string]uint64)
			}
			maps.Copy(stuck, there)
		case late > keep.Milliseconds():
		default:
			lots = append(lots, lot{r, min(1, len(there)), min(1, len(r.Stops))})
		}
	}
	// Room that is free is kept first, and what nobody was told of goes first.
	slices.SortStableFunc(lots, func(a, b lot) int { return cmp.Or(cmp.Compare(a.waits, b.waits), cmp.Compare(b.told, a.told)) })
	next = &Claim{}
	for _, l := range lots {
		if waiting <= 0 {
			break
		}
		l.Tasks = min(l.Tasks, waiting)
		waiting -= l.Tasks
		next.Rooms = append(next.Rooms, l.Room)
	}
	slices.SortStableFunc(next.Rooms, func(a, b Room) int { return cmp.Compare(a.Machine, b.Machine) })
	return next, stuck
}

// there gives those that a room waits for.
func (r *Room) there(f Facts) map[string]uint64 {
	out := make(map[string]uint64)
	for _, named := range []map[string]uint64{r.Stops, r.Awaits} {
		for task, attempt := range named {
			if f.On(task, attempt, r.Machine) {
				out[task] = attempt
			}
		}
	}
	return out
}

// Add gives the claim with more room.
func (c *Claim) Add(rooms ...Room) *Claim {
	next := &Claim{Rooms: slices.Clone(c.Rooms)}
	for _, r := range rooms {
		i := slices.IndexFunc(next.Rooms, func(o Room) bool { return o.Machine == r.Machine })
		if i < 0 {
			next.Rooms = append(next.Rooms, r)
			continue
		}
		old := next.Rooms[i]
		r.Tasks += old.Tasks
		r.Stops, r.Awaits = merge(old.Stops, r.Stops), merge(old.Awaits, r.Awaits)
		next.Rooms[i] = r
	}
	slices.SortStableFunc(next.Rooms, func(a, b Room) int { return cmp.Compare(a.Machine, b.Machine) })
	return next
}

// Less gives the claim once a task of the job is placed in room that it made.
func (c *Claim) Less(machine string) *Claim {
	next := &Claim{Rooms: slices.Clone(c.Rooms)}
	for i := range next.Rooms {
		if r := &next.Rooms[i]; r.Machine == machine {
			if r.Tasks--; r.Tasks == 0 {
				next.Rooms = slices.Delete(next.Rooms, i, i+1)
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

// Due names the attempts that are to be stopped by now.
func (c *Claim) Due(now time.Time, save func(task string) time.Duration) []Victim {
	var out []Victim
	for _, r := range c.Rooms {
		for task, attempt := range r.Stops {
			out = append(out, Victim{task, attempt, r.Machine})
		}
		for task, attempt := range r.Awaits {
			if time.UnixMilli(r.Until).Sub(now) <= lead+save(task) {
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

// Bytes bounds what a room takes as a record.
func (r *Room) Bytes() int {
	n := len(r.Machine) + len(r.Tier) + 40
	for _, named := range []map[string]uint64{r.Stops, r.Awaits} {
		for task := range named {
			n += len(task) + 12
		}
	}
	return n
}

// Room gives the room on a machine, an empty one where there is none.
func (c *Claim) Room(machine string) Room {
	for _, r := range c.Rooms {
		if r.Machine == machine {
			return r
		}
	}
	return Room{Machine: machine}
}
