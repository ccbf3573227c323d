// Package zonerecovery plans how a zone that was cut off comes back into use: which of its machines are retained while
// it is cut off, and in which steps work returns to it. It does no I/O: times and observations are arguments.
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
	CanScaleOut     func() bool         // whether machines can be requested elsewhere for these other tasks
	CutOffFor       time.Duration       // time since the zone was cut off
	ReplacementTime time.Duration       // how long it may be idle before a replacement would have cost less
}

// FreeCapacity is what the rest of the fleet can provide for the work of lost machines once all queued work is placed.
type FreeCapacity struct {
	HasQueued bool // some work could not be placed
	Free      scheduler.Resources
	ScaleOuts int // machines that may be requested at once to replace lost ones
}

// Retains reports whether a lost machine is retained until its zone recovers. If not, it reserves capacity for the
// machine's work.
//
// Releasing the machine is the fastest way to prove that its tasks no longer run. That helps the tasks only if they
// can be placed elsewhere sooner: in a full fleet they wait all the same, and the machine is missing when the zone
// recovers. Production tasks are left running where they are: the zone may recover before their leases expire, and if
// it does not, the expiry proves that they no longer run. It is unknown when a zone will recover, so a machine is
// retained only until its idle time has cost as much as a replacement. At worst that is twice the cost of the best
// decision in hindsight.
func (f *FreeCapacity) Retains(m LostMachine) bool {
	switch {
	case m.CutOffFor >= m.ReplacementTime:
		return false
	case m.HasProduction, m.Demand == scheduler.Resources{}, f.HasQueued:
		return true
	case f.Free.Fits(m.Demand):
		f.Reserve(m.Demand)
		return false
	case f.ScaleOuts > 0 && m.CanScaleOut():
		f.ScaleOuts--
		return false
	}
	return true
}

// Reserve reserves capacity for the work of a machine that is released.
func (f *FreeCapacity) Reserve(demand scheduler.Resources) { f.Free = f.Free.AddScaled(demand, -1) }

// ReplacementTime returns the cost of replacing a machine, expressed as the time for which the machine could be idle
// at the same cost: the replacement boots, fetches the images again, and is charged for a minimum time when it is
// returned.
func ReplacementTime(t wire.MachineType, imagesGB float64) time.Duration {
	d := wire.Seconds(t.BootS) + wire.MinimumCharge
	if t.FetchGBps > 0 {
		d += wire.Seconds(imagesGB / t.FetchGBps)
	}
	return d
}
