package leader

import (
	"slices"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// When a state has been divided anew, each part begins with an empty ledger. It takes what is
// of its machines in those of earlier groupings into its own, round by round, and says
// when it has; jobs are written with shares of their own meanwhile. Once all parts have
// and all jobs are, the earlier ledgers go.

// carry is what is not yet in the part's own ledger.
type carry struct {
	machines map[string]bool
	asks     map[string]bool
	jobs     map[string]bool // of which tasks have finished
	zones    []string        // whose states are told
	over     bool            // all of it is
	said     bool            // and the ledger says so
}

// carryFrom adds to what the own ledger tells what those of earlier groupings do.
func (h *Holder) carryFrom(carried bool, last *store.Recalled) {
	h.carry = carry{machines: map[string]bool{}, asks: map[string]bool{}, jobs: map[string]bool{}, said: carried}
	if h.names = (names{}); !h.group.Whole() {
		h.names.of, h.names.on = make(map[string]map[string]uint64, len(last.Machines)), make(map[string]map[string]bool)
		for id, m := range last.Machines {
			h.names.take(id, m.Tasks)
		}
	}
	if carried {
		return
	}
	for id, m := range h.past.Machines {
		if _, newer := last.Machines[id]; !newer && h.group.PartOf(m.Zone, m.Type) == h.held.Part {
			last.Machines[id], h.carry.machines[id] = m, true
		}
	}
	for name, a := range h.past.Asks {
		if _, known := last.Asks[name]; !known && h.group.PartOf(a.Zone, a.Type) == h.held.Part {
			last.Asks[name], h.carry.asks[name] = a, true
		}
	}
}

// carryFinished takes over which tasks of live jobs have finished. What a record marks as done
// is in no ledger, and stays in the record.
func (h *Holder) carryFinished() {
	if h.number == 0 {
		return
	}
	for _, id := range sortedKeys(h.live) {
		l := h.live[id]
		if !h.carry.said && h.past.Finished[id] != nil {
			j := h.history(id)
			for _, i := range h.past.Finished[id].Beyond(store.NewBits(0)) {
				j.finished.Set(i)
			}
			h.carry.jobs[id] = true
			h.unstored.add(id, h.round)
		}
		for _, s := range l.Record.Shares {
			if !s.Done || !s.Within(l.Record.Tasks) || !h.undealt(l) {
				continue
			}
			j := h.history(id)
			for i := s.From; i < s.To; i++ {
				j.finished.Set(i)
				j.stored.Set(i)
			}
			h.unstored.add(id, h.round)
			if gangDone(l, l.Record.Shares) { // its tasks complete together
				h.finish(wire.TaskID{Job: id, Index: s.From}, j)
			}
		}
	}
}

// carryOver writes what is not yet in the part's own ledger, as far as the round has room.
func (h *Holder) carryOver(d *Draft) {
	if h.carry.over {
		return
	}
	for _, id := range sortedKeys(h.carry.machines) {
		m := h.fleet.Machine(id)
		if m == nil || h.ledger.Has(id) {
			delete(h.carry.machines, id)
		} else if !d.machines[id] && d.add(h.machineEntry(d, id)) {
			d.machines[id] = true
		}
	}
	for _, name := range sortedKeys(h.carry.asks) {
		a := h.rentals.Ask(name)
		if a == nil || h.ledger.HasAsk(name) {
			delete(h.carry.asks, name)
		} else {
			d.add(store.AskEntry(name, askRecord(a.Rent)))
		}
	}
	h.carry.zones = slices.DeleteFunc(h.carry.zones, h.ledger.HasZone)
	for _, name := range h.carry.zones {
		if !slices.ContainsFunc(d.zones, func(c zone.Change) bool { return c.Zone == name }) { // or the round says what follows
			d.add(zoneEntry(name, h.states.Of(name)))
		}
	}
	for id := range h.carry.jobs {
		if j := h.jobs[id]; h.live[id] == nil || j == nil || len(j.finished.Beyond(j.stored)) == 0 {
			delete(h.carry.jobs, id)
		}
	}
	if h.carry.over = len(h.carry.machines)+len(h.carry.asks)+len(h.carry.jobs)+len(h.carry.zones) == 0; h.carry.over && h.number > 0 && !h.carry.said {
		h.log.Info("all of earlier groupings taken over", "grouping", h.number)
	}
}

// carryDue reports whether a round is to be written that says that nothing is left to carry.
func (h *Holder) carryDue() bool { return h.carry.over && !h.carry.said }

// implied is what followed from the earlier ledgers for a job's home at a version.
type implied struct {
	version uint64
	shares  []store.Share
}

// undealt reports whether a job's record says nothing of whose its tasks are in this grouping.
func (h *Holder) undealt(l *store.LiveJob) bool { return l.Record.Grouping != h.number }

func (h *Holder) impliedShares(l *store.LiveJob) []store.Share {
	id := l.Record.Job.ID
	if c, ok := h.implied[id]; ok && c.version == l.Home.Version && len(l.Record.DoneIn) == 0 {
		return c.shares
	}
	c := implied{l.Home.Version, h.past.Shares(id, &l.Record)}
	h.implied[id] = c
	return c.shares
}

// dealMost bounds the homes that a round writes only to say whose the tasks of their jobs are.
const dealMost = 2

// deal writes jobs with their shares whose records are of an earlier grouping. Each home is
// written by the part that leads the first of them, so that no two refuse each other's rounds.
func (h *Holder) deal(d *Draft) {
	if h.group.Whole() || h.number == 0 {
		return
	}
	before, left := len(d.homes), make(map[string]bool)
	for id, l := range h.live { // mostly none
		if h.undealt(l) {
			left[id] = true
		} else {
			delete(h.implied, id)
		}
	}
	for _, id := range sortedKeys(left) {
		l := h.live[id]
		if len(d.homes)-before >= dealMost && d.ends[l.Home.Key] == nil || !h.dealer(l) {
			continue
		}
		h.rewriteShares(d, id, l, h.sharesOf(l))
	}
}

func (h *Holder) dealer(l *store.LiveJob) bool {
	for _, m := range l.Home.Jobs {
		if other := h.live[m.ID]; other != nil && h.undealt(other) && other.Home == l.Home {
			lead, _ := reshard.Whose(h.sharesOf(other))
			return lead == h.held.Part
		}
	}
	return false
}

// anywhere reports whether a task of a job may be in this part.
func (h *Holder) anywhere(l *store.LiveJob) bool {
	for i := range l.Record.Tasks {
		if h.fleet.Active(wire.TaskID{Job: l.Record.Job.ID, Index: i}) != nil {
			return true
		}
	}
	return false
}

// gangDone reports whether another part has seen a gang complete: its tasks do so together.
func gangDone(l *store.LiveJob, shares []store.Share) bool {
	return l.Record.Job.Shape == wire.Gang && slices.ContainsFunc(shares, func(s store.Share) bool { return s.Done })
}

// forgetMost bounds the slots that a round drops.
const forgetMost = 4

// forget drops the ledgers of earlier groupings once nobody needs them: all parts have taken
// over what is of their machines, and every job that is not over says whose its tasks
// are. It is done by the holder of the first part.
func (h *Holder) forget(d *Draft, snap store.Snapshot) {
	g := snap.Grouping
	if len(g.Record.Before) == 0 || g.Record.Number != h.number || h.held.Part != h.group.Parts()[0] || !h.carry.said || d.ops <= 2 {
		return
	}
	for _, part := range h.group.Parts() {
		if !h.known.Carried(part) {
			return
		}
	}
	for _, l := range snap.Live {
		if h.undealt(l) && !h.group.Whole() {
			return
		}
	}
	left := h.known.Leftover()
	for _, key := range left[:min(len(left), forgetMost, d.ops-2)] {
		d.ops--
		d.Txn.Then = append(d.Txn.Then, wire.Change{Delete: key})
	}
	if len(left) > 0 {
		return
	}
	d.ops--
	d.guards--
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: store.GroupingKey, Version: g.Version})
	d.Txn.Then = append(d.Txn.Then, wire.Change{Put: store.GroupingKey, Value: store.GroupingRecord{Text: g.Record.Text, Number: g.Record.Number}})
	h.log.Info("the ledgers of earlier groupings are gone", "grouping", h.number)
}
