package leader

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// minListInterval is the least time between two reads of the list.
	minListInterval = 1500 * time.Millisecond
	// machineTypesInterval is the time between two reads of the machine types, which hardly change.
	machineTypesInterval = 30 * time.Second
	// listShare is the part of the cloud's calls that reading the list may take, as a divisor.
	listShare = 4
)

// watchMachineList reads the cloud's list of machines, and their types.
func (h *Leader) watchMachineList(ctx context.Context, e Dependencies) error {
	var typesAt time.Time
	for ctx.Err() == nil {
		requestedAt := time.Now()
		list, err := e.Cloud.List(ctx)
		if err == nil {
			h.handleMachineList(requestedAt, time.Now(), list)
		} else {
			h.log.Debug("listing machines failed", "err", err)
		}
		if time.Since(typesAt) > machineTypesInterval {
			if types, err := e.Cloud.MachineTypes(ctx); err == nil {
				typesAt = time.Now()
				h.SetTypes(types)
			}
		}
		// A list of many pages takes a quarter of the calls at most, for all shards together.
		pages := float64((len(list)/wire.MaxListPage + 1) * len(h.sharding.Shards()))
		store.Backoff(ctx, max(minListInterval, wire.Seconds(pages*listShare/h.cfg.Cloud.RPS)))
	}
	return nil
}

// handleMachineList applies a list that was requested at a time, as far as it is of this shard's machines.
func (h *Leader) handleMachineList(requestedAt, now time.Time, list []wire.ListedMachine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mine := list[:0:0]
	for _, l := range list {
		if h.sharding.ShardOf(l.Zone, l.Type) == h.lease.Shard {
			mine = append(mine, l)
		}
	}
	for _, id := range h.fleet.ApplyCloudList(requestedAt, now, mine) {
		h.forgetMachine(id, "the cloud no longer has it")
	}
	for _, l := range mine {
		if l.Stage == wire.MachineFailed {
			h.scaler.Release(l.ID) // it stays listed until it is deleted
		}
	}
}

// forgetMachine forgets a machine that is proven gone, and has its record deleted.
func (h *Leader) forgetMachine(id, why string) {
	if m := h.fleet.Machine(id); m != nil {
		h.log.Info("machine gone", "machine", id, "reason", why)
		if m.Recorded {
			h.machinesToDrop[id] = true
		}
		h.monitor.Calls.Forget(id)
		h.fleet.RemoveMachine(id)
		h.Wake()
	}
	h.scaler.ForgetMachine(id)
}
