package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Checker watches the rules of the protocol from the outside: it sees what
// the workers do and what users are told, and nothing of the controllers.
type Checker struct {
	CancelWithin time.Duration      // within which a cancelled job's tasks must be gone
	GPULimits    map[string]float64 // of GPUs, by team
	Liveness     LivenessChecker    // whether what was accepted stays known
	Submissions  SubmissionRules    // by which submissions are judged; none are where it is empty
	Launches     LaunchChecker      // what is started though its user was told that it is cancelled
	Starvation   StarvationChecker  // whether jobs wait while there is room

	mu              sync.Mutex
	submitted       map[string]*wire.Job
	runTimes        map[string]time.Duration
	taskRunTimes    map[string][]time.Duration        // of tasks of their own run times
	placements      map[wire.TaskID]map[string]string // machine to zone
	startedAt       map[wire.TaskID]time.Time         // when each was last started
	finished        map[wire.TaskID]bool
	lastStage       map[string]wire.Stage
	cancelled       map[string]time.Time // when the user was told
	usedGPUs        map[string]float64
	answers         map[string]*answerOrder
	cancelRequested map[string]bool // users who have asked to cancel and were answered something
	valid           map[string]bool // submissions that must be accepted
	violations      []string
	Started         int
	Stopped         int // tasks that went before they had completed
}

// NewChecker gives a checker that has seen nothing.
func NewChecker(cancel time.Duration, limits map[string]float64) *Checker {
	return &Checker{CancelWithin: cancel, GPULimits: limits, submitted: map[string]*wire.Job{}, runTimes: map[string]time.Duration{}, taskRunTimes: map[string][]time.Duration{},
		placements: map[wire.TaskID]map[string]string{}, finished: map[wire.TaskID]bool{}, lastStage: map[string]wire.Stage{},
		cancelled: map[string]time.Time{}, usedGPUs: map[string]float64{}, cancelRequested: map[string]bool{},
		startedAt: map[wire.TaskID]time.Time{}, answers: map[string]*answerOrder{}}
}

func (c *Checker) violate(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Violations lists the rules that were broken, each with what broke it.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.placements {
		c.checkCancelled(t, where)
	}
	return slices.Concat(c.violations, c.Launches.Violations(), c.Starvation.Violations(), c.Liveness.Violations())
}

func (c *Checker) checkCancelled(t wire.TaskID, where map[string]string) {
	if at, ok := c.cancelled[t.Job]; ok && len(where) > 0 && time.Since(at) > c.CancelWithin {
		c.violate("ran_cancelled", "%v is on %v %v after its user was told", t, where, time.Since(at))
	}
}

// Submitted tells that a user submits a job whose tasks run for a time.
func (c *Checker) Submitted(j *wire.Job, run time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted[j.ID], c.runTimes[j.ID] = j, run
}

// SetTaskRunTimes gives each task of a job, which is yet to be submitted, a run time of its own.
func (c *Checker) SetTaskRunTimes(job string, run ...time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskRunTimes[job] = run
}

// TaskStarted tells that a task starts on a machine, and gives its run time.
func (c *Checker) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.submitted[t.Job]
	if j == nil {
		return 0, false
	}
	c.Started++
	if len(c.placements[t]) > 0 {
		c.violate("ran_twice", "%v starts on %s while it is on %v", t, machine, c.placements[t])
	}
	if c.placements[t] == nil {
		c.placements[t] = map[string]string{}
	}
	c.placements[t][machine], c.startedAt[t] = zone, time.Now()
	c.usedGPUs[j.Team] += j.GPUs
	if limit := c.GPULimits[j.Team]; limit > 0 && c.usedGPUs[j.Team] > limit {
		c.violate("quota", "team %s uses %v of %v", j.Team, c.usedGPUs[j.Team], limit)
	}
	if spot && !j.Spot || len(j.Types) > 0 && !slices.Contains(j.Types, typ) || j.Zone != "" && j.Zone != zone {
		c.violate("wrong_place", "%v on %s %s in %s", t, typ, machine, zone)
	}
	c.checkZones(j, t)
	c.Launches.TaskStarted(time.Now(), t)
	if at, ok := c.cancelled[t.Job]; ok && time.Since(at) > c.CancelWithin {
		c.violate("ran_cancelled", "%v starts %v after its user was told", t, time.Since(at))
	}
	if c.finished[t] { // started again, it ends as soon as it has its image
		return 10 * time.Millisecond, true
	}
	return c.runs(t), true
}

func (c *Checker) runs(t wire.TaskID) time.Duration {
	if each := c.taskRunTimes[t.Job]; len(each) > 0 {
		return each[t.Index%len(each)]
	}
	return c.runTimes[t.Job]
}

// LongRunning names up to so many jobs that run and have longest to go, at least some time, with the
// machines that they are on.
func (c *Checker) LongRunning(n int, least time.Duration) (jobs, machines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, on := map[string]time.Duration{}, map[string][]string{}
	for t, where := range c.placements {
		if len(where) > 0 && !c.lastStage[t.Job].Final() && !c.cancelRequested[t.Job] {
			left[t.Job] = max(left[t.Job], c.runs(t)-time.Since(c.startedAt[t]))
			on[t.Job] = slices.AppendSeq(on[t.Job], maps.Keys(where))
		}
	}
	jobs = slices.SortedFunc(maps.Keys(left), func(a, b string) int { return cmp.Or(cmp.Compare(left[b], left[a]), cmp.Compare(a, b)) })
	jobs = slices.DeleteFunc(jobs, func(id string) bool { return left[id] < least })
	jobs = jobs[:min(n, len(jobs))]
	for _, id := range jobs {
		machines = append(machines, on[id]...)
	}
	slices.Sort(machines)
	return jobs, slices.Compact(machines)
}

