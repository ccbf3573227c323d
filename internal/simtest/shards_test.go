package simtest

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// newTwoShardSimulation starts a simulation of a fleet in two shards, for zones a and b.
func newTwoShardSimulation(t *testing.T, seed uint64) *simulation {
	return newSimulation(t, seed, 0, func(c *config.Config) { c.Tuning.Shards.By = "zone" })
}

// leaders returns the leader of each shard as recorded in the state service.
func (w *simulation) leaders() map[string]string {
	out := map[string]string{}
	for _, it := range w.store.Page(store.LeaderKey(""), "", 0).Items {
		var rec store.LeaderRecord
		_ = wire.DecodeValue(it.Value, &rec)
		out[strings.TrimPrefix(it.Key, store.LeaderKey(""))] = rec.Leader
	}
	return out
}

// lastFencingToken returns the last fencing token that the state service lists.
func (w *simulation) lastFencingToken() (token uint64) {
	for _, it := range w.store.Page(store.FencingTokenKey, "", 0).Items {
		_ = wire.DecodeValue(it.Value, &token)
	}
	return token
}

// startService submits a service of six replicas over both zones, which is cancelled after a while.
func (w *simulation) startService(id string, cancelAfter time.Duration) {
	w.startUser(&wire.Job{ID: id, Class: "s", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 6, Spread: true,
		CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1}, 24*time.Hour, cancelAfter)
}

// checkResults fails the test for each violation that the checkers found.
func (w *simulation) checkResults() {
	for _, violation := range append(w.checker.Violations(), w.verifyState().Problems...) {
		w.t.Error(violation)
	}
	w.logCounts()
}

// logCounts logs events that are counted but violate no rule.
func (w *simulation) logCounts() {
	starts, launches := w.checker.Launches.AfterCancellation()
	for _, s := range starts {
		w.t.Log("started:", s)
	}
	for _, s := range launches {
		w.t.Log("launched:", s)
	}
	for _, s := range w.checker.Starvation.PartiallyStarved() {
		w.t.Log("partly", s)
	}
}

