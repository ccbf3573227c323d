package simtest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// twoTiers configures two tiers, for live and for batch work.
func twoTiers(c *config.Config) {
	c.Tuning.Tiers = []tier.Tier{{Name: "live", Order: 1, Priorities: []string{"production"}, Share: tier.Share{Fraction: 0.5}, ReclaimWithin: 20 * time.Second},
		{Name: "batch", Order: 2, ReclaimWithin: 20 * time.Second}}
}

// TestTiersFailOver has all GPUs lent to batch work when the first tier reclaims its half. The leaders
// fail in turn while batch work is preempted, and restart at once. The tier has to get its GPUs within
// its reclaim time plus the failovers, and little more may be preempted than it needs.
func TestTiersFailOver(t *testing.T) {
	for _, by := range []string{"off", "zone"} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint(by, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newSimulation(t, 70+seed, 0, func(c *config.Config) {
						twoTiers(c)
						c.Tuning.Shards.By = by
					})
					for i := range 8 {
						w.startUser(&wire.Job{ID: fmt.Sprint("wk-1", i), Class: "batch", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 12,
							CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, Spot: true}, 150*time.Second, 4*time.Minute)
					}
					time.Sleep(60 * time.Second)
					_, before := w.checker.Counts()
					w.startUser(&wire.Job{ID: "wk-2", Class: "live", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 12, Spread: true,
						CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, Spot: true}, 24*time.Hour, 2*time.Minute)
					for k := range 2 {
						time.Sleep(time.Duration(100+300*w.rng.IntN(8)) * time.Millisecond)
						for i := range 3 {
							if h := w.leaders(); h["fleet"] == fmt.Sprint("c-", i) || h["a"] == fmt.Sprint("c-", i) {
								w.kill(i, time.Duration(100+100*w.rng.IntN(5))*time.Millisecond)
								break
							}
						}
						time.Sleep(time.Duration(k) * 2 * time.Second)
					}
					time.Sleep(45 * time.Second)
					if n := w.checker.RunningTasks("wk-2"); n != 12 {
						t.Errorf("%d of 12 replicas run", n)
					}
					if _, after := w.checker.Counts(); after-before > 12+4 {
						t.Errorf("%d tasks were started for 12 replicas, want 16 at most", after-before)
					}
					w.finish(10 * time.Minute)
					w.checkResults()
				})
			})
		}
	}
}

// TestTiersDisagree checks that a controller whose tier settings differ may not become leader while its
// peers are up, and that the stored tiers follow once all settings agree.
func TestTiersDisagree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hasTiers := map[string]bool{"c-0": true, "c-1": true, "c-2": true}
		w := newSimulation(t, 77, 0, func(c *config.Config) {
			if hasTiers[c.Name] {
				twoTiers(c)
			}
		})
		w.startService("wk-1", 3*time.Minute)
		time.Sleep(30 * time.Second)
		hasTiers["c-2"] = false
		w.kill(2, time.Second)
		time.Sleep(10 * time.Second)
		for i := range 2 {
			w.kill(i, 5*time.Second)
			time.Sleep(20 * time.Second)
			if h := w.leaders(); h["fleet"] == "c-2" || len(h) != 1 {
				t.Errorf("the leaders are %v; want one, and not c-2, whose settings differ", h)
			}
		}
		hasTiers = map[string]bool{} // all controllers drop their tiers, one after the other
		for i := range 3 {
			w.kill(i, time.Second)
			time.Sleep(5 * time.Second)
		}
		time.Sleep(20 * time.Second)
		digest := "none"
		for _, it := range w.store.Page(store.TiersKey, "", 0).Items {
			var rec store.TiersRecord
			_ = wire.DecodeValue(it.Value, &rec)
			digest = rec.Digest
		}
		if h := w.leaders(); len(h) != 1 || digest != "" {
			t.Errorf("the leaders are %v with tiers digest %q, want one leader and no tiers", h, digest)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}
