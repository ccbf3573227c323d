// Package scheduler decides what runs where. Schedule is a pure function from a snapshot of the
// cluster to a plan of launches, stops, scale-outs and scale-ins: it does no I/O, reads no clock,
// and goes through everything in a fixed order, so that equal snapshots give equal plans.
//
// A plan is made in passes, each in a file of its own:
//
//   - order.go sorts the jobs: by tier, priority and the time left until their objectives;
//     where operators have set tiers, tier_shares.go turns that into a queue in which work
//     within its tier's share goes before all that exceeds one.
//   - reservation_turns.go and reservation.go co-allocate. A gang needs much capacity at once,
//     and in a full fleet smaller work takes each bit as it comes free. A gang that has waited
//     for long reserves instead: it goes before all others of its priority, picks the zone with
//     the least to wait for, and reserves what is free there and the machines that will be free
//     soonest. Nothing is remembered between rounds or leaders: what was reserved is still free,
//     so the same reservation is found again.
//   - first_replica.go launches one replica of each service before the second of any, which
//     matters where much has to start at once, as after a zone has returned.
//   - tasks.go and gang.go place each job's waiting tasks. search.go and bestfit.go pick the
//     machine now (bin packing); soonest.go picks where capacity will be soonest: by deferring
//     to a fetch, by stopping lesser work (preempt.go), on a booting machine, in capacity that
//     turnover frees (turnover.go), or on a new machine (price.go, autoscale.go).
//   - headroom.go keeps capacity free for classes whose jobs must start sooner than a machine
//     boots.
//   - starvation.go admits what has waited too long beside idle capacity.
//   - autoscale.go lists the scale-outs and scale-ins that follow.
//   - shard.go reports to the leaders of other shards what is free, wanted and unplaced here.
//   - tier_reclaim.go turns stops into reclaims where tiers are set; spread.go rebalances
//     services over zones.
//
// A try that fails is undone by the log of undo.go.
package scheduler
