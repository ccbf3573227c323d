package leader

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// largeFleet is the leader of a large fleet: machines with some tasks each, and jobs that wait.
type largeFleet struct {
	*Leader
	cfg        *config.Config
	shard      string
	view       *store.View
	heartbeats []*wire.Heartbeat
	now        time.Time
	revision   uint64
	jobCount   int
}

// newLargeFleet returns the leader of one shard of a fleet with a number of machines and shards.
func newLargeFleet(tb testing.TB, machines, shards int) *largeFleet {
	return newLargeFleetOf(tb, machines, shards, 0)
}

// newLargeFleetOf is newLargeFleet with a number of teams. Half of the fleet is guaranteed to the teams in equal
// shares, and each team's limit is three times its share. With 0 teams, the fleet has the teams of traceConfig.
func newLargeFleetOf(tb testing.TB, machines, shards, teams int) *largeFleet {
	tb.Helper()
	cfg, shard := largeFleetConfig(machines, shards, teams)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := &largeFleet{cfg: cfg, shard: shard, view: store.NewView(log), now: time.Unix(1e9, 0)}
	f.view.Load(nil, 0, &wire.WatchResponse{})
	for range machines / 10 {
		f.addJob(wire.Array, 25, teams)
		f.addJob(wire.Service, 4, teams)
		f.addJob(wire.Gang, 6, teams)
	}
	if teams > 0 && shards > 1 {
		f.grantTeams()
	}
	types := []wire.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 60, FetchGBps: 0.5, Price: 4, SpotPrice: 1, BootS: 30, Zones: cfg.Zones}}
	f.Leader = New(cfg, leadership.Tenure{Shard: shard, FencingToken: 3, Version: f.revision}, f.view.Snapshot(), store.ShardLedgers{Name: shard, Migrated: true}, types, f.view, f.now, log)
	f.addMachines(machines / shards)
	return f
}

// largeFleetConfig returns the configuration of a fleet, and the shard that is measured.
func largeFleetConfig(machines, shards, teams int) (cfg *config.Config, shard string) {
	cfg, shard = traceConfig(), "fleet"
	if teams > 0 {
		cfg.Teams = nil
		for i := range teams {
			share := float64(4*machines) / float64(2*teams)
			cfg.Teams = append(cfg.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i), GPUs: share, GPUsMax: max(8, 3*share)})
		}
	}
	if cfg.Zones = []string{"a", "b", "c", "d", "e"}[:max(3, shards)]; shards > 1 {
		cfg.Tuning.Shards.By, shard = fmt.Sprint(shards), cfg.Zones[0]
		if shards < len(cfg.Zones) {
			shard = "part-0"
		}
	}
	cfg.Workers.HeartbeatInterval = 8 * time.Second
	cfg.Store = config.Store{TxnOps: 24, ValueBytes: 16 << 10}
	cfg.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 60}, {Kind: "finished", Class: "array", WithinS: 180}}
	return cfg, shard
}

// put puts a value into the view, as the watch would.
func (f *largeFleet) put(key string, value any) {
	f.revision++
	f.view.Apply(&wire.WatchResponse{Revision: f.revision, Events: []wire.Event{{Put: key, Value: wire.Encode(value), Version: f.revision}}})
}

// addJob stores a job. Shards and teams take turns.
func (f *largeFleet) addJob(shape wire.Shape, tasks, teams int) {
	n, shards := f.jobCount, f.cfg.Sharding().Shards()
	f.jobCount++
	team := "blue"
	if teams > 0 {
		team = f.cfg.Teams[n%teams].Name
	}
	class := map[wire.Shape]string{wire.Array: "array", wire.Gang: "gang", wire.Service: "service"}[shape]
	j := &wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: class,
		Shape: shape, Team: team, Priority: wire.Normal, Tasks: tasks, CPUs: 3, GPUs: 1, MemoryGB: 12, Image: fmt.Sprintf("img-%d", n%12), ImageGB: 4,
		EstimateS: 60, OneZone: shape == wire.Gang, Spread: shape == wire.Service}
	rec := store.JobRecord{Stage: wire.Pending, Tasks: tasks, Job: j, Created: f.now.UnixMilli()}
	if len(shards) > 1 {
		first, second := shards[n%len(shards)], shards[(n+1)%len(shards)]
		rec.Ranges = []store.ShardRange{{From: 0, To: tasks, Shard: first}}
		if shape == wire.Service { // spread
			rec.Ranges = []store.ShardRange{{From: 0, To: tasks / 2, Shard: first}, {From: tasks / 2, To: tasks, Shard: second}}
		}
	}
	f.put(store.BatchKey(j.ID), store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: rec}})
}

