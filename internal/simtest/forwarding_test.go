package simtest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/writers"
)

// The tests of this file run clusters in which a few controllers write the changes that users wait for,
// such as submissions, on behalf of all controllers.

// forwardingCase is a case of TestForwarding.
type forwardingCase struct {
	count, writers int    // number of controllers, and of those that write for all
	fault          string // key of forwardingFaults
}

// forwardingRun is a simulation that counts the batches of new jobs that each controller writes.
type forwardingRun struct {
	*concurrentReads
	testCase forwardingCase

	initialWriters  []int // the controllers that write when the fault begins
	mu              sync.Mutex
	batchesByWriter map[string]int // number of batches since the fault began, by controller
}

// newForwardingRun starts the simulation of a case.
func newForwardingRun(t *testing.T, d forwardingCase, seed uint64) *forwardingRun {
	w := &forwardingRun{testCase: d, batchesByWriter: map[string]int{}}
	w.concurrentReads = newConcurrentReads(t, readCase{count: d.count, sharding: "off", writers: d.writers}, seed)
	w.store.Configure(func(s *simulator.StateService) { s.OnCommit = w.countBatches })
	return w
}

// countBatches counts the batches among the keys that a transaction has put, by the controller that
// wrote them.
func (w *forwardingRun) countBatches(puts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range puts {
		if name, is := strings.CutPrefix(key, store.BatchKey("")); is {
			w.batchesByWriter[name[:strings.LastIndex(name[:strings.LastIndex(name, "-")], "-")]]++
		}
	}
}

// writers returns the numbers of the controllers that write for all while every controller is up.
func (w *forwardingRun) writers() (out []int) {
	var all []string
	for i := range w.count {
		all = append(all, fmt.Sprint("c-", i))
	}
	leader := fmt.Sprint("c-", w.leaderOf("fleet"))
	for _, name := range writers.PolicyFor(w.testCase.count, w.testCase.writers).Choose(all, func(name string) bool { return name == leader }) {
		out = append(out, controllerNumber(name))
	}
	return out
}

// forwardingFaults lists faults of controller i, which writes for all, or of the whole cluster, by name.
var forwardingFaults = map[string]func(w *forwardingRun, i int){
	"calm":                                   func(*forwardingRun, int) {},
	"it ends and is back after 100 ms":       func(w *forwardingRun, i int) { w.crash(i, 100*time.Millisecond, 0) },
	"it ends, its last messages are delayed": func(w *forwardingRun, i int) { w.crash(i, 15*time.Second, 10*time.Second) },
	"it stands still":                        func(w *forwardingRun, i int) { w.net.Pause(w.ip(i), 8*time.Second) },
	"it is refused by the state service":     func(w *forwardingRun, i int) { during(15*time.Second, func(on bool) { w.refuseByStore(i, on) }) },
	"it is cut from the state service": func(w *forwardingRun, i int) {
		during(15*time.Second, func(on bool) { w.net.Partition(w.ip(i), stateHost, on) })
	},
	"it is cut from its peers": func(w *forwardingRun, i int) {
		during(15*time.Second, func(on bool) {
			for k := range w.count {
				if k != i {
					w.net.Partition(w.ip(i), w.ip(k), on)
				}
			}
		})
	},
	"half of the controllers don't hear the others": func(w *forwardingRun, _ int) {
		during(12*time.Second, func(on bool) {
			for i := range w.count {
				for k := range w.count {
					if i%2 == 0 && k%2 == 1 {
						w.net.Partition(w.ip(i), w.ip(k), on)
					}
				}
			}
		})
	},
	"it changes ten times in two minutes": func(w *forwardingRun, _ int) {
		w.group.Go(func() {
			for range 10 {
				if now := w.writers(); len(now) > 0 {
					w.crash(now[0], 4*time.Second, 0)
				}
				time.Sleep(12 * time.Second)
			}
		})
	},
	"the state service is slow": func(w *forwardingRun, _ int) {
		during(15*time.Second, func(on bool) {
			w.store.Configure(func(s *simulator.StateService) {
				if s.ResponseDelay = nil; on {
					s.ResponseDelay = func() time.Duration { return time.Duration(200+w.draw(w.rng, 600)) * time.Millisecond }
				}
			})
		})
	},
	"the state service's answers are lost": func(w *forwardingRun, _ int) {
		during(15*time.Second, func(on bool) {
			w.store.Configure(func(s *simulator.StateService) { s.LostReplyShare = map[bool]float64{true: 0.4}[on] })
		})
	},
}

