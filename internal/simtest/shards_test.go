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

// newTwoShardSimulation starts a simulation of a fleet in two shards, a and b.
func newTwoShardSimulation(t *testing.T, seed uint64) *simulation {
	return newSimulation(t, seed, 0, func(c *config.Config) { c.Tuning.Shards.By = "zone" })
}

// leaders returns the leader of each shard, according to the state service.
func (w *simulation) leaders() map[string]string {
	out := map[string]string{}
	for _, it := range w.store.Page(store.LeaderKey(""), "", 0).Items {
		var rec store.LeaderRecord
		_ = wire.DecodeValue(it.Value, &rec)
		out[strings.TrimPrefix(it.Key, store.LeaderKey(""))] = rec.Leader
	}
	return out
}

// token returns the fencing token of the shard that is listed last.
func (w *simulation) token() (token uint64) {
	for _, it := range w.store.Page(store.FencingTokenKey, "", 0).Items {
		_ = wire.DecodeValue(it.Value, &token)
	}
	return token
}

// startService keeps six tasks running in both zones for a while.
func (w *simulation) startService(id string, until time.Duration) {
	w.user(&wire.Job{ID: id, Class: "s", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 6, Spread: true,
		CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1}, 24*time.Hour, until)
}

// checkResults reports every violation of a rule.
func (w *simulation) checkResults() {
	for _, b := range append(w.checker.Violations(), w.account().Problems...) {
		w.t.Error(b)
	}
	w.logCounts()
}

// logCounts logs what is counted and violates no rule.
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

// TestSurvivorLeadsAllShards ends two of three controllers; the survivor has to lead all shards.
// When the others are back one shard has to be released and taken over at once, once, and nothing
// may move afterwards. No task may be lost.
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
			t.Errorf("one is left, the leaders of the shards are %v", h)
		}
		before := w.token()
		time.Sleep(35 * time.Second)
		gap := time.Duration(0)
		for range 6000 { // who holds them while the others come back
			time.Sleep(10 * time.Millisecond)
			if len(w.leaders()) < 2 {
				gap += 10 * time.Millisecond
			}
		}
		h := w.leaders()
		if len(h) != 2 || h["a"] == h["b"] || w.token() != before+1 {
			t.Errorf("after a minute the leaders of the shards are %v, %d claims", h, w.token()-before)
		}
		if gap > 500*time.Millisecond {
			t.Errorf("a shard had no leader for %v", gap)
		}
		if w.checker.Started != 6 {
			t.Errorf("%d starts of 6 tasks", w.checker.Started)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// TestZoneOutage cuts a zone off with its controllers, and brings it back with all its machines at
// once. What ran there has to run in the other zone before.
func TestZoneOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 32, 0, func(c *config.Config) {
			c.Tuning.Shards.By = "zone"
			c.Zone = map[string]string{"c-0": "a", "c-1": "b", "c-2": "b"}[c.Name]
		})
		for i := range 3 {
			w.user(&wire.Job{ID: fmt.Sprint("wk-", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 4,
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
			t.Errorf("%d starts: nothing of the unreachable zone runs elsewhere", n)
		}
		cut(false)
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// TestPeersPartitioned separates all controllers from each other, while the state service, the
// machines and the users reach all of them; then the reverse: the state service answers none of
// two. Every job has to end.
func TestPeersPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwoShardSimulation(t, 33)
		w.group.Go(func() { w.submit(33, 20) })
		time.Sleep(20 * time.Second)
		before := w.token()
		for i := range 3 {
			w.net.Partition(w.ip(i), w.ip((i+1)%3), true)
		}
		time.Sleep(30 * time.Second)
		if n := w.token() - before; n > 0 {
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
				t.Errorf("%s is led by %s, which is cut off from the store", shard, name)
			}
		}
		for _, i := range []int{0, 1} {
			w.net.Partition(w.ip(i), "10.2.0.1", false)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// TestDeadLeader checks that a dead leader is replaced before its lease has expired, and that one
// whose peers do not hear from it keeps its shards while it still writes.
func TestDeadLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 34, 0, nil)
		w.startService("wk-1", 4*time.Minute)
		time.Sleep(30 * time.Second)
		dead := int(w.leaders()["fleet"][2] - '0')
		w.kill(dead, 40*time.Second)
		begun := time.Now()
		for w.leaders()["fleet"] == fmt.Sprint("c-", dead) || len(w.leaders()) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(begun); took > 7*time.Second {
			t.Errorf("taken over after %v", took)
		}
		time.Sleep(time.Minute)
		before := w.token()
		alive := int(w.leaders()["fleet"][2] - '0')
		for i := range 3 { // its peer heartbeats are lost, but jobs come, so that it writes
			if i != alive {
				w.net.DropOneWay(w.ip(alive), w.ip(i), true)
			}
		}
		for i := range 10 {
			w.user(&wire.Job{ID: fmt.Sprint("wk-", 10+i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
				CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 1, EstimateS: 5}, 2*time.Second, 0)
			time.Sleep(2 * time.Second)
		}
		if n := w.token() - before; n > 0 {
			t.Errorf("%d claims while the leader writes", n)
		}
		for i := range 3 {
			w.net.DropOneWay(w.ip(alive), w.ip(i), false)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}
