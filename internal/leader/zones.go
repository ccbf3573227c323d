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

// SetWitnesses takes in what siblings whose beats come in see of each zone's machines.
func (h *Holder) SetWitnesses(w map[string]zone.Witness) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.witnesses = w
}

// ZoneStates gives the state of each zone that ever was in question, by the store.
func (h *Holder) ZoneStates() map[string]zone.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.states.All()
}

// recallZones goes on from the states that the ledger tells. Those of earlier groupings are
// yet to be written to it.
func (h *Holder) recallZones(now time.Time, last *store.Recalled) {
	if !h.carry.said {
		for name, r := range h.past.Zones {
			if own, known := last.Zones[name]; (!known || r.Number > own.Number) && h.mine(name) {
				last.Zones[name] = r
				h.carry.zones = append(h.carry.zones, name)
			}
		}
		slices.Sort(h.carry.zones)
	}
	records := make(map[string]zone.Record, len(last.Zones))
	for name, r := range last.Zones {
		records[name] = zone.Record{State: zone.State(r.State), Number: r.Number, Since: time.UnixMilli(r.Since), Falls: r.Falls}
		h.log.Info("zone recalled", "zone", name, "state", r.State, "number", r.Number, "falls", r.Falls)
	}
	h.states = zone.New(now, records)
}

func zoneEntry(name string, r zone.Record) store.Entry {
	return store.ZoneEntry(name, store.ZoneRecord{State: string(r.State), Number: r.Number, Since: r.Since.UnixMilli(), Falls: r.Falls})
}

// mine reports whether this part has machines in a zone.
func (h *Holder) mine(name string) bool {
	return h.group.Whole() || slices.ContainsFunc(h.types, func(t wire.MachineType) bool {
		return slices.Contains(t.Zones, name) && h.group.PartOf(name, t.Name) == h.held.Part
	})
}

// judgeZones takes into a round what becomes of the zones.
func (h *Holder) judgeZones(now time.Time, d *Draft) {
	for _, c := range h.states.Next(now, h.evidence(now)) {
		if h.mine(c.Zone) && d.add(zoneEntry(c.Zone, c.Record)) {
			d.zones = append(d.zones, c)
		}
	}
}

// judged takes in what the store has taken: only now does it count.
func (h *Holder) judged(changes []zone.Change) {
	h.states.Take(changes)
	for _, c := range changes {
		h.log.Info("zone", "zone", c.Zone, "state", string(c.Record.State), "was", string(c.Was), "number", c.Record.Number, "falls", c.Record.Falls, "evidence", c.Why)
		if c.Record.State == zone.Back { // what the cloud refused there was before
			h.rentals.Back(c.Zone)
		}
	}
}

// heardIn notes that a machine was heard. One that was given up or is not known any more
// tells of its zone all the same.
func (h *Holder) heardIn(now time.Time, r *wire.Report) {
	h.lastIn[r.Zone] = now
	if m := h.fleet.Machine(r.Machine); m == nil || m.Releasing {
		h.strays[r.Zone] = now
	}
}

// evidence gathers what there is to judge the zones by. What other parts' holders say of
// their machines counts as heard here only if siblings pass reports on to this controller.
func (h *Holder) evidence(now time.Time) *zone.Evidence {
	e := &zone.Evidence{Own: zone.Witness{Zone: h.cfg.Zone, Sights: map[string]zone.Observation{}}, Last: h.lastIn, Others: h.witnesses, All: len(h.cfg.Siblings) + 1,
		Mute: now.Sub(h.fleet.Claimed) < h.times.silence || now.Sub(h.awake) < awakeTime}
	add := func(name string, s zone.Observation) {
		sum := e.Own.Sights[name]
		sum.Heard, sum.Quiet, sum.Lost = sum.Heard+s.Heard, sum.Quiet+s.Quiet, sum.Lost+s.Lost
		e.Own.Sights[name] = sum
	}
	for name, r := range h.zones(now) {
		add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
	}
	for _, s := range h.silenced {
		if now.Sub(s.at) <= h.cfg.Workers.Lease {
			add(s.zone, zone.Observation{Lost: 1})
		}
	}
	for name, at := range h.strays {
		if now.Sub(at) < h.times.overdue {
			add(name, zone.Observation{Heard: 1})
		}
	}
	if h.edges > 0 {
		for _, o := range h.others {
			for name, r := range o.Zones {
				add(name, zone.Observation{Heard: r.Up - r.Quiet, Quiet: r.Quiet})
			}
		}
	}
	return e
}

// dark reports whether a zone is, by the store.
func (h *Holder) dark(name string) bool { return h.states.Of(name).State == zone.Dark }

