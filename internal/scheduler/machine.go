package scheduler

import "time"

// Images reports which container images a machine has or is fetching.
type Images interface {
	// HasImage reports whether the machine has an image or is fetching it.
	HasImage(image string) bool
}

// priorityRanks is the number of priority ranks, see wire.Priority.Rank.
const priorityRanks = 4

// Machine is the state of a machine in the snapshot.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Usable         bool // tasks can be launched on it now
	Booting        bool
	Free           Resources
	Images         Images // may be nil
	Fetches        []Fetch
	Tasks          []Task
	IdleFor        time.Duration // how long it has had no task; 0 while it has one
	IdleCapacity   Resources     // free without a break for starvationLimit, see IdleCapacity.Record

	machinePlan
}

// machinePlan is the planner's working state for a machine.
type machinePlan struct {
	offerIndex     int                      // index of its offer in machinePool.offers
	queuePosition  int                      // queue position of the job for which it would be rented
	usedByPlan     bool                     // the plan places a task or reserves capacity here
	plannedFetches []Fetch                  // image fetches that the plan causes
	stopping       Resources                // resources that stopping tasks will free
	loadByRank     [priorityRanks]Resources // resources of all other tasks, by priority rank
	reservedFor    *Job                     // the first job for which capacity is reserved here
	taskEnds       []taskEnd                // estimated ends of its tasks; computed on first use
}

// empty reports whether a machine has no tasks and the plan uses none of its capacity.
func (m *Machine) empty() bool { return len(m.Tasks) == 0 && !m.usedByPlan }

// hasImage reports whether a machine has an image, is fetching it, or will fetch it under the plan.
func (m *Machine) hasImage(image string) bool {
	return m.Images != nil && m.Images.HasImage(image) || containsFetch(m.plannedFetches, image)
}

// reservedForOther reports whether capacity of a machine is reserved for another job.
func (m *Machine) reservedForOther(j *Job) bool {
	return m.reservedFor != nil && m.reservedFor != j && m.reservedFor != j.originalJob
}

// freeAfterStops returns the free resources once all stopping tasks have ended.
func (m *Machine) freeAfterStops() Resources { return m.Free.AddScaled(m.stopping, 1) }

// freeWithoutLowerRanks returns the resources that would be free if all tasks of a lower priority
// rank were stopped.
func (m *Machine) freeWithoutLowerRanks(rank int) Resources {
	free := m.freeAfterStops()
	for _, load := range m.loadByRank[:rank] {
		free = free.AddScaled(load, 1)
	}
	return free
}
