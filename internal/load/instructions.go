package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/wire"
)

// followed is a job with its user, who may ask for several things at once.
type followed struct {
	n     int // of the controller that is asked first
	job   *wire.Job
	body  []byte      // of its submission
	asked atomic.Bool // to cancel it
	told  atomic.Bool // to do so, by the world's faults
}

// Ordered counts what users did since the world's faults had them do so.
type Ordered struct {
	Cancelled int `json:"cancelled"` // jobs that were to be
	Odd       int `json:"odd_requests"`
	Looks     int `json:"close_looks"` // answers
}

// obey does what the world's faults have users do, until the context ends.
func (r *Runner) obey(ctx context.Context) {
	if r.Judge == "" {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for beat := 0; ctx.Err() == nil; beat++ {
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := r.Caller.Call(call, r.Judge, "GET", emulator.PathUsers, nil)
		cancel()
		var o emulator.Orders
		if err != nil || json.Unmarshal(resp.Body, &o) != nil {
			pause(ctx, time.Second)
			continue
		}
		r.mu.Lock()
		r.orders = o
		var called []*followed
		for _, id := range o.Cancel {
			if f := r.jobs[id]; f != nil {
				called = append(called, f)
			}
		}
		r.ordered.Cancelled += len(called)
		r.mu.Unlock()
		for k, f := range called {
			f.told.Store(true) // also again, until it is answered
			group.Go(func() {
				r.call(ctx, f.n+k, f, opAbort)
				r.look(ctx, f)
			})
		}
		if o.OddRequest {
			group.Go(func() { r.oddRequests(ctx, beat) })
		}
	}
}

// look has a user ask all controllers at once, and submit the job again, if it is time for close
// looks.
func (r *Runner) look(ctx context.Context, f *followed) {
	r.mu.Lock()
	looks := r.orders.CloseLooks
	r.mu.Unlock()
	if !looks {
		return
	}
	var all sync.WaitGroup
	for i := range r.Addrs {
		for _, op := range []opKind{opStatus, opSubmit, opStatus} {
			all.Go(func() {
				if status, _ := r.call(ctx, i, f, op); status > 0 {
					r.mu.Lock()
					r.ordered.Looks++
					r.mu.Unlock()
				}
			})
		}
	}
	all.Wait()
}

// oddRequests repeats submissions of jobs that are known, cancels one that is done, and submits one
// that lacks a field and one that fits no machine.
func (r *Runner) oddRequests(ctx context.Context, beat int) {
	r.mu.Lock()
	var live, over *followed
	for id, f := range r.jobs { // in no order
		if r.history.stage(id) == wire.Done {
			over = f
		} else {
			live = f
		}
	}
	r.odd += 2
	odd := r.odd
	r.ordered.Odd += 2
	for _, f := range []*followed{live, over} {
		if f != nil {
			r.ordered.Odd++
		}
	}
	r.mu.Unlock()
	if live != nil {
		r.call(ctx, beat, live, opSubmit)
	}
	if over != nil {
		r.call(ctx, beat, over, opAbort)
	}
	fields := []string{"uid", "breed", "keeper", "shape", "rank", "cells", "vcpus", "accelerators", "mem_gb", "comb", "image_gb", "one_zone", "spread", "borrowed", "expect_s", "capping_s", "seal_s"}
	for k, change := range []func(m map[string]any){
		func(m map[string]any) { delete(m, fields[beat%len(fields)]) },
		func(m map[string]any) { m[[]string{"vcpus", "mem_gb"}[beat%2]] = 1e8 },
	} {
		j := r.Mix.Classes[beat%len(r.Mix.Classes)].Template
		j.ID, j.Tasks = fmt.Sprintf("%s%s8%05d", wire.JobPrefix, r.Prefix, odd+k), 1
		var m map[string]any
		if wire.Decode(wire.Encode(j), &m) != nil {
			continue
		}
		change(m)
		body := wire.Encode(m)
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := r.Caller.Call(call, r.Addrs[(beat+k)%len(r.Addrs)], "POST", wire.PathJobs, body)
		cancel()
		if err == nil {
			r.tell(emulator.Told{Job: j.ID, Status: resp.Status, Body: body})
		}
	}
}