// run injects the fault while users submit jobs at some controllers, cancel them at others, and poll
// and resubmit them at all, and checks the answers for linearizability.
func (w *forwardingRun) run() {
	time.Sleep(8 * time.Second)
	w.runJob(999, 0, 100*time.Second, serviceRunTime) // keeps a machine rented
	time.Sleep(12 * time.Second)
	w.initialWriters = w.writers()
	if len(w.initialWriters) == 0 {
		w.t.Fatal("no controller writes for the others")
	}
	w.mu.Lock()
	clear(w.batchesByWriter)
	w.mu.Unlock()
	faultName, jobs := w.testCase.fault, 24
	forwardingFaults[faultName](w, w.initialWriters[0])
	if strings.Contains(faultName, "ten times") {
		jobs = 110
	}
	for n := range jobs {
		cancel := time.Duration(-1)
		if n%3 != 2 {
			cancel = cancelDelays[n%len(cancelDelays)] * time.Millisecond
		}
		w.runJobAtSubset(n, cancel)
		time.Sleep(time.Duration(300+w.draw(w.rng, 900)) * time.Millisecond)
	}
	w.finishQuietly(0, 5*time.Minute)
	for _, b := range w.answers.Violations() {
		w.t.Error(b)
	}
}

// runJobAtSubset runs a job. In clusters of more than five controllers, users send their requests about
// it to only three of them.
func (w *forwardingRun) runJobAtSubset(n int, cancel time.Duration) {
	all := w.count
	if all > 5 {
		first := w.draw(w.rng, all-3)
		w.runJobAt(n, []int{first, first + 1, first + 2}, cancel, 3*time.Second)
		return
	}
	w.runJob(n, n%all, cancel, 3*time.Second)
}

// run runs the simulation of the case. Without a fault, only the designated controllers may write
// batches of new jobs.
func (d forwardingCase) run(t *testing.T, seed uint64) {
	w := newForwardingRun(t, d, seed)
	w.run()
	if t.Failed() || d.fault != "calm" {
		return
	}
	for name, n := range w.batchesByWriter {
		if !slices.Contains(w.initialWriters, controllerNumber(name)) {
			t.Errorf("%s, which is not a designated writer, has written %d batches: %v", name, n, w.batchesByWriter)
		}
	}
}

// TestForwarding runs every forwarding fault. All controllers have to give consistent answers about a
// job, and every accepted job has to end. With 24 controllers, a plain run covers only some faults.
// AMBERDEAL_FORWARDED runs all cases that many times.
func TestForwarding(t *testing.T) {
	times := 0
	fmt.Sscan(os.Getenv("AMBERDEAL_FORWARDED"), &times)
	for i, x := range []struct{ count, set int }{{3, 1}, {5, 2}, {24, writers.Auto}} {
		for k, faultName := range slices.Sorted(maps.Keys(forwardingFaults)) {
			if times == 0 && x.count == 24 && k%3 != 0 && !strings.Contains(faultName, "peers") {
				continue
			}
			for seed := range max(1, times) {
				t.Run(fmt.Sprintf("%d controllers, %s, seed %d", x.count, faultName, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						forwardingCase{x.count, x.set, faultName}.run(t, uint64(100*seed+10*i+k))
					})
				})
			}
		}
	}
}

// TestAcceptLatencyOfManyControllers checks that users do not wait longer for the acceptance of a job
// with 24 controllers than with five: at most 1% of jobs may take longer than a second.
func TestAcceptLatencyOfManyControllers(t *testing.T) {
	for _, count := range []int{5, 24} {
		t.Run(fmt.Sprint(count, " controllers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOverload(t, deployment{"many", count, config.Store{RPS: 120, WriteRPS: 35, ValueBytes: 8 << 10, TxnOps: 20}})
				time.Sleep(12 * time.Second)
				f.jobRNG = rand.New(rand.NewPCG(2, 7))
				f.generate(time.Minute)
				time.Sleep(40 * time.Second)
				f.declareQuiet()
				f.finish(3 * time.Minute)
				late, n := 0, len(f.jobsInOrder)
				for _, d := range f.jobsInOrder {
					if d.acceptedAt.Sub(d.arrivedAt) > time.Second {
						late++
					}
				}
				t.Logf("%d of %d jobs were accepted after more than a second", late, n)
				if late*100 > n {
					t.Errorf("%d of %d jobs were accepted after more than a second, want at most 1%%", late, n)
				}
				f.checkResults()
			})
		})
	}
}
