package main

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/wire"
)

const (
	// looseTasks is the number of tasks of an array of tiny tasks. All of them have room on one machine together.
	looseTasks = 60
	// looseHold is how long the one direct call is held up.
	looseHold = 3 * time.Second
)

// looseSettings returns a deployment with one machine that is up; the cloud has more.
func looseSettings() settings {
	s := smallDeployment()
	s.capacity["north"], s.capacity["east"], s.upAtStart["north"] = 4, 4, 1
	return s
}

// playLoose submits an array of tiny tasks, for which the machine has room. With trouble, the first direct call that launches
// tasks is held up for 3 s on its way, and carried out then.
func playLoose(ctx context.Context, w *world, trouble bool) error {
	u := newUser(w)
	if err := u.awaitReady(ctx); err != nil {
		return err
	}
	held, over := false, make(chan struct{})
	m := w.cloud.machines()[0]
	m.mu.Lock()
	m.hold = func(call wire.CommandRequest) time.Duration {
		if !trouble || held || len(call.Commands) == 0 || call.Commands[0].Verb != wire.Launch {
			return 0
		}
		held = true
		time.AfterFunc(looseHold+500*time.Millisecond, func() { close(over) })
		return looseHold
	}
	m.mu.Unlock()
	pings := &job{Job: wire.Job{ID: "wk-000101", Class: "pings", Team: "guests", Shape: wire.Array, Priority: wire.Normal, Tasks: looseTasks,
		CPUs: 0.5, MemoryGB: 1, Image: "img-1", ImageGB: 0.1, EstimateS: 2}, run: 2 * time.Second}
	if err := u.submit(ctx, pings); err != nil {
		return err
	}
	if trouble {
		select {
		case <-over:
		case <-time.After(15 * time.Second):
			return errNotDone
		}
		w.rec.printf("the trouble is over")
	}
	return awaitDone(ctx, w, u, pings)
}
