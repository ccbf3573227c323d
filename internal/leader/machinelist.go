package leader

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// minListInterval is the minimum time between two reads of the machine list.
	minListInterval = 1500 * time.Millisecond
	// machineTypesInterval is the minimum time between two reads of the machine types, which rarely change.
	machineTypesInterval = 30 * time.Second
	// listRateDivisor divides the cloud's call rate limit to give the share for reading the machine list.
	listRateDivisor = 4
)

// watchMachineList periodically reads the cloud's machine list and the machine types until the context ends.
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
		// For all shards together, reading a long list takes at most a quarter of the cloud's call rate.
		pages := float64((len(list)/wire.MaxListPage + 1) * len(l.sharding.Shards()))
		store.Backoff(ctx, max(minListInterval, wire.Seconds(pages*listRateDivisor/l.cfg.Cloud.RPS)))
	}
	return nil
}

// handleMachineList applies this shard's machines in a list that was requested at requestedAt and received at now.
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
			l.scaler.Release(listed.ID) // a failed machine stays listed until it is deleted
		}
	}
}

// forgetMachine removes a machine that is proven gone, and schedules the deletion of its record.
func (l *Leader) forgetMachine(id, reason string) {
	if m := l.fleet.Machine(id); m != nil {
		l.log.Info("machine gone", "machine", id, "reason", reason)
		if m.Recorded {
			l.machinesToDrop[id] = true
		}
		l.monitor.Calls.Forget(id)
		l.fleet.RemoveMachine(id)
		l.Wake()
	}
	l.scaler.ForgetMachine(id)
}
