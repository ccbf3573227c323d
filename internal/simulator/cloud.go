package simulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/wire"
)

// Cloud simulates the cloud provider. It starts machines after their boot time, and lists and
// deletes them.
type Cloud struct {
	Types           []wire.MachineType
	Capacity        int                // machines in each zone
	CapacityByOffer map[Offer]int      // if set, replaces Capacity
	RPS             float64            // limit on requests per second, with bursts of two seconds' worth; 0 for no limit
	ListLag         time.Duration      // average age of a listing; the maximum is twice as much
	BootTime        time.Duration      // 0 for the boot time of the machine type
	Subnet          string             // prefix of the machines' IP addresses; 10.1.0. if empty
	AddrOf          func(n int) string // if set, returns the address of the n-th machine
	Rand            *rand.Rand
	Start           func(id, addr, typ, zone string, spot bool) Machine
	Faults          CloudFaults

	mu              sync.Mutex
	rentedCount     int
	machines        map[string]*instance
	rentedByRequest map[string][]string
	requestLimiter  *rate.Limiter
	deletedCost     float64 // cost of the machines that were deleted
}

// Offer is a combination of machine type, zone and pricing that can be rented.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Machine is the process that runs on a rented machine.
type Machine interface {
	// Kill terminates the machine and everything that runs on it.
	Kill()
}

// Optional interfaces of a Machine. Worker implements all of them.
type (
	// NoticeReceiver is notified that the cloud will reclaim the machine after a delay.
	NoticeReceiver interface{ Notice(in time.Duration) }
	// Pauser can be suspended for a duration.
	Pauser interface{ Pause(d time.Duration) }
	// Rebooter can restart. downtime is how long that takes; forgetToken loses the fencing token.
	Rebooter interface {
		Reboot(downtime time.Duration, forgetToken bool)
	}
	// InboundDropper can be made to lose everything that is sent to it.
	InboundDropper interface{ DropInbound(drop bool) }
	// OutboundBlocker can be prevented from opening connections.
	OutboundBlocker interface{ BlockOutbound(block bool) }
	// StateReporter reports its free capacity. ok is false while no task can be started there.
	StateReporter interface {
		State() (s MachineState, ok bool)
	}
)

// machineType returns the machine type with the given name, or nil.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Stop deletes all machines.
func (c *Cloud) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.machines {
		c.remove(id)
	}
}
