package main

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// avoidSettings returns a deployment with two machines in two zones, which are up; the cloud has no more.
func avoidSettings() settings { return cordonSettings() }

// playAvoid has two services with a replica on each machine. With trouble, one replica fails once. The rule is broken
// if it is on no machine for 90 s while a machine that the service may use has had room for it all the time.
func playAvoid(ctx context.Context, w *world, trouble bool) error {
	u := newUser(w)
	if err := u.awaitReady(ctx); err != nil {
		return err
	}
	var services []*job
	for _, id := range []string{"wk-000301", "wk-000302"} {
		j := &job{Job: wire.Job{ID: id, Class: "alerts", Team: "alerts", Shape: wire.Service, Priority: wire.Production, Tasks: 2,
			CPUs: 5, GPUs: 1, MemoryGB: 29, Image: "img-1", ImageGB: 0.2, Spread: true}}
		if err := u.submit(ctx, j); err != nil {
			return err
		}
		services = append(services, j)
	}
	if !waitUntil(ctx, 20*time.Second, func() bool { return runningOn(w, services[0]) == 2 && runningOn(w, services[1]) == 2 }) {
		return errNotDone
	}
	if !sleep(ctx, 2*time.Second) {
		return ctx.Err()
	}
	failed := w.cloud.machines()[1]
	if trouble {
		failed.fail(services[0].ID)
	}
	return awaitReplicas(ctx, w, u, services[0])
}

// runningOn returns on how many machines a task of a job runs.
func runningOn(w *world, j *job) (n int) {
	for _, m := range w.cloud.machines() {
		n += min(1, m.count(j.ID, wire.TaskRunning, ""))
	}
	return n
}

// steadyFor is how long all replicas must run for the rule to hold.
const steadyFor = 10 * time.Second

// awaitReplicas waits until all replicas of a service, each on a machine of its own, have run for a while. The rule is
// broken if one is on no machine for 90 s while a machine in whose zone no other replica is has room all the time.
func awaitReplicas(ctx context.Context, w *world, u *user, j *job) error {
	missing, complete, asked := time.Now(), time.Now(), time.Time{}
	withRoom := machineIDs(w)
	for time.Since(missing) < leftWaiting {
		if placedOn(w, j) == j.Tasks {
			missing, withRoom = time.Now(), machineIDs(w)
			if time.Since(complete) > steadyFor {
				w.rec.printf("all replicas of %s run", j.ID)
				return nil
			}
		} else {
			complete = time.Now()
			for id := range withRoom {
				if !hasRoom(w, id, j) || zoneTaken(w, id, j) {
					delete(withRoom, id)
				}
			}
		}
		if time.Since(asked) > pollInterval {
			asked = time.Now()
			u.ask(ctx, j.ID)
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	if err := w.running(); err != nil {
		return err
	}
	for id := range withRoom {
		return brokenf("a replica of %s is on no machine for %v, while %s had room for it all the time", j.ID, leftWaiting, id)
	}
	return errors.New("no machine had room for all of the time")
}

// placedOn returns on how many machines a task of a job is, its fetch included.
func placedOn(w *world, j *job) (n int) {
	for _, m := range w.cloud.machines() {
		n += min(1, m.count(j.ID, wire.TaskFetching, "")+m.count(j.ID, wire.TaskRunning, ""))
	}
	return n
}

// zoneTaken reports whether a task of a job is in the zone of a machine.
func zoneTaken(w *world, id string, j *job) bool {
	machines := w.cloud.machines()
	for _, m := range machines {
		for _, other := range machines {
			if m.id == id && other.zone == m.zone && other.count(j.ID, wire.TaskFetching, "")+other.count(j.ID, wire.TaskRunning, "") > 0 {
				return true
			}
		}
	}
	return false
}
