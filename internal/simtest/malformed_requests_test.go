package simtest

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// malformedSubmissions returns submissions of a job that controllers may never accept, by their defect.
func malformedSubmissions(id string) map[string][]byte {
	bodyWith := func(field string, value any) []byte {
		var m map[string]any
		_ = wire.Decode(wire.Encode(jobOf(id, wire.Array, 2, time.Minute)), &m)
		if m[field] = value; value == "left out" {
			delete(m, field)
		}
		return wire.Encode(m)
	}
	out := map[string][]byte{"empty": {}, "a list": wire.Encode([]string{id}), "trailing": append(bodyWith("cells", 2), 0), "cut off": bodyWith("cells", 2)[:100],
		"team": bodyWith("keeper", "nobody"), "type": bodyWith("frames", []string{"g9"}), "zone": bodyWith("apiary", "z"), "size": bodyWith("vcpus", 17), "no types": bodyWith("frames", []string{})}
	for _, field := range []string{"breed", "keeper", "shape", "rank", "cells", "vcpus", "accelerators", "mem_gb", "comb", "image_gb", "one_zone", "spread", "borrowed", "expect_s", "capping_s", "seal_s"} {
		out["no "+field] = bodyWith(field, "left out")
		out["null "+field] = bodyWith(field, nil)
	}
	return out
}

// TestMalformedRequests sends malformed submissions before the machine types are known, and while
// they change. Every controller has to answer each with 400 or 422, or with 503 while it cannot
// decide, and may never accept one. A job that was accepted before its machine type was removed may
// not be lost, whatever answers its repeated submissions get.
func TestMalformedRequests(t *testing.T) {
	for seed, count := range []int{3, 5} {
		synctest.Test(t, func(t *testing.T) { runMalformedRequests(t, uint64(seed), count) })
	}
}

// runMalformedRequests runs one simulation of TestMalformedRequests with the given number of controllers.
func runMalformedRequests(t *testing.T, seed uint64, count int) {
	w := &malformedSimulation{simulation: newProxiedSimulation(t, count, seed, nil), answers: map[int]int{}}
	w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = true })
	for i := range count { // wait until it listens
		for err := net.ErrClosed; err != nil; time.Sleep(time.Millisecond) {
			_, err = w.request(i, 5*time.Second, "GET", wire.PathReady, nil)
		}
	}
	for round := range 6 { // before controllers have read the state, and while they know no machine types
		w.submitMalformed(round)
	}
	w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = false })
	time.Sleep(10 * time.Second)
	g4Only := func(j *wire.Job) { j.Types = []string{"g4"} }
	early := w.client(jobOf("wk-1", wire.Array, 3, 300*time.Second, g4Only), rngOf(seed, "wk-1"), 300*time.Second)
	if status := early.untilAnswered(early.submit); status != 201 {
		t.Errorf("submission of wk-1 was answered %d, want 201", status)
	}
	w.submitMalformed(10)
	time.Sleep(10 * time.Second)
	other := w.cloud.Types[0]
	other.Name = "g5"
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Types = []wire.MachineType{other} })
	for round := range 16 { // each controller learns of the change within two minutes
		w.submitMalformed(20 + round)
		w.resubmitAccepted(early)
		time.Sleep(9 * time.Second)
	}
	removedType := w.client(jobOf("wk-2", wire.Array, 1, time.Minute, g4Only), rngOf(seed, "wk-2"), time.Minute)
	for i := range count {
		if resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, wire.Encode(removedType.job)); err != nil || resp.Status != 422 {
			t.Errorf("job for a removed machine type is answered %+v, %v at controller %d, want 422", resp, err, i)
		}
	}
	early.untilAnswered(early.cancel)
	w.finishQuietly(0, 5*time.Minute)
	t.Logf("answers by status: %v", w.answers)
	if w.answers[503] < 20 || w.answers[400] < 200 || w.answers[422] < 40 {
		t.Errorf("too few answers with status 400, 422 or 503: %v", w.answers)
	}
}

// malformedSimulation is a simulation that counts the answers to malformed submissions.
type malformedSimulation struct {
	*simulation
	mu      sync.Mutex
	answers map[int]int // by status
}

// submitMalformed sends each malformed submission to one of the controllers, and checks that none is accepted.
func (w *malformedSimulation) submitMalformed(round int) {
	n := 0
	for defect, body := range malformedSubmissions(fmt.Sprint("wk-9", round)) {
		n++
		i := (n + round) % w.count
		w.group.Go(func() {
			resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, body)
			if err != nil || resp.Status != 400 && resp.Status != 422 && resp.Status != 503 && resp.Status != 429 {
				w.t.Errorf("submission with defect %q at controller %d: %+v, %v", defect, i, resp, err)
				return
			}
			w.mu.Lock()
			w.answers[resp.Status]++
			w.mu.Unlock()
		})
	}
	time.Sleep(time.Second)
	for i := range w.count {
		if resp, err := w.request(i, 5*time.Second, "GET", wire.PathJobs+fmt.Sprint("/wk-9", round), nil); err != nil || resp.Status != 404 && resp.Status != 503 {
			w.t.Errorf("controller %d knows a refused job: %+v, %v", i, resp, err)
		}
	}
}

// resubmitAccepted repeats the submission of an accepted job at every controller, unchanged and malformed.
// No controller may answer such a repeat as malformed.
func (w *malformedSimulation) resubmitAccepted(early *client) {
	for i := range w.count {
		if status := early.submit(i); status != 200 && status != 0 {
			w.t.Errorf("repeated submission is answered %d at controller %d, want 200", status, i)
		}
		for _, body := range malformedSubmissions("wk-1") {
			if resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, body); err == nil && wire.SubmittedID(body) != "" && (resp.Status == 400 || resp.Status == 422) {
				w.t.Errorf("malformed repeat of an accepted job is answered %d at controller %d", resp.Status, i)
			}
		}
	}
}
