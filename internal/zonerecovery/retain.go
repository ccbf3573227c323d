// Package zonerecovery is how a zone that was cut off comes back into use: which of its machines
// are kept meanwhile, and the steps of the return. It is pure: times and what was seen come
// in, and it goes through everything in a fixed order.
package zonerecovery

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// LostMachine is a silent machine of a zone that is cut off.
type LostMachine struct {
	HasProduction   bool                // it has production tasks, which may run on
	Demand          scheduler.Resources // what its other tasks take
	CanScaleOut     func() bool         // whether machines can be had for these elsewhere
	CutOffFor       time.Duration       // since the zone was cut off
	ReplacementTime time.Duration       // for how long it may stand there before another one had been cheaper
}

// FreeCapacity is what the rest of the fleet has for the work of such machines once all that waits
// has its own.
type FreeCapacity struct {
	HasQueued bool // work waits that found no room
	Free      scheduler.Resources
	ScaleOuts int // machines that may be asked for at once in their stead
}

// Keeps reports whether a lost machine is kept until its zone is back, and takes the room for
// its work if it is not. Its release is the quickest proof that its tasks run nowhere, and
// serves them only where they find room elsewhere sooner: in a fleet that is full, they
// wait all the same, and the machine is missing when the zone returns. Replicas are kept
// running where they are: a zone may return before their leases are over, and if it does
// not, these prove them gone, and production has room at once. Nobody knows when a zone
// returns, so that a machine is kept for no longer than renting another would cost: at
// worst twice of what the one who knows had spent.
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

// Reserve takes room for the work of a machine that was given up.
func (r *FreeCapacity) Reserve(a scheduler.Resources) { r.Free = r.Free.AddScaled(a, -1) }

// ReplacementTime is what another machine in the stead of one costs, in the time for which that one could
// stand idle: it boots, fetches the images anew, and is charged for a least time when it is
// returned.
func ReplacementTime(t wire.MachineType, imagesGB float64) time.Duration {
	d := wire.Seconds(t.BootS) + wire.MinimumCharge
	if t.FetchGBps > 0 {
		d += wire.Seconds(imagesGB / t.FetchGBps)
	}
	return d
}
