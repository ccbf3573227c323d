package fleet

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Fleet is what the holder of a part knows under its term.
type Fleet struct {
	FencingToken     uint64
	ElectedAt        time.Time
	workerLease      time.Duration // of the workers
	predecessorGrace time.Duration // how long an earlier holder answered after the claim, at most
	listLag          time.Duration
	machines         map[string]*Machine
	sortedMachines   []*Machine // by name; replaced when one goes
	placementsByTask map[wire.TaskID][]*Placement
	goneMachines     map[string]messageNumber // gone machines, which a stale list may still show, and their last message
	releasedMachines map[string]messageNumber
}

// New gives the empty fleet of a term. linger bounds for how long after the
// claim an earlier holder may have gone on answering reports.
func New(token uint64, electedAt time.Time, workerLease, predecessorGrace, listLag time.Duration) *Fleet {
	return &Fleet{FencingToken: token, ElectedAt: electedAt, workerLease: workerLease, predecessorGrace: max(predecessorGrace, 0), listLag: listLag,
		machines: make(map[string]*Machine), placementsByTask: make(map[wire.TaskID][]*Placement), goneMachines: make(map[string]messageNumber), releasedMachines: make(map[string]messageNumber)}
}

// EnsureMachine adds a machine that the cloud or a report names. One that the store did
// not record when the term began was never launched on by an earlier holder.
func (f *Fleet) EnsureMachine(now time.Time, id, typ, zone string, spot bool) *Machine {
	m := f.machines[id]
	if m == nil {
		delete(f.goneMachines, id)
		m = &Machine{ID: id, Type: typ, Zone: zone, Spot: spot, Since: now, IdleSince: now,
			images: map[string]cachedImage{}, JobFailures: map[string]int{}, provenEmpty: true}
		f.machines[id] = m
		i, _ := slices.BinarySearchFunc(f.sortedMachines, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
		if i == len(f.sortedMachines) {
			f.sortedMachines = append(f.sortedMachines, m)
		} else { // someone may be going through the list
			f.sortedMachines = slices.Concat(f.sortedMachines[:i], []*Machine{m}, f.sortedMachines[i:])
		}
	}
	return m
}

// RestoreMachine adds a machine that the store recorded, with the tasks that earlier
// holders may have placed on it. They count as there until one of the proofs
// shows that they are not.
func (f *Fleet) RestoreMachine(now time.Time, id, addr, typ, zone string, spot bool, incarnation uint64, tasks map[string]uint64) {
	m := f.EnsureMachine(now, id, typ, zone, spot)
	m.Addr, m.RecordedIncarnation, m.provenEmpty, m.Recorded = addr, incarnation, false, true
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil {
			f.addPlacement(m, &Placement{Task: t, Attempt: attempt, Machine: id, State: Fetching, Committed: true, PlacedAt: now, restored: true})
		}
	}
}

// Machine looks a machine up.
func (f *Fleet) Machine(id string) *Machine { return f.machines[id] }

// Machines lists all machines in order of their names. The list is the caller's
// to go through, whatever becomes of the machines meanwhile.
func (f *Fleet) Machines() []*Machine {
	return f.sortedMachines[:len(f.sortedMachines):len(f.sortedMachines)]
}

// MarkReleased notes that the cloud has acknowledged a machine's release: nothing
// that comes in its name later is news. After a cut, its reports may still do.
func (f *Fleet) MarkReleased(id string) {
	if m := f.machines[id]; m != nil {
		f.releasedMachines[id] = messageNumber{m.Incarnation, m.lastSeq}
	} else if !f.IsReleased(id) {
		f.releasedMachines[id] = messageNumber{}
	}
}

// IsReleased reports whether a machine is known to have been released.
func (f *Fleet) IsReleased(id string) bool { _, ok := f.releasedMachines[id]; return ok }

// RemoveMachine forgets a machine that is proven not to exist any more.
func (f *Fleet) RemoveMachine(id string) {
	if m := f.machines[id]; m != nil {
		for _, p := range m.Placements() {
			f.removePlacement(m, p)
		}
		delete(f.machines, id)
		f.sortedMachines = slices.DeleteFunc(slices.Clone(f.sortedMachines), func(o *Machine) bool { return o == m })
		f.goneMachines[id] = messageNumber{m.Incarnation, m.lastSeq}
	}
}

// UnprovenMachines lists the machines that may hold tasks that nobody knows of.
func (f *Fleet) UnprovenMachines() []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.SeenAtToken && !m.provenEmpty {
			out = append(out, m)
		}
	}
	return out
}

func (f *Fleet) addPlacement(m *Machine, p *Placement) {
	i, _ := slices.BinarySearchFunc(m.placements, p, byTask)
	m.placements = slices.Insert(slices.Clone(m.placements), i, p)
	f.placementsByTask[p.Task] = append(f.placementsByTask[p.Task], p)
}

func (f *Fleet) removePlacement(m *Machine, p *Placement) {
	other := func(q *Placement) bool { return q == p }
	m.placements = slices.DeleteFunc(slices.Clone(m.placements), other)
	if rest := slices.DeleteFunc(slices.Clone(f.placementsByTask[p.Task]), other); len(rest) > 0 {
		f.placementsByTask[p.Task] = rest
	} else {
		delete(f.placementsByTask, p.Task)
	}
}

// Place plans an attempt of a task on a machine. Nothing is said to the
// machine before Committed is set.
func (f *Fleet) Place(now time.Time, m *Machine, t wire.TaskID, attempt uint64) *Placement {
	p := &Placement{Task: t, Attempt: attempt, Machine: m.ID, PlacedAt: now}
	f.addPlacement(m, p)
	return p
}

// Withdraw takes a planned placement back; what was said can't be taken back.
func (f *Fleet) Withdraw(p *Placement) bool {
	if p.State != Planned || p.callPending {
		return false
	}
	f.removePlacement(f.machines[p.Machine], p)
	return true
}

// ActivePlacement gives the placement of a task that may hold resources, or nil when
// the task is nowhere as far as this fleet knows.
func (f *Fleet) ActivePlacement(t wire.TaskID) *Placement {
	var found *Placement
	for _, p := range f.placementsByTask[t] {
		if p.Active() && (found == nil || p.Attempt > found.Attempt) {
			found = p
		}
	}
	return found
}