// Finished reports whether all tasks of a job have completed.
func (c *Checker) Finished(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.submitted[job]
	for i := 0; j != nil && i < j.Tasks; i++ {
		if !c.finished[wire.TaskID{Job: job, Index: i}] {
			return false
		}
	}
	return j != nil
}

// checkZones checks where the tasks of a job are when one more starts.
func (c *Checker) checkZones(j *wire.Job, t wire.TaskID) {
	in := map[string]int{}
	for i := range j.Tasks {
		for _, zone := range c.placements[wire.TaskID{Job: j.ID, Index: i}] {
			in[zone]++
		}
	}
	for _, n := range in {
		if j.OneZone && len(in) > 1 || j.Spread && n > (j.Tasks+1)/2 {
			c.violate("wrong_place", "%v: the job's tasks are in %v", t, in)
			return
		}
	}
}

// Describe gives the description of a job that a user has submitted.
func (c *Checker) Describe(job string) (*wire.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.submitted[job]
	return j, j != nil
}

// Jobs names the jobs that users have submitted, in order.
func (c *Checker) Jobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.submitted))
}

// TaskStopped tells that a task is no longer on a machine.
func (c *Checker) TaskStopped(t wire.TaskID, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.placements[t][machine]; ok {
		c.checkCancelled(t, c.placements[t])
		if !c.finished[t] {
			c.Stopped++
		}
		delete(c.placements[t], machine)
		c.usedGPUs[c.submitted[t.Job].Team] -= c.submitted[t.Job].GPUs
	}
}

// TaskCompleted tells that a task has completed.
func (c *Checker) TaskCompleted(t wire.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished[t] = true
	if j := c.submitted[t.Job]; j.Shape == wire.Gang { // they complete together
		for i := range j.Tasks {
			c.finished[wire.TaskID{Job: t.Job, Index: i}] = true
		}
	}
}

// ObserveAnswer tells what a user was answered about a job: a status, and on success
// the stage. asked says whether the user had asked to cancel it.
func (c *Checker) ObserveAnswer(id string, status int, stage wire.Stage, asked bool) {
	now := time.Now()
	c.ObserveAnswerAt(id, status, stage, asked, now, now)
}

// answerOrder is when users were told what of a job, by one clock.
type answerOrder struct {
	accepted, final time.Time // the answer that said so first
	open            time.Time // the last question that was answered otherwise
}

// ObserveAnswerAt tells when the question was sent and the answer was there, by the clock of the users: of
// two that overlap either may be the older one, in whatever order they are told.
func (c *Checker) ObserveAnswerAt(id string, status int, stage wire.Stage, asked bool, sent, back time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, before := c.submitted[id], c.lastStage[id]
	if c.answers[id] == nil {
		c.answers[id] = &answerOrder{}
	}
	o := c.answers[id]
	c.cancelRequested[id] = c.cancelRequested[id] || asked
	switch {
	case j == nil && status == 200:
		c.violate("invented", "%s", id)
	case before != "" && !sent.Before(o.accepted) && (status == 404 || status == 400 || status == 422):
		c.violate("forgotten", "%s: %d", id, status)
	}
	if j == nil || status != 200 && status != 201 {
		return
	}
	if o.accepted.IsZero() || back.Before(o.accepted) {
		o.accepted = back
	}
	switch {
	case before.Final() && !stage.Final() && sent.Before(o.final):
		return // it left before that was told
	case before.Final() && stage != before, stage.Final() && !before.Final() && o.open.After(back), stage == wire.Cancelled && !asked:
		c.violate("went_back", "%s was %s, is called %s", id, before, stage)
	}
	if !stage.Final() {
		o.open = latest(o.open, sent)
	} else if o.final.IsZero() || back.Before(o.final) {
		o.final = back
	}
	if stage == wire.Done {
		for i := range j.Tasks {
			if !c.finished[wire.TaskID{Job: id, Index: i}] {
				c.violate("not_done", "%s/%d", id, i)
			}
		}
	}
	if stage == wire.Cancelled && before != wire.Cancelled {
		c.cancelled[id] = time.Now()
		c.Launches.Cancelled(time.Now(), id)
	}
	c.lastStage[id] = stage
}

// Counts tells how many tasks are on machines, and how many were started.
func (c *Checker) Counts() (running, started int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, where := range c.placements {
		running += len(where)
	}
	return running, c.Started
}

// Running counts the tasks of a job that are somewhere.
func (c *Checker) Running(job string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.placements {
		if t.Job == job && len(where) > 0 {
			n++
		}
	}
	return n
}

// Replicas tells how many tasks of a class are on machines, in each zone.
func (c *Checker) Replicas(class string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := map[string]int{}
	for t, where := range c.placements {
		for _, zone := range where {
			if c.submitted[t.Job].Class == class {
				in[zone]++
			}
		}
	}
	return in
}

// OpenJobs names the jobs whose users were not told that they are over, with what they were
// told.
func (c *Checker) OpenJobs() (jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.submitted {
		if !c.lastStage[id].Final() {
			jobs = append(jobs, id+" "+string(c.lastStage[id]))
		}
	}
	slices.Sort(jobs)
	return jobs
}

// Stage is what the user of a job was last told.
func (c *Checker) Stage(id string) wire.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStage[id]
}
