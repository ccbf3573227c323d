package simulator

import (
	"cmp"
	"context"
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

	mu              sync.Mutex
	submitted       map[string]*wire.Job
	runTimes        map[string]time.Duration
	taskRunTimes    map[string][]time.Duration        // of jobs whose tasks differ
	placements      map[wire.TaskID]map[string]string // machine to zone
	startedAt       map[wire.TaskID]time.Time         // the last start
	finished        map[wire.TaskID]bool
	lastStage       map[string]wire.Stage
	cancelled       map[string]time.Time // when the user was told
	usedGPUs        map[string]float64
	answers         map[string]*answerOrder
	cancelRequested map[string]bool // jobs with an answered request to cancel them
	valid           map[string]bool // submissions that have to be accepted
	violations      []string
	Started         int
	Stopped         int // tasks that were stopped before their completion
}

// NewChecker returns a checker without observations. cancel is the time within which a cancelled
// job has to be gone; limits are GPUs by team.
func NewChecker(cancel time.Duration, limits map[string]float64) *Checker {
	return &Checker{CancelWithin: cancel, GPULimits: limits, submitted: map[string]*wire.Job{}, runTimes: map[string]time.Duration{}, taskRunTimes: map[string][]time.Duration{},
		placements: map[wire.TaskID]map[string]string{}, finished: map[wire.TaskID]bool{}, lastStage: map[string]wire.Stage{},
		cancelled: map[string]time.Time{}, usedGPUs: map[string]float64{}, cancelRequested: map[string]bool{},
		startedAt: map[wire.TaskID]time.Time{}, answers: map[string]*answerOrder{}}
}

// violate records a violation of a rule.
func (c *Checker) violate(rule, format string, args ...any) {
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

// checkCancelled records a violation if a task still runs too long after its cancellation.
func (c *Checker) checkCancelled(t wire.TaskID, where map[string]string) {
	if at, ok := c.cancelled[t.Job]; ok && len(where) > 0 && time.Since(at) > c.CancelWithin {
		c.violate("ran_cancelled", "%v is on %v %v after its user was told", t, where, time.Since(at))
	}
}

// Submitted is called when a user submits a job, with the run time of its tasks.
func (c *Checker) Submitted(j *wire.Job, run time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted[j.ID], c.runTimes[j.ID] = j, run
}

// SetTaskRunTimes sets the run time of each task of a job that is yet to be submitted.
func (c *Checker) SetTaskRunTimes(job string, run ...time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskRunTimes[job] = run
}

// TaskStarted implements Fixture: it checks a start against every rule and returns the task's run
// time.
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

// runs returns a task's run time.
func (c *Checker) runs(t wire.TaskID) time.Duration {
	if each := c.taskRunTimes[t.Job]; len(each) > 0 {
		return each[t.Index%len(each)]
	}
	return c.runTimes[t.Job]
}

// LongRunning returns up to n jobs whose tasks still have at least that long to run.
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

// checkZones verifies the zone constraints of a job's running tasks.
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

// TaskStopped implements Fixture.
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

// TaskCompleted implements Fixture.
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

// ObserveAnswer is called with each answer to a user, whose request and answer are taken to have
// no duration. cancelRequested is true if this user has asked to cancel the job.
func (c *Checker) ObserveAnswer(id string, status int, stage wire.Stage, asked bool) {
	now := time.Now()
	c.ObserveAnswerAt(id, status, stage, asked, now, now)
}

// answerOrder keeps the times by which answers about a job were given, to recognise answers that
// contradict earlier ones.
type answerOrder struct {
	accepted, final time.Time // the answer that said so first
	open            time.Time // the last question that was answered otherwise
}

// ObserveAnswerAt is ObserveAnswer with the times at which the request was sent and answered:
// answers to overlapping requests may contradict each other.
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
	if before.Final() && !stage.Final() && sent.Before(o.final) {
		return // the request was sent before the end was reported
	}
	if o.contradicts(before, stage, back) || stage == wire.Cancelled && !asked {
		c.violate("went_back", "%s was %s, is called %s", id, before, stage)
	}
	if !stage.Final() {
		o.open = latest(o.open, sent)
	} else if o.final.IsZero() || back.Before(o.final) {
		o.final = back
	}
	c.advance(j, before, stage)
}

