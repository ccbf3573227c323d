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

// demoTime bounds a demo.
const demoTime = 55 * time.Second

// demoJobs are one of each shape.
func demoJobs() []*wire.Job {
	job := func(id string, shape wire.Shape, tasks int, seconds float64) *wire.Job {
		return &wire.Job{ID: wire.JobPrefix + id, Class: "demo", Team: "red", Shape: shape, Priority: wire.Normal, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 4,
			Image: "demo", ImageGB: 1, EstimateS: seconds, Spot: shape == wire.Array}
	}
	array, gang, service := job("1", wire.Array, 12, 4), job("2", wire.Gang, 4, 6), job("3", wire.Service, 2, 0)
	gang.OneZone = true
	service.Spread, service.Priority = true, wire.Production
	return []*wire.Job{array, gang, service}
}

// Demo submits a job of each shape, kills the holder while they run, and shows that
// each still gets its answer, the same from every controller. An error says what was
// not so.
func (w *Cluster) Demo(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	begun := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%5.1f s  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
	}
	jobs := demoJobs()
	users := &simulator.Users{Dial: emulator.Dial, Judge: w.Liveness()}
	for i := range Controllers {
		users.Nodes = append(users.Nodes, w.Addr(i))
	}
	var asking sync.WaitGroup
	defer func() { cancel(); asking.Wait() }()
	asking.Go(func() { users.Run(ctx) })
	for i, j := range jobs {
		if status, _ := w.ask(ctx, i, "POST", wire.PathJobs, wire.Encode(j)); status != 201 {
			return fmt.Errorf("%s was answered %d", j.ID, status)
		}
		asking.Go(func() { users.Follow(ctx, j.ID) })
		say("submitted %s to %s: %s of %d tasks", j.ID, w.Addr(i), j.Shape, j.Tasks)
	}
	if err := w.waitUntil(ctx, func() bool {
		for i, j := range jobs {
			if s := w.status(ctx, i, j.ID); s.Running == 0 && s.Done == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return fmt.Errorf("not every job came to run: %w", err)
	}
	say("all of them run")
	holder, term, ok := w.Leader()
	if !ok {
		return errors.New("nobody holds the fleet")
	}
	w.Kill(holder)
	say("killed %s, which held the fleet under term %d", name(holder), term)
	now := holder
	if err := w.waitUntil(ctx, func() bool {
		i, t, ok := w.Leader()
		now = i
		return ok && t > term
	}); err != nil {
		return fmt.Errorf("nobody took the fleet over: %w", err)
	}
	say("%s holds it now", name(now))
	if err := w.Restart(holder); err != nil {
		return err
	}
	for i, j := range jobs[:2] {
		if err := w.waitUntil(ctx, func() bool { return w.status(ctx, holder+1+i, j.ID).Stage == wire.Done }); err != nil {
			return fmt.Errorf("%s is not done: %w", j.ID, err)
		}
		say("%s is done", j.ID)
	}
	if status, _ := w.ask(ctx, 0, "POST", wire.PathJobs+"/"+jobs[2].ID+"/"+wire.CancelWord, []byte{}); status != 200 {
		return fmt.Errorf("the cancellation of %s was answered %d", jobs[2].ID, status)
	}
	say("%s is cancelled", jobs[2].ID)
	if err := w.waitUntil(ctx, func() bool { return w.Ready(holder) }); err != nil {
		return fmt.Errorf("%s did not come back: %w", name(holder), err)
	}
	return w.checkUnchanged(ctx, jobs, say)
}

// checkUnchanged verifies that running tasks are where they were.
func (w *Cluster) checkUnchanged(ctx context.Context, jobs []*wire.Job, say func(string, ...any)) error {
	for _, j := range jobs {
		want := wire.Done
		if j.Shape == wire.Service {
			want = wire.Cancelled
		}
		for i := range Controllers {
			if s := w.status(ctx, i, j.ID); s.Stage != want {
				return fmt.Errorf("%s calls %s %s, not %s", w.Addr(i), j.ID, s.Stage, want)
			}
		}
	}
	s := w.Status()
	if len(s.Violations) > 0 {
		return errors.New(strings.Join(s.Violations, "\n"))
	}
	say("every controller gives the same answers; %d tasks were started, none twice at a time", s.StartedTasks)
	return nil
}

func (w *Cluster) status(ctx context.Context, first int, id string) (s wire.JobStatus) {
	if status, body := w.ask(ctx, first, "GET", wire.PathJobs+"/"+id, nil); status == 200 {
		_ = wire.Decode(body, &s)
	}
	return s
}

// waitUntil polls until a condition holds.
func (w *Cluster) waitUntil(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}
