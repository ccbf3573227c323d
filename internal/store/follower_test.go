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

// TestFollowerReloadsWhenChangesAreTooLarge: a follower that was cut off for long would get more changes than an answer
// may hold, each time again; it reads the keys instead.
func TestFollowerReloadsWhenChangesAreTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		net, s := simulator.NewNetwork(), simulator.NewStateService(1, 0)
		go func() { _ = net.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, s.Serve()) }()
		log := slog.New(slog.DiscardHandler)
		v := NewView(log)
		f := NewFollower(NewClient(net.Host("10.0.0.1"), "10.2.0.1:2379", 100, 100, EvenAllowance(1), log), v, log)
		go f.Run(ctx)
		go f.RunBarriers(ctx)
		time.Sleep(time.Second)
		net.Partition("10.0.0.1", "10.2.0.1", true)
		large := strings.Repeat("x", 16<<10)
		for range 1000 {
			s.Commit(wire.Txn{Then: []wire.Operation{{Put: StatePrefix + "other/x", Value: large}}})
		}
		net.Partition("10.0.0.1", "10.2.0.1", false)
		time.Sleep(30 * time.Second)
		if err := f.Barrier(ctx); err != nil {
			t.Error(err)
		}
		stop()
		net.Close()
		time.Sleep(time.Minute)
	})
}

// TestBarrierHoldsWhenResponsesOvertake: answers of watches, barriers and lists take their time, each
// another, so that they overtake each other, and the service forgets its changes now and then. What was
// in it when a barrier was asked for is in the view once it is crossed, whoever else shares it, and
// no job's stage ever goes back.
func TestBarrierHoldsWhenResponsesOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		net, s := simulator.NewNetwork(), simulator.NewStateService(1, 0)
		s.Limits.PageItems = 40
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 1))
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		net.SetStepDelay("10.2.0.1", func() time.Duration { return time.Duration(draw(1<<draw(9))) * time.Millisecond })
		go func() { _ = net.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, s.Serve()) }()
		log := slog.New(slog.DiscardHandler)
		v := NewView(log)
		f := NewFollower(NewClient(net.Host("10.0.0.1"), "10.2.0.1:2379", 100, 100, EvenAllowance(1), log), v, log)
		go f.Run(ctx)
		go f.RunBarriers(ctx)
		const jobs = 200
		id := func(n int) string { return fmt.Sprintf("wk-%d", n) }
		var accepted, ended atomic.Int64 // jobs up to which all are
		var group sync.WaitGroup
		group.Go(func() {
			for n := 1; n <= jobs; n++ {
				rec := JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id(n), Tasks: 1}}
				key := BatchKey(fmt.Sprint(n))
				put := func(c ...wire.Operation) { s.Commit(wire.Txn{Then: c}) }
				put(wire.Operation{Put: key, Value: BatchRecord{Jobs: map[string]JobRecord{id(n): rec}}})
				accepted.Store(int64(n))
				time.Sleep(time.Duration(draw(200)) * time.Millisecond)
				put(wire.Operation{Put: key, Value: BatchRecord{Jobs: map[string]JobRecord{id(n): rec.End(wire.Cancelled, time.Now())}}})
				ended.Store(int64(n))
				if n > 3 { // an older one is compacted
					put(wire.Operation{Delete: BatchKey(fmt.Sprint(n - 3))},
						wire.Operation{Put: RecentKey(n - 3), Value: jobblock.Pack("", []jobblock.Entry{{ID: id(n - 3), Stage: wire.Cancelled, Tasks: 1}})})
				}
				if n%25 == 0 {
					s.DropHistory()
				}
			}
		})
		crossed, failed := 0, 0
		for range 30 {
			group.Go(func() {
				for ended.Load() < jobs {
					time.Sleep(time.Duration(draw(1500)) * time.Millisecond)
					a, e, rev := accepted.Load(), ended.Load(), s.Page(StatePrefix, "", 1).Revision
					err := f.Barrier(ctx)
					mu.Lock()
					if err != nil {
						failed++
						mu.Unlock()
						continue
					}
					crossed++
					mu.Unlock()
					if v.Revision() < rev {
						t.Errorf("a barrier asked for at revision %d is crossed at %d", rev, v.Revision())
					}
					if _, known := v.Job(id(int(a))); a > 0 && !known {
						t.Errorf("%s was accepted and is not known", id(int(a)))
					}
					if rec, _ := v.Job(id(int(e))); e > 0 && rec.Stage != wire.Cancelled {
						t.Errorf("%s was cancelled and is %q", id(int(e)), rec.Stage)
					}
				}
			})
		}
		final := make(map[string]bool)
		group.Go(func() {
			for ended.Load() < jobs {
				time.Sleep(5 * time.Millisecond)
				for n := max(1, int(ended.Load())-8); n <= int(accepted.Load()); n++ {
					rec, _ := v.Job(id(n))
					if final[id(n)] && !rec.Stage.Final() {
						t.Errorf("%s had ended and is %q", id(n), rec.Stage)
					}
					final[id(n)] = final[id(n)] || rec.Stage.Final()
				}
			}
		})
		group.Wait()
		if crossed < 200 || f.LastLoad().FinishedAt.IsZero() {
			t.Errorf("%d barriers were crossed, %d failed", crossed, failed)
		}
		stop()
		net.Close()
		time.Sleep(time.Minute)
	})
}
