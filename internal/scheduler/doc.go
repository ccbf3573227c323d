// Package scheduler decides which machine runs which task. Schedule is a pure function from a snapshot of the
// cluster to a plan of launches, stops, scale-outs and scale-ins: it does no I/O, does not read the clock, and
// iterates in a fixed order, so that equal snapshots give equal plans.
//
// A plan is made in passes. The files of the package are:
//
//   - order.go sorts the jobs by tier, priority and the time left to meet their objectives. Where operators have
//     configured tiers, tier_shares.go turns this order into a queue in which work within its tier's share is
//     placed before all work that exceeds a share.
//   - reservation_turns.go and reservation.go reserve capacity for gangs. A gang needs much capacity at once, and
//     in a full fleet smaller jobs take each piece of capacity as it is freed. A gang that has waited for a long
//     time therefore goes before all other jobs of its priority, picks the zone with the least remaining wait, and
//     reserves the free capacity there and the machines that will be free soonest. No state is kept between rounds
//     or leaders: what was reserved is still free, so the next round finds the same reservation again.
//   - first_replica.go launches one replica of each service before the second replica of any. This matters when
//     much has to start at once, for example after a zone has recovered.
//   - tasks.go and gang.go place the waiting tasks of each job. search.go and bestfit.go pick a machine that has
//     capacity now (bin packing). soonest.go picks the machine that will have capacity soonest: one that is still
//     fetching an image for production, one on which other work is preempted (preempt.go), a booting machine,
//     capacity that ending tasks will free (turnover.go), or a new machine (price.go, autoscale.go).
//   - headroom.go keeps capacity free for classes whose jobs must start sooner than a machine boots.
//   - starvation.go admits jobs that have waited too long although there is idle capacity.
//   - autoscale.go lists the resulting scale-outs and scale-ins.
//   - shard.go reports this shard's free capacity, quota demand and unplaced jobs to the leaders of other shards.
//   - tier_reclaim.go turns stops into reclaims where tiers are configured. spread.go rebalances services across
//     zones.
//
// A placement attempt that fails is rolled back with the undo log in undo.go.
package scheduler
