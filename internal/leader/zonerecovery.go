package leader

import (
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
	"amberdeal.example/amberdeal/wire"
)

// What becomes of the machines of a zone that is cut off, and how it comes back into use.

// recoverZoneRecoveries goes on with the returns that the ledger tells of. Those of earlier groupings
// are written to it by the next round.
func (h *Leader) recoverZoneRecoveries(now time.Time, last *store.RecoveredState) {
	h.zoneRecoveries = make(map[string]*zonerecovery.Plan)
	take := func(name string, r store.ZoneRecoveryRecord) {
		since := time.UnixMilli(r.Since)
		if since.After(now) {
			since = now // of another clock
		}
		h.zoneRecoveries[name] = &zonerecovery.Plan{Step: zonerecovery.Step(r.Step), Number: r.Number, Since: since, Work: r.Work}
		h.log.Info("return of a zone recalled", "zone", name, "step", r.Step, "number", r.Number)
	}
	if !h.migration.recorded {
		for name, r := range h.previous.ZoneRecoveries {
			if h.ownsZone(name) {
				take(name, r)
			}
		}
	}
	for name, r := range last.ZoneRecoveries {
		take(name, r)
	}
}

// decideZoneRecoveries takes into a round what follows in the return of each zone, by the zones'
// records as the store has them. Two of them are two plans, in the order of their names.
func (h *Leader) decideZoneRecoveries(now time.Time, d *Draft) {
	records := h.zoneStates.Records()
	d.returns = make(map[string]*zonerecovery.Plan)
	for _, name := range sortedKeys(records) {
		p := h.zoneRecoveries[name]
		if p == nil && records[name].State != zone.Unreachable || !h.ownsZone(name) {
			continue
		}
		next := zonerecovery.Next(now, p, h.observeZone(now, name, records))
		switch {
		case next == nil && !d.Add(store.DropZoneRecovery(name)):
		case next != nil && (next != p || !h.ledger.HasZoneRecovery(name)) && !d.Add(zoneRecoveryEntry(name, next)):
		case next != p:
			d.returns[name] = next
		}
	}
}

func zoneRecoveryEntry(name string, p *zonerecovery.Plan) store.Entry {
	return store.ZoneRecoveryEntry(name, store.ZoneRecoveryRecord{Step: string(p.Step), Number: p.Number, Since: p.Since.UnixMilli(), Work: p.Work})
}

// zoneRecoveriesCommitted takes in what the store has taken: only now does it count.
func (h *Leader) zoneRecoveriesCommitted(returns map[string]*zonerecovery.Plan) {
	for _, name := range sortedKeys(returns) {
		p := returns[name]
		if p == nil {
			h.log.Info("return of a zone is over", "zone", name)
			delete(h.zoneRecoveries, name)
			continue
		}
		h.log.Info("return of a zone", "zone", name, "step", string(p.Step), "number", p.Number, "work", p.Work)
		h.zoneRecoveries[name] = p
	}
}

// observeZone gathers what the return of a zone is judged by.
func (h *Leader) observeZone(now time.Time, name string, records map[string]zone.Record) zonerecovery.Observation {
	r := records[name]
	s := zonerecovery.Observation{Unreachable: r.State == zone.Unreachable, Number: r.Number, HasQueued: h.freeCapacity.HasQueued, Unbalanced: h.unbalanced, SettleTime: h.timeouts.unreachableAfter, IdleTimeout: h.cfg.Tuning.Idle}
	for other, o := range records {
		behind := h.zoneRecoveries[other] != nil && (h.zoneRecoveries[other].Step != zonerecovery.StepSpread || other < name)
		s.OtherZoneBusy = s.OtherZoneBusy || o.State == zone.Unreachable || o.State == zone.Suspected || other != name && behind
	}
	for _, t := range h.types {
		if slices.Contains(t.Zones, name) {
			s.BootTime = max(s.BootTime, wire.Seconds(t.BootS))
		}
	}
	for _, m := range h.fleet.Machines() {
		if m.Zone != name {
			continue
		}
		for _, p := range m.Placements() {
			if t, ok := h.taskDemand(p.Task.Job); ok && p.Active() {
				s.Work += t.GPUs + t.CPUs/16
			}
		}
	}
	return s
}

// maxMovingReplicas is how many replicas may be away at once for the sake of spreading.
const maxMovingReplicas = 4

// allowedMoves tells how many replicas may be away: none while a zone is in question, or has not
// come to that step of its return.
func (h *Leader) allowedMoves() int {
	for _, r := range h.zoneStates.Records() {
		if r.State != zone.Up && r.State != zone.Recovering {
			return 0
		}
	}
	for _, p := range h.zoneRecoveries {
		if p.Step != zonerecovery.StepSpread {
			return 0
		}
	}
	if !h.rebuiltReachable {
		return 0
	}
	return maxMovingReplicas
}

// refillingZone reports whether work is still away from a zone to which it comes back: what was
// rented elsewhere for it is not given back before.
func (h *Leader) refillingZone() bool {
	for _, p := range h.zoneRecoveries {
		if p.Step == zonerecovery.StepRefill {
			return true
		}
	}
	return false
}

// ZoneRecoveries tells how far the return of each zone has come.
func (h *Leader) ZoneRecoveries() map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]string, len(h.zoneRecoveries))
	for name, p := range h.zoneRecoveries {
		out[name] = p.String()
	}
	return out
}

