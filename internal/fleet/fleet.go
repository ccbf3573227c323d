package fleet

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Fleet holds what the leader of a shard has learned about its machines under its fencing token.
type Fleet struct {
	FencingToken     uint64
	ElectedAt        time.Time
	workerLease      time.Duration // how long a worker keeps its tasks running without a response
	predecessorGrace time.Duration // for how long after ElectedAt an earlier leader may have responded to heartbeats
	listLag          time.Duration // by how much the cloud's machine list may lag

	machines         map[string]*Machine
	sortedMachines   []*Machine // by ID; copied when an element is inserted or removed before the end
	placementsByTask map[wire.TaskID][]*Placement
	removedMachines  map[string]heartbeatID // last heartbeats of removed machines, which a stale list may contain
	releasedMachines map[string]heartbeatID // last heartbeats of machines that the cloud has released
}

// New returns an empty fleet for a fencing token. predecessorGrace bounds how long after the
// election an earlier leader may have continued to respond to heartbeats.
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

// EnsureMachine returns the machine with the given ID, which the cloud or a heartbeat has named, and
// adds it if it is new. A new machine counts as empty: no earlier leader launched anything on a machine
// that was not recorded in the state service when this leader was elected.
func (f *Fleet) EnsureMachine(now time.Time, id, typ, zone string, spot bool) *Machine {
	if m := f.machines[id]; m != nil {
		return m
	}
	delete(f.removedMachines, id)
	m := &Machine{
		ID: id, Type: typ, Zone: zone, Spot: spot, DiscoveredAt: now, IdleSince: now, provenEmpty: true,
		JobFailures: make(map[string]time.Time), imageCache: imageCache{images: make(map[string]cachedImage)},
	}
	f.machines[id] = m
	i, _ := slices.BinarySearchFunc(f.sortedMachines, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
	if i == len(f.sortedMachines) {
		f.sortedMachines = append(f.sortedMachines, m)
	} else { // a caller may be iterating over the list
		f.sortedMachines = slices.Concat(f.sortedMachines[:i], []*Machine{m}, f.sortedMachines[i:])
	}
	return m
}

// RestoreMachine adds a machine that is recorded in the state service, with the tasks that earlier
// leaders may have placed on it. They count as present until one of the proofs of absence applies.
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

// Machines returns all machines in order of their IDs. The caller may iterate over the list while
// machines are added and removed.
func (f *Fleet) Machines() []*Machine {
	return f.sortedMachines[:len(f.sortedMachines):len(f.sortedMachines)]
}

// UnprovenMachines returns the machines that may hold tasks unknown to this leader.
func (f *Fleet) UnprovenMachines() []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.SeenAtToken && !m.provenEmpty {
			out = append(out, m)
		}
	}
	return out
}

// MarkReleased records that the cloud has acknowledged a machine's release. Later heartbeats from the
// machine, which may still arrive after a network failure, are ignored.
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

// RemoveMachine removes a machine that is proven to no longer exist, with its placements.
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

// Place plans an attempt of a task on a machine. The launch is not sent before the placement's
// Committed field is set.
func (f *Fleet) Place(now time.Time, m *Machine, t wire.TaskID, attempt uint64) *Placement {
	p := &Placement{Task: t, Attempt: attempt, Machine: m.ID, PlacedAt: now}
	f.addPlacement(m, p)
	return p
}

// Withdraw removes a placement that is only planned and reports whether it did. A launch that was
// sent, or that a pending call may still deliver, cannot be withdrawn.
func (f *Fleet) Withdraw(p *Placement) bool {
	if p.State != Planned || p.callPending {
		return false
	}
	f.removePlacement(f.machines[p.Machine], p)
	return true
}

// ActivePlacement returns the newest placement of a task that may hold resources, or nil if this
// leader knows of none.
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
