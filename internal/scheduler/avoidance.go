package scheduler

// Avoidance says how strictly a job avoids a machine on which it failed.
type Avoidance int

// The kinds of avoidance.
const (
	AvoidIfPossible Avoidance = iota // the job uses the machine only if it finds no other capacity and none can be rented
	AvoidStrictly                    // the job has just failed there
)

// Avoidances holds the machines that a job avoids, by their IDs.
type Avoidances map[string]Avoidance

// avoids reports whether the job must not be placed on a machine on which it failed.
func (j *Job) avoids(machine string) bool {
	avoidance, failed := j.AvoidMachines[machine]
	return failed && (avoidance == AvoidStrictly || !j.lastResort)
}

// allowLastResort lets the job use machines that it avoids only if possible. It returns false if there are none.
func (j *Job) allowLastResort() bool {
	for _, avoidance := range j.AvoidMachines {
		if avoidance == AvoidIfPossible {
			j.lastResort = true
			return true
		}
	}
	return false
}

// launchAsLastResort launches tasks for which there is no capacity on machines that the job otherwise avoids. It returns the
// number of tasks that are left.
func (pl *planner) launchAsLastResort(j *Job, waiting []int) (left int) {
	if len(waiting) == 0 || !j.allowLastResort() {
		return len(waiting)
	}
	return len(pl.newSearch(j, j.TasksByZone, "").launchNow(waiting))
}
