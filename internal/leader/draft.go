package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leader/commit"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
)

// Draft is a round that was decided and is yet to be written.
type Draft struct {
	*commit.Builder
	Number uint64

	clearedRevision uint64 // up to which it says that nothing is left of ended jobs
	migrated        bool   // it says that all of previous shardings is taken over
	launches        []*fleet.Placement
	finished        map[string][]int             // tasks that it stores as finished
	done            []string                     // jobs that it stores as done
	machines        map[string]bool              // whose records it writes
	ledgerTasks     map[string]map[string]uint64 // and what these name
	zones           []zone.Change                // that it decides
	returns         map[string]*zonerecovery.Plan
	requests        []string
	dropped         []string // scale-out requests and machines whose records it deletes
	storesTypes     bool     // it stores the machine types
	decidedAt       time.Time
	expansions      map[string]*tier.Preemption  // that get more reservations, by job
	stale           map[tier.ReservationKey]bool // records of reservations, and whether they are still out of date after it
}

// newDraft begins a round within the limits of the state service.
func (h *Leader) newDraft() *Draft {
	maxChanges := min(h.cfg.Store.TxnOps, store.LeaderBurst(h.cfg.Store.WriteRPS, h.cfg.Writers().MinWriteShare(), len(h.sharding.Shards())))
	conditions := h.conflicts.Limit(4*h.cfg.Store.TxnOps - h.cfg.Store.TxnOps/2 - 3)
	return &Draft{Builder: commit.NewBuilder(commit.Limits{Changes: maxChanges, Conditions: conditions}), Number: h.lastRound + 1,
		finished: map[string][]int{}, machines: map[string]bool{}, ledgerTasks: map[string]map[string]uint64{},
		expansions: map[string]*tier.Preemption{}, stale: map[tier.ReservationKey]bool{}}
}

// Committed applies a round that was committed at a revision.
func (h *Leader) Committed(d *Draft, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRound = d.Number
	h.conflicts.Committed()
	if len(d.launches) > 0 {
		h.stalls.Launched(d.decidedAt)
	}
	h.clearedWritten = max(h.clearedWritten, d.clearedRevision)
	h.migration.recorded = h.migration.recorded || d.migrated
	h.ledger.Commit(d.Packed(), revision)
	h.preemptionsCommitted(d)
	for _, p := range d.launches {
		p.Committed = true
		if j := h.jobStates[p.Task.Job]; j != nil {
			j.coAllocation.Committed(p.Attempt)
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
		h.ledgerTasks.Update(id, d.ledgerTasks[id])
		if m := h.fleet.Machine(id); m != nil {
			m.Recorded = true
		} else {
			h.machinesToDrop[id] = true
		}
	}
	h.scaler.Stored(d.requests)
	h.zonesCommitted(d.zones)
	h.zoneRecoveriesCommitted(d.returns)
	for _, name := range d.dropped {
		h.scaler.Dropped(name)
		if !d.machines[name] {
			delete(h.machinesToDrop, name)
			h.ledgerTasks.Update(name, nil)
		}
	}
	if len(d.launches) > 0 || len(d.done) > 0 {
		h.log.Debug("round", "number", d.Number, "launches", len(d.launches), "done", len(d.done), "requests", len(d.requests), "slots", len(d.Packed().Then))
	}
}

// Discard takes back a round that will never be committed.
func (h *Leader) Discard(d *Draft) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conflicts.Refused(d.Guarded())
	h.discardDraft(d)
}

// discardDraft withdraws what was decided for a round.
func (h *Leader) discardDraft(d *Draft) {
	for _, p := range d.launches {
		if h.fleet.Machine(p.Machine) != nil {
			h.fleet.Withdraw(p)
		}
	}
	for _, name := range d.requests {
		h.scaler.Forget(name)
	}
	h.typesChanged = h.typesChanged || d.storesTypes
}
