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

// recallReturns goes on with the returns that the ledger tells of. Those of earlier groupings
// are written to it by the next round.
func (h *Holder) recallReturns(now time.Time, last *store.Recalled) {
	h.returns = make(map[string]*zonerecovery.Plan)
	take := func(name string, r store.ReturnRecord) {
		since := time.UnixMilli(r.Since)
		if since.After(now) {
			since = now // of another clock
		}
		h.returns[name] = &zonerecovery.Plan{Step: zonerecovery.Step(r.Step), Number: r.Number, Since: since, Work: r.Work}
		h.log.Info("return of a zone recalled", "zone", name, "step", r.Step, "number", r.Number)
	}
	if !h.carry.said {
		for name, r := range h.past.Returns {
			if h.mine(name) {
				take(name, r)
			}
		}
	}
	for name, r := range last.Returns {
		take(name, r)
	}
}

// judgeReturns takes into a round what follows in the return of each zone, by the zones'
// records as the store has them. Two of them are two plans, in the order of their names.
func (h *Holder) judgeReturns(now time.Time, d *Draft) {
	records := h.states.All()
	d.returns = make(map[string]*zonerecovery.Plan)
	for _, name := range sortedKeys(records) {
		p := h.returns[name]
		if p == nil && records[name].State != zone.Dark || !h.mine(name) {
			continue
		}
		next := zonerecovery.Next(now, p, h.seen(now, name, records))
		switch {
		case next == nil && !d.add(store.DropReturn(name)):
		case next != nil && (next != p || !h.ledger.HasReturn(name)) && !d.add(returnEntry(name, next)):
		case next != p:
			d.returns[name] = next
		}
	}
}

func returnEntry(name string, p *zonerecovery.Plan) store.Entry {
	return store.ReturnEntry(name, store.ReturnRecord{Step: string(p.Step), Number: p.Number, Since: p.Since.UnixMilli(), Work: p.Work})
}

// returned takes in what the store has taken: only now does it count.
func (h *Holder) returned(returns map[string]*zonerecovery.Plan) {
	for _, name := range sortedKeys(returns) {
		p := returns[name]
		if p == nil {
			h.log.Info("return of a zone is over", "zone", name)
			delete(h.returns, name)
			continue
		}
		h.log.Info("return of a zone", "zone", name, "step", string(p.Step), "number", p.Number, "work", p.Work)
		h.returns[name] = p
	}
}

// seen gathers what the return of a zone is judged by.
func (h *Holder) seen(now time.Time, name string, records map[string]zone.Record) zonerecovery.Seen {
	r := records[name]
	s := zonerecovery.Seen{Dark: r.State == zone.Dark, Number: r.Number, Waits: h.left.Waits, Uneven: h.uneven, Settle: h.times.silence, Idle: h.cfg.Tuning.Idle}
	for other, o := range records {
		behind := h.returns[other] != nil && (h.returns[other].Step != zonerecovery.Spread || other < name)
		s.Busy = s.Busy || o.State == zone.Dark || o.State == zone.Doubt || other != name && behind
	}
	for _, t := range h.types {
		if slices.Contains(t.Zones, name) {
			s.Boot = max(s.Boot, wire.Seconds(t.BootS))
		}
	}
	for _, m := range h.fleet.Machines() {
		if m.Zone != name {
			continue
		}
		for _, p := range m.Placements() {
			if t, ok := h.takes(p.Task.Job); ok && p.Active() {
				s.Work += t.GPUs + t.CPUs/16
			}
		}
	}
	return s
}

// moveMost is how many replicas may be away at once for the sake of spreading.
const moveMost = 4

// mayMove tells how many replicas may be away: none while a zone is in question, or has not
// come to that step of its return.
func (h *Holder) mayMove() int {
	for _, r := range h.states.All() {
		if r.State != zone.Up && r.State != zone.Back {
			return 0
		}
	}
	for _, p := range h.returns {
		if p.Step != zonerecovery.Spread {
			return 0
		}
	}
	if !h.resumed {
		return 0
	}
	return moveMost
}

// homeless reports whether work is still away from a zone to which it comes back: what was
// rented elsewhere for it is not given back before.
func (h *Holder) homeless() bool {
	for _, p := range h.returns {
		if p.Step == zonerecovery.Fill {
			return true
		}
	}
	return false
}

// Returns tells how far the return of each zone has come.
func (h *Holder) Returns() map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]string, len(h.returns))
	for name, p := range h.returns {
		out[name] = p.String()
	}
	return out
}

