// Package quota tracks how much of each team's limit one shard may use.
//
// A team's limit applies to all shards together. Each shard uses no more than a record in the state service grants
// it. Only the shard's own leader changes its grants, by a compare-and-swap that is fenced by its lease and
// conditional on the version of the record that it has read, so that the sum of the grants never exceeds the limit.
// A shard that returns a part of its grant stops using that part before the write is sent. The package does no I/O:
// callers pass in records and times, and send the transactions that it returns.
package quota

import (
	"fmt"
	"log/slog"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// epsilon is the tolerance for sums of floating-point numbers. It is also the least limit that Apply sets: no task
// fits into it, while a limit of 0 would mean that there is none.
const epsilon = 1e-9

// A shard requests more than it needs, so that it does not have to request more again at once.
const (
	headroom      = 1.25     // factor on the pending demand
	minLimitShare = 1.0 / 32 // minimum increase of a grant, as a fraction of the team's limit
)

// Forecast is the demand for quota and its usage that the last plan of a shard expects, by team.
type Forecast struct {
	Demands   map[string]scheduler.QuotaDemand // work that waits for a larger grant
	Services  map[string]scheduler.Resources   // usage of services, present and planned
	Projected map[string]scheduler.Resources   // usage once all that the plan has placed runs
}

// Quota holds the grants of one shard. It is not safe for concurrent use.
type Quota struct {
	shard       string
	sharding    *fleet.Sharding
	maxGangWait time.Duration // time within which even the largest gangs should start, if they fit
	log         *slog.Logger

	record       store.Versioned[store.QuotaGrantRecord]
	pendingLower map[string]scheduler.Resources // lowered grants by team, while a write of them is in flight
	inFlight     bool                           // a change of grants is in flight

	forecast Forecast
	planned  bool   // a plan has been made, so that the forecast is valid
	peers    []Peer // sorted by shard
}

// New returns the quota of a shard. It has no grants until a record is observed.
func New(shard string, sharding *fleet.Sharding, maxGangWait time.Duration, log *slog.Logger) *Quota {
	return &Quota{shard: shard, sharding: sharding, maxGangWait: maxGangWait, log: log}
}

// Observe sets the grant record to one that was read, unless a later version is known.
func (q *Quota) Observe(rec store.Versioned[store.QuotaGrantRecord]) {
	if rec.Version >= q.record.Version {
		q.record = rec
	}
}

// String describes the grants, for tests and debug logs.
func (q *Quota) String() string {
	return fmt.Sprintf("lowering %v, in flight %v, of %v", q.pendingLower, q.inFlight, q.record.Record)
}

// SetForecast sets the forecast of the last plan.
func (q *Quota) SetForecast(f Forecast) { q.forecast, q.planned = f, true }

// Forecast returns the forecast of the last plan.
func (q *Quota) Forecast() Forecast { return q.forecast }

// Apply lowers the limits of a team to what this shard may use of them, and adds what the other shards use to the
// team's remote usage. used is what the team's tasks in this shard use.
func (q *Quota) Apply(now time.Time, team string, t *scheduler.Team, used scheduler.Resources) {
	t.GlobalLimitCPUs, t.GlobalLimitGPUs = t.LimitCPUs, t.LimitGPUs
	grant := q.granted(team, q.shard)
	returns := q.overGranted(team, t) // an excess left by an earlier sharding is returned before anything starts
	if q.yieldsFreed(now, team, *t) {
		returns = true
	}
	if returns {
		grant = minResources(grant, used)
	}
	if lower, ok := q.pendingLower[team]; ok {
		grant = minResources(grant, lower)
	}
	if t.LimitCPUs > 0 {
		t.LimitCPUs = max(min(grant.CPUs, t.LimitCPUs), epsilon)
	}
	if t.LimitGPUs > 0 {
		t.LimitGPUs = max(min(grant.GPUs, t.LimitGPUs), epsilon)
	}
	for i := range q.peers {
		t.RemoteUsedCPUs += q.peers[i].Used[team].CPUs
		t.RemoteUsedGPUs += q.peers[i].Used[team].GPUs
	}
}

// granted returns the resources of a team's limits that are granted to a shard.
func (q *Quota) granted(team, shard string) scheduler.Resources {
	return resourcesOf(q.record.Record.Grant(team, shard))
}

// totalGranted returns the sum of a team's grants to all shards. Grants to shards of an earlier sharding don't count.
func (q *Quota) totalGranted(team string) (sum scheduler.Resources) {
	for _, shard := range q.sharding.Shards() {
		sum = sum.AddScaled(q.granted(team, shard), 1)
	}
	return sum
}

// overGranted reports whether the grants exceed a team's limit. That may happen after a resharding, which grants
// resources for all tasks that may be running, some of which have ended.
func (q *Quota) overGranted(team string, limit *scheduler.Team) bool {
	sum := q.totalGranted(team)
	return limit.LimitCPUs > 0 && sum.CPUs > limit.LimitCPUs+epsilon || limit.LimitGPUs > 0 && sum.GPUs > limit.LimitGPUs+epsilon
}

// yieldsFreed reports whether resources of a team that become free in this shard are left to another shard, whose
// work has waited for longer. They are returned soon, but without this check the next of many small tasks in this
// shard would use them before that.
func (q *Quota) yieldsFreed(now time.Time, team string, limit scheduler.Team) bool {
	demand, _, first := q.mostUrgentPeer(team)
	if _, hasPending := q.forecast.Demands[team]; !hasPending || !first {
		return false
	}
	services := q.forecast.Services[team]
	for i := range q.peers {
		services = services.AddScaled(q.peers[i].Services[team], 1)
	}
	return demand.WorthReserving(now.Sub(demand.Since), q.maxGangWait, limit, services)
}

// Change is a proposed change of this shard's grants.
type Change struct {
	Txn wire.Txn
}

// Idle reports whether a change may be proposed: a plan has been made and no change is in flight.
func (q *Quota) Idle() bool { return q.planned && !q.inFlight }

// Propose returns a change of this shard's grants, or nil if none is needed. A grant grows where work waits for it and
// some of the team's limit is left. It shrinks to what is used where another shard has work that is more urgent or
// has waited for longer. fence is the condition that the caller still leads this shard. The change stays in
// flight until Settled is called.
func (q *Quota) Propose(fence wire.Condition, teams []config.Team, used map[string]scheduler.Resources) *Change {
	current := q.record
	changes := make(map[string]store.QuotaGrant)
	lowered := make(map[string]scheduler.Resources)
	for i := range teams {
		t := &teams[i]
		grant := q.granted(t.Name, q.shard)
		desired := q.desired(t, grant, used[t.Name])
		if desired == grant {
			continue
		}
		changes[t.Name] = grantOf(desired)
		if desired.CPUs < grant.CPUs || desired.GPUs < grant.GPUs {
			lowered[t.Name] = desired
		}
		q.log.Debug("grant", "team", t.Name, "from", grant, "to", desired, "used", used[t.Name])
	}
	if len(changes) == 0 {
		return nil
	}
	q.inFlight, q.pendingLower = true, lowered
	return &Change{Txn: wire.Txn{
		If:   []wire.Condition{fence, {Key: store.QuotaGrantKey, Version: current.Version}},
		Then: []wire.Operation{{Put: store.QuotaGrantKey, Value: current.Record.WithGrants(q.shard, changes)}},
	}}
}

// EndChange ends the change in flight, whether or not it was committed. rec is the record that was read afterwards.
func (q *Quota) EndChange(rec store.Versioned[store.QuotaGrantRecord]) {
	q.Observe(rec)
	q.inFlight, q.pendingLower = false, nil
}

// desired returns the grant that this shard should have of a team's limits.
func (q *Quota) desired(t *config.Team, grant, used scheduler.Resources) scheduler.Resources {
	own := q.forecast.Demands[t.Name]
	hasPending := own.IsPending()
	peer, found, first := q.mostUrgentPeer(t.Name)
	r := grantRule{hasPending: hasPending, yields: found && (!hasPending || first)}
	total, projected := q.totalGranted(t.Name), q.forecast.Projected[t.Name]
	return scheduler.Resources{
		CPUs: r.nextGrant(grantInputs{t.CPUsMax, total.CPUs, grant.CPUs, used.CPUs, projected.CPUs, own.CPUs, peer.CPUs}),
		GPUs: r.nextGrant(grantInputs{t.GPUsMax, total.GPUs, grant.GPUs, used.GPUs, projected.GPUs, own.GPUs, peer.GPUs}),
	}
}

// grantRule decides how a shard's grant of one kind of resource changes.
type grantRule struct {
	hasPending bool // work of this shard waits for a larger grant
	yields     bool // work of another shard takes precedence
}

// grantInputs are the amounts that a grant of one kind of resource depends on.
type grantInputs struct {
	limit, granted         float64 // for all shards together
	own, used, projected   float64 // this shard's grant, its usage, and its usage once all that is placed runs
	ownDemand, peersDemand float64 // pending demand of this shard, and of the other shard with the most urgent work
}

// nextGrant returns the grant that this shard should have.
func (r grantRule) nextGrant(a grantInputs) float64 {
	unallocated := max(0, a.limit-a.granted)
	switch {
	case a.limit == 0:
	case a.granted > a.limit+epsilon:
		return min(a.own, a.used)
	case r.yields && a.peersDemand > unallocated: // the others get what is free, except for placed work that waits for its machine
		return min(a.own, max(a.used, a.projected))
	case r.hasPending && a.ownDemand > 0 && unallocated > 0:
		return a.own + min(unallocated, max(a.ownDemand*headroom, a.limit*minLimitShare))
	}
	return a.own
}
