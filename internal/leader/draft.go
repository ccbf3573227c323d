package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
	"amberdeal.example/amberdeal/wire"
)

// Draft is a round that was decided and is yet to be written.
type Draft struct {
	Txn    wire.Txn
	Number uint64

	clear    uint64 // up to which it says that nothing is left of ended jobs
	carried  bool   // it says that nothing is left to take over
	launches []*fleet.Placement
	finished map[string][]int             // tasks that it stores as done
	done     []string                     // jobs that it stores as done
	machines map[string]bool              // whose records it writes
	names    map[string]map[string]uint64 // and what these name
	zones    []zone.Change                // that it decides
	returns  map[string]*zonerecovery.Plan
	asks     []string
	dropped  []string // asks and machines whose records it drops
	types    bool     // it stores the machine types
	at       time.Time
	claims   map[string]*tier.Claim // that get more room, by job
	stale    map[roomOf]bool        // records of room, and whether they are still out of date after it

	entries []store.Entry
	packed  store.Packed
	ends    map[string]*store.Rewrite // homes in which it marks jobs as done, or gives tasks away
	homes   []*store.Rewrite          // the same, in order
	guarded map[string]bool           // homes that must be as they were seen
	slots   int                       // that it may write
	room    int                       // bytes that are left for entries
	bytes   int                       // and in the transaction
	ops     int                       // changes that are left
	guards  int                       // conditions that are left
}

// What the values of one round may take together, and the ends among them where
// more than the ledger's slots want to be written.
const (
	txnBytes = 58 << 10
	endBytes = 20 << 10
)

func (h *Holder) newDraft() *Draft {
	most := min(h.cfg.Store.TxnOps, store.HolderBurst(h.cfg.Store.WriteRPS, h.cfg.Writers().LeastChanges(), len(h.group.Parts())))
	guards := h.contention.limit(4*h.cfg.Store.TxnOps - h.cfg.Store.TxnOps/2 - 3)
	return &Draft{Number: h.round + 1, finished: map[string][]int{}, machines: map[string]bool{}, names: map[string]map[string]uint64{}, claims: map[string]*tier.Claim{}, stale: map[roomOf]bool{},
		ends: map[string]*store.Rewrite{}, guarded: map[string]bool{}, bytes: txnBytes, ops: most, guards: guards}
}

// openLedger sets aside what is left for the slots of the ledger.
func (h *Holder) openLedger(d *Draft) {
	d.slots = max(1, min(h.cfg.Store.TxnOps/2, d.bytes/h.cfg.Store.ValueBytes, d.ops))
	d.ops -= d.slots
	d.room = h.ledger.Room(d.slots) >> h.squeeze
}

// add takes entries into the round if all of them fit.
func (d *Draft) add(entries ...store.Entry) bool {
	size := 0
	for _, e := range entries {
		size += e.Size
	}
	if size > d.room {
		return false
	}
	d.room -= size
	d.entries = append(d.entries, entries...)
	return true
}

// guard demands that the home of a job is as it was seen, so that a cancellation
// that came in between fails the round.
func (d *Draft) guard(l *store.LiveJob) bool {
	if d.guarded[l.Home.Key] {
		return true
	}
	if d.guards == 0 {
		return false
	}
	d.guards--
	d.guarded[l.Home.Key] = true
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: l.Home.Key, Version: l.Home.Version})
	return true
}

// rewrite begins the next value of a job's home, if the round has room for that.
func (d *Draft) rewrite(l *store.LiveJob) *store.Rewrite {
	r := d.ends[l.Home.Key]
	if r == nil {
		size := l.Home.Bytes()
		if d.ops <= 1 || len(d.homes) > 0 && d.bytes-size < txnBytes-endBytes || !d.guard(l) {
			return nil
		}
		d.ops--
		d.bytes -= size
		r = l.Home.Rewrite()
		d.ends[l.Home.Key] = r
		d.homes = append(d.homes, r)
	}
	return r
}

// Taken gives the homes that the round has written, once it was taken at a
// revision.
func (d *Draft) Taken(revision uint64) []*store.Home {
	out := make([]*store.Home, len(d.homes))
	for i, r := range d.homes {
		out[i] = r.Taken(revision)
	}
	return out
}

// Committed takes in that the store has taken a round.
func (h *Holder) Committed(d *Draft, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.round = d.Number
	h.contention.taken()
	if len(d.launches) > 0 {
		h.stalls.started(d.at)
	}
	h.said = max(h.said, d.clear)
	h.carry.said = h.carry.said || d.carried
	h.ledger.Commit(d.packed, revision)
	h.claimed(d)
	for _, p := range d.launches {
		p.Committed = true
		if j := h.jobs[p.Task.Job]; j != nil && j.allocation.order == p.Attempt {
			j.allocation.started = p.Attempt
		}
	}
	for id, tasks := range d.finished {
		j := h.history(id)
		for _, i := range tasks {
			j.stored.Set(i)
		}
	}
	for _, id := range d.done {
		h.log.Info("job done", "job", id, "round", d.Number)
	}
	for id := range d.machines {
		h.names.take(id, d.names[id])
		if m := h.fleet.Machine(id); m != nil {
			m.Recorded = true
		} else {
			h.dropMachines[id] = true
		}
	}
	h.asked(d)
	h.judged(d.zones)
	h.returned(d.returns)
	for _, name := range d.dropped {
		delete(h.dropAsks, name)
		if !d.machines[name] {
			delete(h.dropMachines, name)
			h.names.take(name, nil)
		}
	}
	if len(d.launches) > 0 || len(d.done) > 0 {
		h.log.Debug("round", "number", d.Number, "launches", len(d.launches), "done", len(d.done), "asks", len(d.asks), "slots", len(d.packed.Then))
	}
}

// Discard takes a round back that the store will never take.
func (h *Holder) Discard(d *Draft) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contention.refused(len(d.guarded))
	h.discard(d)
}

func (h *Holder) discard(d *Draft) {
	for _, p := range d.launches {
		if h.fleet.Machine(p.Machine) != nil {
			h.fleet.Withdraw(p)
		}
	}
	for _, name := range d.asks {
		h.rentals.Forget(name)
	}
	h.newTypes = h.newTypes || d.types
}