// TestSurvivorLeadsAllShards kills two of three controllers; the survivor has to lead all shards.
// When the others are back, it has to release one shard, which has to be taken over at once, and no
// other shard may change its leader. No task may be lost.
func TestSurvivorLeadsAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwoShardSimulation(t, 31)
		w.startService("wk-1", 5*time.Minute)
		time.Sleep(40 * time.Second)
		if h := w.leaders(); len(h) != 2 || h["a"] == h["b"] {
			t.Errorf("the leaders are %v", h)
		}
		w.kill(1, time.Minute)
		w.kill(2, time.Minute)
		time.Sleep(25 * time.Second)
		if h := w.leaders(); h["a"] != "c-0" || h["b"] != "c-0" {
			t.Errorf("only c-0 is up, the leaders of the shards are %v", h)
		}
		before := w.lastFencingToken()
		time.Sleep(35 * time.Second)
		leaderless := time.Duration(0)
		for range 6000 { // a minute, in which the others come back
			time.Sleep(10 * time.Millisecond)
			if len(w.leaders()) < 2 {
				leaderless += 10 * time.Millisecond
			}
		}
		h := w.leaders()
		if len(h) != 2 || h["a"] == h["b"] || w.lastFencingToken() != before+1 {
			t.Errorf("after a minute the leaders of the shards are %v after %d claims, want two leaders and 1 claim", h, w.lastFencingToken()-before)
		}
		if leaderless > 500*time.Millisecond {
			t.Errorf("a shard had no leader for %v", leaderless)
		}
		if w.checker.Started != 6 {
			t.Errorf("%d starts of 6 tasks", w.checker.Started)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// TestZoneOutage partitions a zone together with its leader, and reconnects it with all its machines
// at once. Before that, its tasks have to run in the other zone.
func TestZoneOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 32, 0, func(c *config.Config) {
			c.Tuning.Shards.By = "zone"
			c.Zone = map[string]string{"c-0": "a", "c-1": "b", "c-2": "b"}[c.Name]
		})
		for i := range 3 {
			w.startUser(&wire.Job{ID: fmt.Sprint("wk-", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 4,
				CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: 60}, 90*time.Second, 0)
		}
		time.Sleep(30 * time.Second)
		before := w.leaders()["a"]
		var inside []string
		outside := []string{"10.2.0.1", "10.2.0.2", "10.3.0.1"}
		for i := range 3 {
			if fmt.Sprint("c-", i) == before {
				inside = append(inside, w.ip(i))
			} else {
				outside = append(outside, w.ip(i))
			}
		}
		for m := range 8 {
			host := strings.Split(w.cloud.AddrOfNth(m), ":")[0]
			if host == "" {
				continue
			} else if w.cloud.ZoneOf(w.cloud.AddrOfNth(m)) == "a" {
				inside = append(inside, host)
			} else {
				outside = append(outside, host)
			}
		}
		cut := func(on bool) {
			for _, a := range inside {
				for _, b := range outside {
					w.net.Partition(a, b, on)
				}
			}
		}
		cut(true)
		time.Sleep(20 * time.Second)
		if h := w.leaders(); h["a"] == before || len(h) != 2 {
			t.Errorf("the leaders are %v", h)
		}
		time.Sleep(50 * time.Second)
		if n := w.checker.Started; n <= 12 {
			t.Errorf("%d starts: no task of the unreachable zone was started elsewhere", n)
		}
		cut(false)
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// TestPeersPartitioned partitions all controllers from each other, while the state service, the
// machines and the users reach all of them, so no leader may change. Then it partitions two of them
// from the state service, so the third has to lead. Every job has to end.
func TestPeersPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwoShardSimulation(t, 33)
		w.group.Go(func() { w.submit(33, 20) })
		time.Sleep(20 * time.Second)
		before := w.lastFencingToken()
		for i := range 3 {
			w.net.Partition(w.ip(i), w.ip((i+1)%3), true)
		}
		time.Sleep(30 * time.Second)
		if n := w.lastFencingToken() - before; n > 0 {
			t.Errorf("%d claims while controllers are partitioned from each other", n)
		}
		for i := range 3 {
			w.net.Partition(w.ip(i), w.ip((i+1)%3), false)
		}
		time.Sleep(10 * time.Second)
		for _, i := range []int{0, 1} {
			w.net.Partition(w.ip(i), "10.2.0.1", true)
		}
		time.Sleep(25 * time.Second)
		for shard, name := range w.leaders() {
			if name != "c-2" {
				t.Errorf("%s is led by %s, which can't reach the state service", shard, name)
			}
		}
		for _, i := range []int{0, 1} {
			w.net.Partition(w.ip(i), "10.2.0.1", false)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// TestDeadLeader checks that a dead leader is replaced before its lease has expired, and that a leader
// whose peer heartbeats are lost keeps its shards as long as it writes to the state service.
func TestDeadLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 34, 0, nil)
		w.startService("wk-1", 4*time.Minute)
		time.Sleep(30 * time.Second)
		deadLeader := int(w.leaders()["fleet"][2] - '0')
		w.kill(deadLeader, 40*time.Second)
		start := time.Now()
		for w.leaders()["fleet"] == fmt.Sprint("c-", deadLeader) || len(w.leaders()) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(start); took > 7*time.Second {
			t.Errorf("the next leader took over after %v, want 7s at most", took)
		}
		time.Sleep(time.Minute)
		before := w.lastFencingToken()
		liveLeader := int(w.leaders()["fleet"][2] - '0')
		for i := range 3 { // its peer heartbeats are lost, but new jobs have it write
			if i != liveLeader {
				w.net.DropOneWay(w.ip(liveLeader), w.ip(i), true)
			}
		}
		for i := range 10 {
			w.startUser(&wire.Job{ID: fmt.Sprint("wk-", 10+i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
				CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 1, EstimateS: 5}, 2*time.Second, 0)
			time.Sleep(2 * time.Second)
		}
		if n := w.lastFencingToken() - before; n > 0 {
			t.Errorf("%d claims while the leader writes", n)
		}
		for i := range 3 {
			w.net.DropOneWay(w.ip(liveLeader), w.ip(i), false)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}
