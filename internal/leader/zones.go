package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// The state of this shard's zones: the evidence it is derived from, its records in the shard's ledger, and the machines
// that are requested to probe an unreachable zone.

// SetObservers records what the peers whose heartbeats arrive here observe of the machines in each zone.
func (l *Leader) SetObservers(observers map[string]zone.Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones.SetObservers(observers)
}

// ZoneRecords returns the stored record of each zone that has ever been suspected.
func (l *Leader) ZoneRecords() map[string]zone.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones.Records()
}

// recoverZones restores the zone records in the ledger. Newer records from the ledgers of previous shardings replace
// them and still have to be written to this shard's ledger.
func (l *Leader) recoverZones(now time.Time, last *store.RecoveredState) {
	if !l.migration.recorded {
		for name, r := range l.migration.previous.Zones {
			if own, known := last.Zones[name]; (!known || r.Number > own.Number) && l.ownsZone(name) {
				last.Zones[name] = r
				l.migration.zones = append(l.migration.zones, name)
			}
		}
		slices.Sort(l.migration.zones)
	}
	records := make(map[string]zone.Record, len(last.Zones))
	for name, r := range last.Zones {
		records[name] = zone.Record{State: zone.State(r.State), Number: r.Number, Since: time.UnixMilli(r.Since), Outages: r.Outages}
		l.log.Info("zone state recovered", "zone", name, "state", r.State, "number", r.Number, "outages", r.Outages)
	}
	l.zones = zone.NewWatch(now, records)
}

func zoneEntry(name string, r zone.Record) store.Entry {
	return store.ZoneEntry(name, store.ZoneRecord{State: string(r.State), Number: r.Number, Since: r.Since.UnixMilli(), Outages: r.Outages})
}

// ownsZone reports whether this shard may have machines in a zone.
func (l *Leader) ownsZone(name string) bool {
	return l.sharding.IsSingle() || slices.ContainsFunc(l.types, func(t wire.MachineType) bool {
		return slices.Contains(t.Zones, name) && l.sharding.ShardOf(name, t.Name) == l.lease.Shard
	})
}

// decideZones adds the zone state changes that are due to a round, as many as fit.
func (l *Leader) decideZones(now time.Time, d *Draft) {
	for _, c := range l.zones.Next(now, l.zoneEvidence(now)) {
		if l.ownsZone(c.Zone) && d.Add(zoneEntry(c.Zone, c.Record)) {
			d.zones = append(d.zones, c)
		}
	}
}

// commitZones applies the zone state changes of a committed round. A change takes effect only once it is committed.
func (l *Leader) commitZones(changes []zone.Change) {
	l.zones.Commit(changes)
	for _, c := range changes {
		l.log.Info("zone state changed", "zone", c.Zone, "state", string(c.Record.State), "previous", string(c.Previous), "number", c.Record.Number, "outages", c.Record.Outages, "evidence", c.Reason)
		if c.Record.State == zone.Recovering { // refusals from before the outage no longer count
			l.scaler.ZoneRecovered(c.Zone)
		}
	}
}

// noteZoneHeartbeat records a heartbeat from a zone. It proves that the zone can be reached, even if the machine is
// being released or is no longer known.
func (l *Leader) noteZoneHeartbeat(now time.Time, hb *wire.Heartbeat) {
	m := l.fleet.Machine(hb.Machine)
	l.zones.NoteHeartbeat(now, hb.Zone, m == nil || m.Releasing)
}

// zoneEvidence combines the observations of this leader and of its peers about the zones. Observations that leaders of
// other shards make of their machines count as this leader's own only if peers forward heartbeats to this controller.
func (l *Leader) zoneEvidence(now time.Time) *zone.Evidence {
	own := zone.Observer{Zone: l.cfg.Zone, Observations: map[string]zone.Observation{}}
	add := func(name string, o zone.Observation) {
		sum := own.Observations[name]
		sum.Heard, sum.Quiet, sum.Lost = sum.Heard+o.Heard, sum.Quiet+o.Quiet, sum.Lost+o.Lost
		own.Observations[name] = sum
	}
	for name, health := range l.monitor.ZoneHealth(now) {
		add(name, zone.Observation{Heard: health.Up - health.Quiet, Quiet: health.Quiet})
	}
	for name, evicted := range l.detector.RecentEvictions(now) {
		add(name, zone.Observation{Lost: evicted})
	}
	l.zones.AddOrphans(now, l.timeouts.suspectAfter, own.Observations)
	if l.ingestPeers > 0 {
		for _, status := range l.peerShards {
			for name, health := range status.Zones {
				add(name, zone.Observation{Heard: health.Up - health.Quiet, Quiet: health.Quiet})
			}
		}
	}
	return l.zones.Evidence(own, l.monitor.CannotJudge(now), len(l.cfg.Peers)+1)
}

// zoneUnreachable reports whether a zone is unreachable according to its record.
func (l *Leader) zoneUnreachable(name string) bool { return l.zones.Unreachable(name) }

// sortUnreachableZonesLast sorts the machines of unreachable zones behind all others, because calls to them take a while to
// fail.
func (l *Leader) sortUnreachableZonesLast(machines []*fleet.Machine) []*fleet.Machine {
	var reachable, unreachable []*fleet.Machine
	for _, m := range machines {
		if l.zones.Unreachable(m.Zone) {
			unreachable = append(unreachable, m)
		} else {
			reachable = append(reachable, m)
		}
	}
	return append(reachable, unreachable...)
}

