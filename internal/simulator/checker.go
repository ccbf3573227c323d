package simulator

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Checker verifies the rules of the protocol from the outside: from what machines execute and which
// answers users get, without knowledge of the controllers' state. It is the Fixture of a
// simulation's machines.
type Checker struct {
	CancelWithin time.Duration      // time after which a cancelled job must have no running task
	GPULimits    map[string]float64 // by team; 0 or absent for no limit
	Liveness     LivenessChecker    // accepted jobs that are forgotten
	Submissions  SubmissionRules    // expected answers to submissions, if set
	Launches     LaunchChecker      // launches after the user was told that the job is cancelled
	Starvation   StarvationChecker  // jobs that wait although capacity for them is free

	mu               sync.Mutex
	submitted        map[string]*wire.Job
	runTimes         map[string]time.Duration
	taskRunTimes     map[string][]time.Duration        // by job and task index, for jobs whose tasks differ
	mistakenJobs     map[string]time.Duration          // run time after which all tasks of a job fail
	faultyMachines   map[string]time.Duration          // run time after which all tasks on a machine fail
	placements       map[wire.TaskID]map[string]string // zone by machine, of each running task
	startedAt        map[wire.TaskID]time.Time         // time of the last start
	finished         map[wire.TaskID]bool
	lastStage        map[string]wire.Stage
	cancelled        map[string]time.Time // when the user was first told so
	usedGPUs         map[string]float64
	answerTimes      map[string]*answerTimes
	cancelRequested  map[string]bool // jobs with an answered request to cancel them
	validSubmissions map[string]bool // job IDs of submissions that must be accepted
	violations       []string
	Started          int
	Stopped          int // tasks that were stopped before their completion
}

// NewChecker returns a checker without observations. cancelWithin is the time within which the tasks
// of a cancelled job have to stop; gpuLimits holds the GPU limit of each team.
func NewChecker(cancelWithin time.Duration, gpuLimits map[string]float64) *Checker {
	return &Checker{CancelWithin: cancelWithin, GPULimits: gpuLimits, submitted: map[string]*wire.Job{}, runTimes: map[string]time.Duration{}, taskRunTimes: map[string][]time.Duration{}, mistakenJobs: map[string]time.Duration{}, faultyMachines: map[string]time.Duration{},
		placements: map[wire.TaskID]map[string]string{}, finished: map[wire.TaskID]bool{}, lastStage: map[string]wire.Stage{},
		cancelled: map[string]time.Time{}, usedGPUs: map[string]float64{}, cancelRequested: map[string]bool{},
		startedAt: map[wire.TaskID]time.Time{}, answerTimes: map[string]*answerTimes{}}
}

// recordViolation records a violation of a rule.
func (c *Checker) recordViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Violations lists the violations that all checkers have recorded, each as rule and observation.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, zones := range c.placements {
		c.checkCancelled(t, zones)
	}
	return slices.Concat(c.violations, c.Launches.Violations(), c.Starvation.Violations(), c.Liveness.Violations())
}

// Submitted records a job that a user submits, and the run time of its tasks.
func (c *Checker) Submitted(j *wire.Job, run time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted[j.ID], c.runTimes[j.ID] = j, run
}

// Describe implements Fixture.
func (c *Checker) Describe(job string) (*wire.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.submitted[job]
	return j, j != nil
}

// Jobs lists the submitted jobs.
func (c *Checker) Jobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.submitted))
}

// SetFaultFreeSince tells all checkers since when no fault has been active. The zero time means that a
// fault is active.
func (c *Checker) SetFaultFreeSince(since time.Time) {
	c.Liveness.SetFaultFreeSince(since)
	c.Launches.SetFaultFreeSince(since)
	c.Starvation.SetFaultFreeSince(since)
}