// noteFreeCapacity takes in what a plan leaves for the work of machines that are out of reach. What is
// being given up will take some of it.
func (h *Leader) noteFreeCapacity(now time.Time, plan *scheduler.Plan) {
	h.unbalanced = plan.SpreadViolated
	zones := h.zoneHealth(now)
	for name, r := range zones {
		if _, is := h.unreachableZones[name]; !is && r.mostlyMissing() {
			h.unreachableZones[name] = now
		}
	}
	maps.DeleteFunc(h.unreachableZones, func(name string, _ time.Time) bool { return !zones[name].mostlyMissing() })
	h.freeCapacity = zonerecovery.FreeCapacity{HasQueued: plan.Backlogged, Free: plan.SpareCapacity, ScaleOuts: wire.MaxScaleOut}
	for _, m := range h.fleet.Machines() {
		if m.Releasing {
			takes, _ := h.nonProductionDemand(m)
			h.freeCapacity.Reserve(takes)
			h.freeCapacity.ScaleOuts--
		}
	}
}

// mostlyMissing reports whether hardly a machine is heard.
func (r ZoneHealth) mostlyMissing() bool { return r.Up >= minMachinesToJudge && r.Quiet*2 > r.Up }

// keepsLostMachine reports whether a machine that is lost is kept, since its zone is cut off or has come
// back just now.
func (h *Leader) keepsLostMachine(now time.Time, m *fleet.Machine) bool {
	since, cutOff := h.zoneCutOff(now, m.Zone)
	if !cutOff {
		return false
	}
	demand, production := h.nonProductionDemand(m)
	gb := 0.0
	for _, p := range m.Placements() {
		if l := h.liveJobs[p.Task.Job]; l != nil {
			gb += l.Record.Job.ImageGB
		}
	}
	return h.freeCapacity.Keeps(zonerecovery.LostMachine{HasProduction: production, Demand: demand, CanScaleOut: func() bool { return h.canMoveElsewhere(now, m) },
		CutOffFor: now.Sub(since), ReplacementTime: zonerecovery.ReplacementTime(h.machineType(m.Type), gb)})
}

// zoneCutOff tells since when a zone is cut off, if it is or may be, or was until just now: its
// machines are all heard, or called in vain, a while after. Before several controllers have
// judged, or this one can, what it hears itself is enough to keep them.
func (h *Leader) zoneCutOff(now time.Time, name string) (since time.Time, cutOff bool) {
	switch r := h.zoneStates.Record(name); {
	case r.State == zone.Unreachable, r.State == zone.Suspected:
		return r.Since, true
	case r.State == zone.Recovering && now.Sub(r.Since) < h.timeouts.unreachableAfter:
		return now, true
	}
	since, cutOff = h.unreachableZones[name]
	return since, cutOff
}

// nonProductionDemand sums what the tasks on a machine take but for those of production, and tells
// whether there are such.
func (h *Leader) nonProductionDemand(m *fleet.Machine) (sum scheduler.Resources, production bool) {
	for _, p := range m.Placements() {
		l := h.liveJobs[p.Task.Job]
		switch {
		case l == nil || !p.Active():
		case l.Record.Job.Priority == wire.Production:
			production = true
		default:
			sum = sum.AddScaled(scheduler.ResourcesOf(l.Record.Job), 1)
		}
	}
	return sum, production
}

// canMoveElsewhere reports whether machines in other zones can be had for all that is on one, here
// or by another part: the cloud has not refused them when it was last asked.
func (h *Leader) canMoveElsewhere(now time.Time, m *fleet.Machine) bool {
	for _, p := range m.Placements() {
		if l := h.liveJobs[p.Task.Job]; l != nil && p.Active() && !h.canScaleOutFor(now, l.Record.Job) {
			return false
		}
	}
	return true
}

func (h *Leader) canScaleOutFor(now time.Time, j *wire.Job) bool {
	for _, t := range h.shardMachineTypes() {
		for _, zone := range t.Zones {
			if !h.zoneStates.Record(zone).AcceptsScaleOut(now) || !capacityOf(t).Fits(scheduler.ResourcesOf(j)) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := scheduler.Offer{Type: t.Name, Zone: zone, Spot: spot}
				if !h.scaleOutRequests.Constrained(o) && scheduler.OfferAllowed(j, o) {
					return true
				}
			}
		}
	}
	for part, o := range h.peerShards {
		if room := o.Rooms[j.Class]; (room.Rent || room.Now > 0) && h.sharding.MayHost(part, j, h.types) {
			return true
		}
	}
	return false
}

// noteHeartbeat takes in that a machine is heard again: calls that were in vain meanwhile say nothing
// of the next one. The first of a zone that was cut off says so of all of them.
func (h *Leader) noteHeartbeat(now time.Time, machine string) {
	m := h.fleet.Machine(machine)
	if m == nil || !h.unreachable(now, m) {
		return
	}
	h.forgetFailedCalls(m)
	if _, cutOff := h.zoneCutOff(now, m.Zone); !cutOff || now.Sub(h.recoveredZones[m.Zone]) < maxFencingCallInterval {
		return
	}
	h.recoveredZones[m.Zone] = now
	for _, o := range h.fleet.Machines() {
		if o.Zone == m.Zone && h.unreachable(now, o) {
			h.forgetFailedCalls(o)
		}
	}
	h.log.Info("a zone is heard again", "zone", m.Zone, "machine", machine)
}

// forgetFailedCalls forgets the calls to a machine that were in vain.
func (h *Leader) forgetFailedCalls(m *fleet.Machine) {
	if c := h.callStates[m.ID]; !c.open && c.failures > 0 {
		delete(h.callStates, m.ID)
	}
}
