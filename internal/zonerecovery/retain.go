// Package restore is how a zone that was cut off comes back into use: which of its machines
// are kept meanwhile, and the steps of the return. It is pure: times and what was seen come
// in, and it goes through everything in a fixed order.
package zonerecovery

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// Lost is a silent machine of a zone that is cut off.
type Lost struct {
	Top   bool             // it has production tasks, which may run on
	Takes scheduler.Amount // what its other tasks take
	Rent  func() bool      // whether machines can be had for these elsewhere
	Dark  time.Duration    // since the zone was cut off
	Anew  time.Duration    // for how long it may stand there before another one had been cheaper
}

// Room is what the rest of the fleet has for the work of such machines once all that waits
// has its own.
type Room struct {
	Waits bool // work waits that found no room
	Free  scheduler.Amount
	Rents int // machines that may be asked for at once in their stead
}

// Keeps reports whether a lost machine is kept until its zone is back, and takes the room for
// its work if it is not. Its release is the quickest proof that its tasks run nowhere, and
// serves them only where they find room elsewhere sooner: in a fleet that is full, they
// wait all the same, and the machine is missing when the zone returns. Replicas are kept
// running where they are: a zone may return before their leases are over, and if it does
// not, these prove them gone, and production has room at once. Nobody knows when a zone
// returns, so that a machine is kept for no longer than renting another would cost: at
// worst twice of what the one who knows had spent.
func (r *Room) Keeps(l Lost) bool {
	switch {
	case l.Dark >= l.Anew:
		return false
	case l.Top, l.Takes == scheduler.Amount{}, r.Waits:
		return true
	case r.Free.Fits(l.Takes):
		r.Take(l.Takes)
		return false
	case r.Rents > 0 && l.Rent():
		r.Rents--
		return false
	}
	return true
}

// Take takes room for the work of a machine that was given up.
func (r *Room) Take(a scheduler.Amount) { r.Free = r.Free.Plus(a, -1) }

// Anew is what another machine in the stead of one costs, in the time for which that one could
// stand idle: it boots, fetches the images anew, and is charged for a least time when it is
// returned.
func Anew(t wire.MachineType, imagesGB float64) time.Duration {
	d := wire.Seconds(t.BootS) + wire.LeastCharge
	if t.FetchGBps > 0 {
		d += wire.Seconds(imagesGB / t.FetchGBps)
	}
	return d
}
