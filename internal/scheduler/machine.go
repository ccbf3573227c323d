package scheduler

import "time"

// Images reports which images a machine has or fetches.
type Images interface {
	// HasImage reports whether an image is on the machine or on its way there.
	HasImage(image string) bool
}

// ranks is how many priorities there are, see wire.Priority.Rank.
const ranks = 4

// Machine is a machine, as the snapshot has it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Usable         bool // tasks may be launched on it now
	Booting        bool
	Free           Resources
	Images         Images // may be nil
	Fetches        []Fetch
	Tasks          []Task
	IdleFor        time.Duration // for how long it has had no task; 0 while it has one
	IdleCapacity   Resources     // what has been free for starvationLimit, see IdleCapacity.Record

	machinePlan
}

// machinePlan is what the planner keeps with a machine while it makes a plan.
type machinePlan struct {
	offerIndex     int              // of its offer in machinePool.offers
	queuePosition  int              // of the job for which it would be rented
	usedByPlan     bool             // the plan places something here
	plannedFetches []Fetch          // images that the plan brings here
	stopping       Resources        // what tasks that are being stopped will free
	loadByRank     [ranks]Resources // what all other tasks use, by the rank of their jobs' priorities
	reservedFor    *Job             // the first job for which capacity is reserved here
	taskEnds       []taskEnd        // when its tasks should end; nil until needed
}

// empty reports whether a machine has no task, planned ones included.
func (m *Machine) empty() bool { return len(m.Tasks) == 0 && !m.usedByPlan }

// hasImage reports whether a machine has an image, or will have by the plan.
func (m *Machine) hasImage(image string) bool {
	return m.Images != nil && m.Images.HasImage(image) || containsFetch(m.plannedFetches, image)
}

// reservedForOther reports whether capacity of a machine is reserved for another job.
func (m *Machine) reservedForOther(j *Job) bool {
	return m.reservedFor != nil && m.reservedFor != j && m.reservedFor != j.remainder
}

// freeAfterStops returns what is free once all tasks that are being stopped have ended.
func (m *Machine) freeAfterStops() Resources { return m.Free.AddScaled(m.stopping, 1) }

// freeWithoutLowerRanks returns what would be free without any task of a lesser rank.
func (m *Machine) freeWithoutLowerRanks(rank int) Resources {
	free := m.freeAfterStops()
	for _, load := range m.loadByRank[:rank] {
		free = free.AddScaled(load, 1)
	}
	return free
}
