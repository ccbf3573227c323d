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
func (h *Leader) SetObservers(w map[string]zone.Observer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones.SetObservers(w)
}

// ZoneRecords returns the stored record of each zone that was ever suspected.
func (h *Leader) ZoneRecords() map[string]zone.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.zones.Records()
}

// recoverZones continues from the records in the ledger. Those of earlier shardings, which are newer
// than the ledger's own, are yet to be written to it.
func (h *Leader) recoverZones(now time.Time, last *store.RecoveredState) {
	if !h.migration.recorded {
		for name, r := range h.migration.previous.Zones {
			if own, known := last.Zones[name]; (!known || r.Number > own.Number) && h.ownsZone(name) {
				last.Zones[name] = r
				h.migration.zones = append(h.migration.zones, name)
			}
		}
		slices.Sort(h.migration.zones)
	}
	records := make(map[string]zone.Record, len(last.Zones))
	for name, r := range last.Zones {
		records[name] = zone.Record{State: zone.State(r.State), Number: r.Number, Since: time.UnixMilli(r.Since), Outages: r.Outages}
		h.log.Info("zone state recovered", "zone", name, "state", r.State, "number", r.Number, "outages", r.Outages)
	}
	h.zones = zone.NewWatch(now, records)
}

func zoneEntry(name string, r zone.Record) store.Entry {
	return store.ZoneEntry(name, store.ZoneRecord{State: string(r.State), Number: r.Number, Since: r.Since.UnixMilli(), Outages: r.Outages})
}

// ownsZone reports whether this shard may have machines in a zone.
func (h *Leader) ownsZone(name string) bool {
	return h.sharding.IsSingle() || slices.ContainsFunc(h.types, func(t wire.MachineType) bool {
		return slices.Contains(t.Zones, name) && h.sharding.ShardOf(name, t.Name) == h.lease.Shard
	})
}

// decideZones adds the changes of zone states that are due to a round.
func (h *Leader) decideZones(now time.Time, d *Draft) {
	for _, c := range h.zones.Next(now, h.zoneEvidence(now)) {
		if h.ownsZone(c.Zone) && d.Add(zoneEntry(c.Zone, c.Record)) {
			d.zones = append(d.zones, c)
		}
	}
}

// zonesCommitted applies the changes of a round that the store has taken: only now do they count.
func (h *Leader) zonesCommitted(changes []zone.Change) {
	h.zones.Commit(changes)
	for _, c := range changes {
		h.log.Info("zone state changed", "zone", c.Zone, "state", string(c.Record.State), "previous", string(c.Previous), "number", c.Record.Number, "outages", c.Record.Outages, "evidence", c.Reason)
		if c.Record.State == zone.Recovering { // refusals from before the outage no longer count
			h.scaler.ZoneRecovered(c.Zone)
		}
	}
}

// noteZoneHeartbeat records a heartbeat from a zone. It shows that the zone can be reached even if its machine is
// being released or is no longer known.
func (h *Leader) noteZoneHeartbeat(now time.Time, r *wire.Heartbeat) {
	m := h.fleet.Machine(r.Machine)
	h.zones.NoteHeartbeat(now, r.Zone, m == nil || m.Releasing)
}

// zoneEvidence combines what this leader observes of zones with what its peers do. What leaders of other
// shards observe of their machines counts as observed here only if peers forward heartbeats to this
// controller.
func (h *Leader) zoneEvidence(now time.Time) *zone.Evidence {
	own := zone.Observer{Zone: h.cfg.Zone, Observations: map[string]zone.Observation{}}
	add := func(name string, o zone.Observation) {
		sum := own.Observations[name]
		sum.Heard, sum.Quiet, sum.Lost = sum.Heard+o.Heard, sum.Quiet+o.Quiet, sum.Lost+o.Lost
		own.Observations[name] = sum
	}
	for name, r := range h.monitor.ZoneHealth(now) {
		add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
	}
	for name, n := range h.detector.RecentEvictions(now) {
		add(name, zone.Observation{Lost: n})
	}
	h.zones.AddOrphans(now, h.timeouts.suspectAfter, own.Observations)
	if h.ingestPeers > 0 {
		for _, o := range h.peerShards {
			for name, r := range o.Zones {
				add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
			}
		}
	}
	return h.zones.Evidence(own, h.monitor.CannotJudge(now), len(h.cfg.Peers)+1)
}

// zoneUnreachable reports whether a zone is unreachable by its record.
func (h *Leader) zoneUnreachable(name string) bool { return h.zones.Unreachable(name) }

