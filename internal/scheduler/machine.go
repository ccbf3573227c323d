package scheduler

import "time"

// Images tells which images a machine holds or fetches.
type Images interface{ HasImage(image string) bool }

// Machine is a machine as the choice sees it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Usable         bool // may be launched on now
	Booting        bool
	Free           Resources
	Images         Images // may be nil
	Fetches        []Fetch
	Tasks          []Task
	IdleFor        time.Duration // without any task, 0 while it has one
	IdleCapacity   Resources     // what has been free for long, see Stood

	offerIndex     int          // its offer's place in planner.offers
	queuePosition  int          // of the job for which it would be rented
	usedByPlan     bool         // by the plan being made
	plannedFetches []Fetch      // images that the plan brings here
	stopping       Resources    // what tasks that are being stopped will leave
	loadByRank     [4]Resources // what the others take, by the rank of their jobs
	reservedFor    *Job         // for which room is gathered here
	taskEnds       []taskEnd    // of its tasks, once asked for
}

// empty reports whether a machine is without any task, planned ones included.
func (m *Machine) empty() bool { return len(m.Tasks) == 0 && !m.usedByPlan }

// hasImage reports whether a machine has an image, or will have by the plan.
func (m *Machine) hasImage(image string) bool {
	return m.Images != nil && m.Images.HasImage(image) || containsFetch(m.plannedFetches, image)
}

// reservedForOther reports whether a machine is gathered for another job.
func (m *Machine) reservedForOther(j *Job) bool {
	return m.reservedFor != nil && m.reservedFor != j && m.reservedFor != j.remainder
}