// grantTeams grants each shard its share of the teams' limits, and one GPU more, which it has to give back.
func (f *largeFleet) grantTeams() {
	shards := f.cfg.Sharding().Shards()
	grants := store.QuotaGrantRecord{Teams: map[string]map[string][2]float64{}}
	for _, t := range f.cfg.Teams {
		grants.Teams[t.Name] = map[string][2]float64{}
		for _, name := range shards {
			grants.Teams[t.Name][name] = [2]float64{0, t.GPUsMax/float64(len(shards)) + 1}
		}
	}
	f.put(store.QuotaGrantKey, grants)
}

// addMachines adds n machines to the shard by their first heartbeats.
func (f *largeFleet) addMachines(n int) {
	zones := f.cfg.Zones
	if len(f.cfg.Sharding().Shards()) > 1 {
		zones = f.cfg.Sharding().ZonesOf(f.shard)
	}
	for i := range n {
		hb := &wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Addr: "10.1.0.1:9000", Type: "g4", Zone: zones[i%len(zones)], Incarnation: 1, Seq: 1, FencingToken: 3}
		f.heartbeats = append(f.heartbeats, hb)
		f.HandleHeartbeat(f.now, hb, true)
	}
}

// runRound decides a round, commits it, and has the machines report its launches.
func (f *largeFleet) runRound() (launched int) {
	f.now = f.now.Add(time.Second)
	d := f.Decide(f.now, f.view.Snapshot())
	if d == nil {
		return 0
	}
	f.revision++
	f.Committed(d, f.revision)
	for _, p := range d.launches {
		var i int
		fmt.Sscanf(p.Machine, "n-%d", &i)
		f.heartbeats[i].Tasks = append(f.heartbeats[i].Tasks, wire.ReportedTask{Task: p.Task.String(), ID: p.Task, Attempt: p.Attempt, State: wire.TaskRunning})
	}
	f.heartbeatAll()
	return len(d.launches)
}

// heartbeatAll has each machine send its next heartbeat.
func (f *largeFleet) heartbeatAll() {
	for _, hb := range f.heartbeats {
		hb.Seq++
		f.HandleHeartbeat(f.now, hb, true)
	}
}

// TestRoundCost checks how many changes and bytes rounds write in a large fleet, since the state service accepts only
// a few dozen changes a second from all controllers together. Rounds first fill 2000 machines, and then touch machines
// all over the fleet.
func TestRoundCost(t *testing.T) {
	f := newLargeFleet(t, 2000, 1)
	changes, bytes, rounds, launched := 0, 0, 0, 0
	for rounds < 60 {
		f.now = f.now.Add(time.Second)
		d := f.Decide(f.now, f.view.Snapshot())
		if d == nil {
			break
		}
		rounds++
		if n := len(d.Txn.Then); n > f.cfg.Store.TxnOps || len(d.Txn.If) > 4*f.cfg.Store.TxnOps {
			t.Fatalf("round %d: %d changes, %d conditions", rounds, n, len(d.Txn.If))
		}
		size := len(wire.Encode(d.Txn))
		if size > 64<<10 {
			t.Fatalf("round %d: %d bytes", rounds, size)
		}
		changes += len(d.Txn.Then)
		bytes += size
		launched += len(d.launches)
		f.revision++
		f.Committed(d, f.revision)
		f.heartbeatAll()
	}
	if launched < 4000 || changes > 5*rounds {
		t.Errorf("%d rounds launched %d tasks with %d changes, %d bytes", rounds, launched, changes, bytes)
	}
}

