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

// Orders is what users are to do now: amberdeal load asks for it while it judges by a world.
type Orders struct {
	Cancel     []string `json:"cancel"` // these jobs at once, each is told once
	OddRequest bool     `json:"odd_requests"`
	CloseLooks bool     `json:"close_looks"`
}

// users is what faults have the users of a world do.
type users struct {
	mu     sync.Mutex
	cancel []string
	over   map[string]bool // jobs whose end was seen
	atEnd  float64         // share of them that are cancelled then
	luck   *rand.Rand
	odd    int // faults of the kind in force
	looks  int
	kick   chan struct{}
}

func (u *users) begin(seed uint64) {
	u.over, u.luck, u.kick = make(map[string]bool), rand.New(rand.NewPCG(seed, 10)), make(chan struct{}, 1)
}

// calls has users cancel jobs.
func (u *users) calls(jobs ...string) {
	u.cancel = append(u.cancel, jobs...)
	select {
	case u.kick <- struct{}{}:
	default:
	}
}

// ended tells that the last task of a job has completed.
func (u *users) ended(job string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.over[job] && u.luck.Float64() < u.atEnd {
		u.calls(job)
	}
	u.over[job] = true
}

// ordersWait is how long a question for orders waits for a cancellation.
const ordersWait = 100 * time.Millisecond

// orders gives what is to be done now, cancellations as soon as there are any.
func (u *users) orders() Orders {
	select {
	case <-u.kick:
	case <-time.After(ordersWait):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	o := Orders{Cancel: u.cancel, OddRequest: u.odd > 0, CloseLooks: u.looks > 0}
	u.cancel = nil
	return o
}

// The bounds of cancel_now: jobs that have at least so long to go, and as many of their machines.
const (
	longToGo    = 10 * time.Second
	mostHanging = 8
)

var errNoneLong = errors.New("no job runs that has 10 s to go")

func (u *users) cause(w *World, f *Fault) (lift func(), err error) {
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
		return count(&u.odd), nil
	case "close_looks":
		return count(&u.looks), nil
	case "cancel_at_end":
		share := func(s float64) {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.atEnd = s
		}
		share(f.Share)
		return func() { share(0) }, nil
	}
	jobs, machines := w.life.Long(cmp.Or(f.Count, 1), longToGo)
	if len(jobs) == 0 {
		return nil, errNoneLong
	}
	u.mu.Lock()
	u.calls(jobs...)
	u.mu.Unlock()
	machines = machines[:min(mostHanging, len(machines))]
	w.cloud.Each(func(m wire.ListedMachine, x simulator.Machine) {
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
