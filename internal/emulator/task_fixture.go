package emulator

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// taskFixture determines how long tasks run: as long as their owners estimate, services until they
// are stopped. It looks jobs up at the controllers, as a platform would upload them, and checks
// the rules of the protocol.
type taskFixture struct {
	*simulator.Checker
	cluster *Cluster
	caller  *transport.Caller
}

// newTaskFixture returns the fixture of a cluster.
func newTaskFixture(w *Cluster) *taskFixture {
	limits, teams := make(map[string]float64), make(map[string]simulator.TeamLimit)
	for _, t := range w.Config.Teams {
		limits[t.Name], teams[t.Name] = t.GPUsMax, simulator.TeamLimit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
	}
	c := simulator.NewChecker(w.Config.Workers.Cancel, limits)
	c.Submissions, c.Starvation.Limits = simulator.SubmissionRules{Types: w.Config.Types, Teams: teams}, teams
	return &taskFixture{Checker: c, cluster: w, caller: &transport.Caller{MaxBody: 1 << 20, Dial: Dial}}
}

// TaskStarted implements simulator.Fixture.
func (l *taskFixture) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	if started := l.cluster.opt.OnTaskStart; started != nil {
		started(t)
	}
	return l.Checker.TaskStarted(t, machine, typ, zone, spot)
}

// TaskCompleted implements simulator.Fixture.
func (l *taskFixture) TaskCompleted(t wire.TaskID) {
	l.Checker.TaskCompleted(t)
	if l.Finished(t.Job) {
		l.cluster.users.jobEnded(t.Job)
	}
}

// LookUp implements simulator.LookupFixture.
func (l *taskFixture) LookUp(ctx context.Context, t wire.TaskID) error {
	for try := 0; ; try++ {
		if _, known := l.Describe(t.Job); known {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		resp, err := l.caller.Call(call, l.cluster.Public((t.Index+try)%l.cluster.Config.Controllers), "GET", wire.PathJobs+"/"+t.Job+"/"+wire.WorkWord, nil)
		cancel()
		var j wire.Job
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &j) == nil:
			l.recordSubmission(&j)
			return nil
		case err == nil && resp.Status == 404 && try > 2, ctx.Err() != nil, try > 30:
			return fmt.Errorf("job %s is not known", t.Job)
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// recordSubmission records a job, once.
func (l *taskFixture) recordSubmission(j *wire.Job) {
	if _, known := l.Describe(j.ID); known {
		return
	}
	run := max(100*time.Millisecond, j.Estimate())
	if j.Shape == wire.Service {
		run = 10_000 * time.Hour
	}
	l.Submitted(j, run)
}
