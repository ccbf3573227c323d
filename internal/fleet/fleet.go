package fleet

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Fleet is what the leader of a shard knows of its machines under its fencing token.
type Fleet struct {
	FencingToken     uint64
	ElectedAt        time.Time
	workerLease      time.Duration // after which a worker without a response kills its tasks
	predecessorGrace time.Duration // how long an earlier leader responded after ElectedAt, at most
	listLag          time.Duration // by how much the cloud's list may be old

	machines         map[string]*Machine
	sortedMachines   []*Machine // by ID; replaced when a machine goes
	placementsByTask map[wire.TaskID][]*Placement
	removedMachines  map[string]heartbeatID // which a stale list may still show, with their last messages
	releasedMachines map[string]heartbeatID // the same of those that the cloud has released
}

// New returns the empty fleet of a fencing token. predecessorGrace bounds for how long after the
// election an earlier leader may have gone on responding to heartbeats.
func New(token uint64, electedAt time.Time, workerLease, predecessorGrace, listLag time.Duration) *Fleet {
	return &Fleet{
		FencingToken:     token,
		ElectedAt:        electedAt,
		workerLease:      workerLease,
		predecessorGrace: max(predecessorGrace, 0),
		listLag:          listLag,
		machines:         make(map[string]*Machine),
		placementsByTask: make(map[wire.TaskID][]*Placement),
		removedMachines:  make(map[string]heartbeatID),
		releasedMachines: make(map[string]heartbeatID),
	}
}

// EnsureMachine returns a machine that the cloud or a heartbeat names, and adds it if it is new. One
// that the state service did not record when the leader was elected was never launched on by an
// earlier leader.
func (f *Fleet) EnsureMachine(now time.Time, id, typ, zone string, spot bool) *Machine {
	if m := f.machines[id]; m != nil {
		return m
	}
	delete(f.removedMachines, id)
	m := &Machine{
		ID: id, Type: typ, Zone: zone, Spot: spot, Since: now, IdleSince: now, provenEmpty: true,
		JobFailures: make(map[string]int), imageCache: imageCache{images: make(map[string]cachedImage)},
	}
	f.machines[id] = m
	i, _ := slices.BinarySearchFunc(f.sortedMachines, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
	if i == len(f.sortedMachines) {
		f.sortedMachines = append(f.sortedMachines, m)
	} else { // a caller may be going through the list
		f.sortedMachines = slices.Concat(f.sortedMachines[:i], []*Machine{m}, f.sortedMachines[i:])
	}
	return m
}

// RestoreMachine adds a machine that the state service recorded, with the tasks that earlier leaders
// may have placed on it. They count as there until one of the proofs shows that they are not.
func (f *Fleet) RestoreMachine(now time.Time, id, addr, typ, zone string, spot bool, incarnation uint64, tasks map[string]uint64) {
	m := f.EnsureMachine(now, id, typ, zone, spot)
	m.Addr, m.RecordedIncarnation, m.provenEmpty, m.Recorded = addr, incarnation, false, true
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil {
			f.addPlacement(m, &Placement{Task: t, Attempt: attempt, Machine: id, State: Fetching, Committed: true, PlacedAt: now, restored: true})
		}
	}
}

// Machine returns a machine by its ID, or nil.
func (f *Fleet) Machine(id string) *Machine { return f.machines[id] }

// Machines lists all machines in order of their IDs. The list is the caller's to go through,
// whatever becomes of the machines meanwhile.
func (f *Fleet) Machines() []*Machine {
	return f.sortedMachines[:len(f.sortedMachines):len(f.sortedMachines)]
}

// UnprovenMachines lists the machines that may hold tasks of which this leader does not know.
func (f *Fleet) UnprovenMachines() []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.SeenAtToken && !m.provenEmpty {
			out = append(out, m)
		}
	}
	return out
}

// MarkReleased notes that the cloud has acknowledged a machine's release: nothing that comes in its
// name later counts. After a network failure its heartbeats may still come.
func (f *Fleet) MarkReleased(id string) {
	if m := f.machines[id]; m != nil {
		f.releasedMachines[id] = m.lastHeartbeatID()
	} else if !f.IsReleased(id) {
		f.releasedMachines[id] = heartbeatID{}
	}
}

// IsReleased reports whether a machine is known to have been released.
func (f *Fleet) IsReleased(id string) bool {
	_, ok := f.releasedMachines[id]
	return ok
}

// RemoveMachine forgets a machine that is proven not to exist any more, and what was on it.
func (f *Fleet) RemoveMachine(id string) {
	m := f.machines[id]
	if m == nil {
		return
	}
	for _, p := range m.Placements() {
		f.removePlacement(m, p)
	}
	delete(f.machines, id)
	f.sortedMachines = slices.DeleteFunc(slices.Clone(f.sortedMachines), func(o *Machine) bool { return o == m })
	f.removedMachines[id] = m.lastHeartbeatID()
}

// Place plans an attempt of a task on a machine. Nothing is sent to the machine before Committed is
// set.
func (f *Fleet) Place(now time.Time, m *Machine, t wire.TaskID, attempt uint64) *Placement {
	p := &Placement{Task: t, Attempt: attempt, Machine: m.ID, PlacedAt: now}
	f.addPlacement(m, p)
	return p
}

// Withdraw takes a planned placement back, and reports whether it could: what was sent can't be taken
// back.
func (f *Fleet) Withdraw(p *Placement) bool {
	if p.State != Planned || p.callPending {
		return false
	}
	f.removePlacement(f.machines[p.Machine], p)
	return true
}

// ActivePlacement returns the placement of a task that may hold resources, or nil when the task is
// nowhere as far as this leader knows.
func (f *Fleet) ActivePlacement(t wire.TaskID) *Placement {
	var found *Placement
	for _, p := range f.placementsByTask[t] {
		if p.Active() && (found == nil || p.Attempt > found.Attempt) {
			found = p
		}
	}
	return found
}

func (f *Fleet) addPlacement(m *Machine, p *Placement) {
	i, _ := slices.BinarySearchFunc(m.placements, p, compareByTask)
	m.placements = slices.Insert(slices.Clone(m.placements), i, p)
	f.placementsByTask[p.Task] = append(f.placementsByTask[p.Task], p)
}

func (f *Fleet) removePlacement(m *Machine, p *Placement) {
	isPlacement := func(q *Placement) bool { return q == p }
	m.placements = slices.DeleteFunc(slices.Clone(m.placements), isPlacement)
	remaining := slices.DeleteFunc(slices.Clone(f.placementsByTask[p.Task]), isPlacement)
	if len(remaining) > 0 {
		f.placementsByTask[p.Task] = remaining
	} else {
		delete(f.placementsByTask, p.Task)
	}
}
