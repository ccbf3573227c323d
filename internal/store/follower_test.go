package store

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// followTrial is a state service on a simulated network, and a follower of it.
type followTrial struct {
	t        *testing.T
	net      *simulator.Network
	service  *simulator.StateService
	view     *View
	follower *Follower
	stop     context.CancelFunc
}

func newFollowTrial(t *testing.T) *followTrial {
	return &followTrial{t: t, net: simulator.NewNetwork(), service: simulator.NewStateService(1, 0)}
}

// start starts the service and the follower.
func (x *followTrial) start() {
	ctx, stop := context.WithCancel(x.t.Context())
	x.stop = stop
	go func() { _ = x.net.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, x.service.Serve()) }()
	log := slog.New(slog.DiscardHandler)
	x.view = NewView(log)
	x.follower = NewFollower(NewClient(x.net.Host("10.0.0.1"), "10.2.0.1:2379", 100, 100, EvenAllowance(1), log), x.view, log)
	go x.follower.Run(ctx)
	go x.follower.RunBarriers(ctx)
}

// end lets all goroutines end.
func (x *followTrial) end() {
	x.stop()
	x.net.Close()
	time.Sleep(time.Minute)
}

// commit makes changes without conditions.
func (x *followTrial) commit(ops ...wire.Operation) { x.service.Commit(wire.Txn{Then: ops}) }

// TestFollowerReloadsWhenChangesAreTooLarge: a follower that was partitioned for long would get
// more changes than a response may hold, each time again; it lists the keys instead.
func TestFollowerReloadsWhenChangesAreTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFollowTrial(t)
		x.start()
		time.Sleep(time.Second)
		x.net.Partition("10.0.0.1", "10.2.0.1", true)
		large := strings.Repeat("x", 16<<10)
		for range 1000 {
			x.commit(wire.Operation{Put: StatePrefix + "other/x", Value: large})
		}
		x.net.Partition("10.0.0.1", "10.2.0.1", false)
		time.Sleep(30 * time.Second)
		if err := x.follower.Barrier(t.Context()); err != nil {
			t.Error(err)
		}
		x.end()
	})
}

// barrierTrial has jobs that are accepted, cancelled and compacted, while barriers are crossed.
type barrierTrial struct {
	*followTrial
	accepted, ended atomic.Int64 // number of the last job that was

	mu              sync.Mutex
	random          *rand.Rand
	crossed, failed int // barriers
}

// barrierJobs is how many jobs a barrierTrial has.
const barrierJobs = 200

func (x *barrierTrial) draw(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.random.IntN(n)
}

func trialJob[N int | int64](n N) string { return fmt.Sprintf("wk-%d", n) }

// writeJobs accepts and cancels one job after the other; the service drops its history of
// changes now and then.
func (x *barrierTrial) writeJobs() {
	for n := 1; n <= barrierJobs; n++ {
		id, key := trialJob(n), BatchKey(fmt.Sprint(n))
		rec := JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
		x.commit(wire.Operation{Put: key, Value: BatchRecord{Jobs: map[string]JobRecord{id: rec}}})
		x.accepted.Store(int64(n))
		time.Sleep(time.Duration(x.draw(200)) * time.Millisecond)
		x.commit(wire.Operation{Put: key, Value: BatchRecord{Jobs: map[string]JobRecord{id: rec.End(wire.Cancelled, time.Now())}}})
		x.ended.Store(int64(n))
		if n > 3 { // an older one is compacted
			end := jobblock.Entry{ID: trialJob(n - 3), Stage: wire.Cancelled, Tasks: 1}
			x.commit(wire.Operation{Delete: BatchKey(fmt.Sprint(n - 3))},
				wire.Operation{Put: RecentKey(n - 3), Value: jobblock.Pack("", []jobblock.Entry{end})})
		}
		if n%25 == 0 {
			x.service.DropHistory()
		}
	}
}

// crossBarriers asks for barriers, and compares the view with what was there before each.
func (x *barrierTrial) crossBarriers() {
	for x.ended.Load() < barrierJobs {
		time.Sleep(time.Duration(x.draw(1500)) * time.Millisecond)
		accepted, ended, revision := x.accepted.Load(), x.ended.Load(), x.service.Page(StatePrefix, "", 1).Revision
		if !x.countBarrier(x.follower.Barrier(x.t.Context())) {
			continue
		}
		if x.view.Revision() < revision {
			x.t.Errorf("a barrier asked for at revision %d is crossed at %d", revision, x.view.Revision())
		}
		if _, known := x.view.Job(trialJob(accepted)); accepted > 0 && !known {
			x.t.Errorf("%s was accepted and is not known", trialJob(accepted))
		}
		if rec, _ := x.view.Job(trialJob(ended)); ended > 0 && rec.Stage != wire.Cancelled {
			x.t.Errorf("%s was cancelled and is %q", trialJob(ended), rec.Stage)
		}
	}
}

// countBarrier counts a barrier, and reports whether it was crossed.
func (x *barrierTrial) countBarrier(err error) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil {
		x.failed++
		return false
	}
	x.crossed++
	return true
}

// watchStages demands that no job that has ended is ever live again in the view.
func (x *barrierTrial) watchStages() {
	final := make(map[string]bool)
	for x.ended.Load() < barrierJobs {
		time.Sleep(5 * time.Millisecond)
		for n := max(1, int(x.ended.Load())-8); n <= int(x.accepted.Load()); n++ {
			id := trialJob(n)
			rec, _ := x.view.Job(id)
			if final[id] && !rec.Stage.Final() {
				x.t.Errorf("%s had ended and is %q", id, rec.Stage)
			}
			final[id] = final[id] || rec.Stage.Final()
		}
	}
}

// TestBarrierHoldsWhenResponsesOvertake: responses to watches, barriers and lists take differently
// long, so that they overtake each other, and the service drops its history of changes now and then.
// What was in it when a barrier was asked for is in the view once it is crossed, also where several
// callers share it, and no job's stage ever goes back.
func TestBarrierHoldsWhenResponsesOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &barrierTrial{followTrial: newFollowTrial(t), random: rand.New(rand.NewPCG(1, 1))}
		x.service.Limits.PageItems = 40
		x.net.SetStepDelay("10.2.0.1", func() time.Duration { return time.Duration(x.draw(1<<x.draw(9))) * time.Millisecond })
		x.start()
		var group sync.WaitGroup
		group.Go(x.writeJobs)
		for range 30 {
			group.Go(x.crossBarriers)
		}
		group.Go(x.watchStages)
		group.Wait()
		if x.crossed < 200 || x.follower.LastLoad().FinishedAt.IsZero() {
			t.Errorf("%d barriers were crossed, %d failed", x.crossed, x.failed)
		}
		x.end()
	})
}
