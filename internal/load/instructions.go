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

// trackedJob is a job that a user submits and follows, possibly with several concurrent requests.
type trackedJob struct {
	firstController int // index of the controller that gets the first request
	job             *wire.Job
	body            []byte      // body of the submission
	cancelRequested atomic.Bool // the user has requested the cancellation
	toldToCancel    atomic.Bool // a fault of the cluster instructs the user to cancel the job
}

// InstructionCounts counts what users did on the instructions of the emulated cluster.
type InstructionCounts struct {
	Cancelled         int `json:"cancelled"` // jobs that users were instructed to cancel
	MalformedRequests int `json:"odd_requests"`
	ConcurrentReads   int `json:"close_looks"` // responses to concurrent reads and submissions
}

// followInstructions polls the emulated cluster for instructions to users and carries them out until the context ends.
func (r *Runner) followInstructions(ctx context.Context) {
	if r.JudgeAddr == "" {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := r.Caller.Call(callCtx, r.JudgeAddr, "GET", emulator.PathUserInstructions, nil)
		cancel()
		var instructions emulator.UserInstructions
		if err != nil || json.Unmarshal(resp.Body, &instructions) != nil {
			pause(ctx, time.Second)
			continue
		}
		r.mu.Lock()
		r.instructions = instructions
		var toCancel []*trackedJob
		for _, id := range instructions.Cancel {
			if tracked := r.jobs[id]; tracked != nil {
				toCancel = append(toCancel, tracked)
			}
		}
		r.instructionCounts.Cancelled += len(toCancel)
		r.mu.Unlock()
		for k, tracked := range toCancel {
			tracked.toldToCancel.Store(true) // the user repeats the request until it succeeds
			group.Go(func() {
				r.call(ctx, tracked.firstController+k, tracked, opCancel)
				r.readConcurrently(ctx, tracked)
			})
		}
		if instructions.MalformedRequests {
			group.Go(func() { r.sendMalformedRequests(ctx, round) })
		}
	}
}

// readConcurrently polls and resubmits a job at all controllers concurrently, if the cluster's current instructions ask
// for concurrent reads.
func (r *Runner) readConcurrently(ctx context.Context, tracked *trackedJob) {
	r.mu.Lock()
	requested := r.instructions.ConcurrentReads
	r.mu.Unlock()
	if !requested {
		return
	}
	var group sync.WaitGroup
	for i := range r.Addrs {
		for _, op := range []opKind{opStatus, opSubmit, opStatus} {
			group.Go(func() {
				if status, _ := r.call(ctx, i, tracked, op); status > 0 {
					r.mu.Lock()
					r.instructionCounts.ConcurrentReads++
					r.mu.Unlock()
				}
			})
		}
	}
	group.Wait()
}

// sendMalformedRequests resubmits a live job, cancels a job that is done, and submits a job that lacks a required field
// and one that fits no machine.
func (r *Runner) sendMalformedRequests(ctx context.Context, round int) {
	r.mu.Lock()
	var liveJob, endedJob *trackedJob
	for id, tracked := range r.jobs { // in random order
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
	for k, corrupt := range []func(m map[string]any){
		func(m map[string]any) { delete(m, fields[round%len(fields)]) },
		func(m map[string]any) { m[[]string{"vcpus", "mem_gb"}[round%2]] = 1e8 },
	} {
		j := r.Mix.Classes[round%len(r.Mix.Classes)].Template
		j.ID, j.Tasks = fmt.Sprintf("%s%s8%05d", wire.JobIDPrefix, r.Prefix, firstNumber+k), 1
		var m map[string]any
		if wire.Decode(wire.Encode(j), &m) != nil {
			continue
		}
		corrupt(m)
		body := wire.Encode(m)
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := r.Caller.Call(callCtx, r.Addrs[(round+k)%len(r.Addrs)], "POST", wire.PathJobs, body)
		cancel()
		if err == nil {
			r.recordObservation(emulator.Observation{Job: j.ID, Status: resp.Status, Body: body})
		}
	}
}
