package simulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/wire"
)

// Cloud imitates the cloud provider: it starts machines after their boot time, and lists and
// deletes them.
type Cloud struct {
	Types           []wire.MachineType
	Capacity        int                // machines in each zone
	CapacityByOffer map[Offer]int      // if set, replaces Capacity
	RPS             float64            // with bursts of two seconds' worth; 0 for no limit
	ListLag         time.Duration      // by which lists may be out of date
	BootTime        time.Duration      // 0 for the boot time of the machine type
	Subnet          string             // of the machines; 10.1.0. if it is empty
	AddrOf          func(n int) string // if set, returns the address of the n-th machine
	Rand            *rand.Rand
	Start           func(id, addr, typ, zone string, spot bool) Machine
	Faults          CloudFaults

	mu              sync.Mutex
	rentedCount     int
	machines        map[string]*instance
	rentedByRequest map[string][]string
	requestLimiter  *rate.Limiter
	deletedCost     float64 // of the machines that were deleted
}

// Offer is a kind of machine that can be rented.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Machine is what runs on a rented machine.
type Machine interface {
	// Kill ends the machine with everything on it.
	Kill()
}

// What a machine may support beside Kill. Worker supports all of it.
type (
	// NoticeReceiver is told that the cloud takes the machine back after a while.
	NoticeReceiver interface{ Notice(in time.Duration) }
	// Pauser can make no progress for a while.
	Pauser interface{ Pause(d time.Duration) }
	// Rebooter can restart; a forgetful machine loses its fencing token.
	Rebooter interface {
		Reboot(back time.Duration, forgetful bool)
	}
	// InboundDropper can lose everything that is sent to it.
	InboundDropper interface{ DropInbound(deaf bool) }
	// OutboundBlocker can be kept from opening connections.
	OutboundBlocker interface{ BlockOutbound(mute bool) }
	// StateReporter tells its free capacity; ok is false while nothing can be started there.
	StateReporter interface {
		State() (p MachineState, ok bool)
	}
)

// machineType returns a machine type by name, or nil.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Stop ends all machines.
func (c *Cloud) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.machines {
		c.remove(id)
	}
}
