package quota

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

var (
	start    = time.Unix(1e9, 0)
	sharding = fleet.ByZones(2, []string{"a", "b"})
	teams    = []config.Team{{Name: "red", GPUsMax: 32}, {Name: "blue"}}
)

func gpus(n float64) scheduler.Resources { return scheduler.Resources{GPUs: n} }

func redDemand(n float64, since time.Time) map[string]scheduler.QuotaDemand {
	return map[string]scheduler.QuotaDemand{"red": {GPUs: n, Least: gpus(1), Since: since}}
}

func grantRecord(version uint64, a, b float64) store.Versioned[store.QuotaGrantRecord] {
	rec := store.NewQuotaGrantRecord(map[string]map[string]store.QuotaGrant{"red": {"a": {GPUs: a}, "b": {GPUs: b}}})
	return store.Versioned[store.QuotaGrantRecord]{Version: version, Record: rec}
}

func newQuota(rec store.Versioned[store.QuotaGrantRecord]) *Quota {
	q := New("a", sharding, 0, slog.New(slog.DiscardHandler))
	q.Observe(rec)
	return q
}

// redGPULimit returns how many of red's GPUs the shard may use.
func redGPULimit(q *Quota, used float64) float64 {
	t := &scheduler.Team{LimitGPUs: 32}
	q.Apply(start, "red", t, gpus(used))
	return t.LimitGPUs
}