// unreachableZonesLast puts machines of unreachable zones behind all others: calls there fail, and each takes a
// while to do so.
func (h *Leader) unreachableZonesLast(machines []*fleet.Machine) []*fleet.Machine {
	var out, last []*fleet.Machine
	for _, m := range machines {
		if h.zones.Unreachable(m.Zone) {
			last = append(last, m)
		} else {
			out = append(out, m)
		}
	}
	return append(out, last...)
}

// refuseClosedZones keeps the scheduler from scaling out in zones that don't accept it. Probes are added later.
func (h *Leader) refuseClosedZones(now time.Time, snapshot *scheduler.Snapshot) {
	for _, t := range h.types {
		for _, name := range t.Zones {
			if !h.zones.Record(name).AcceptsScaleOut(now) {
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
func (h *Leader) withZoneProbes(now time.Time, snapshot *scheduler.Snapshot, plan *scheduler.Plan) []scheduler.ScaleOut {
	requests := plan.ScaleOuts
	for _, name := range sortedKeys(h.zones.Records()) {
		if !h.zones.ProbeDue(now, name) || !h.ownsZone(name) || !h.mayProbeZone(name) {
			continue
		}
		if o, ok := h.zoneProbeOffer(name, snapshot, plan); ok {
			h.zones.MarkProbed(now, name)
			requests = append(requests, scheduler.ScaleOut{Offer: o, Count: 1})
			h.log.Info("zone probed", "zone", name, "type", o.Type, "spot", o.Spot)
		}
	}
	return requests
}

// mayProbeZone reports whether no request for a zone is open, and few of its new machines have yet to send
// a heartbeat.
func (h *Leader) mayProbeZone(name string) bool {
	for _, a := range h.scaler.Pending() {
		if a.Zone == name {
			return false
		}
	}
	coming := 0
	for _, m := range h.fleet.Machines() {
		if m.Zone == name && !m.Up && !m.Recorded && !m.Releasing {
			coming++
		}
	}
	return coming < maxZoneProbes
}

// zoneProbeOffer picks what to request in a zone that is probed: the type of which most is requested
// elsewhere, or one that fits the job with the most tasks that could not be placed.
func (h *Leader) zoneProbeOffer(name string, snapshot *scheduler.Snapshot, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	if best, ok = h.mostRequested(name, plan); ok {
		return best, true
	}
	placed := make(map[*scheduler.Job]int)
	for _, l := range plan.Launches {
		placed[l.Job]++
	}
	most := 0
	for _, j := range snapshot.Jobs {
		left := len(j.Waiting) - placed[j]
		if left <= most || j.Zone != "" && j.Zone != name {
			continue
		}
		if typ, found := h.typeFor(name, j); found {
			best, most = scheduler.Offer{Type: typ, Zone: name, Spot: j.Spot}, left
		}
	}
	return best, most > 0
}

// mostRequested returns the offer of a zone for the type of which a plan requests most elsewhere.
func (h *Leader) mostRequested(name string, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	most := 0
	for _, r := range plan.ScaleOuts {
		if r.Count > most && h.offersType(name, r.Type) {
			best, most = scheduler.Offer{Type: r.Type, Zone: name, Spot: r.Spot}, r.Count
		}
	}
	return best, most > 0
}

// typeFor returns the first machine type of a zone that fits a job.
func (h *Leader) typeFor(name string, j *scheduler.Job) (typ string, found bool) {
	for _, t := range h.types {
		if h.offersType(name, t.Name) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && capacityOf(t).Fits(scheduler.ResourcesOf(j.Job)) {
			return t.Name, true
		}
	}
	return "", false
}

// offersType reports whether a zone has machines of a type that belong to this shard.
func (h *Leader) offersType(name, typ string) bool {
	return slices.Contains(h.machineType(typ).Zones, name) && h.sharding.ShardOf(name, typ) == h.lease.Shard
}

// noteResumed records that the leader has rebuilt the state of all reachable machines. What may run on an
// unreachable machine is in its record, which was stored before any launch there, and holds back
// just those tasks.
func (h *Leader) noteResumed(now time.Time, unproven []*fleet.Machine) {
	if h.rebuiltReachable || len(unproven) > 0 && now.Sub(h.fleet.ElectedAt) < maxRebuildWait {
		return
	}
	for _, m := range unproven {
		if !h.zones.Unreachable(m.Zone) && !h.monitor.Unreachable(now, m) && h.fleet.ReceivesCommands(now, m) {
			return
		}
	}
	if h.rebuiltReachable = true; len(unproven) > 0 {
		h.log.Info("reachable machines rebuilt", "after", now.Sub(h.fleet.ElectedAt), "machines", len(h.fleet.Machines()), "unreachable", len(unproven))
	}
}
