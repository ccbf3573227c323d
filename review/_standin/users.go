package main

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// user submits jobs and asks about them, at one controller after the other.
type user struct {
	w      *world
	caller transport.Client
	next   int
}

func newUser(w *world) *user {
	return &user{w: w, caller: transport.Client{MaxBody: wire.MaxBodyBytes, Dial: dial}}
}

// call sends a request to a controller and returns the status and the stage; the status is 0 without a response.
func (u *user) call(ctx context.Context, c *controller, method, path string, body []byte, timeout time.Duration) (int, wire.Stage) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := u.caller.Call(ctx, c.public, method, path, body)
	if err != nil {
		return 0, ""
	}
	var s wire.JobStatus
	if resp.Status == 200 || resp.Status == 201 {
		if err := wire.Decode(resp.Body, &s); err != nil {
			return 0, ""
		}
	}
	return resp.Status, s.Stage
}

// retry sends a request to one controller after the other until it is answered with one of the wanted statuses, for
// up to 60 s.
func (u *user) retry(ctx context.Context, what, method, path string, body []byte, wanted ...int) (wire.Stage, error) {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); {
		c := u.w.controllers[u.next%len(u.w.controllers)]
		u.next++
		status, stage := u.call(ctx, c, method, path, body, 5*time.Second)
		for _, s := range wanted {
			if status == s {
				u.w.rec.printf("user: %s at %s: %d %s", what, c.name, status, stage)
				return stage, nil
			}
		}
		if !sleep(ctx, time.Second) {
			break
		}
	}
	return "", fmt.Errorf("%s was not answered", what)
}

// submit uploads and submits a job.
func (u *user) submit(ctx context.Context, j *job) error {
	u.w.upload(j)
	_, err := u.retry(ctx, "submits "+j.ID, "POST", wire.PathJobs, wire.Encode(submission(&j.Job)), 200, 201)
	return err
}

// cancel calls a job off.
func (u *user) cancel(ctx context.Context, id string) (wire.Stage, error) {
	return u.retry(ctx, "calls off "+id, "POST", wire.PathJobs+"/"+id+"/"+wire.CancelPathSuffix, []byte{}, 200)
}

// ask asks one controller about a job, and records the answer.
func (u *user) ask(ctx context.Context, id string) (int, wire.Stage) {
	c := u.w.controllers[u.next%len(u.w.controllers)]
	u.next++
	status, stage := u.call(ctx, c, "GET", wire.PathJobs+"/"+id, nil, 2*time.Second)
	u.w.rec.printf("user: asks %s about %s: %d %s", c.name, id, status, stage)
	return status, stage
}

// awaitReady waits until all controllers call themselves ready.
func (u *user) awaitReady(ctx context.Context) error {
	for _, c := range u.w.controllers {
		if !waitUntil(ctx, 20*time.Second, func() bool {
			status, err := u.ready(ctx, c)
			return err == nil && status == 200
		}) {
			return fmt.Errorf("%s is not ready", c.name)
		}
	}
	if err := u.w.running(); err != nil {
		return err
	}
	u.w.rec.printf("all controllers are ready")
	return nil
}

func (u *user) ready(ctx context.Context, c *controller) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := u.caller.Call(ctx, c.public, "GET", wire.PathReady, nil)
	if err != nil {
		return 0, err
	}
	return resp.Status, nil
}

// submission returns the message that submits a job, with every field of the protocol.
func submission(j *wire.Job) map[string]any {
	m := map[string]any{"uid": j.ID, "breed": j.Class, "keeper": j.Team, "shape": j.Shape, "rank": j.Priority, "cells": j.Tasks,
		"vcpus": j.CPUs, "accelerators": j.GPUs, "mem_gb": j.MemoryGB, "comb": j.Image, "image_gb": j.ImageGB, "frames": nil, "apiary": nil,
		"one_zone": j.OneZone, "spread": j.Spread, "borrowed": j.Spot, "expect_s": j.EstimateS, "capping_s": j.CheckpointS, "seal_s": j.SaveS, "due_s": nil}
	if len(j.Types) > 0 {
		m["frames"] = j.Types
	}
	if j.Zone != "" {
		m["apiary"] = j.Zone
	}
	return m
}
