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
func (l *Leader) watchMachineList(ctx context.Context, deps Dependencies) error {
	var typesAt time.Time
	for ctx.Err() == nil {
		requestedAt := time.Now()
		list, err := deps.Cloud.List(ctx)
		if err == nil {
			l.handleMachineList(requestedAt, time.Now(), list)
		} else {
			l.log.Debug("listing machines failed", "err", err)
		}
		if time.Since(typesAt) > machineTypesInterval {
			if types, err := deps.Cloud.MachineTypes(ctx); err == nil {
				typesAt = time.Now()
				l.SetTypes(types)
			}
		}
		// A list of many pages takes a quarter of the calls at most, for all shards together.
		pages := float64((len(list)/wire.MaxListPage + 1) * len(l.sharding.Shards()))
		store.Backoff(ctx, max(minListInterval, wire.Seconds(pages*listShare/l.cfg.Cloud.RPS)))
	}
	return nil
}

// handleMachineList applies a list that was requested at a time, as far as it is of this shard's machines.
func (l *Leader) handleMachineList(requestedAt, now time.Time, list []wire.ListedMachine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mine := list[:0:0]
	for _, listed := range list {
		if l.sharding.ShardOf(listed.Zone, listed.Type) == l.lease.Shard {
			mine = append(mine, listed)
		}
	}
	for _, id := range l.fleet.ApplyCloudList(requestedAt, now, mine) {
		l.forgetMachine(id, "the cloud no longer has it")
	}
	for _, listed := range mine {
		if listed.Stage == wire.MachineFailed {
			l.scaler.Release(listed.ID) // it stays listed until it is deleted
		}
	}
}

// forgetMachine forgets a machine that is proven gone, and has its record deleted.
func (l *Leader) forgetMachine(id, why string) {
	if m := l.fleet.Machine(id); m != nil {
		l.log.Info("machine gone", "machine", id, "reason", why)
		if m.Recorded {
			l.machinesToDrop[id] = true
		}
		l.monitor.Calls.Forget(id)
		l.fleet.RemoveMachine(id)
		l.Wake()
	}
	l.scaler.ForgetMachine(id)
}
