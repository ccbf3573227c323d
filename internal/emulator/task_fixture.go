package emulator

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// taskFixture determines how long tasks run: as long as the job estimates, or until they are stopped if they belong to
// a service. It looks up unknown jobs at the controllers, in place of a platform that uploads the work, and checks the
// rules of the protocol.
type taskFixture struct {
	*simulator.Checker
	cluster *Cluster
	caller  *transport.Client
}

// newTaskFixture returns the fixture of a cluster.
func newTaskFixture(cluster *Cluster) *taskFixture {
	limits, teams := make(map[string]float64), make(map[string]simulator.TeamLimit)
	for _, t := range cluster.Config.Teams {
		limits[t.Name], teams[t.Name] = t.GPUsMax, simulator.TeamLimit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
	}
	c := simulator.NewChecker(cluster.Config.Workers.CancelTimeout, limits)
	c.Submissions, c.Starvation.Limits = simulator.SubmissionRules{Types: cluster.Config.Types, Teams: teams}, teams
	return &taskFixture{Checker: c, cluster: cluster, caller: &transport.Client{MaxBody: 1 << 20, Dial: Dial}}
}

// TaskStarted implements simulator.Fixture.
func (f *taskFixture) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	if started := f.cluster.opt.OnTaskStart; started != nil {
		started(t)
	}
	return f.Checker.TaskStarted(t, machine, typ, zone, spot)
}

// TaskCompleted implements simulator.Fixture.
func (f *taskFixture) TaskCompleted(t wire.TaskID) {
	f.Checker.TaskCompleted(t)
	if f.Finished(t.Job) {
		f.cluster.users.jobEnded(t.Job)
	}
}

// LookUp implements simulator.LookupFixture.
func (f *taskFixture) LookUp(ctx context.Context, t wire.TaskID) error {
	for attempt := 0; ; attempt++ {
		if _, known := f.Describe(t.Job); known {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		resp, err := f.caller.Call(call, f.cluster.PublicAddr((t.Index+attempt)%f.cluster.Config.Controllers), "GET", wire.PathJobs+"/"+t.Job+"/"+wire.WorkPathSuffix, nil)
		cancel()
		var j wire.Job
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &j) == nil:
			f.recordSubmission(&j)
			return nil
		case err == nil && resp.Status == 404 && attempt > 2, ctx.Err() != nil, attempt > 30:
			return fmt.Errorf("job %s is not known", t.Job)
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// recordSubmission records a job and its run time, unless the job is known already.
func (f *taskFixture) recordSubmission(j *wire.Job) {
	if _, known := f.Describe(j.ID); known {
		return
	}
	runTime := max(100*time.Millisecond, j.Estimate())
	if j.Shape == wire.Service {
		runTime = 10_000 * time.Hour
	}
	f.Submitted(j, runTime)
	if f.cluster.users.drawMistaken(j.ID) {
		f.SetMistaken(j.ID, mistakenRunTime)
	}
}

// mistakenRunTime is how long a task of a job that was submitted with a mistake runs before it fails.
const mistakenRunTime = 500 * time.Millisecond