// benchmarkSizes runs a benchmark at several numbers of machines and shards, to show how the cost of one leader grows.
func benchmarkSizes(b *testing.B, run func(b *testing.B, f *largeFleet)) {
	for _, n := range []int{2000, 5000, 10_000} {
		for _, shards := range []int{1, 3, 5} {
			b.Run(fmt.Sprintf("%d/%d", n, shards), func(b *testing.B) { run(b, newLargeFleet(b, n, shards)) })
		}
	}
}

// BenchmarkHeartbeat handles heartbeats of a full fleet.
func BenchmarkHeartbeat(b *testing.B) { benchmarkSizes(b, benchHeartbeat) }

func benchHeartbeat(b *testing.B, f *largeFleet) {
	for f.runRound() > 0 {
	}
	b.ResetTimer()
	for i := range b.N {
		hb := f.heartbeats[i%len(f.heartbeats)]
		hb.Seq++
		f.HandleHeartbeat(f.now, hb, true)
	}
}

// BenchmarkTombstones handles heartbeats that list, beside running tasks, ended attempts, which workers remember to
// recognize late copies of commands.
func BenchmarkTombstones(b *testing.B) {
	for _, n := range []int{0, 4, 20, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newLargeFleet(b, 2000, 1)
			for f.runRound() > 0 {
			}
			f.reportEndedAttempts(n)
			benchHeartbeat(b, f)
			b.ReportMetric(float64(len(wire.Encode(f.heartbeats[0]))), "B/heartbeat")
		})
	}
}

// reportEndedAttempts has each machine report n ended attempts of jobs that are over.
func (f *largeFleet) reportEndedAttempts(n int) {
	const firstAttempt = 2 << 24 // of an earlier fencing token
	for _, hb := range f.heartbeats {
		for i := range n {
			id := wire.TaskID{Job: fmt.Sprintf("wk-9%05d", i)}
			hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: id.String(), ID: id, Attempt: firstAttempt + uint64(i), State: wire.TaskEnded, Cause: wire.CauseDone})
		}
	}
	f.heartbeatAll()
	f.Reconcile(f.now, f.view.Snapshot())
}

// BenchmarkDecide decides rounds in which nothing can be placed: the fleet is full and jobs wait.
func BenchmarkDecide(b *testing.B) { benchmarkSizes(b, benchDecide) }

func benchDecide(b *testing.B, f *largeFleet) {
	for f.runRound() > 0 {
	}
	for b.Loop() {
		f.now = f.now.Add(time.Millisecond)
		if d := f.Decide(f.now, f.view.Snapshot()); d != nil {
			f.revision++
			f.Committed(d, f.revision)
		}
	}
}

// BenchmarkTeams decides rounds for growing numbers of teams with 4,900 machines.
func BenchmarkTeams(b *testing.B) {
	for _, shards := range []int{1, 5} {
		for _, teams := range []int{5, 100, 530, 2000} {
			b.Run(fmt.Sprintf("%d/%d", teams, shards), func(b *testing.B) { benchDecide(b, newLargeFleetOf(b, 4900, shards, teams)) })
		}
	}
}

// BenchmarkTakeover starts a leader from the ledger of a full fleet.
func BenchmarkTakeover(b *testing.B) { benchmarkSizes(b, benchTakeover) }

func benchTakeover(b *testing.B, f *largeFleet) {
	segments := map[string]store.Segment{}
	for {
		f.now = f.now.Add(time.Second)
		d := f.Decide(f.now, f.view.Snapshot())
		if d == nil || len(d.launches) == 0 {
			break
		}
		f.revision++
		for i, operation := range d.Packed().Then {
			segments[operation.Put] = store.Segment{Number: i, Version: f.revision, Record: operation.Value.(store.SegmentRecord)}
		}
		f.Committed(d, f.revision)
	}
	var list []store.Segment
	for _, s := range segments {
		s.Number = len(list)
		list = append(list, s)
	}
	for b.Loop() {
		New(f.cfg, f.lease, f.view.Snapshot(), store.ShardLedgers{Name: f.lease.Shard, Own: list, Migrated: true}, f.types, f.jobIndex, f.now, f.log)
	}
}