// contradicts reports whether a stage, answered at a time, contradicts the one that was reported
// before.
func (o *answerOrder) contradicts(before, stage wire.Stage, back time.Time) bool {
	return before.Final() && stage != before || stage.Final() && !before.Final() && o.open.After(back)
}

// advance records the stage that was answered for a job: one that is done may have no task left, one
// that is cancelled may start none.
func (c *Checker) advance(j *wire.Job, before, stage wire.Stage) {
	if stage == wire.Done {
		for i := range j.Tasks {
			if !c.finished[wire.TaskID{Job: j.ID, Index: i}] {
				c.violate("not_done", "%s/%d", j.ID, i)
			}
		}
	}
	if stage == wire.Cancelled && before != wire.Cancelled {
		c.cancelled[j.ID] = time.Now()
		c.Launches.Cancelled(time.Now(), j.ID)
	}
	c.lastStage[j.ID] = stage
}

// Counts returns how many tasks run and have started.
func (c *Checker) Counts() (running, started int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, where := range c.placements {
		running += len(where)
	}
	return running, c.Started
}

// Running returns the running tasks of a job.
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

// Replicas counts the running tasks of services of a class.
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

// OpenJobs lists the jobs without a final answer.
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

// Stage returns the last stage that was answered for a job.
func (c *Checker) Stage(id string) wire.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStage[id]
}

// sampleInterval is how often the machines are sampled.
const sampleInterval = 3 * time.Second

// WatchMachines samples the cloud's machines until the context ends.
func (c *Checker) WatchMachines(ctx context.Context, cloud *Cloud) {
	for ctx.Err() == nil {
		wait(ctx, sampleInterval)
		if now := time.Now(); ctx.Err() == nil && c.Starvation.IsQuiet(now) {
			c.sampleMachines(now, cloud)
		}
	}
}

// sampleMachines passes one sample of machines, jobs and quota use to the starvation checker.
func (c *Checker) sampleMachines(now time.Time, cloud *Cloud) {
	var places []MachineState
	on := map[string]map[int]string{}
	put := func(t wire.TaskID, zone string) {
		if on[t.Job] == nil {
			on[t.Job] = map[int]string{}
		}
		on[t.Job][t.Index] = zone
	}
	cloud.EachRunning(func(_ wire.ListedMachine, m Machine) {
		if w, is := m.(StateReporter); is {
			p, ok := w.State()
			for _, t := range p.Tasks {
				put(t, p.Zone)
			}
			if ok {
				places = append(places, p)
			}
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.placements {
		for _, zone := range where {
			put(t, zone)
		}
	}
	used := map[string]TeamLimit{}
	for id, tasks := range on {
		if j := c.submitted[id]; j != nil {
			u, n := used[j.Team], float64(len(tasks))
			used[j.Team] = TeamLimit{u.CPUs + n*j.CPUs, u.GPUs + n*j.GPUs}
		}
	}
	var jobs []PendingJob
	for _, id := range slices.Sorted(maps.Keys(c.submitted)) {
		if c.lastStage[id] == "" || c.lastStage[id].Final() || c.cancelRequested[id] {
			continue
		}
		jobs = append(jobs, PendingJob{Job: c.submitted[id], Placed: on[id], Finished: func(i int) bool { return c.finished[wire.TaskID{Job: id, Index: i}] }})
	}
	c.Starvation.Sample(now, places, jobs, used)
}

// SetQuietSince tells all checkers since when no fault is active; a zero time means that there are
// faults.
func (c *Checker) SetQuietSince(since time.Time) {
	c.Liveness.SetQuietSince(since)
	c.Launches.SetQuietSince(since)
	c.Starvation.SetQuietSince(since)
}