// TestPropose checks that a grant grows where work waits for it, up to what is left of the limit, and shrinks to what
// is used where another shard's work takes precedence or the grants exceed the limit.
func TestPropose(t *testing.T) {
	for _, x := range []struct {
		name                    string
		a, b, used, own, theirs float64 // grants of a and b, usage of a, pending demands of a and b
		peerFirst               bool
		want                    float64 // -1: no change
	}{
		{"nothing waits", 8, 8, 8, 0, 0, false, -1},
		{"work waits", 8, 8, 8, 4, 0, false, 13},
		{"a little work waits", 8, 8, 8, 0.5, 0, false, 9},
		{"more waits than is left", 8, 20, 8, 10, 0, false, 12},
		{"nothing is left", 8, 24, 8, 10, 0, false, -1},
		{"others wait", 12, 20, 5, 0, 4, true, 5},
		{"others wait, and enough is left", 12, 8, 5, 0, 4, true, -1},
		{"both wait, this one for longer", 12, 20, 12, 4, 4, false, -1},
		{"both wait, the other for longer", 12, 20, 5, 4, 4, true, 5},
		{"more is granted than there is", 30, 20, 25, 4, 0, false, 25},
	} {
		q := newQuota(grantRecord(3, x.a, x.b))
		f := Forecast{}
		if x.own > 0 {
			f.Demands = redDemand(x.own, start)
		}
		if x.theirs > 0 {
			since := start.Add(time.Second)
			if x.peerFirst {
				since = start.Add(-time.Second)
			}
			q.SetPeers([]Peer{{Shard: "b", Demands: redDemand(x.theirs, since)}})
		}
		q.SetForecast(f)
		change := q.Propose(wire.Condition{Key: "fence"}, teams, map[string]scheduler.Resources{"red": gpus(x.used)})
		got := -1.0
		if change != nil {
			got = change.Txn.Then[0].Value.(store.QuotaGrantRecord).Grant("red", "a").GPUs
			if len(change.Txn.If) != 2 || change.Txn.If[0].Key != "fence" || change.Txn.If[1] != (wire.Condition{Key: store.QuotaGrantKey, Version: 3}) {
				t.Errorf("%s: conditions %v", x.name, change.Txn.If)
			}
		}
		if got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// TestReturnedGrantIsNotUsed checks that what a change returns is not used while the change is in flight, and that no
// other change may be proposed meanwhile.
func TestReturnedGrantIsNotUsed(t *testing.T) {
	q := newQuota(grantRecord(3, 12, 20))
	if q.Idle() || redGPULimit(q, 5) != 12 {
		t.Errorf("before the first plan: %v, %v", q.Idle(), redGPULimit(q, 5))
	}
	q.SetForecast(Forecast{})
	q.SetPeers([]Peer{{Shard: "b", Used: map[string]scheduler.Resources{"red": gpus(20)}, Demands: redDemand(4, start)}})
	if !q.Idle() || q.Propose(wire.Condition{}, teams, map[string]scheduler.Resources{"red": gpus(5)}) == nil {
		t.Fatal("nothing is returned")
	}
	if q.Idle() || redGPULimit(q, 5) != 5 {
		t.Errorf("while the change is in flight: %v, %v", q.Idle(), redGPULimit(q, 5))
	}
	q.EndChange(grantRecord(2, 1, 1)) // an older version than was read before
	if !q.Idle() || redGPULimit(q, 5) != 12 {
		t.Errorf("after the change was rejected: %v, %v", q.Idle(), redGPULimit(q, 5))
	}
	q.EndChange(grantRecord(4, 5, 20))
	team := &scheduler.Team{LimitGPUs: 32}
	if q.Apply(start, "red", team, gpus(5)); team.LimitGPUs != 5 || team.GlobalLimitGPUs != 32 || team.RemoteUsedGPUs != 20 || team.LimitCPUs != 0 {
		t.Errorf("after the change was committed: %+v", team)
	}
}

// TestGrantsNeverExceedLimit checks that the sum of the grants never exceeds the limit, whatever the shards demand and
// in whichever order their changes are committed.
func TestGrantsNeverExceedLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	rec := store.Versioned[store.QuotaGrantRecord]{Version: 1}
	quotas := map[string]*Quota{}
	for _, shard := range sharding.Shards() {
		quotas[shard] = New(shard, sharding, 0, slog.New(slog.DiscardHandler))
	}
	for range 3000 {
		for shard, q := range quotas {
			if random.IntN(3) == 0 {
				q.Observe(rec) // otherwise it uses an older record
			}
			q.SetForecast(Forecast{Demands: redDemand(float64(random.IntN(12)), start.Add(time.Duration(random.IntN(9))*time.Second))})
			other := map[string]string{"a": "b", "b": "a"}[shard]
			q.SetPeers([]Peer{{Shard: other, Demands: redDemand(float64(random.IntN(12)), start)}})
			change := q.Propose(wire.Condition{}, teams, map[string]scheduler.Resources{"red": gpus(float64(random.IntN(20)))})
			if change == nil {
				continue
			}
			if change.Txn.If[1].Version == rec.Version {
				rec = store.Versioned[store.QuotaGrantRecord]{Version: rec.Version + 1, Record: change.Txn.Then[0].Value.(store.QuotaGrantRecord)}
			}
			q.EndChange(rec)
			sum := 0.0
			for shard := range rec.Record.Teams["red"] {
				sum += rec.Record.Grant("red", shard).GPUs
			}
			if sum > 32+epsilon {
				t.Fatalf("%v", rec.Record.Teams)
			}
		}
	}
	if rec.Version < 100 {
		t.Errorf("only %d changes were committed", rec.Version)
	}
}

// TestTeams checks that a team removed from the settings keeps a limit that fits its largest job while it has live
// jobs, and that the settings are not modified.
func TestTeams(t *testing.T) {
	job := func(team string, shape wire.Shape, tasks int) *store.LiveJob {
		return &store.LiveJob{Record: store.JobRecord{Job: &wire.Job{Team: team, Shape: shape, Tasks: tasks, CPUs: 2, GPUs: 1}}}
	}
	settings := make([]config.Team, 1, 8)
	settings[0] = config.Team{Name: "red", GPUsMax: 32}
	live := map[string]*store.LiveJob{"wk-1": job("red", wire.Gang, 99), "wk-2": job("gone", wire.Gang, 4), "wk-3": job("gone", wire.Array, 50), "wk-4": job("away", wire.Array, 50)}
	got := Teams(settings, live)
	want := []config.Team{{Name: "red", GPUsMax: 32}, {Name: "away", CPUsMax: 2, GPUsMax: 1}, {Name: "gone", CPUsMax: 8, GPUsMax: 4}}
	if !slices.Equal(got, want) {
		t.Errorf("%+v", got)
	}
	if settings[:2][1].Name != "" {
		t.Errorf("the settings hold %+v", settings[:2][1])
	}
}
