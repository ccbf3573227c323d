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

// The state of the zones of this part: the evidence for it, its records in the part's
// ledger, and what is rented in one that is dark.

// SetObservers takes in what siblings whose beats come in see of each zone's machines.
func (h *Leader) SetObservers(w map[string]zone.Observer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneObservers = w
}

// ZoneRecords gives the state of each zone that ever was in question, by the store.
func (h *Leader) ZoneRecords() map[string]zone.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.zoneStates.Records()
}

// recoverZones goes on from the states that the ledger tells. Those of earlier groupings are
// yet to be written to it.
func (h *Leader) recoverZones(now time.Time, last *store.RecoveredState) {
	if !h.migration.recorded {
		for name, r := range h.previous.Zones {
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
		h.log.Info("zone recalled", "zone", name, "state", r.State, "number", r.Number, "falls", r.Outages)
	}
	h.zoneStates = zone.New(now, records)
}

func zoneEntry(name string, r zone.Record) store.Entry {
	return store.ZoneEntry(name, store.ZoneRecord{State: string(r.State), Number: r.Number, Since: r.Since.UnixMilli(), Outages: r.Outages})
}

// ownsZone reports whether this part has machines in a zone.
func (h *Leader) ownsZone(name string) bool {
	return h.sharding.IsSingle() || slices.ContainsFunc(h.types, func(t wire.MachineType) bool {
		return slices.Contains(t.Zones, name) && h.sharding.ShardOf(name, t.Name) == h.lease.Shard
	})
}

// decideZones takes into a round what becomes of the zones.
func (h *Leader) decideZones(now time.Time, d *Draft) {
	for _, c := range h.zoneStates.Next(now, h.zoneEvidence(now)) {
		if h.ownsZone(c.Zone) && d.Add(zoneEntry(c.Zone, c.Record)) {
			d.zones = append(d.zones, c)
		}
	}
}

// zonesCommitted takes in what the store has taken: only now does it count.
func (h *Leader) zonesCommitted(changes []zone.Change) {
	h.zoneStates.Commit(changes)
	for _, c := range changes {
		h.log.Info("zone", "zone", c.Zone, "state", string(c.Record.State), "was", string(c.Previous), "number", c.Record.Number, "falls", c.Record.Outages, "evidence", c.Reason)
		if c.Record.State == zone.Recovering { // what the cloud refused there was before
			h.scaleOutRequests.ZoneRecovered(c.Zone)
		}
	}
}

// noteZoneHeartbeat notes that a machine was heard. One that was given up or is not known any more
// tells of its zone all the same.
func (h *Leader) noteZoneHeartbeat(now time.Time, r *wire.Heartbeat) {
	h.lastZoneHeartbeat[r.Zone] = now
	if m := h.fleet.Machine(r.Machine); m == nil || m.Releasing {
		h.orphans[r.Zone] = now
	}
}

// zoneEvidence gathers what there is to judge the zones by. What other parts' holders say of
// their machines counts as heard here only if siblings pass reports on to this controller.
func (h *Leader) zoneEvidence(now time.Time) *zone.Evidence {
	e := &zone.Evidence{Own: zone.Observer{Zone: h.cfg.Zone, Observations: map[string]zone.Observation{}}, LastHeartbeat: h.lastZoneHeartbeat, Peers: h.zoneObservers, Controllers: len(h.cfg.Peers) + 1,
		CannotJudge: now.Sub(h.fleet.ElectedAt) < h.timeouts.unreachableAfter || now.Sub(h.lastPauseEnd) < pauseGrace}
	add := func(name string, s zone.Observation) {
		sum := e.Own.Observations[name]
		sum.Heard, sum.Quiet, sum.Lost = sum.Heard+s.Heard, sum.Quiet+s.Quiet, sum.Lost+s.Lost
		e.Own.Observations[name] = sum
	}
	for name, r := range h.zoneHealth(now) {
		add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
	}
	for _, s := range h.evictedUnreachable {
		if now.Sub(s.at) <= h.cfg.Workers.Lease {
			add(s.zone, zone.Observation{Lost: 1})
		}
	}
	for name, at := range h.orphans {
		if now.Sub(at) < h.timeouts.suspectAfter {
			add(name, zone.Observation{Heard: 1})
		}
	}
	if h.ingestPeers > 0 {
		for _, o := range h.peerShards {
			for name, r := range o.Zones {
				add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
			}
		}
	}
	return e
}

// zoneUnreachable reports whether a zone is, by the store.
func (h *Leader) zoneUnreachable(name string) bool {
	return h.zoneStates.Record(name).State == zone.Unreachable
}

// unreachableZonesLast puts machines of dark zones behind all others: calls there are in vain, and each
// takes a while to be so.
func (h *Leader) unreachableZonesLast(machines []*fleet.Machine) []*fleet.Machine {
	var out, last []*fleet.Machine
	for _, m := range machines {
		if h.zoneUnreachable(m.Zone) {
			last = append(last, m)
		} else {
			out = append(out, m)
		}
	}
	return append(out, last...)
}

// refuseClosedZones refuses the offers of zones that are not open, but for what probes ask for.
func (h *Leader) refuseClosedZones(now time.Time, pic *scheduler.Snapshot) {
	for _, t := range h.types {
		for _, name := range t.Zones {
			if !h.zoneStates.Record(name).AcceptsScaleOut(now) {
				pic.Unavailable[scheduler.Offer{Type: t.Name, Zone: name}] = true
				pic.Unavailable[scheduler.Offer{Type: t.Name, Zone: name, Spot: true}] = true
			}
		}
	}
}

// maxZoneProbes is how many machines that nobody has heard yet a probed zone may have.
const maxZoneProbes = 3

// withZoneProbes adds to what a plan wants to rent a machine in each zone that is to be
// probed, of what is wanted anyway: where nothing is, nobody needs the zone.
func (h *Leader) withZoneProbes(now time.Time, pic *scheduler.Snapshot, plan *scheduler.Plan) []scheduler.ScaleOut {
	rents := plan.ScaleOuts
	for _, name := range sortedKeys(h.zoneStates.Records()) {
		if !h.zoneStates.ProbeDue(now, name) || !h.ownsZone(name) || !h.mayProbeZone(name) {
			continue
		}
		if o, ok := h.zoneProbeOffer(name, pic, plan); ok {
			h.zoneStates.MarkProbed(now, name)
			rents = append(rents, scheduler.ScaleOut{Offer: o, Count: 1})
			h.log.Info("zone probed", "zone", name, "type", o.Type, "spot", o.Spot)
		}
	}
	return rents
}

// mayProbeZone reports whether nothing is asked of a zone now, and few of its machines that
// were rented have not been heard yet.
func (h *Leader) mayProbeZone(name string) bool {
	for _, a := range h.scaleOutRequests.Pending() {
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

// zoneProbeOffer picks what to ask a zone for: what most is rented of elsewhere, or what suits
// the job with the most tasks that found no room.
func (h *Leader) zoneProbeOffer(name string, pic *scheduler.Snapshot, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	has := func(typ string) bool {
		return slices.Contains(h.machineType(typ).Zones, name) && h.sharding.ShardOf(name, typ) == h.lease.Shard
	}
	most := 0
	for _, r := range plan.ScaleOuts {
		if r.Count > most && has(r.Type) {
			best, most = scheduler.Offer{Type: r.Type, Zone: name, Spot: r.Spot}, r.Count
		}
	}
	if most > 0 {
		return best, true
	}
	placed := make(map[*scheduler.Job]int)
	for _, l := range plan.Launches {
		placed[l.Job]++
	}
	for _, j := range pic.Jobs {
		left := len(j.Waiting) - placed[j]
		if left <= most || j.Zone != "" && j.Zone != name {
			continue
		}
		for _, t := range h.types {
			if has(t.Name) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && capacityOf(t).Fits(scheduler.ResourcesOf(j.Job)) {
				best, most = scheduler.Offer{Type: t.Name, Zone: name, Spot: j.Spot}, left
				break
			}
		}
	}
	return best, most > 0
}

// suspectedZoneInterval is the time between two rounds of calls that siblings are asked to make where a
// zone is in doubt, and doubtCalls how many machines there each of them calls.
const (
	suspectedZoneInterval = 250 * time.Millisecond
	suspectedZoneCalls    = 2
)

// callsToSuspectedZones picks machines of a zone in doubt, and one of another zone that is heard: what a
// sibling can't reach says something only where it can reach others.
func (h *Leader) callsToSuspectedZones(now time.Time) (out []*fleet.Machine) {
	if now.Sub(h.pendingFencingCallsAt) < suspectedZoneInterval {
		return nil
	}
	left, heard := map[string]int{}, (*fleet.Machine)(nil)
	for name, r := range h.zoneStates.Records() {
		if r.State == zone.Suspected {
			left[name] = suspectedZoneCalls
		}
	}
	if len(left) == 0 {
		return nil
	}
	h.pendingFencingCallsAt = now
	for _, m := range h.fleet.Machines() {
		last := h.callStates[m.ID]
		if m.Addr == "" || m.Releasing || last.inFlight(now) || now.Sub(last.startedAt) < minFencingCallInterval {
			continue
		}
		if _, is := left[m.Zone]; !is && heard == nil && h.heartbeatAge(now, m) < h.timeouts.launchWithin {
			heard = m
		} else if left[m.Zone] > 0 && h.heartbeatAge(now, m) > h.timeouts.suspectAfter {
			left[m.Zone]--
			out = append(out, m)
		}
	}
	if heard != nil && len(out) > 0 {
		out = append(out, heard)
	}
	return out
}

// noteResumed notes that this holder goes on as usual: every machine is accounted for but those
// that are silent, or in a zone that is dark. What may be on one of these is in its
// record, which no launch was said without, and holds back those tasks alone.
func (h *Leader) noteResumed(now time.Time, unproven []*fleet.Machine) {
	if h.rebuiltReachable || len(unproven) > 0 && now.Sub(h.fleet.ElectedAt) < maxRebuildWait {
		return
	}
	for _, m := range unproven {
		if !h.zoneUnreachable(m.Zone) && !h.unreachable(now, m) && h.fleet.ReceivesCommands(now, m) {
			return
		}
	}
	if h.rebuiltReachable = true; len(unproven) > 0 {
		h.log.Info("resumed", "after", now.Sub(h.fleet.ElectedAt), "machines", len(h.fleet.Machines()), "silent", len(unproven))
	}
}
