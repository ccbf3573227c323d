package main

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// errNotDone says that what should happen before the judged part did not.
var errNotDone = errors.New("the jobs before the judged one did not get as far as the case needs")

// leftWaiting is how long a job may wait once all troubles are over while a machine has room for it.
const leftWaiting = 90 * time.Second

// pollInterval is the time between two questions of a user.
const pollInterval = 5 * time.Second

// awaitDone waits until a job is called done. The rule is broken if the job is not done and none of its tasks is on
// any machine for 90 s, while one and the same machine that it may use has had room for it all that time. All troubles
// must be over when it is called.
func awaitDone(ctx context.Context, w *world, u *user, j *job) error {
	begun, asked := time.Now(), time.Time{}
	nowhereSince, withRoom := begun, machineIDs(w)
	for {
		if placed(w, j) {
			nowhereSince, withRoom = time.Now(), machineIDs(w)
		}
		for id := range withRoom {
			if !hasRoom(w, id, j) {
				delete(withRoom, id)
			}
		}
		if time.Since(asked) > pollInterval {
			asked = time.Now()
			if _, stage := u.ask(ctx, j.ID); stage == wire.Done {
				w.rec.printf("%s is done", j.ID)
				return nil
			}
		}
		if time.Since(nowhereSince) >= leftWaiting {
			break
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	if err := w.running(); err != nil {
		return err
	}
	for id := range withRoom {
		return brokenf("%s was accepted, is not done, and is on no machine for %v, while %s had room for it all the time", j.ID, leftWaiting, id)
	}
	return errors.New("no machine had room for all of the time")
}

// machineIDs returns the machines that are up.
func machineIDs(w *world) map[string]bool {
	out := map[string]bool{}
	for _, m := range w.cloud.machines() {
		out[m.id] = true
	}
	return out
}

// placed reports whether a task of a job is on a machine, its fetch included.
func placed(w *world, j *job) bool {
	for _, m := range w.cloud.machines() {
		for _, state := range []wire.TaskState{wire.TaskFetching, wire.TaskRunning, wire.TaskSaving} {
			if m.count(j.ID, state, "") > 0 {
				return true
			}
		}
	}
	return false
}

// hasRoom reports whether a machine is rented and up and has room for a task of a job.
func hasRoom(w *world, id string, j *job) bool {
	for _, m := range w.cloud.machines() {
		if m.id == id {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.refusal(&task{job: j}) == ""
		}
	}
	return false
}
