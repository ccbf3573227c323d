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

	clearedRevision uint64 // up to which it says that nothing is left of ended jobs
	migrated        bool   // it says that nothing is left to take over
	launches        []*fleet.Placement
	finished        map[string][]int             // tasks that it stores as done
	done            []string                     // jobs that it stores as done
	machines        map[string]bool              // whose records it writes
	ledgerTasks     map[string]map[string]uint64 // and what these name
	zones           []zone.Change                // that it decides
	returns         map[string]*zonerecovery.Plan
	requests        []string
	dropped         []string // asks and machines whose records it drops
	storesTypes     bool     // it stores the machine types
	decidedAt       time.Time
	expansions      map[string]*tier.Preemption // that get more room, by job
	stale           map[reservationKey]bool     // records of room, and whether they are still out of date after it

	entries         []store.Entry
	packed          store.PackedWrite
	rewrites        map[string]*store.BatchUpdate // homes in which it marks jobs as done, or gives tasks away
	orderedRewrites []*store.BatchUpdate          // the same, in order
	guardedBatches  map[string]bool               // homes that must be as they were seen
	slotBudget      int                           // that it may write
	entryBytesLeft  int                           // bytes that are left for entries
	txnBytesLeft    int                           // and in the transaction
	changesLeft     int                           // changes that are left
	conditionsLeft  int                           // conditions that are left
}

// What the values of one round may take together, and the ends among them where
// more than the ledger's slots want to be written.
const (
	maxRoundBytes        = 58 << 10
	maxExtraRewriteBytes = 20 << 10
)

func (h *Leader) newDraft() *Draft {
	maxChanges := min(h.cfg.Store.TxnOps, store.LeaderBurst(h.cfg.Store.WriteRPS, h.cfg.Writers().MinWriteShare(), len(h.sharding.Shards())))
	guards := h.conflicts.Limit(4*h.cfg.Store.TxnOps - h.cfg.Store.TxnOps/2 - 3)
	return &Draft{Number: h.lastRound + 1, finished: map[string][]int{}, machines: map[string]bool{}, ledgerTasks: map[string]map[string]uint64{}, expansions: map[string]*tier.Preemption{}, stale: map[reservationKey]bool{},
		rewrites: map[string]*store.BatchUpdate{}, guardedBatches: map[string]bool{}, txnBytesLeft: maxRoundBytes, changesLeft: maxChanges, conditionsLeft: guards}
}

// reserveLedgerSlots sets aside what is left for the slots of the ledger.
func (h *Leader) reserveLedgerSlots(d *Draft) {
	d.slotBudget = max(1, min(h.cfg.Store.TxnOps/2, d.txnBytesLeft/h.cfg.Store.ValueBytes, d.changesLeft))
	d.changesLeft -= d.slotBudget
	d.entryBytesLeft = h.ledger.FreeBytes(d.slotBudget) >> h.batchBackoff
}

// addEntries takes entries into the round if all of them fit.
func (d *Draft) addEntries(entries ...store.Entry) bool {
	size := 0
	for _, e := range entries {
		size += e.Size
	}
	if size > d.entryBytesLeft {
		return false
	}
	d.entryBytesLeft -= size
	d.entries = append(d.entries, entries...)
	return true
}

// guardBatch demands that the home of a job is as it was seen, so that a cancellation
// that came in between fails the round.
func (d *Draft) guardBatch(l *store.LiveJob) bool {
	if d.guardedBatches[l.Batch.Key] {
		return true
	}
	if d.conditionsLeft == 0 {
		return false
	}
	d.conditionsLeft--
	d.guardedBatches[l.Batch.Key] = true
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: l.Batch.Key, Version: l.Batch.Version})
	return true
}

// rewriteBatch begins the next value of a job's home, if the round has room for that.
func (d *Draft) rewriteBatch(l *store.LiveJob) *store.BatchUpdate {
	r := d.rewrites[l.Batch.Key]
	if r == nil {
		size := l.Batch.Bytes()
		if d.changesLeft <= 1 || len(d.orderedRewrites) > 0 && d.txnBytesLeft-size < maxRoundBytes-maxExtraRewriteBytes || !d.guardBatch(l) {
			return nil
		}
		d.changesLeft--
		d.txnBytesLeft -= size
		r = l.Batch.Update()
		d.rewrites[l.Batch.Key] = r
		d.orderedRewrites = append(d.orderedRewrites, r)
	}
	return r
}

// WrittenBatches gives the homes that the round has written, once it was taken at a
// revision.
func (d *Draft) WrittenBatches(revision uint64) []*store.Batch {
	out := make([]*store.Batch, len(d.orderedRewrites))
	for i, r := range d.orderedRewrites {
		out[i] = r.Committed(revision)
	}
	return out
}

// Committed takes in that the store has taken a round.
func (h *Leader) Committed(d *Draft, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRound = d.Number
	h.conflicts.Committed()
	if len(d.launches) > 0 {
		h.stalls.started(d.decidedAt)
	}
	h.clearedWritten = max(h.clearedWritten, d.clearedRevision)
	h.migration.recorded = h.migration.recorded || d.migrated
	h.ledger.Commit(d.packed, revision)
	h.preemptionsCommitted(d)
	for _, p := range d.launches {
		p.Committed = true
		if j := h.jobStates[p.Task.Job]; j != nil && j.coAllocation.order == p.Attempt {
			j.coAllocation.started = p.Attempt
		}
	}
	for id, tasks := range d.finished {
		j := h.jobState(id)
		for _, i := range tasks {
			j.storedFinished.Add(i)
		}
	}
	for _, id := range d.done {
		h.log.Info("job done", "job", id, "round", d.Number)
	}
	for id := range d.machines {
		h.ledgerTasks.update(id, d.ledgerTasks[id])
		if m := h.fleet.Machine(id); m != nil {
			m.Recorded = true
		} else {
			h.machinesToDrop[id] = true
		}
	}
	h.scaleOutCommitted(d)
	h.zonesCommitted(d.zones)
	h.zoneRecoveriesCommitted(d.returns)
	for _, name := range d.dropped {
		delete(h.requestsToDrop, name)
		if !d.machines[name] {
			delete(h.machinesToDrop, name)
			h.ledgerTasks.update(name, nil)
		}
	}
	if len(d.launches) > 0 || len(d.done) > 0 {
		h.log.Debug("round", "number", d.Number, "launches", len(d.launches), "done", len(d.done), "asks", len(d.requests), "slots", len(d.packed.Then))
	}
}

// Discard takes a round back that the store will never take.
func (h *Leader) Discard(d *Draft) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conflicts.Refused(len(d.guardedBatches))
	h.discardDraft(d)
}

func (h *Leader) discardDraft(d *Draft) {
	for _, p := range d.launches {
		if h.fleet.Machine(p.Machine) != nil {
			h.fleet.Withdraw(p)
		}
	}
	for _, name := range d.requests {
		h.scaleOutRequests.Forget(name)
	}
	h.typesChanged = h.typesChanged || d.storesTypes
}
