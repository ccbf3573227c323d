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

// followerHarness runs a state service on a simulated network and a Follower that reads from it.
type followerHarness struct {
	t        *testing.T
	net      *simulator.Network
	service  *simulator.StateService
	view     *View
	follower *Follower
	stop     context.CancelFunc
}

func newFollowerHarness(t *testing.T) *followerHarness {
	return &followerHarness{t: t, net: simulator.NewNetwork(), service: simulator.NewStateService(1, 0)}
}

// start starts the state service and the follower.
func (h *followerHarness) start() {
	ctx, stop := context.WithCancel(h.t.Context())
	h.stop = stop
	go func() { _ = h.net.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, h.service.Serve()) }()
	log := slog.New(slog.DiscardHandler)
	h.view = NewView(log)
	h.follower = NewFollower(NewClient(h.net.Host("10.0.0.1"), "10.2.0.1:2379", 100, 100, EvenAllowance(1), log), h.view, log)
	go h.follower.Run(ctx)
	go h.follower.RunBarriers(ctx)
}

// shutdown stops the service and the follower, and waits until all goroutines have ended.
func (h *followerHarness) shutdown() {
	h.stop()
	h.net.Close()
	time.Sleep(time.Minute)
}

// commit commits operations without conditions.
func (h *followerHarness) commit(ops ...wire.Operation) { h.service.Commit(wire.Txn{Then: ops}) }

// TestFollowerReloadsWhenChangesAreTooLarge guards against a follower that never recovers from a long
// partition: the changes that it missed exceed the maximum response size on every retry, so that it
// has to list the keys instead.
func TestFollowerReloadsWhenChangesAreTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFollowerHarness(t)
		h.start()
		time.Sleep(time.Second)
		h.net.Partition("10.0.0.1", "10.2.0.1", true)
		large := strings.Repeat("x", 16<<10)
		for range 1000 {
			h.commit(wire.Operation{Put: StatePrefix + "other/x", Value: large})
		}
		h.net.Partition("10.0.0.1", "10.2.0.1", false)
		time.Sleep(30 * time.Second)
		if err := h.follower.Barrier(t.Context()); err != nil {
			t.Error(err)
		}
		h.shutdown()
	})
}

// barrierHarness accepts, cancels and compacts jobs while callers wait for read barriers.
type barrierHarness struct {
	*followerHarness
	accepted, ended atomic.Int64 // number of the last job accepted or ended

	mu                sync.Mutex
	random            *rand.Rand
	completed, failed int // numbers of barriers
}

// barrierTestJobs is the number of jobs that a barrierHarness accepts.
const barrierTestJobs = 200

// randomInt returns a random number in [0, n).
func (h *barrierHarness) randomInt(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func jobIDFor[N int | int64](n N) string { return fmt.Sprintf("wk-%d", n) }

// writeJobs accepts and cancels one job after the other. Every 25 jobs, the service drops its history
// of changes.
func (h *barrierHarness) writeJobs() {
	for n := 1; n <= barrierTestJobs; n++ {
		id, key := jobIDFor(n), BatchKey(fmt.Sprint(n))
		rec := JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
		h.commit(wire.Operation{Put: key, Value: BatchRecord{Jobs: map[string]JobRecord{id: rec}}})
		h.accepted.Store(int64(n))
		time.Sleep(time.Duration(h.randomInt(200)) * time.Millisecond)
		h.commit(wire.Operation{Put: key, Value: BatchRecord{Jobs: map[string]JobRecord{id: rec.End(wire.Cancelled, time.Now())}}})
		h.ended.Store(int64(n))
		if n > 3 { // compact an older job
			entry := jobblock.Entry{ID: jobIDFor(n - 3), Stage: wire.Cancelled, Tasks: 1}
			h.commit(wire.Operation{Delete: BatchKey(fmt.Sprint(n - 3))},
				wire.Operation{Put: RecentKey(n - 3), Value: jobblock.Pack("", []jobblock.Entry{entry})})
		}
		if n%25 == 0 {
			h.service.DropHistory()
		}
	}
}

// checkBarriers requests barriers and checks that, after each, the view includes everything that was
// committed before the request.
func (h *barrierHarness) checkBarriers() {
	for h.ended.Load() < barrierTestJobs {
		time.Sleep(time.Duration(h.randomInt(1500)) * time.Millisecond)
		accepted, ended, revision := h.accepted.Load(), h.ended.Load(), h.service.Page(StatePrefix, "", 1).Revision
		if !h.countBarrier(h.follower.Barrier(h.t.Context())) {
			continue
		}
		if h.view.Revision() < revision {
			h.t.Errorf("a barrier requested at revision %d completed with the view at revision %d", revision, h.view.Revision())
		}
		if _, known := h.view.Job(jobIDFor(accepted)); accepted > 0 && !known {
			h.t.Errorf("job %s was accepted but is not known", jobIDFor(accepted))
		}
		if rec, _ := h.view.Job(jobIDFor(ended)); ended > 0 && rec.Stage != wire.Cancelled {
			h.t.Errorf("job %s was cancelled but is %q", jobIDFor(ended), rec.Stage)
		}
	}
}

// countBarrier counts a barrier by its result, and reports whether it succeeded.
func (h *barrierHarness) countBarrier(err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failed++
		return false
	}
	h.completed++
	return true
}

// checkStagesNeverRegress checks that no ended job ever becomes live again in the view.
func (h *barrierHarness) checkStagesNeverRegress() {
	final := make(map[string]bool)
	for h.ended.Load() < barrierTestJobs {
		time.Sleep(5 * time.Millisecond)
		for n := max(1, int(h.ended.Load())-8); n <= int(h.accepted.Load()); n++ {
			id := jobIDFor(n)
			rec, _ := h.view.Job(id)
			if final[id] && !rec.Stage.Final() {
				h.t.Errorf("job %s had ended but is %q", id, rec.Stage)
			}
			final[id] = final[id] || rec.Stage.Final()
		}
	}
}

// TestBarrierWithReorderedResponses delays the responses to watches, barriers and lists randomly, so
// that they overtake each other, while the service drops its history of changes now and then. Once a
// barrier completes, the view must include everything that was committed when it was requested, also
// if several callers share the barrier, and no job's stage may ever go back.
func TestBarrierWithReorderedResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &barrierHarness{followerHarness: newFollowerHarness(t), random: rand.New(rand.NewPCG(1, 1))}
		h.service.Limits.PageItems = 40
		h.net.SetStepDelay("10.2.0.1", func() time.Duration { return time.Duration(h.randomInt(1<<h.randomInt(9))) * time.Millisecond })
		h.start()
		var group sync.WaitGroup
		group.Go(h.writeJobs)
		for range 30 {
			group.Go(h.checkBarriers)
		}
		group.Go(h.checkStagesNeverRegress)
		group.Wait()
		if h.completed < 200 || h.follower.LastLoad().FinishedAt.IsZero() {
			t.Errorf("%d barriers completed, %d failed", h.completed, h.failed)
		}
		h.shutdown()
	})
}
