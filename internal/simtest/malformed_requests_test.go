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

// malformedBodies returns submissions that may never be accepted, by their defect.
func malformedBodies(id string) map[string][]byte {
	whole := func(field string, value any) []byte {
		var m map[string]any
		_ = wire.Decode(wire.Encode(jobOf(id, wire.Array, 2, time.Minute)), &m)
		if m[field] = value; value == "left out" {
			delete(m, field)
		}
		return wire.Encode(m)
	}
	out := map[string][]byte{"empty": {}, "a list": wire.Encode([]string{id}), "trailing": append(whole("cells", 2), 0), "cut off": whole("cells", 2)[:100],
		"team": whole("keeper", "nobody"), "type": whole("frames", []string{"g9"}), "zone": whole("apiary", "z"), "size": whole("vcpus", 17), "no types": whole("frames", []string{})}
	for _, field := range []string{"breed", "keeper", "shape", "rank", "cells", "vcpus", "accelerators", "mem_gb", "comb", "image_gb", "one_zone", "spread", "borrowed", "expect_s", "capping_s", "seal_s"} {
		out["no "+field] = whole(field, "left out")
		out["null "+field] = whole(field, nil)
	}
	return out
}

// TestMalformedRequests sends malformed submissions while machine types are not known yet, and
// while they change. Each has to be answered 400 or 422 by every controller, or 503 while it
// cannot decide; none may ever be accepted, and a job that was accepted before its machine type
// was removed may not be forgotten, whatever its repeats are answered.
func TestMalformedRequests(t *testing.T) {
	for seed, count := range []int{3, 5} {
		synctest.Test(t, func(t *testing.T) { playMalformedDay(t, uint64(seed), count) })
	}
}

// playMalformedDay sends malformed submissions to each of the controllers.
func playMalformedDay(t *testing.T, seed uint64, count int) {
	w := &malformedDay{simulation: newProxiedSimulation(t, count, seed, nil), answers: map[int]int{}}
	w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = true })
	for i := range count { // it listens
		for err := net.ErrClosed; err != nil; time.Sleep(time.Millisecond) {
			_, err = w.request(i, 5*time.Second, "GET", wire.PathReady, nil)
		}
	}
	for round := range 6 { // before the state is read, and while no types are known
		w.sendAll(round)
	}
	w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = false })
	time.Sleep(10 * time.Second)
	g4Only := func(j *wire.Job) { j.Types = []string{"g4"} }
	early := w.client(jobOf("wk-1", wire.Array, 3, 300*time.Second, g4Only), rngOf(seed, "wk-1"), 300*time.Second)
	if status := early.untilAnswered(early.submit); status != 201 {
		t.Errorf("it was answered %d", status)
	}
	w.sendAll(10)
	time.Sleep(10 * time.Second)
	other := w.cloud.Types[0]
	other.Name = "g5"
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Types = []wire.MachineType{other} })
	for round := range 16 { // each controller learns of it within two minutes
		w.sendAll(20 + round)
		w.repeatEarly(early)
		time.Sleep(9 * time.Second)
	}
	gone := w.client(jobOf("wk-2", wire.Array, 1, time.Minute, g4Only), rngOf(seed, "wk-2"), time.Minute)
	for i := range count {
		if resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, wire.Encode(gone.job)); err != nil || resp.Status != 422 {
			t.Errorf("a job for a type that is gone is answered %+v, %v at %d", resp, err, i)
		}
	}
	early.untilAnswered(early.cancel)
	w.finishQuietly(0, 5*time.Minute)
	t.Logf("answered %v", w.answers)
	if w.answers[503] < 20 || w.answers[400] < 200 || w.answers[422] < 40 {
		t.Errorf("answered %v", w.answers)
	}
}

// malformedDay is a simulation that counts the answers to malformed submissions.
type malformedDay struct {
	*simulation
	mu      sync.Mutex
	answers map[int]int // by status
}

// sendAll sends every malformed submission to a controller, and checks that none is accepted.
func (w *malformedDay) sendAll(round int) {
	n := 0
	for what, body := range malformedBodies(fmt.Sprint("wk-9", round)) {
		n++
		i := (n + round) % w.count
		w.group.Go(func() {
			resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, body)
			if err != nil || resp.Status != 400 && resp.Status != 422 && resp.Status != 503 && resp.Status != 429 {
				w.t.Errorf("%s at %d: %+v, %v", what, i, resp, err)
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
			w.t.Errorf("%d tells of what was refused: %+v, %v", i, resp, err)
		}
	}
}

// repeatEarly repeats a submission, as it was and malformed, at every controller: none may call the
// repeat of a job that was accepted malformed.
func (w *malformedDay) repeatEarly(early *client) {
	for i := range w.count {
		if status := early.submit(i); status != 200 && status != 0 {
			w.t.Errorf("the repeat is answered %d at %d", status, i)
		}
		for _, body := range malformedBodies("wk-1") {
			if resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, body); err == nil && wire.SubmittedID(body) != "" && (resp.Status == 400 || resp.Status == 422) {
				w.t.Errorf("a repeat is answered %d at %d", resp.Status, i)
			}
		}
	}
}
