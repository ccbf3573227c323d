package controller

import (
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	machineTypesInterval   = 2 * time.Minute        // between two reads of the machine types
	machineTypesRetryDelay = 300 * time.Millisecond // after a read that failed
)

// machineTypes caches the machine types from the cloud. Until the cloud has answered once, it falls back to those that
// the state service holds.
type machineTypes struct {
	cloud    *cloud.Client
	view     *store.View
	onChange func()

	mu        sync.Mutex
	fromCloud []wire.MachineType
}

// run reads the machine types from the cloud until the context ends.
func (m *machineTypes) run(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := m.cloud.MachineTypes(ctx)
		if err != nil {
			store.Backoff(ctx, machineTypesRetryDelay)
			continue
		}
		m.mu.Lock()
		m.fromCloud = types
		m.mu.Unlock()
		m.onChange()
		store.Backoff(ctx, machineTypesInterval)
	}
	return nil
}

// get returns the machine types, or nil while they are unknown.
func (m *machineTypes) get() []wire.MachineType {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fromCloud == nil {
		return m.view.MachineTypes()
	}
	return m.fromCloud
}