// markClosedZonesUnavailable keeps the scheduler from scaling out in zones that don't accept it. Probes of such zones
// are added to the plan later, see withZoneProbes.
func (l *Leader) markClosedZonesUnavailable(now time.Time, snapshot *scheduler.Snapshot) {
	for _, t := range l.types {
		for _, name := range t.Zones {
			if !l.zones.Record(name).AcceptsScaleOut(now) {
				snapshot.Unavailable[scheduler.Offer{Type: t.Name, Zone: name}] = true
				snapshot.Unavailable[scheduler.Offer{Type: t.Name, Zone: name, Spot: true}] = true
			}
		}
	}
}

// maxZoneProbes bounds how many machines without a first heartbeat a probed zone may have. A single probe may boot
// slowly, but if several fail to come up, the zone is not working.
const maxZoneProbes = 3

// withZoneProbes returns the scale-out requests of a plan and one machine more in each zone whose probe is due. A probe
// requests only what the plan needs anyway: without demand, it does not matter whether the zone works.
func (l *Leader) withZoneProbes(now time.Time, snapshot *scheduler.Snapshot, plan *scheduler.Plan) []scheduler.ScaleOut {
	requests := plan.ScaleOuts
	for _, name := range sortedKeys(l.zones.Records()) {
		if !l.zones.ProbeDue(now, name) || !l.ownsZone(name) || !l.mayProbeZone(name) {
			continue
		}
		if offer, ok := l.zoneProbeOffer(name, snapshot, plan); ok {
			l.zones.MarkProbed(now, name)
			requests = append(requests, scheduler.ScaleOut{Offer: offer, Count: 1})
			l.log.Info("zone probed", "zone", name, "type", offer.Type, "spot", offer.Spot)
		}
	}
	return requests
}

// mayProbeZone reports whether no scale-out request for a zone is pending, and fewer than maxZoneProbes of its machines
// have yet to send their first heartbeat.
func (l *Leader) mayProbeZone(name string) bool {
	for _, request := range l.scaler.Pending() {
		if request.Zone == name {
			return false
		}
	}
	booting := 0
	for _, m := range l.fleet.Machines() {
		if m.Zone == name && !m.Up && !m.Recorded && !m.Releasing {
			booting++
		}
	}
	return booting < maxZoneProbes
}

// zoneProbeOffer selects the offer to request as a probe of a zone: the machine type that the plan requests most of, or
// else one that fits the job with the most unplaced tasks.
func (l *Leader) zoneProbeOffer(name string, snapshot *scheduler.Snapshot, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	if best, ok = l.mostRequested(name, plan); ok {
		return best, true
	}
	placed := make(map[*scheduler.Job]int)
	for _, launch := range plan.Launches {
		placed[launch.Job]++
	}
	most := 0
	for _, j := range snapshot.Jobs {
		unplaced := len(j.Waiting) - placed[j]
		if unplaced <= most || j.Zone != "" && j.Zone != name {
			continue
		}
		if typ, found := l.fittingMachineType(name, j); found {
			best, most = scheduler.Offer{Type: typ, Zone: name, Spot: j.Spot}, unplaced
		}
	}
	return best, most > 0
}

// mostRequested returns the offer in a zone for the machine type of the largest request of a plan, among the types that
// the zone offers.
func (l *Leader) mostRequested(name string, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	most := 0
	for _, r := range plan.ScaleOuts {
		if r.Count > most && l.offersType(name, r.Type) {
			best, most = scheduler.Offer{Type: r.Type, Zone: name, Spot: r.Spot}, r.Count
		}
	}
	return best, most > 0
}

// fittingMachineType returns the first machine type in a zone that fits a task of a job.
func (l *Leader) fittingMachineType(name string, j *scheduler.Job) (typ string, found bool) {
	for _, t := range l.types {
		if l.offersType(name, t.Name) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && l.capacityOf(t).Fits(scheduler.ResourcesOf(j.Job)) {
			return t.Name, true
		}
	}
	return "", false
}

// offersType reports whether a zone has machines of a type that belong to this shard.
func (l *Leader) offersType(name, typ string) bool {
	return slices.Contains(l.machineType(typ).Zones, name) && l.sharding.ShardOf(name, typ) == l.lease.Shard
}

// updateRebuiltReachable sets rebuiltReachable once the leader has rebuilt the state of all reachable machines. The
// tasks that may run on an unreachable machine are in its record, which is stored before any launch there, and only
// these tasks are held back.
func (l *Leader) updateRebuiltReachable(now time.Time, unproven []*fleet.Machine) {
	if l.rebuiltReachable || len(unproven) > 0 && now.Sub(l.fleet.ElectedAt) < maxRebuildWait {
		return
	}
	for _, m := range unproven {
		if !l.zones.Unreachable(m.Zone) && !l.monitor.Unreachable(now, m) && l.fleet.ReceivesCommands(now, m) {
			return
		}
	}
	if l.rebuiltReachable = true; len(unproven) > 0 {
		l.log.Info("reachable machines rebuilt", "after", now.Sub(l.fleet.ElectedAt), "machines", len(l.fleet.Machines()), "unreachable", len(unproven))
	}
}
