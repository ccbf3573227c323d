package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// demoTimeout is the maximum duration of a demo.
const demoTimeout = 55 * time.Second

// demoJobs returns one job of each shape.
func demoJobs() []*wire.Job {
	job := func(id string, shape wire.Shape, tasks int, seconds float64) *wire.Job {
		return &wire.Job{ID: wire.JobIDPrefix + id, Class: "demo", Team: "red", Shape: shape, Priority: wire.Normal, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 4,
			Image: "demo", ImageGB: 1, EstimateS: seconds, Spot: shape == wire.Array}
	}
	array, gang, service := job("1", wire.Array, 12, 4), job("2", wire.Gang, 4, 6), job("3", wire.Service, 2, 0)
	gang.OneZone = true
	service.Spread, service.Priority = true, wire.Production
	return []*wire.Job{array, gang, service}
}

// demo is one run of the demonstration.
type demo struct {
	*Cluster
	jobs   []*wire.Job
	printf func(format string, args ...any)
}

// Demo submits a job of each shape, kills the leader while they run, and shows that the array and the gang
// complete and that every controller reports the same final stages. The error names the step that failed.
func (c *Cluster) Demo(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	begun := time.Now()
	d := &demo{c, demoJobs(), func(format string, args ...any) {
		fmt.Fprintf(out, "%5.1f s  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
	}}
	users := &simulator.Users{Dial: emulator.Dial, Liveness: c.Liveness()}
	for i := range Controllers {
		users.Controllers = append(users.Controllers, c.Addr(i))
	}
	var polling sync.WaitGroup
	defer func() { cancel(); polling.Wait() }()
	polling.Go(func() { users.Run(ctx) })
	follow := func(id string) { polling.Go(func() { users.Follow(ctx, id) }) }
	if err := d.submit(ctx, follow); err != nil {
		return err
	}
	killed, err := d.killLeader(ctx)
	if err != nil {
		return err
	}
	return d.finish(ctx, killed)
}

// submit submits each job to a different controller and waits until all have started.
func (d *demo) submit(ctx context.Context, follow func(id string)) error {
	for i, j := range d.jobs {
		if status, _ := d.request(ctx, i, "POST", wire.PathJobs, wire.Encode(j)); status != 201 {
			return fmt.Errorf("submitting %s returned status %d", j.ID, status)
		}
		follow(j.ID)
		d.printf("submitted %s to %s: %s of %d tasks", j.ID, d.Addr(i), j.Shape, j.Tasks)
	}
	if err := d.waitUntil(ctx, func() bool {
		for i, j := range d.jobs {
			if s := d.status(ctx, i, j.ID); s.Running == 0 && s.Done == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return fmt.Errorf("not every job started: %w", err)
	}
	d.printf("all jobs are running")
	return nil
}

// killLeader kills the leader, waits until another controller is elected, and restarts the killed controller.
func (d *demo) killLeader(ctx context.Context) (killed int, err error) {
	killed, token, ok := d.Leader()
	if !ok {
		return 0, errors.New("the fleet has no leader")
	}
	d.Kill(killed)
	d.printf("killed %s, the leader of the fleet with fencing token %d", controllerName(killed), token)
	newLeader := killed
	if err := d.waitUntil(ctx, func() bool {
		i, newToken, ok := d.Leader()
		newLeader = i
		return ok && newToken > token
	}); err != nil {
		return 0, fmt.Errorf("no other controller became the leader: %w", err)
	}
	d.printf("%s is the leader now", controllerName(newLeader))
	return killed, d.Restart(killed)
}

// finish waits until the array and the gang are done, cancels the service, waits until the killed controller is ready
// again, and checks the final stages.
func (d *demo) finish(ctx context.Context, killed int) error {
	for i, j := range d.jobs[:2] {
		if err := d.waitUntil(ctx, func() bool { return d.status(ctx, killed+1+i, j.ID).Stage == wire.Done }); err != nil {
			return fmt.Errorf("%s is not done: %w", j.ID, err)
		}
		d.printf("%s is done", j.ID)
	}
	service := d.jobs[2].ID
	if status, _ := d.request(ctx, 0, "POST", wire.PathJobs+"/"+service+"/"+wire.CancelPathSuffix, []byte{}); status != 200 {
		return fmt.Errorf("cancelling %s returned status %d", service, status)
	}
	d.printf("%s is cancelled", service)
	if err := d.waitUntil(ctx, func() bool { return d.Ready(ctx, killed) }); err != nil {
		return fmt.Errorf("%s was not ready again: %w", controllerName(killed), err)
	}
	return d.checkFinalStages(ctx)
}

// checkFinalStages verifies that every controller reports the same final stage of each job, and that the
// emulated cluster found no violated rule.
func (d *demo) checkFinalStages(ctx context.Context) error {
	for _, j := range d.jobs {
		want := wire.Done
		if j.Shape == wire.Service {
			want = wire.Cancelled
		}
		for i := range Controllers {
			if s := d.status(ctx, i, j.ID); s.Stage != want {
				return fmt.Errorf("%s reports %s as %s, not %s", d.Addr(i), j.ID, s.Stage, want)
			}
		}
	}
	s := d.Status()
	if len(s.Violations) > 0 {
		return errors.New(strings.Join(s.Violations, "\n"))
	}
	d.printf("every controller gives the same answers; %d tasks were started, none twice at a time", s.StartedTasks)
	return nil
}

func (c *Cluster) status(ctx context.Context, first int, id string) (s wire.JobStatus) {
	if status, body := c.request(ctx, first, "GET", wire.PathJobs+"/"+id, nil); status == 200 {
		_ = wire.Decode(body, &s)
	}
	return s
}

// waitUntil polls a condition until it holds or the context ends.
func (c *Cluster) waitUntil(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}
