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

// trackedJob is a job with its user, who may make several requests at once.
type trackedJob struct {
	firstController int // the first that is asked
	job             *wire.Job
	body            []byte      // of its submission
	cancelRequested atomic.Bool // to cancel it
	toldToCancel    atomic.Bool // instructed to do so by a fault of the cluster
}

// InstructionCounts counts what users did on the cluster's instructions.
type InstructionCounts struct {
	Cancelled         int `json:"cancelled"` // jobs
	MalformedRequests int `json:"odd_requests"`
	ConcurrentReads   int `json:"close_looks"` // answers
}

// followInstructions does what the cluster's faults have users do, until the context ends.
func (r *Runner) followInstructions(ctx context.Context) {
	if r.JudgeAddr == "" {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := r.Caller.Call(call, r.JudgeAddr, "GET", emulator.PathUserInstructions, nil)
		cancel()
		var o emulator.UserInstructions
		if err != nil || json.Unmarshal(resp.Body, &o) != nil {
			pause(ctx, time.Second)
			continue
		}
		r.mu.Lock()
		r.instructions = o
		var toCancel []*trackedJob
		for _, id := range o.Cancel {
			if tracked := r.jobs[id]; tracked != nil {
				toCancel = append(toCancel, tracked)
			}
		}
		r.instructionCounts.Cancelled += len(toCancel)
		r.mu.Unlock()
		for k, tracked := range toCancel {
			tracked.toldToCancel.Store(true) // also again, until it is answered
			group.Go(func() {
				r.call(ctx, tracked.firstController+k, tracked, opCancel)
				r.readConcurrently(ctx, tracked)
			})
		}
		if o.MalformedRequests {
			group.Go(func() { r.sendMalformedRequests(ctx, round) })
		}
	}
}

// readConcurrently asks all controllers about a job at once, and submits it again, while the
// cluster's instructions ask for that.
func (r *Runner) readConcurrently(ctx context.Context, tracked *trackedJob) {
	r.mu.Lock()
	requested := r.instructions.ConcurrentReads
	r.mu.Unlock()
	if !requested {
		return
	}
	var all sync.WaitGroup
	for i := range r.Addrs {
		for _, op := range []opKind{opStatus, opSubmit, opStatus} {
			all.Go(func() {
				if status, _ := r.call(ctx, i, tracked, op); status > 0 {
					r.mu.Lock()
					r.instructionCounts.ConcurrentReads++
					r.mu.Unlock()
				}
			})
		}
	}
	all.Wait()
}

// sendMalformedRequests repeats submissions of known jobs, cancels a job that is done, and submits a
// job without a required field and one that fits no machine.
func (r *Runner) sendMalformedRequests(ctx context.Context, round int) {
	r.mu.Lock()
	var liveJob, endedJob *trackedJob
	for id, tracked := range r.jobs { // in no order
		if r.history.lastStage(id) == wire.Done {
			endedJob = tracked
		} else {
			liveJob = tracked
		}
	}
	r.malformedSubmissions += 2
	firstNumber := r.malformedSubmissions
	r.instructionCounts.MalformedRequests += 2
	for _, tracked := range []*trackedJob{liveJob, endedJob} {
		if tracked != nil {
			r.instructionCounts.MalformedRequests++
		}
	}
	r.mu.Unlock()
	if liveJob != nil {
		r.call(ctx, round, liveJob, opSubmit)
	}
	if endedJob != nil {
		r.call(ctx, round, endedJob, opCancel)
	}
	fields := []string{"uid", "breed", "keeper", "shape", "rank", "cells", "vcpus", "accelerators", "mem_gb", "comb", "image_gb", "one_zone", "spread", "borrowed", "expect_s", "capping_s", "seal_s"}
	for k, change := range []func(m map[string]any){
		func(m map[string]any) { delete(m, fields[round%len(fields)]) },
		func(m map[string]any) { m[[]string{"vcpus", "mem_gb"}[round%2]] = 1e8 },
	} {
		j := r.Mix.Classes[round%len(r.Mix.Classes)].Template
		j.ID, j.Tasks = fmt.Sprintf("%s%s8%05d", wire.JobPrefix, r.Prefix, firstNumber+k), 1
		var m map[string]any
		if wire.Decode(wire.Encode(j), &m) != nil {
			continue
		}
		change(m)
		body := wire.Encode(m)
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := r.Caller.Call(call, r.Addrs[(round+k)%len(r.Addrs)], "POST", wire.PathJobs, body)
		cancel()
		if err == nil {
			r.recordObservation(emulator.Observation{Job: j.ID, Status: resp.Status, Body: body})
		}
	}
}
