package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
	"amberdeal.example/amberdeal/wire"
)

// Zone recovery: which machines of an unreachable zone are retained, and the steps by which the zone is used again.

// resumeZoneRecoveries continues the zone recoveries in the ledger. Recoveries from the ledgers of previous shardings
// are written to this shard's ledger by the next round.
func (l *Leader) resumeZoneRecoveries(now time.Time, last *store.RecoveredState) {
	l.recovery = zonerecovery.NewTracker()
	resume := func(name string, r store.ZoneRecoveryRecord) {
		l.recovery.Recover(now, name, zonerecovery.Plan{Step: zonerecovery.Step(r.Step), Number: r.Number, Since: time.UnixMilli(r.Since), Work: r.Work})
		l.log.Info("zone recovery continued", "zone", name, "step", r.Step, "number", r.Number)
	}
	if !l.migration.recorded {
		for name, r := range l.migration.previous.ZoneRecoveries {
			if l.ownsZone(name) {
				resume(name, r)
			}
		}
	}
	for name, r := range last.ZoneRecoveries {
		resume(name, r)
	}
}

// decideZoneRecoveries adds the next step of each zone's recovery to a round, based on the stored records of the zones.
// Each zone has its own plan; the zones are handled in the order of their names.
func (l *Leader) decideZoneRecoveries(now time.Time, d *Draft) {
	records := l.zones.Records()
	d.zoneRecoveries = make(map[string]*zonerecovery.Plan)
	for _, name := range sortedKeys(records) {
		p := l.recovery.Plan(name)
		if p == nil && records[name].State != zone.Unreachable || !l.ownsZone(name) {
			continue
		}
		next := zonerecovery.Next(now, p, l.observeZone(name, records))
		switch {
		case next == nil && !d.Add(store.ZoneRecoveryTombstone(name)):
		case next != nil && (next != p || !l.ledger.HasZoneRecovery(name)) && !d.Add(zoneRecoveryEntry(name, next)):
		case next != p:
			d.zoneRecoveries[name] = next
		}
	}
}

func zoneRecoveryEntry(name string, p *zonerecovery.Plan) store.Entry {
	return store.ZoneRecoveryEntry(name, store.ZoneRecoveryRecord{Step: string(p.Step), Number: p.Number, Since: p.Since.UnixMilli(), Work: p.Work})
}

// commitZoneRecoveries applies the steps of a committed round. A step takes effect only once it is committed.
func (l *Leader) commitZoneRecoveries(plans map[string]*zonerecovery.Plan) {
	for _, name := range sortedKeys(plans) {
		p := plans[name]
		if p == nil {
			l.log.Info("zone recovery finished", "zone", name)
		} else {
			l.log.Info("zone recovery step", "zone", name, "step", string(p.Step), "number", p.Number, "work", p.Work)
		}
		l.recovery.Commit(name, p)
	}
}

// observeZone collects the observations on which the next step of a zone's recovery depends.
func (l *Leader) observeZone(name string, records map[string]zone.Record) zonerecovery.Observation {
	record := records[name]
	observation := zonerecovery.Observation{Unreachable: record.State == zone.Unreachable, Number: record.Number, HasQueued: l.recovery.FreeCapacity.HasQueued, Unbalanced: l.recovery.Unbalanced, SettleTime: l.timeouts.unreachableAfter, IdleTimeout: l.cfg.Tuning.IdleTimeout}
	for other, otherRecord := range records {
		observation.OtherZoneBusy = observation.OtherZoneBusy || otherRecord.State == zone.Unreachable || otherRecord.State == zone.Suspected || other != name && l.recovery.Precedes(other, name)
	}
	for _, t := range l.types {
		if slices.Contains(t.Zones, name) {
			observation.BootTime = max(observation.BootTime, wire.Seconds(t.BootS))
		}
	}
	for _, m := range l.fleet.Machines() {
		if m.Zone != name {
			continue
		}
		for _, p := range m.Placements() {
			if t, ok := l.taskDemand(p.Task.Job); ok && p.Active() {
				observation.Work += t.GPUs + t.CPUs/16
			}
		}
	}
	return observation
}

// maxMovingReplicas bounds how many replicas of services may be moved at once to spread them over the zones. A replica
// that is being moved is missing until it runs elsewhere.
const maxMovingReplicas = 4

// allowedReplicaMoves returns how many replicas may be moved at once. It returns 0 while a zone is suspected or
// unreachable, while a recovery has not reached its spreading step, and until all reachable machines are rebuilt.
func (l *Leader) allowedReplicaMoves() int {
	for _, r := range l.zones.Records() {
		if r.State != zone.Up && r.State != zone.Recovering {
			return 0
		}
	}
	if !l.recovery.OnlySpreading() || !l.rebuiltReachable {
		return 0
	}
	return maxMovingReplicas
}

// ZoneRecoveries returns a description of the progress of each zone's recovery, by zone.
func (l *Leader) ZoneRecoveries() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recovery.Progress()
}

