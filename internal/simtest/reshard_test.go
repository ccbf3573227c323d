package simtest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// reshardSimulation is a simulation whose controllers read their sharding from shardings when they start.
type reshardSimulation struct {
	*simulation
	shardings shardingSettings
	jobs      int
}

// newReshardSimulation starts a simulation; modify, if not nil, changes the controllers' settings.
func newReshardSimulation(t *testing.T, seed uint64, lossy float64, modify func(*config.Config)) *reshardSimulation {
	r := &reshardSimulation{}
	r.simulation = newSimulation(t, seed, lossy, func(c *config.Config) {
		c.Tuning.Shards.By = r.shardings.forController(c.Name)
		if modify != nil {
			modify(c)
		}
	})
	return r
}

// submitArray submits an array of tasks with the given run time.
func (r *reshardSimulation) submitArray(tasks int, run time.Duration) {
	r.jobs++
	r.startUser(&wire.Job{ID: fmt.Sprintf("wk-%d", 100+r.jobs), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
		CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: run.Seconds()}, run, 0)
}

// rollOutSharding restarts all controllers with another sharding, one in each interval.
func (r *reshardSimulation) rollOutSharding(by string, interval time.Duration) {
	for i := range 3 {
		r.shardings.set(i, by)
		r.kill(i, time.Second)
		time.Sleep(interval)
	}
}

// shardingSettings holds the sharding setting of each controller, which the controller reads when it
// starts.
type shardingSettings struct {
	initial string
	changed sync.Map // shardings that differ from initial, by the controller's name
}

// forController returns the sharding setting of a controller.
func (s *shardingSettings) forController(controller string) string {
	if by, ok := s.changed.Load(controller); ok {
		return by.(string)
	}
	return s.initial
}

// set changes the sharding setting of a controller, which takes effect when the controller restarts.
func (s *shardingSettings) set(i int, by string) { s.changed.Store(fmt.Sprint("c-", i), by) }

// crashIntoSharding changes the sharding setting of each controller, in random order, and crashes it.
func (w *simulation) crashIntoSharding(settings *shardingSettings, by string, rng *rand.Rand) {
	for _, i := range rng.Perm(w.count) {
		settings.set(i, by)
		w.crash(i, restartDelay(rng), 0)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

// storedSharding returns the sharding record in the state service.
func (r *reshardSimulation) storedSharding() (rec store.ShardingRecord) {
	for _, it := range r.store.Page(store.ShardingKey, "", 0).Items {
		_ = wire.DecodeValue(it.Value, &rec)
	}
	return rec
}

// ledgers returns the names of the ledgers in the state service.
func (r *reshardSimulation) ledgers() (out []string) {
	for after := ""; ; {
		page := r.store.Page(store.StatePrefix+"ledger/", after, 0)
		for _, it := range page.Items {
			name, _, _ := strings.Cut(strings.TrimPrefix(it.Key, store.StatePrefix+"ledger/"), "/")
			if !slices.Contains(out, name) {
				out = append(out, name)
			}
			after = it.Key
		}
		if !page.More {
			return out
		}
	}
}

// TestReshard changes the sharding while jobs run, from one shard to two, back to one, and to two
// again. A controller whose settings differ from the others' may not become leader. Once all settings
// agree, no running task may be disturbed, every job has to end, and the data of earlier shardings has
// to disappear from the state service.
func TestReshard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newReshardSimulation(t, 21, 0, nil)
		w.startService("wk-1", 20*time.Minute)
		w.startUser(&wire.Job{ID: "wk-2", Class: "c", Team: "blue", Shape: wire.Gang, Priority: wire.High, Tasks: 4, Spread: true, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img",
			ImageGB: 1, EstimateS: 800}, 15*time.Minute, 0) // spread over both zones
		time.Sleep(40 * time.Second)
		if w.checker.Started != 10 {
			t.Fatalf("%d tasks were started", w.checker.Started)
		}
		for n, next := range []string{"zone", "off", "zone"} {
			before, startedBefore := w.storedSharding(), w.checker.Started
			w.shardings.set(0, next) // one controller alone, while the others keep their setting
			w.kill(0, time.Second)
			time.Sleep(30 * time.Second)
			if got := w.storedSharding(); got.Generation != before.Generation {
				t.Errorf("resharded to %q although the other controllers have another setting", got.Text)
			}
			w.rollOutSharding(next, 8*time.Second)
			time.Sleep(40 * time.Second)
			want := map[string]string{"off": "map[fleet]", "zone": "map[a b]"}[next]
			ledShards := map[string]bool{}
			for shard := range w.leaders() {
				ledShards[shard] = true
			}
			if got := strings.ReplaceAll(fmt.Sprint(ledShards), ":true", ""); got != want {
				t.Errorf("with setting %s the shards with a leader are %v, sharding %+v", next, got, w.storedSharding())
			}
			for range 3 {
				w.submitArray(4, 8*time.Second)
			}
			time.Sleep(time.Minute)
			if g := w.storedSharding(); g.Generation != uint64(n+1) || len(g.PreviousLedgers) > 0 || len(w.ledgers()) > 2 {
				t.Errorf("after a minute: %+v, ledgers %v", g, w.ledgers())
			}
			if extra := w.checker.Started - startedBefore - 12; extra > 0 {
				t.Errorf("with setting %s: %d tasks were started again", next, extra)
			}
		}
		w.finish(30 * time.Minute)
		w.checkResults()
	})
}

// TestReshardThroughFaults simulates days like those of TestProcessStalls on which the operators
// change the sharding repeatedly while jobs run, and sometimes leave a controller with another
// setting. AMBERDEAL_REGROUPS sets the number of days, AMBERDEAL_REGROUP runs one.
func TestReshardThroughFaults(t *testing.T) {
	runSeeds(t, 16, "AMBERDEAL_REGROUP", func(t *testing.T, seed uint64) {
		var settings shardingSettings
		rollOut := fault{"controllers are set to another sharding", func(w *simulation, rng *rand.Rand, _ time.Duration) {
			to := []string{"off", "zone"}[rng.IntN(2)]
			for i := range 3 {
				if rng.IntN(8) > 0 { // otherwise the operator forgets this controller
					settings.set(i, to)
				}
				w.kill(i, time.Duration(1+rng.IntN(6))*time.Second)
				time.Sleep(time.Duration(rng.IntN(6)) * time.Second)
			}
		}}
		setAllAlike := func(w *simulation) {
			for i := range 3 {
				settings.set(i, settings.forController("c-0"))
				w.kill(i, time.Second)
			}
		}
		rollOutToAll := fault{"all controllers are set alike", func(w *simulation, _ *rand.Rand, _ time.Duration) { setAllAlike(w) }}
		settle := func(w *simulation) {
			time.Sleep(10 * time.Second) // until killed controllers have restarted
			setAllAlike(w)
		}
		runStallScenario(t, seed, settings.forController, settle, rollOut, rollOut, rollOut, rollOutToAll, rollOutToAll)
	})
}
