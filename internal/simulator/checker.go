package simulator

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Checker verifies the rules of the protocol from the outside: from what machines execute and what
// users are answered, without knowledge of the controllers' state. It is the Fixture of a
// simulation's machines.
type Checker struct {
	CancelWithin time.Duration      // after which a cancelled job may have no task left
	GPULimits    map[string]float64 // by team
	Liveness     LivenessChecker    // whether accepted jobs remain known
	Submissions  SubmissionRules    // by which submissions are judged, if set
	Launches     LaunchChecker      // launches after their user was told that the job is cancelled
	Starvation   StarvationChecker  // jobs that wait while capacity is free

	mu               sync.Mutex
	submitted        map[string]*wire.Job
	runTimes         map[string]time.Duration
	taskRunTimes     map[string][]time.Duration        // of jobs whose tasks differ
	placements       map[wire.TaskID]map[string]string // machine to zone
	startedAt        map[wire.TaskID]time.Time         // the last start
	finished         map[wire.TaskID]bool
	lastStage        map[string]wire.Stage
	cancelled        map[string]time.Time // when the user was told
	usedGPUs         map[string]float64
	answerTimes      map[string]*answerTimes
	cancelRequested  map[string]bool // jobs with an answered request to cancel them
	validSubmissions map[string]bool // submissions that have to be accepted
	violations       []string
	Started          int
	Stopped          int // tasks that were stopped before their completion
}

// NewChecker returns a checker without observations. cancel is the time within which a cancelled
// job has to be gone; limits are GPUs by team.
func NewChecker(cancel time.Duration, limits map[string]float64) *Checker {
	return &Checker{CancelWithin: cancel, GPULimits: limits, submitted: map[string]*wire.Job{}, runTimes: map[string]time.Duration{}, taskRunTimes: map[string][]time.Duration{},
		placements: map[wire.TaskID]map[string]string{}, finished: map[wire.TaskID]bool{}, lastStage: map[string]wire.Stage{},
		cancelled: map[string]time.Time{}, usedGPUs: map[string]float64{}, cancelRequested: map[string]bool{},
		startedAt: map[wire.TaskID]time.Time{}, answerTimes: map[string]*answerTimes{}}
}

// recordViolation records a violation of a rule.
func (c *Checker) recordViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Violations lists the violated rules, each with the observation that violates it.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.placements {
		c.checkCancelled(t, where)
	}
	return slices.Concat(c.violations, c.Launches.Violations(), c.Starvation.Violations(), c.Liveness.Violations())
}

// Submitted is called when a user submits a job, with the run time of its tasks.
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

// SetQuietSince tells all checkers since when no fault is active; a zero time means that there are
// faults.
func (c *Checker) SetQuietSince(since time.Time) {
	c.Liveness.SetQuietSince(since)
	c.Launches.SetQuietSince(since)
	c.Starvation.SetQuietSince(since)
}
