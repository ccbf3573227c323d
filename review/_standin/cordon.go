package main

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// cordonSettings returns a deployment with two machines, which are up; the cloud has no more.
func cordonSettings() settings {
	s := smallDeployment()
	for _, zone := range []string{"north", "east"} {
		s.capacity[zone], s.upAtStart[zone] = 1, 1
	}
	return s
}

// playCordon has a service with a replica on each machine. With trouble, two jobs that were submitted with a mistake
// fail on every machine until their users call them off. Then a sound job is submitted, for which each machine has
// room.
func playCordon(ctx context.Context, w *world, trouble bool) error {
	u := newUser(w)
	if err := u.awaitReady(ctx); err != nil {
		return err
	}
	alert := &job{Job: wire.Job{ID: "wk-000201", Class: "alerts", Team: "alerts", Shape: wire.Service, Priority: wire.Production, Tasks: 2,
		CPUs: 5, GPUs: 1, MemoryGB: 29, Image: "img-1", ImageGB: 0.2, Spread: true}}
	if err := u.submit(ctx, alert); err != nil {
		return err
	}
	if !waitUntil(ctx, 20*time.Second, func() bool {
		for _, m := range w.cloud.machines() {
			if m.count(alert.ID, wire.TaskRunning, "") == 0 {
				return false
			}
		}
		return true
	}) {
		return errNotDone
	}
	if trouble {
		if err := failMistaken(ctx, w, u); err != nil {
			return err
		}
	}
	sound := &job{Job: wire.Job{ID: "wk-000204", Class: "forecasts", Team: "forecasts", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
		CPUs: 6, GPUs: 1, MemoryGB: 36, Image: "img-2", ImageGB: 0.2, EstimateS: 5}, run: 5 * time.Second}
	if err := u.submit(ctx, sound); err != nil {
		return err
	}
	return awaitDone(ctx, w, u, sound)
}

// failMistaken has two mistaken jobs of one task each fail on both machines, and calls them off.
func failMistaken(ctx context.Context, w *world, u *user) error {
	var mistaken []*job
	for i := range 2 {
		j := &job{Job: wire.Job{ID: fmt.Sprintf("wk-00020%d", 2+i), Class: "forecasts", Team: "forecasts", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
			CPUs: 6, GPUs: 1, MemoryGB: 36, Image: "img-2", ImageGB: 0.2, EstimateS: 5}, mistaken: true}
		if err := u.submit(ctx, j); err != nil {
			return err
		}
		mistaken = append(mistaken, j)
	}
	if !waitUntil(ctx, 25*time.Second, func() bool {
		for _, m := range w.cloud.machines() {
			for _, j := range mistaken {
				if !m.hasFailed(j.ID) {
					return false
				}
			}
		}
		return true
	}) {
		return errNotDone
	}
	if !sleep(ctx, 2*time.Second) {
		return ctx.Err()
	}
	for _, j := range mistaken {
		if _, err := u.cancel(ctx, j.ID); err != nil {
			return err
		}
	}
	return nil
}
