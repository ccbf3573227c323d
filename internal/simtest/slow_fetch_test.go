package simtest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// limitCapacity limits the cloud to a number of machines, all of one type and in one zone.
func (w *simulation) limitCapacity(machines int) {
	w.cloud.SetFaults(func(*simulator.CloudFaults) {
		w.cloud.CapacityByOffer = map[simulator.Offer]int{{Type: "g4", Zone: "a"}: machines}
	})
}

// TestGangWaitsForASlowFetch checks that a gang starts although one of its two machines fetches the image
// for longer than a task waits for its gang. Each attempt then ends with the first task alone. If the
// fetch were cancelled with the attempt, every further attempt would end the same way, and the gang
// would never start despite enough capacity.
func TestGangWaitsForASlowFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 41, 0, nil)
		w.limitCapacity(2)
		big := func(j *wire.Job) { j.GPUs, j.CPUs, j.ImageGB, j.Image = 4, 8, 30, "big" }
		w.startClient(41, jobOf("wk-1", wire.Array, 1, 10*time.Second, big), time.Second, 0, 10*time.Second)
		for w.checker.Stage("wk-1") != wire.Done {
			time.Sleep(time.Second)
		}
		w.declareQuiet()
		w.startClient(41, jobOf("wk-2", wire.Gang, 2, 10*time.Second, big, withCheckpoints), time.Second, 0, 10*time.Second)
		time.Sleep(2 * time.Minute)
		if stage := w.checker.Stage("wk-2"); stage != wire.Done {
			t.Errorf("the gang is %q after two minutes, cancelled fetches: %v", stage, w.runtime.CancelledFetches())
		}
		w.finish(3 * time.Minute)
		w.checkResults()
		if w.checker.Started < 4 {
			t.Errorf("%d starts: no task waited alone for its gang", w.checker.Started)
		}
	})
}

// TestNothingWaitsForALongFetch checks that work of lower priority does not wait until a long fetch is
// complete: the only machine fetches an image for production work over a slow link for minutes, and
// other fetches may not share its bandwidth.
func TestNothingWaitsForALongFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 42, 0, nil)
		w.limitCapacity(1)
		w.declareQuiet()
		w.startClient(42, jobOf("wk-1", wire.Service, 1, serviceRunTime, func(j *wire.Job) { j.Image, j.ImageGB = "weights", 200 }), 0, 5*time.Minute, serviceRunTime)
		time.Sleep(20 * time.Second)
		w.startClient(42, jobOf("wk-2", wire.Array, 1, 10*time.Second), 0, 0, 10*time.Second)
		time.Sleep(40 * time.Second)
		if w.checker.Started > 0 {
			t.Error("the task did not wait for the fetch")
		}
		time.Sleep(45 * time.Second)
		if w.checker.Started != 1 || w.checker.RunningTasks("wk-1") > 0 {
			t.Errorf("%d starts, %d running replicas of the service 85 s after the task was submitted; want 1 and 0", w.checker.Started, w.checker.RunningTasks("wk-1"))
		}
		w.finish(5 * time.Minute)
		w.checkResults()
	})
}

// TestFetchesAreNotCancelledAgain checks that a task's fetch is not cancelled repeatedly. Work of high
// priority keeps arriving at a full fleet, and preempts the tasks that lose least. A task that fetches
// its image over a slow link may lose its fetch, but not again and again.
func TestFetchesAreNotCancelledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 43, 0, nil)
		w.limitCapacity(3)
		for n := range 6 {
			w.startClient(43, jobOf(fmt.Sprint("wk-", n+1), wire.Array, 4, 20*time.Second, func(j *wire.Job) { j.Image, j.ImageGB = fmt.Sprint("big-", n), 30 }), time.Second, 0, 20*time.Second)
		}
		high := func(j *wire.Job) { j.Priority = wire.High }
		for n := range 80 {
			w.startClient(43, jobOf(fmt.Sprint("wk-", 100+n), wire.Array, 1, 8*time.Second, high), time.Duration(20+3*n)*time.Second, 0, 8*time.Second)
		}
		time.Sleep(5 * time.Minute)
		w.declareQuiet()
		w.finish(10 * time.Minute)
		w.checkResults()
		maxPerTask, total := 0, 0
		for _, n := range w.runtime.CancelledFetches() {
			maxPerTask, total = max(maxPerTask, n), total+n
		}
		t.Logf("%d fetches cancelled, at most %d of one task", total, maxPerTask)
		if total == 0 || maxPerTask > 2 { // cancelling the same fetch again costs more than preempting any running task
			t.Errorf("%d fetches were cancelled, at most %d of one task; want some, and 2 of one task at most", total, maxPerTask)
		}
	})
}
