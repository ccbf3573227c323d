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

// UserInstructions is what users are to do now: amberdeal load asks for it while it judges by a world.
type UserInstructions struct {
	Cancel            []string `json:"cancel"` // these jobs at once, each is told once
	MalformedRequests bool     `json:"odd_requests"`
	ConcurrentReads   bool     `json:"close_looks"`
}

// userFaults is what faults have the users of a world do.
type userFaults struct {
	mu                   sync.Mutex
	toCancel             []string
	endedJobs            map[string]bool // jobs whose end was seen
	cancelAtEndShare     float64         // share of them that are cancelled then
	rng                  *rand.Rand
	malformedFaults      int // faults of the kind in force
	concurrentReadFaults int
	wake                 chan struct{}
}

func (u *userFaults) begin(seed uint64) {
	u.endedJobs, u.rng, u.wake = make(map[string]bool), rand.New(rand.NewPCG(seed, 10)), make(chan struct{}, 1)
}

// requestCancel has users cancel jobs.
func (u *userFaults) requestCancel(jobs ...string) {
	u.toCancel = append(u.toCancel, jobs...)
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// jobEnded tells that the last task of a job has completed.
func (u *userFaults) jobEnded(job string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.endedJobs[job] && u.rng.Float64() < u.cancelAtEndShare {
		u.requestCancel(job)
	}
	u.endedJobs[job] = true
}

// instructionsWait is how long a question for orders waits for a cancellation.
const instructionsWait = 100 * time.Millisecond

// instructions gives what is to be done now, cancellations as soon as there are any.
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

// The bounds of cancel_now: jobs that have at least so long to go, and as many of their machines.
const (
	minRemaining = 10 * time.Second
	maxPaused    = 8
)

var errNoLongJobs = errors.New("no job runs that has 10 s to go")

func (u *userFaults) apply(w *Cluster, f *Fault) (lift func(), err error) {
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
	jobs, machines := w.fixture.LongRunning(cmp.Or(f.Count, 1), minRemaining)
	if len(jobs) == 0 {
		return nil, errNoLongJobs
	}
	u.mu.Lock()
	u.requestCancel(jobs...)
	u.mu.Unlock()
	machines = machines[:min(maxPaused, len(machines))]
	w.cloud.EachRunning(func(m wire.ListedMachine, x simulator.Machine) {
		if f.Hang > 0 && slices.Contains(machines, m.ID) {
			x.(interface{ Hang(time.Duration) }).Hang(f.Hang)
		}
	})
	if f.Hang == 0 {
		return nil, nil
	}
	f.For = f.Hang // it is in force until they go on
	return func() {}, nil
}
