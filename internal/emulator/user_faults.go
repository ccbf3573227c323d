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

// UserInstructions tells the load generator what its users have to do now. The load generator polls for instructions
// while the cluster checks its run.
type UserInstructions struct {
	Cancel            []string `json:"cancel"` // jobs to cancel immediately; each is listed in one response only
	MalformedRequests bool     `json:"odd_requests"`
	ConcurrentReads   bool     `json:"close_looks"`
}

// userFaults holds the faults that consist of unusual behaviour of users.
type userFaults struct {
	mu                   sync.Mutex
	toCancel             []string
	endedJobs            map[string]bool // jobs whose last task has completed
	cancelAtEndShare     float64         // share of jobs that are cancelled at that time
	mistakenShare        float64         // share of jobs whose tasks fail on every machine
	mistaken             []string        // these jobs, which their users have not cancelled yet
	rng                  *rand.Rand
	malformedFaults      int           // number of active odd_requests faults
	concurrentReadFaults int           // number of active close_looks faults
	wake                 chan struct{} // signals new cancellations to a waiting poll
}

// initialize prepares the zero value for use.
func (u *userFaults) initialize(seed uint64) {
	u.endedJobs, u.rng, u.wake = make(map[string]bool), rand.New(rand.NewPCG(seed, 10)), make(chan struct{}, 1)
}

// requestCancel instructs users to cancel jobs. The caller holds the lock.
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

// setMistakenShare sets the share of the jobs that are launched from now on whose tasks fail on every machine.
func (u *userFaults) setMistakenShare(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mistakenShare = share
}

// drawMistaken decides whether a job that is launched for the first time was submitted with a mistake.
func (u *userFaults) drawMistaken(job string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mistakenShare == 0 || u.rng.Float64() >= u.mistakenShare {
		return false
	}
	u.mistaken = append(u.mistaken, job)
	return true
}

// cancelMistaken has users cancel the jobs that were submitted with a mistake.
func (u *userFaults) cancelMistaken() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requestCancel(u.mistaken...)
	u.mistaken = nil
}

// instructionsWait is how long a poll for instructions waits for cancellations.
const instructionsWait = 100 * time.Millisecond

// instructions returns the current instructions after instructionsWait, or as soon as there are jobs to cancel.
func (u *userFaults) instructions() UserInstructions {
	select {
	case <-u.wake:
	case <-time.After(instructionsWait):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	current := UserInstructions{Cancel: u.toCancel, MalformedRequests: u.malformedFaults > 0, ConcurrentReads: u.concurrentReadFaults > 0}
	u.toCancel = nil
	return current
}

// Bounds of cancel_now faults.
const (
	minRemaining = 10 * time.Second // remaining run time of the jobs that are cancelled
	maxPaused    = 8                // machines of these jobs that are paused
)

var errNoLongJobs = errors.New("no job runs that has 10 s to go")

// apply injects a fault of users' behaviour.
func (u *userFaults) apply(cluster *Cluster, f *Fault) (lift func(), err error) {
	activate := func(n *int) func() {
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
		return activate(&u.malformedFaults), nil
	case "close_looks":
		return activate(&u.concurrentReadFaults), nil
	case "cancel_at_end":
		setShare := func(share float64) {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.cancelAtEndShare = share
		}
		setShare(f.Share)
		return func() { setShare(0) }, nil
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
	f.For = f.Hang // the fault is active until the machines resume
	return func() {}, nil
}
