package controller

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// learnTypes reads the machine types until they are known, from the cloud or,
// while that is out, from the store.
func (c *Controller) learnTypes(ctx context.Context) error {
	for ctx.Err() == nil {
		if types, err := c.cloud.MachineTypes(ctx); err == nil {
			c.mu.Lock()
			c.cloudTypes = types
			c.mu.Unlock()
			c.wake()
			store.Backoff(ctx, 2*time.Minute)
			continue
		}
		store.Backoff(ctx, 300*time.Millisecond)
	}
	return nil
}

func (c *Controller) machineTypes() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cloudTypes == nil {
		return c.view.MachineTypes()
	}
	return c.cloudTypes
}