// leave takes in what a plan leaves for the work of machines that are out of reach. What is
// being given up will take some of it.
func (h *Holder) leave(now time.Time, plan *scheduler.Plan) {
	h.uneven = plan.Uneven
	zones := h.zones(now)
	for name, r := range zones {
		if _, is := h.hushed[name]; !is && r.hushed() {
			h.hushed[name] = now
		}
	}
	maps.DeleteFunc(h.hushed, func(name string, _ time.Time) bool { return !zones[name].hushed() })
	h.left = zonerecovery.Room{Waits: plan.Waits, Free: plan.Spare, Rents: wire.MaxRent}
	for _, m := range h.fleet.Machines() {
		if m.Releasing {
			takes, _ := h.lesser(m)
			h.left.Take(takes)
			h.left.Rents--
		}
	}
}

// hushed reports whether hardly a machine is heard.
func (r Reach) hushed() bool { return r.Up >= darkLeast && r.Quiet*2 > r.Up }

// keeps reports whether a machine that is lost is kept, since its zone is cut off or has come
// back just now.
func (h *Holder) keeps(now time.Time, m *fleet.Machine) bool {
	since, dark := h.cutOff(now, m.Zone)
	if !dark {
		return false
	}
	takes, top := h.lesser(m)
	gb := 0.0
	for _, p := range m.Placements() {
		if l := h.live[p.Task.Job]; l != nil {
			gb += l.Record.Job.ImageGB
		}
	}
	return h.left.Keeps(zonerecovery.Lost{Top: top, Takes: takes, Rent: func() bool { return h.elsewhere(now, m) },
		Dark: now.Sub(since), Anew: zonerecovery.Anew(h.typeOf(m.Type), gb)})
}

// cutOff tells since when a zone is cut off, if it is or may be, or was until just now: its
// machines are all heard, or called in vain, a while after. Before several controllers have
// judged, or this one can, what it hears itself is enough to keep them.
func (h *Holder) cutOff(now time.Time, name string) (since time.Time, dark bool) {
	switch r := h.states.Of(name); {
	case r.State == zone.Dark, r.State == zone.Doubt:
		return r.Since, true
	case r.State == zone.Back && now.Sub(r.Since) < h.times.silence:
		return now, true
	}
	since, dark = h.hushed[name]
	return since, dark
}

// lesser sums what the tasks on a machine take but for those of production, and tells
// whether there are such.
func (h *Holder) lesser(m *fleet.Machine) (sum scheduler.Amount, top bool) {
	for _, p := range m.Placements() {
		l := h.live[p.Task.Job]
		switch {
		case l == nil || !p.Active():
		case l.Record.Job.Priority == wire.Production:
			top = true
		default:
			sum = sum.Plus(scheduler.Of(l.Record.Job), 1)
		}
	}
	return sum, top
}

// elsewhere reports whether machines in other zones can be had for all that is on one, here
// or by another part: the cloud has not refused them when it was last asked.
func (h *Holder) elsewhere(now time.Time, m *fleet.Machine) bool {
	for _, p := range m.Placements() {
		if l := h.live[p.Task.Job]; l != nil && p.Active() && !h.rentable(now, l.Record.Job) {
			return false
		}
	}
	return true
}

func (h *Holder) rentable(now time.Time, j *wire.Job) bool {
	for _, t := range h.ownTypes() {
		for _, zone := range t.Zones {
			if !h.states.Of(zone).Open(now) || !size(t).Fits(scheduler.Of(j)) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := scheduler.Offer{Type: t.Name, Zone: zone, Spot: spot}
				if !h.rentals.Doubted(o) && scheduler.Allows(j, o) {
					return true
				}
			}
		}
	}
	for part, o := range h.others {
		if room := o.Rooms[j.Class]; (room.Rent || room.Now > 0) && h.group.Suits(part, j, h.types) {
			return true
		}
	}
	return false
}

// hear takes in that a machine is heard again: calls that were in vain meanwhile say nothing
// of the next one. The first of a zone that was cut off says so of all of them.
func (h *Holder) hear(now time.Time, machine string) {
	m := h.fleet.Machine(machine)
	if m == nil || !h.silent(now, m) {
		return
	}
	h.anew(m)
	if _, dark := h.cutOff(now, m.Zone); !dark || now.Sub(h.roused[m.Zone]) < longRaise {
		return
	}
	h.roused[m.Zone] = now
	for _, o := range h.fleet.Machines() {
		if o.Zone == m.Zone && h.silent(now, o) {
			h.anew(o)
		}
	}
	h.log.Info("a zone is heard again", "zone", m.Zone, "machine", machine)
}

// anew forgets the calls to a machine that were in vain.
func (h *Holder) anew(m *fleet.Machine) {
	if c := h.called[m.ID]; !c.open && c.failures > 0 {
		delete(h.called, m.ID)
	}
}
