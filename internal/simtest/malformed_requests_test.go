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
		synctest.Test(t, func(t *testing.T) {
			met := map[int]int{}
			var mu sync.Mutex
			w := newProxiedSimulation(t, count, uint64(seed), nil)
			w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = true })
			odd := func(round int) {
				n := 0
				for what, body := range malformedBodies(fmt.Sprint("wk-9", round)) {
					n++
					i := (n + round) % count
					w.group.Go(func() {
						resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, body)
						if err != nil || resp.Status != 400 && resp.Status != 422 && resp.Status != 503 && resp.Status != 429 {
							t.Errorf("%s at %d: %+v, %v", what, i, resp, err)
							return
						}
						mu.Lock()
						met[resp.Status]++
						mu.Unlock()
					})
				}
				time.Sleep(time.Second)
				for i := range count {
					if resp, err := w.request(i, 5*time.Second, "GET", wire.PathJobs+fmt.Sprint("/wk-9", round), nil); err != nil || resp.Status != 404 && resp.Status != 503 {
						t.Errorf("%d tells of what was refused: %+v, %v", i, resp, err)
					}
				}
			}
			for i := range count { // it listens
				for err := net.ErrClosed; err != nil; time.Sleep(time.Millisecond) {
					_, err = w.request(i, 5*time.Second, "GET", wire.PathReady, nil)
				}
			}
			for round := range 6 { // before the state is read, and while no types are known
				odd(round)
			}
			w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = false })
			time.Sleep(10 * time.Second)
			early := w.client(jobOf("wk-1", wire.Array, 3, 300*time.Second, func(j *wire.Job) { j.Types = []string{"g4"} }), rngOf(uint64(seed), "wk-1"), 300*time.Second)
			if status := early.untilAnswered(early.submit); status != 201 {
				t.Errorf("it was answered %d", status)
			}
			odd(10)
			time.Sleep(10 * time.Second)
			other := w.cloud.Types[0]
			other.Name = "g5"
			w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Types = []wire.MachineType{other} })
			for round := range 16 { // each controller learns of it within two minutes
				odd(20 + round)
				for i := range count {
					if status := early.submit(i); status != 200 && status != 0 {
						t.Errorf("the repeat is answered %d at %d", status, i)
					}
					for _, body := range malformedBodies("wk-1") {
						if resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, body); err == nil && wire.SubmittedID(body) != "" && (resp.Status == 400 || resp.Status == 422) {
							t.Errorf("a repeat is answered %d at %d", resp.Status, i)
						}
					}
				}
				time.Sleep(9 * time.Second)
			}
			gone := w.client(jobOf("wk-2", wire.Array, 1, time.Minute, func(j *wire.Job) { j.Types = []string{"g4"} }), rngOf(uint64(seed), "wk-2"), time.Minute)
			for i := range count {
				if resp, err := w.request(i, 5*time.Second, "POST", wire.PathJobs, wire.Encode(gone.job)); err != nil || resp.Status != 422 {
					t.Errorf("a job for a type that is gone is answered %+v, %v at %d", resp, err, i)
				}
			}
			early.untilAnswered(early.cancel)
			w.finishQuietly(0, 5*time.Minute)
			t.Logf("answered %v", met)
			if met[503] < 20 || met[400] < 200 || met[422] < 40 {
				t.Errorf("answered %v", met)
			}
		})
	}
}
