package leader

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// watchMachineList reads the list of machines and their types.
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
		if time.Since(typesAt) > 30*time.Second {
			if types, err := e.Cloud.MachineTypes(ctx); err == nil {
				typesAt = time.Now()
				h.SetTypes(types)
			}
		}
		// A list of many pages takes a quarter of the calls at the most, for all parts.
		pages := float64((len(list)/wire.MaxListPage + 1) * len(h.sharding.Shards()))
		store.Backoff(ctx, max(1500*time.Millisecond, wire.Seconds(pages*4/h.cfg.Cloud.RPS)))
	}
	return nil
}

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
			h.scaleOutRequests.Release(l.ID) // it stays listed until it is deleted
		}
	}
}

// forgetMachine forgets a machine that is proven gone.
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
	h.scaleOutRequests.ForgetMachine(id)
}
