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

// The state of this shard's zones: the evidence for it, its records in the shard's ledger, and which
// machines are requested in a zone that is unreachable.

// SetObservers records what peers whose heartbeats arrive observe of each zone's machines.
func (l *Leader) SetObservers(observers map[string]zone.Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones.SetObservers(observers)
}

// ZoneRecords returns the stored record of each zone that was ever suspected.
func (l *Leader) ZoneRecords() map[string]zone.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones.Records()
}

// recoverZones continues from the records in the ledger. Those of earlier shardings, which are newer
// than the ledger's own, are yet to be written to it.
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

// decideZones adds the changes of zone states that are due to a round.
func (l *Leader) decideZones(now time.Time, d *Draft) {
	for _, c := range l.zones.Next(now, l.zoneEvidence(now)) {
		if l.ownsZone(c.Zone) && d.Add(zoneEntry(c.Zone, c.Record)) {
			d.zones = append(d.zones, c)
		}
	}
}

// zonesCommitted applies the changes of a round that the store has taken: only now do they count.
func (l *Leader) zonesCommitted(changes []zone.Change) {
	l.zones.Commit(changes)
	for _, c := range changes {
		l.log.Info("zone state changed", "zone", c.Zone, "state", string(c.Record.State), "previous", string(c.Previous), "number", c.Record.Number, "outages", c.Record.Outages, "evidence", c.Reason)
		if c.Record.State == zone.Recovering { // refusals from before the outage no longer count
			l.scaler.ZoneRecovered(c.Zone)
		}
	}
}

// noteZoneHeartbeat records a heartbeat from a zone. It shows that the zone can be reached even if its machine is
// being released or is no longer known.
func (l *Leader) noteZoneHeartbeat(now time.Time, hb *wire.Heartbeat) {
	m := l.fleet.Machine(hb.Machine)
	l.zones.NoteHeartbeat(now, hb.Zone, m == nil || m.Releasing)
}

// zoneEvidence combines what this leader observes of zones with what its peers do. What leaders of other
// shards observe of their machines counts as observed here only if peers forward heartbeats to this
// controller.
func (l *Leader) zoneEvidence(now time.Time) *zone.Evidence {
	own := zone.Observer{Zone: l.cfg.Zone, Observations: map[string]zone.Observation{}}
	add := func(name string, o zone.Observation) {
		sum := own.Observations[name]
		sum.Heard, sum.Quiet, sum.Lost = sum.Heard+o.Heard, sum.Quiet+o.Quiet, sum.Lost+o.Lost
		own.Observations[name] = sum
	}
	for name, r := range l.monitor.ZoneHealth(now) {
		add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
	}
	for name, n := range l.detector.RecentEvictions(now) {
		add(name, zone.Observation{Lost: n})
	}
	l.zones.AddOrphans(now, l.timeouts.suspectAfter, own.Observations)
	if l.ingestPeers > 0 {
		for _, status := range l.peerShards {
			for name, r := range status.Zones {
				add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
			}
		}
	}
	return l.zones.Evidence(own, l.monitor.CannotJudge(now), len(l.cfg.Peers)+1)
}

// zoneUnreachable reports whether a zone is unreachable by its record.
func (l *Leader) zoneUnreachable(name string) bool { return l.zones.Unreachable(name) }

// unreachableZonesLast puts machines of unreachable zones behind all others: calls there fail, and each takes a
// while to do so.
func (l *Leader) unreachableZonesLast(machines []*fleet.Machine) []*fleet.Machine {
	var out, last []*fleet.Machine
	for _, m := range machines {
		if l.zones.Unreachable(m.Zone) {
			last = append(last, m)
		} else {
			out = append(out, m)
		}
	}
	return append(out, last...)
}

// refuseClosedZones keeps the scheduler from scaling out in zones that don't accept it. Probes are added later.
func (l *Leader) refuseClosedZones(now time.Time, snapshot *scheduler.Snapshot) {
	for _, t := range l.types {
		for _, name := range t.Zones {
			if !l.zones.Record(name).AcceptsScaleOut(now) {
				snapshot.Unavailable[scheduler.Offer{Type: t.Name, Zone: name}] = true
				snapshot.Unavailable[scheduler.Offer{Type: t.Name, Zone: name, Spot: true}] = true
			}
		}
	}
}

// maxZoneProbes is how many machines that have not sent a heartbeat yet a probed zone may have: a probe may
// boot slowly, but if several don't come up, the zone does not work.
const maxZoneProbes = 3

// withZoneProbes adds to the scale-out of a plan one machine in each zone that is to be probed. Only what
// the plan needs anyway is requested: without demand, it does not matter whether the zone works.
func (l *Leader) withZoneProbes(now time.Time, snapshot *scheduler.Snapshot, plan *scheduler.Plan) []scheduler.ScaleOut {
	requests := plan.ScaleOuts
	for _, name := range sortedKeys(l.zones.Records()) {
		if !l.zones.ProbeDue(now, name) || !l.ownsZone(name) || !l.mayProbeZone(name) {
			continue
		}
		if o, ok := l.zoneProbeOffer(name, snapshot, plan); ok {
			l.zones.MarkProbed(now, name)
			requests = append(requests, scheduler.ScaleOut{Offer: o, Count: 1})
			l.log.Info("zone probed", "zone", name, "type", o.Type, "spot", o.Spot)
		}
	}
	return requests
}

// mayProbeZone reports whether no request for a zone is open, and few of its new machines have yet to send
// a heartbeat.
func (l *Leader) mayProbeZone(name string) bool {
	for _, request := range l.scaler.Pending() {
		if request.Zone == name {
			return false
		}
	}
	coming := 0
	for _, m := range l.fleet.Machines() {
		if m.Zone == name && !m.Up && !m.Recorded && !m.Releasing {
			coming++
		}
	}
	return coming < maxZoneProbes
}

// zoneProbeOffer picks what to request in a zone that is probed: the type of which most is requested
// elsewhere, or one that fits the job with the most tasks that could not be placed.
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
		left := len(j.Waiting) - placed[j]
		if left <= most || j.Zone != "" && j.Zone != name {
			continue
		}
		if typ, found := l.typeFor(name, j); found {
			best, most = scheduler.Offer{Type: typ, Zone: name, Spot: j.Spot}, left
		}
	}
	return best, most > 0
}

// mostRequested returns the offer of a zone for the type of which a plan requests most elsewhere.
func (l *Leader) mostRequested(name string, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	most := 0
	for _, r := range plan.ScaleOuts {
		if r.Count > most && l.offersType(name, r.Type) {
			best, most = scheduler.Offer{Type: r.Type, Zone: name, Spot: r.Spot}, r.Count
		}
	}
	return best, most > 0
}

// typeFor returns the first machine type of a zone that fits a job.
func (l *Leader) typeFor(name string, j *scheduler.Job) (typ string, found bool) {
	for _, t := range l.types {
		if l.offersType(name, t.Name) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && capacityOf(t).Fits(scheduler.ResourcesOf(j.Job)) {
			return t.Name, true
		}
	}
	return "", false
}

// offersType reports whether a zone has machines of a type that belong to this shard.
func (l *Leader) offersType(name, typ string) bool {
	return slices.Contains(l.machineType(typ).Zones, name) && l.sharding.ShardOf(name, typ) == l.lease.Shard
}

// noteResumed records that the leader has rebuilt the state of all reachable machines. What may run on an
// unreachable machine is in its record, which was stored before any launch there, and holds back
// just those tasks.
func (l *Leader) noteResumed(now time.Time, unproven []*fleet.Machine) {
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
