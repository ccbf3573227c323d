package simtest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// limitCapacity has the cloud offer that many machines, of one type in one zone.
func (w *simulation) limitCapacity(machines int) {
	w.cloud.SetFaults(func(*simulator.CloudFaults) {
		w.cloud.CapacityByOffer = map[simulator.Offer]int{{Type: "g4", Zone: "a"}: machines}
	})
}

// TestGangWaitsForASlowFetch: of two machines one has the image of a gang, and the other fetches
// it for longer than a task waits for its gang. Each attempt ends with the first task alone. If
// the fetch were cancelled with the attempt, the next one would end the same way, for ever, beside
// enough capacity for the gang.
func TestGangWaitsForASlowFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 41, 0, nil)
		w.limitCapacity(2)
		big := func(j *wire.Job) { j.GPUs, j.CPUs, j.ImageGB, j.Image = 4, 8, 30, "big" }
		w.submitter(41, jobOf("wk-1", wire.Array, 1, 10*time.Second, big), time.Second, 0, 10*time.Second)
		for w.checker.Stage("wk-1") != wire.Done {
			time.Sleep(time.Second)
		}
		w.declareQuiet()
		w.submitter(41, jobOf("wk-2", wire.Gang, 2, 10*time.Second, big, saves), time.Second, 0, 10*time.Second)
		time.Sleep(2 * time.Minute)
		if stage := w.checker.Stage("wk-2"); stage != wire.Done {
			t.Errorf("the gang is %q after two minutes, fetches given up: %v", stage, w.runtime.CancelledFetches())
		}
		w.finish(3 * time.Minute)
		w.checkResults()
		if w.checker.Started < 4 {
			t.Errorf("%d starts: no task was alone", w.checker.Started)
		}
	})
}

// TestNothingWaitsForALongFetch: the only machine fetches an image for production work for minutes
// over a slow link, and lesser work may not share that rate. It may not wait until the fetch is
// over, either.
func TestNothingWaitsForALongFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 42, 0, nil)
		w.limitCapacity(1)
		w.declareQuiet()
		w.submitter(42, jobOf("wk-1", wire.Service, 1, forever, func(j *wire.Job) { j.Image, j.ImageGB = "weights", 200 }), 0, 5*time.Minute, forever)
		time.Sleep(20 * time.Second)
		w.submitter(42, jobOf("wk-2", wire.Array, 1, 10*time.Second), 0, 0, 10*time.Second)
		time.Sleep(40 * time.Second)
		if w.checker.Started > 0 {
			t.Error("nothing was kept from the machine")
		}
		time.Sleep(45 * time.Second)
		if w.checker.Started != 1 || w.checker.Running("wk-1") > 0 {
			t.Errorf("%d starts after 85 s, %d of them of the service", w.checker.Started, w.checker.Running("wk-1"))
		}
		w.finish(5 * time.Minute)
		w.checkResults()
	})
}

// TestFetchesAreNotCancelledAgain: urgent work arrives all the time at a full fleet, and preempts
// what loses least. A task that waits for an image over a slow link loses its fetch; that may
// happen to a task, but not again and again.
func TestFetchesAreNotCancelledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 43, 0, nil)
		w.limitCapacity(3)
		for n := range 6 {
			w.submitter(43, jobOf(fmt.Sprint("wk-", n+1), wire.Array, 4, 20*time.Second, func(j *wire.Job) { j.Image, j.ImageGB = fmt.Sprint("big-", n), 30 }), time.Second, 0, 20*time.Second)
		}
		high := func(j *wire.Job) { j.Priority = wire.High }
		for n := range 80 {
			w.submitter(43, jobOf(fmt.Sprint("wk-", 100+n), wire.Array, 1, 8*time.Second, high), time.Duration(20+3*n)*time.Second, 0, 8*time.Second)
		}
		time.Sleep(5 * time.Minute)
		w.declareQuiet()
		w.finish(10 * time.Minute)
		w.checkResults()
		most, sum := 0, 0
		for _, n := range w.runtime.CancelledFetches() {
			most, sum = max(most, n), sum+n
		}
		t.Logf("%d fetches given up, %d of one task", sum, most)
		if sum == 0 || most > 2 { // one that was given up costs more than any task that runs
			t.Errorf("%d fetches were given up, %d of one task", sum, most)
		}
	})
}
