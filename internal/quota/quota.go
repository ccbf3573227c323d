// Package quota keeps what one shard may use of the limits of the teams.
//
// A team's limit holds for all shards together. Each shard uses no more than a record in the state
// service grants it, and only the shard's own leader changes its grants, by a compare-and-swap that is
// fenced by its lease and conditional on the version of the record that it has read: the sum of the grants
// never exceeds the limit. A shard that returns a part of its grant stops using that part before
// the write is sent. The package does no I/O: records and times come in, transactions go out.
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

// negligible is an amount that no task fits into, where a limit of 0 stands for none, and the tolerance
// for sums of floating-point numbers.
const tolerance = 1e-9

// A shard asks for more than it needs, so that it need not ask again at once.
const (
	headroom      = 1.25     // times the need
	minLimitShare = 1.0 / 32 // of the team's limit
)

// Forecast is what the last plan of a shard leaves of its teams' quotas, by team.
type Forecast struct {
	Demands   map[string]scheduler.QuotaDemand // work that the grant holds back
	Services  map[string]scheduler.Resources   // what services use, or will use
	Projected map[string]scheduler.Resources   // usage with all that the plan has placed
}

// Quota holds the grants of one shard. It is not safe for concurrent use.
type Quota struct {
	shard       string
	sharding    *fleet.Sharding
	beginWithin time.Duration // by when work should begin
	log         *slog.Logger

	record       store.Versioned[store.QuotaGrantRecord]
	pendingLower map[string]scheduler.Resources // bounds while a write that lowers grants is in flight
	inFlight     bool                           // a write is in flight

	forecast Forecast
	planned  bool   // a plan has been made, so that the forecast holds
	peers    []Peer // by name of the shard
}

// New returns the quota of a shard for which no record has been read yet.
func New(shard string, sharding *fleet.Sharding, beginWithin time.Duration, log *slog.Logger) *Quota {
	return &Quota{shard: shard, sharding: sharding, beginWithin: beginWithin, log: log}
}

// Observe takes in the grant record as it was read.
func (q *Quota) Observe(rec store.Versioned[store.QuotaGrantRecord]) {
	if rec.Version >= q.record.Version {
		q.record = rec
	}
}

// String describes the grants for tests and debug logs.
func (q *Quota) String() string {
	return fmt.Sprintf("lowering %v, in flight %v, of %v", q.pendingLower, q.inFlight, q.record.Record)
}

// SetForecast takes in what the last plan leaves.
func (q *Quota) SetForecast(f Forecast) { q.forecast, q.planned = f, true }

// Forecast gives what the last plan has left.
func (q *Quota) Forecast() Forecast { return q.forecast }

// Apply lowers the limits of a team to what this shard may use of them, and notes what the other
// shards use. Used is what the team's tasks in this shard use.
func (q *Quota) Apply(now time.Time, team string, t *scheduler.Team, used scheduler.Resources) {
	t.GlobalLimitCPUs, t.GlobalLimitGPUs = t.LimitCPUs, t.LimitGPUs
	grant := q.granted(team, q.shard)
	returns := q.overGranted(team, t) // excess that an earlier sharding has left is returned first
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
		t.LimitCPUs = max(min(grant.CPUs, t.LimitCPUs), tolerance)
	}
	if t.LimitGPUs > 0 {
		t.LimitGPUs = max(min(grant.GPUs, t.LimitGPUs), tolerance)
	}
	for i := range q.peers {
		t.RemoteUsedCPUs += q.peers[i].Used[team].CPUs
		t.RemoteUsedGPUs += q.peers[i].Used[team].GPUs
	}
}

// granted gives what a shard is granted of a team's limits.
func (q *Quota) granted(team, shard string) scheduler.Resources {
	return resourcesOf(q.record.Record.Grant(team, shard))
}

// totalGranted sums what all shards are granted of a team's limits. What shards of an earlier sharding had
// is free.
func (q *Quota) totalGranted(team string) (sum scheduler.Resources) {
	for _, shard := range q.sharding.Shards() {
		sum = sum.AddScaled(q.granted(team, shard), 1)
	}
	return sum
}

