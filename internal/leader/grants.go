package leader

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// A team's limit holds for all parts together. Each part spends only what a record in
// the store grants it, and only its own holder changes that, by a write under its fence
// on the version of the record that it has seen: the sum never exceeds the limit. A part
// that gives something back stops spending it before the write is sent.

// quotaGrants is what a holder knows of what it may spend.
type quotaGrants struct {
	record       store.Versioned[store.QuotaGrantRecord]
	pendingLower map[string][2]float64 // bounds while a write that gives back is on its way
	inFlight     bool                  // a write is on its way
}

func (g *quotaGrants) observe(rec store.Versioned[store.QuotaGrantRecord]) {
	if rec.Version >= g.record.Version {
		g.record = rec
	}
}

// negligible is a limit that nothing fits, where 0 stands for none.
const negligible = 1e-9

// applyGrant sets what the part may use of a team's limits, and what others use; used is what it does.
func (h *Leader) applyGrant(now time.Time, t *scheduler.Team, name string, used [2]float64) {
	t.GlobalLimitCPUs, t.GlobalLimitGPUs = t.LimitCPUs, t.LimitGPUs
	grant := h.grants.record.Record.Teams[name][h.lease.Shard]
	returnUnused := h.overGranted(name, t) // what an earlier grouping left to give back comes first
	if h.yieldsFreed(now, name, *t) {
		returnUnused = true
	}
	if returnUnused {
		grant = [2]float64{min(grant[0], used[0]), min(grant[1], used[1])}
	}
	if lower, ok := h.grants.pendingLower[name]; ok {
		grant = [2]float64{min(grant[0], lower[0]), min(grant[1], lower[1])}
	}
	if t.LimitCPUs > 0 {
		t.LimitCPUs = max(min(grant[0], t.LimitCPUs), negligible)
	}
	if t.LimitGPUs > 0 {
		t.LimitGPUs = max(min(grant[1], t.LimitGPUs), negligible)
	}
	for _, o := range h.peerShards {
		t.RemoteUsedCPUs += o.Used[name][0]
		t.RemoteUsedGPUs += o.Used[name][1]
	}
}

// totalGranted sums what all parts may spend of a team's limits. What parts of an earlier grouping
// had is free.
func (h *Leader) totalGranted(team string) (sum [2]float64) {
	for _, shard := range h.sharding.Shards() {
		g := h.grants.record.Record.Teams[team][shard]
		sum[0] += g[0]
		sum[1] += g[1]
	}
	return sum
}

// overGranted reports whether more is granted than there is: a state that was divided anew grants
// what may be running, also of what has ended.
func (h *Leader) overGranted(name string, t *scheduler.Team) bool {
	sum := h.totalGranted(name)
	return t.LimitCPUs > 0 && sum[0] > t.LimitCPUs+negligible || t.LimitGPUs > 0 && sum[1] > t.LimitGPUs+negligible
}

// GrantChange is a change of what this part may spend.
type GrantChange struct {
	Txn     wire.Txn
	lowered map[string][2]float64
}

// ProposeGrants takes more of the teams' limits where work waits for it and some is left, and
// gives back what is not used where other parts wait for longer or for more urgent work.
func (h *Leader) ProposeGrants(now time.Time) *GrantChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.grants.inFlight || !h.rebuiltReachable || h.forecast.at.IsZero() {
		return nil
	}
	used, current := h.teamUsage(), h.grants.record
	next := store.QuotaGrantRecord{Teams: maps.Clone(current.Record.Teams)}
	if next.Teams == nil {
		next.Teams = make(map[string]map[string][2]float64)
	}
	change := &GrantChange{lowered: map[string][2]float64{}}
	changed := false
	teams := h.allTeams()
	for i := range teams {
		t := &teams[i]
		own := current.Record.Teams[t.Name][h.lease.Shard]
		desired := h.desiredGrant(t, own, used[t.Name])
		if desired == own {
			continue
		}
		changed = true
		byShard := maps.Clone(next.Teams[t.Name])
		if byShard == nil {
			byShard = make(map[string][2]float64)
		}
		byShard[h.lease.Shard] = desired
		next.Teams[t.Name] = byShard
		if desired[0] < own[0] || desired[1] < own[1] {
			change.lowered[t.Name] = desired
		}
		h.log.Debug("grant", "team", t.Name, "from", own, "to", desired, "used", used[t.Name])
	}
	if !changed {
		return nil
	}
	change.Txn = wire.Txn{If: []wire.Condition{{Key: store.LeaderKey(h.lease.Shard), Version: h.lease.Version}, {Key: store.QuotaGrantKey, Version: current.Version}},
		Then: []wire.Operation{{Put: store.QuotaGrantKey, Value: next}}}
	h.grants.inFlight, h.grants.pendingLower = true, change.lowered
	return change
}

