package emulator

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// UserInstructions tells the load generator what users have to do at present; it polls for them
// while a cluster judges its run.
type UserInstructions struct {
	Cancel            []string `json:"cancel"` // jobs to cancel at once, each listed once
	MalformedRequests bool     `json:"odd_requests"`
	ConcurrentReads   bool     `json:"close_looks"`
}

// userFaults are the faults that consist of users' behaviour.
type userFaults struct {
	mu                   sync.Mutex
	toCancel             []string
	endedJobs            map[string]bool // jobs whose last task has completed
	cancelAtEndShare     float64         // share of them that are cancelled at that time
	rng                  *rand.Rand
	malformedFaults      int // number of active faults of the kind
	concurrentReadFaults int
	wake                 chan struct{}
}

func (u *userFaults) initialize(seed uint64) {
	u.endedJobs, u.rng, u.wake = make(map[string]bool), rand.New(rand.NewPCG(seed, 10)), make(chan struct{}, 1)
}

// requestCancel instructs users to cancel jobs.
func (u *userFaults) requestCancel(jobs ...string) {
	u.toCancel = append(u.toCancel, jobs...)
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// jobEnded is called when the last task of a job has completed.
func (u *userFaults) jobEnded(job string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.endedJobs[job] && u.rng.Float64() < u.cancelAtEndShare {
		u.requestCancel(job)
	}
	u.endedJobs[job] = true
}

// instructionsWait is how long a poll for instructions waits for a cancellation.
const instructionsWait = 100 * time.Millisecond

// instructions returns what users have to do now; it returns early if there are cancellations.
func (u *userFaults) instructions() UserInstructions {
	select {
	case <-u.wake:
	case <-time.After(instructionsWait):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	o := UserInstructions{Cancel: u.toCancel, MalformedRequests: u.malformedFaults > 0, ConcurrentReads: u.concurrentReadFaults > 0}
	u.toCancel = nil
	return o
}

// The bounds of cancel_now: the remaining run time of its jobs, and how many of their machines it
// pauses.
const (
	minRemaining = 10 * time.Second
	maxPaused    = 8
)

var errNoLongJobs = errors.New("no job runs that has 10 s to go")

// apply injects a fault that concerns users.
func (u *userFaults) apply(cluster *Cluster, f *Fault) (lift func(), err error) {
	count := func(n *int) func() {
		add := func(by int) {
			u.mu.Lock()
			defer u.mu.Unlock()
			*n += by
		}
		add(1)
		return func() { add(-1) }
	}
	switch f.Kind {
	case "odd_requests":
		return count(&u.malformedFaults), nil
	case "close_looks":
		return count(&u.concurrentReadFaults), nil
	case "cancel_at_end":
		share := func(s float64) {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.cancelAtEndShare = s
		}
		share(f.Share)
		return func() { share(0) }, nil
	}
	jobs, machines := cluster.fixture.LongRunning(cmp.Or(f.Count, 1), minRemaining)
	if len(jobs) == 0 {
		return nil, errNoLongJobs
	}
	u.mu.Lock()
	u.requestCancel(jobs...)
	u.mu.Unlock()
	machines = machines[:min(maxPaused, len(machines))]
	cluster.cloud.EachRunning(func(m wire.ListedMachine, x simulator.Machine) {
		if f.Hang > 0 && slices.Contains(machines, m.ID) {
			x.(simulator.Pauser).Pause(f.Hang)
		}
	})
	if f.Hang == 0 {
		return nil, nil
	}
	f.For = f.Hang // it is in force until they go on
	return func() {}, nil
}