// noteFreeCapacity records the capacity that a plan leaves free for the work of unreachable machines, less what the
// work of machines that are being released needs. It also records which zones are mostly missing and whether services
// are unbalanced.
func (l *Leader) noteFreeCapacity(now time.Time, plan *scheduler.Plan) {
	missing := make(map[string]bool)
	for name, health := range l.monitor.ZoneHealth(now) {
		missing[name] = health.MostlyMissing()
	}
	l.zones.SetMissing(now, missing)
	l.recovery.Unbalanced = plan.SpreadViolated
	l.recovery.FreeCapacity = zonerecovery.FreeCapacity{HasQueued: plan.Backlogged, Free: plan.SpareCapacity, ScaleOuts: wire.MaxScaleOut}
	for _, m := range l.fleet.Machines() {
		if m.Releasing {
			demand, _ := l.nonProductionDemand(m)
			l.recovery.FreeCapacity.Reserve(demand)
			l.recovery.FreeCapacity.ScaleOuts--
		}
	}
}

// retainsLostMachine reports whether a lost machine is retained because its zone is unreachable or has just recovered.
func (l *Leader) retainsLostMachine(now time.Time, m *fleet.Machine) bool {
	since, cutOff := l.zones.CutOff(now, m.Zone, l.timeouts.unreachableAfter)
	if !cutOff {
		return false
	}
	demand, production := l.nonProductionDemand(m)
	imageGB := 0.0
	for _, p := range m.Placements() {
		if live := l.liveJobs[p.Task.Job]; live != nil {
			imageGB += live.Record.Job.ImageGB
		}
	}
	return l.recovery.FreeCapacity.Retains(zonerecovery.LostMachine{HasProduction: production, Demand: demand, CanScaleOut: func() bool { return l.canMoveElsewhere(now, m) },
		CutOffFor: now.Sub(since), ReplacementTime: zonerecovery.ReplacementTime(l.machineType(m.Type), imageGB)})
}

// nonProductionDemand sums the demand of the tasks on a machine that don't have production priority, and reports
// whether any task there has it.
func (l *Leader) nonProductionDemand(m *fleet.Machine) (sum scheduler.Resources, production bool) {
	for _, p := range m.Placements() {
		live := l.liveJobs[p.Task.Job]
		switch {
		case live == nil || !p.Active():
		case live.Record.Job.Priority == wire.Production:
			production = true
		default:
			sum = sum.AddScaled(scheduler.ResourcesOf(live.Record.Job), 1)
		}
	}
	return sum, production
}

// canMoveElsewhere reports whether every task on a machine can run elsewhere: on a machine in another zone that this
// shard can request, or in another shard. A machine can be requested if the cloud did not refuse the last such request.
func (l *Leader) canMoveElsewhere(now time.Time, m *fleet.Machine) bool {
	for _, p := range m.Placements() {
		if live := l.liveJobs[p.Task.Job]; live != nil && p.Active() && !l.canScaleOutFor(now, live.Record.Job) {
			return false
		}
	}
	return true
}

// canScaleOutFor reports whether this shard can request a machine for a task of a job in a zone that accepts scale-out,
// or another shard has capacity for it.
func (l *Leader) canScaleOutFor(now time.Time, j *wire.Job) bool {
	for _, t := range l.shardMachineTypes() {
		for _, zone := range t.Zones {
			if !l.zones.Record(zone).AcceptsScaleOut(now) || !l.capacityOf(t).Fits(scheduler.ResourcesOf(j)) {
				continue
			}
			for _, spot := range []bool{true, false} {
				offer := scheduler.Offer{Type: t.Name, Zone: zone, Spot: spot}
				if !l.scaler.Constrained(offer) && scheduler.OfferAllowed(j, offer) {
					return true
				}
			}
		}
	}
	for shard, status := range l.peerShards {
		if free := status.Rooms[j.Class]; (free.Rent || free.Now > 0) && l.sharding.MayHost(shard, j, l.types) {
			return true
		}
	}
	return false
}

// noteReconnected handles a heartbeat from a machine that was unreachable. It forgets the calls to the machine that
// failed meanwhile, since they don't predict the result of the next one. The first such heartbeat from a zone that was
// cut off does the same for all unreachable machines of the zone.
func (l *Leader) noteReconnected(now time.Time, machine string) {
	m := l.fleet.Machine(machine)
	if m == nil || !l.monitor.Unreachable(now, m) {
		return
	}
	l.monitor.Calls.ForgetFailures(m.ID)
	if _, cutOff := l.zones.CutOff(now, m.Zone, l.timeouts.unreachableAfter); !cutOff || !l.zones.AllowRetry(now, m.Zone, reachability.MaxFencingInterval) {
		return
	}
	for _, other := range l.fleet.Machines() {
		if other.Zone == m.Zone && l.monitor.Unreachable(now, other) {
			l.monitor.Calls.ForgetFailures(other.ID)
		}
	}
	l.log.Info("heartbeats from zone again", "zone", m.Zone, "machine", machine)
}