// A part takes some more than it needs, so that it need not come again at once.
const (
	grantHeadroom = 1.25
	minGrantShare = 1.0 / 32 // of the limit
)

// mostUrgentElsewhere gives what the other parts want most urgently of a team's limits, and whether that goes
// before what this part wants. Of two that are as urgent one does.
func (h *Leader) mostUrgentElsewhere(team string) (most scheduler.QuotaDemand, asked, first bool) {
	from := ""
	for _, shard := range sortedKeys(h.peerShards) {
		if w := h.peerShards[shard].Wants[team]; w.IsPending() && (!asked || w.Compare(most) < 0) {
			most, from, asked = w, shard, true
		}
	}
	return most, asked, asked && cmp.Or(most.Compare(h.forecast.demands[team]), cmp.Compare(from, h.lease.Shard)) < 0
}

// yieldsFreed reports whether what comes free here of a team's limit is for another part that has
// waited for longer. It is given back soon; the next of many small tasks would take it before.
func (h *Leader) yieldsFreed(now time.Time, name string, limit scheduler.Team) bool {
	want, _, first := h.mostUrgentElsewhere(name)
	if _, waits := h.forecast.demands[name]; !waits || !first {
		return false
	}
	serviceUsage := h.forecast.serviceUsage[name]
	for _, o := range h.peerShards {
		serviceUsage = serviceUsage.AddScaled(o.Stays[name], 1)
	}
	return want.WorthReserving(now.Sub(want.Since), h.cfg.Tuning.BeginWithin, limit, serviceUsage)
}

// desiredGrant gives what a part should be granted of a team's limits.
func (h *Leader) desiredGrant(t *config.Team, own, used [2]float64) [2]float64 {
	sum := h.totalGranted(t.Name)
	mine := h.forecast.demands[t.Name]
	waits := mine.IsPending()
	elsewhere, asked, first := h.mostUrgentElsewhere(t.Name)
	yields := asked && (!waits || first)
	out := own
	for i, limit := range [2]float64{t.CPUsMax, t.GPUsMax} {
		need := [2]float64{mine.CPUs, mine.GPUs}[i]
		wanted := [2]float64{elsewhere.CPUs, elsewhere.GPUs}[i]
		left := max(0, limit-sum[i])
		switch {
		case limit == 0:
		case sum[i] > limit+negligible:
			out[i] = min(own[i], used[i])
		case yields && wanted > left: // what is free goes to the others, but for what only waits for its machine
			out[i] = min(own[i], max(used[i], h.forecast.projectedUsage[t.Name][i]))
		case waits && need > 0 && left > 0:
			out[i] = own[i] + min(left, max(need*grantHeadroom, limit*minGrantShare))
		}
	}
	return out
}

// GrantsSettled takes in that a change of grants is over, one way or the other, and how the
// record stands since then.
func (h *Leader) GrantsSettled(rec store.Versioned[store.QuotaGrantRecord]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grants.observe(rec)
	h.grants.inFlight, h.grants.pendingLower = false, nil
}

// grantInterval is the time between two changes of grants.
const grantInterval = 600 * time.Millisecond

// runGrants keeps the grants of the part until the context ends.
func (h *Leader) runGrants(ctx context.Context, e Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	for ctx.Err() == nil {
		store.Backoff(ctx, grantInterval)
		if !e.LeaseValid() {
			continue
		}
		if rg := h.ProposeGrants(time.Now()); rg != nil {
			h.commitGrant(ctx, e, rg)
		}
	}
	return nil
}

// commitGrant makes a change of grants. Without an answer it is made again: its condition
// on the record lets one copy at most be taken. What it gives back is not spent until the
// view shows how it ended.
func (h *Leader) commitGrant(ctx context.Context, e Dependencies, change *GrantChange) {
	for ctx.Err() == nil {
		_, err := e.Store.Txn(ctx, change.Txn)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			for ctx.Err() == nil {
				if e.Follower.Barrier(ctx) == nil {
					h.GrantsSettled(e.View.Snapshot().QuotaGrants)
					return
				}
				store.Backoff(ctx, 200*time.Millisecond)
			}
			return
		}
		store.Backoff(ctx, 300*time.Millisecond)
	}
}