// darkLast puts machines of dark zones behind all others: calls there are in vain, and each
// takes a while to be so.
func (h *Holder) darkLast(machines []*fleet.Machine) []*fleet.Machine {
	var out, last []*fleet.Machine
	for _, m := range machines {
		if h.dark(m.Zone) {
			last = append(last, m)
		} else {
			out = append(out, m)
		}
	}
	return append(out, last...)
}

// shutZones refuses the offers of zones that are not open, but for what probes ask for.
func (h *Holder) shutZones(now time.Time, pic *scheduler.Picture) {
	for _, t := range h.types {
		for _, name := range t.Zones {
			if !h.states.Of(name).Open(now) {
				pic.Refused[scheduler.Offer{Type: t.Name, Zone: name}] = true
				pic.Refused[scheduler.Offer{Type: t.Name, Zone: name, Spot: true}] = true
			}
		}
	}
}

// probeMost is how many machines that nobody has heard yet a probed zone may have.
const probeMost = 3

// withProbes adds to what a plan wants to rent a machine in each zone that is to be
// probed, of what is wanted anyway: where nothing is, nobody needs the zone.
func (h *Holder) withProbes(now time.Time, pic *scheduler.Picture, plan *scheduler.Plan) []scheduler.Rent {
	rents := plan.Rents
	for _, name := range sortedKeys(h.states.All()) {
		if !h.states.ProbeDue(now, name) || !h.mine(name) || !h.probeable(name) {
			continue
		}
		if o, ok := h.probeOffer(name, pic, plan); ok {
			h.states.Probed(now, name)
			rents = append(rents, scheduler.Rent{Offer: o, Count: 1})
			h.log.Info("zone probed", "zone", name, "type", o.Type, "spot", o.Spot)
		}
	}
	return rents
}

// probeable reports whether nothing is asked of a zone now, and few of its machines that
// were rented have not been heard yet.
func (h *Holder) probeable(name string) bool {
	for _, a := range h.rentals.Open() {
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
	return coming < probeMost
}

// probeOffer picks what to ask a zone for: what most is rented of elsewhere, or what suits
// the job with the most tasks that found no room.
func (h *Holder) probeOffer(name string, pic *scheduler.Picture, plan *scheduler.Plan) (best scheduler.Offer, ok bool) {
	has := func(typ string) bool {
		return slices.Contains(h.typeOf(typ).Zones, name) && h.group.PartOf(name, typ) == h.held.Part
	}
	most := 0
	for _, r := range plan.Rents {
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
			if has(t.Name) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && size(t).Fits(scheduler.Of(j.Job)) {
				best, most = scheduler.Offer{Type: t.Name, Zone: name, Spot: j.Spot}, left
				break
			}
		}
	}
	return best, most > 0
}

// doubtGap is the time between two rounds of calls that siblings are asked to make where a
// zone is in doubt, and doubtCalls how many machines there each of them calls.
const (
	doubtGap   = 250 * time.Millisecond
	doubtCalls = 2
)

// doubted picks machines of a zone in doubt, and one of another zone that is heard: what a
// sibling can't reach says something only where it can reach others.
func (h *Holder) doubted(now time.Time) (out []*fleet.Machine) {
	if now.Sub(h.raisesAt) < doubtGap {
		return nil
	}
	left, heard := map[string]int{}, (*fleet.Machine)(nil)
	for name, r := range h.states.All() {
		if r.State == zone.Doubt {
			left[name] = doubtCalls
		}
	}
	if len(left) == 0 {
		return nil
	}
	h.raisesAt = now
	for _, m := range h.fleet.Machines() {
		last := h.called[m.ID]
		if m.Addr == "" || m.Releasing || last.underWay(now) || now.Sub(last.at) < raiseGap {
			continue
		}
		if _, is := left[m.Zone]; !is && heard == nil && h.quiet(now, m) < h.times.fresh {
			heard = m
		} else if left[m.Zone] > 0 && h.quiet(now, m) > h.times.overdue {
			left[m.Zone]--
			out = append(out, m)
		}
	}
	if heard != nil && len(out) > 0 {
		out = append(out, heard)
	}
	return out
}

// resume notes that this holder goes on as usual: every machine is accounted for but those
// that are silent, or in a zone that is dark. What may be on one of these is in its
// record, which no launch was said without, and holds back those tasks alone.
func (h *Holder) resume(now time.Time, unproven []*fleet.Machine) {
	if h.resumed || len(unproven) > 0 && now.Sub(h.fleet.Claimed) < rebuildWait {
		return
	}
	for _, m := range unproven {
		if !h.dark(m.Zone) && !h.silent(now, m) && h.fleet.Heeds(now, m) {
			return
		}
	}
	if h.resumed = true; len(unproven) > 0 {
		h.log.Info("resumed", "after", now.Sub(h.fleet.Claimed), "machines", len(h.fleet.Machines()), "silent", len(unproven))
	}
}