// overGranted reports whether more is granted than the limit: after a resharding all is granted that may
// be running, also for tasks that have ended.
func (q *Quota) overGranted(team string, limit *scheduler.Team) bool {
	sum := q.totalGranted(team)
	return limit.LimitCPUs > 0 && sum.CPUs > limit.LimitCPUs+tolerance || limit.LimitGPUs > 0 && sum.GPUs > limit.LimitGPUs+tolerance
}

// yieldsFreed reports whether what becomes free here of a team's limit is left to another shard whose work
// has waited for longer. It is returned soon; the next of many small tasks would take it before that.
func (q *Quota) yieldsFreed(now time.Time, team string, limit scheduler.Team) bool {
	demand, _, first := q.mostUrgentPeer(team)
	if _, waits := q.forecast.Demands[team]; !waits || !first {
		return false
	}
	services := q.forecast.Services[team]
	for i := range q.peers {
		services = services.AddScaled(q.peers[i].Services[team], 1)
	}
	return demand.WorthReserving(now.Sub(demand.Since), q.beginWithin, limit, services)
}

// Change is a change of what this shard is granted.
type Change struct {
	Txn wire.Txn
}

// Idle reports whether a change may be proposed: a plan has been made, and no change is in flight.
func (q *Quota) Idle() bool { return q.planned && !q.inFlight }

// Propose makes a change that takes more of the teams' limits where work waits for it and some is left, and returns what is
// not used where other shards have work that has waited for longer or is more urgent. It gives nil where
// nothing changes. Fence is the condition that this shard is still led by the caller.
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

// Settled takes in that a change is over, whether it was taken or not, and the record as it is since then.
func (q *Quota) Settled(rec store.Versioned[store.QuotaGrantRecord]) {
	q.Observe(rec)
	q.inFlight, q.pendingLower = false, nil
}

// desired gives what this shard should be granted of a team's limits.
func (q *Quota) desired(t *config.Team, grant, used scheduler.Resources) scheduler.Resources {
	own := q.forecast.Demands[t.Name]
	waits := own.IsPending()
	peer, asked, first := q.mostUrgentPeer(t.Name)
	r := grantRule{hasPending: waits, yields: asked && (!waits || first)}
	total, projected := q.totalGranted(t.Name), q.forecast.Projected[t.Name]
	return scheduler.Resources{
		CPUs: r.nextGrant(grantInputs{t.CPUsMax, total.CPUs, grant.CPUs, used.CPUs, projected.CPUs, own.CPUs, peer.CPUs}),
		GPUs: r.nextGrant(grantInputs{t.GPUsMax, total.GPUs, grant.GPUs, used.GPUs, projected.GPUs, own.GPUs, peer.GPUs}),
	}
}

// rule says how a shard's grant of one kind of resource changes.
type grantRule struct {
	hasPending bool // work of this shard waits for a larger grant
	yields     bool // work of another shard goes first
}

// amounts are what a grant of one kind of resource depends on.
type grantInputs struct {
	limit, granted         float64 // of all shards
	own, used, projected   float64 // this shard's grant, what it uses, and will with all that is placed
	ownDemand, peersDemand float64 // what waits here, and in the shard whose work is the most urgent
}

// next gives the grant that this shard should have.
func (r grantRule) nextGrant(a grantInputs) float64 {
	left := max(0, a.limit-a.granted)
	switch {
	case a.limit == 0:
	case a.granted > a.limit+tolerance:
		return min(a.own, a.used)
	case r.yields && a.peersDemand > left: // what is free goes to the others, but for what only waits for its machine
		return min(a.own, max(a.used, a.projected))
	case r.hasPending && a.ownDemand > 0 && left > 0:
		return a.own + min(left, max(a.ownDemand*headroom, a.limit*minLimitShare))
	}
	return a.own
}
