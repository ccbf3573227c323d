package shard

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// fixture is the state that the trace steps act on. At first there are the shards a, b and c, each with a zone of the
// same name.
type fixture struct {
	now         time.Time
	controllers []Controller
	statuses    map[string]Status
	router      *Router
	types       []wire.MachineType
}

func newFixture() *fixture {
	b := &fixture{now: time.Unix(1e9, 0), statuses: map[string]Status{}}
	b.setSharding(3, "a", "b", "c")
	b.types = []wire.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"a", "b", "c"}}, {Name: "g8", CPUs: 32, GPUs: 8, MemoryGB: 128, Zones: []string{"c"}}}
	return b
}

func (b *fixture) setSharding(n int, zones ...string) {
	b.router = &Router{Sharding: fleet.ByZones(n, zones), Statuses: func() map[string]Status { return b.statuses }}
}

func (b *fixture) shard(name string) Shard { return Shard{name, b.router.Sharding.ZonesOf(name)} }

func (b *fixture) step(line string) []string {
	w, kv := simulator.ParseStep(line)
	num := func(key string) int {
		n, _ := strconv.Atoi(kv[key])
		return n
	}
	switch w[0] {
	case "parts":
		n, _ := strconv.Atoi(w[1])
		b.setSharding(n, w[2:]...)
		return []string{fmt.Sprint(b.router.Sharding.Shards())}
	case "controller":
		b.controllers = slices.DeleteFunc(b.controllers, func(c Controller) bool { return c.Name == w[1] })
		if len(w) > 2 {
			b.controllers = append(b.controllers, Controller{w[1], w[2], num("holds")})
		}
	case "assign":
		var free []Shard
		for _, p := range w[1:] {
			free = append(free, b.shard(p))
		}
		got := Assign(free, b.controllers, len(b.router.Sharding.Shards()))
		var out []string
		for _, p := range slices.Sorted(maps.Keys(got)) {
			out = append(out, p+" to "+got[p])
		}
		return out
	case "spare":
		i := slices.IndexFunc(b.controllers, func(c Controller) bool { return c.Name == w[1] })
		var mine []Shard
		for _, p := range w[2:] {
			mine = append(mine, b.shard(p))
		}
		others := slices.Delete(slices.Clone(b.controllers), i, i+1)
		p, ok := Surplus(b.controllers[i], mine, others)
		return []string{fmt.Sprintf("%q %v", p, ok)}
	case "stands": // a shard reports its capacity for class x
		b.statuses[w[1]] = Status{Machines: num("machines"), Backlog: num("backlog"),
			Capacity: map[string]scheduler.FreeCapacity{"x": {Now: num("now"), Rent: kv["rent"] != ""}}}
	case "wait":
		d, _ := time.ParseDuration(w[1])
		b.now = b.now.Add(d)
	case "job":
		j := &wire.Job{ID: w[1], Class: "x", Shape: wire.Shape(w[2]), Tasks: num("tasks"), CPUs: 1, GPUs: 1, MemoryGB: 1,
			Spread: slices.Contains(w, "spread"), OneZone: slices.Contains(w, "one_zone"), Zone: kv["zone"]}
		if kv["types"] != "" {
			j.Types = strings.Split(kv["types"], ",")
		}
		var out []string
		for _, s := range b.router.Route(b.now, j, b.types) {
			out = append(out, fmt.Sprintf("%d-%d to %s", s.From, s.To, s.Shard))
		}
		return out
	}
	return nil
}

// TestTraces replays the traces in testdata, which show the controllers that should lead shards and the shards that
// jobs go to.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string { return newFixture().step })
}

// TestRangesCoverJob checks that the ranges of a job cover each of its tasks once, whatever the capacity, and that no
// shard gets more tasks of a job that must be spread than its zones may have.
func TestRangesCoverJob(t *testing.T) {
	b := newFixture()
	for i := range 3000 {
		for _, p := range []string{"a", "b", "c"} {
			b.statuses[p] = Status{Machines: i * 7 % 90, Backlog: i * 13 % 40, Capacity: map[string]scheduler.FreeCapacity{"x": {Now: i * 31 % 120, Rent: i%2 == 0}}}
		}
		j := &wire.Job{ID: fmt.Sprint("wk-", i), Class: "x", Shape: []wire.Shape{wire.Array, wire.Gang, wire.Service}[i%3], Tasks: 1 + i%200, CPUs: 1, GPUs: 1, MemoryGB: 1, Spread: i%5 == 0}
		next, tasksIn := 0, map[string]int{}
		for _, s := range b.router.Route(b.now, j, b.types) {
			if s.From != next || s.To <= s.From {
				t.Fatalf("job %+v: %+v", j, s)
			}
			next = s.To
			if tasksIn[s.Shard] += s.To - s.From; j.Spread && j.Shape != wire.Gang && j.Tasks > 1 && tasksIn[s.Shard] > (j.Tasks+1)/2 {
				t.Errorf("%d of %d tasks that must be spread go to %s", tasksIn[s.Shard], j.Tasks, s.Shard)
			}
		}
		if next != j.Tasks {
			t.Fatalf("%d of %d tasks have a shard", next, j.Tasks)
		}
		b.now = b.now.Add(time.Second)
	}
}
