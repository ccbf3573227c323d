// Package zonerecovery plans how a zone that was cut off comes back into use: which of its machines
// are retained meanwhile, and in which steps work returns. It does no I/O: times and observations
// are arguments.
package zonerecovery

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// LostMachine is an unreachable machine of a zone that is cut off.
type LostMachine struct {
	HasProduction   bool                // it has production tasks, which may still run
	Demand          scheduler.Resources // the demand of its other tasks
	CanScaleOut     func() bool         // whether machines can be requested for these elsewhere
	CutOffFor       time.Duration       // since the zone was cut off
	ReplacementTime time.Duration       // for how long it may be idle before a replacement would have cost less
}

// FreeCapacity is what the rest of the fleet has for the work of such machines once all queued work is
// placed.
type FreeCapacity struct {
	HasQueued bool // some work could not be placed
	Free      scheduler.Resources
	ScaleOuts int // machines that may be requested at once to replace lost ones
}

// Keeps reports whether a lost machine is retained until its zone recovers, and reserves capacity for
// its work if it is not.
//
// Releasing the machine is the quickest proof that its tasks run nowhere. That helps the tasks only
// if they can be placed elsewhere sooner: in a fleet that is full they wait all the same, and the
// machine is missing when the zone recovers. Production tasks are left running where they are:
// the zone may recover before their leases expire, and if it does not, the expiry proves them gone.
// When a zone will recover can't be known, so a machine is retained for no longer than its
// replacement would cost. At worst that is twice the cost of the best decision in hindsight.
func (r *FreeCapacity) Keeps(l LostMachine) bool {
	switch {
	case l.CutOffFor >= l.ReplacementTime:
		return false
	case l.HasProduction, l.Demand == scheduler.Resources{}, r.HasQueued:
		return true
	case r.Free.Fits(l.Demand):
		r.Reserve(l.Demand)
		return false
	case r.ScaleOuts > 0 && l.CanScaleOut():
		r.ScaleOuts--
		return false
	}
	return true
}

// Reserve reserves capacity for the work of a machine that is released.
func (r *FreeCapacity) Reserve(a scheduler.Resources) { r.Free = r.Free.AddScaled(a, -1) }

// ReplacementTime is what the replacement of a machine costs, as the time for which the machine could be idle
// instead: the replacement boots, fetches the images again, and is charged for a minimum time when
// it is returned.
func ReplacementTime(t wire.MachineType, imagesGB float64) time.Duration {
	d := wire.Seconds(t.BootS) + wire.MinimumCharge
	if t.FetchGBps > 0 {
		d += wire.Seconds(imagesGB / t.FetchGBps)
	}
	return d
}
