package scheduler

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Objective is a service-level objective (SLO) of a class of jobs: to start, or to finish, within a
// duration.
type Objective struct {
	Kind, Class string
	Within      time.Duration
}

// The kinds of objectives.
const (
	StartWithin     = "wait"      // time from submission to start
	FinishWithin    = "finished"  // time from submission to completion
	GuaranteeWithin = "guarantee" // time from submission to start, for jobs of any class within their team's guarantee
)

// Offer is a machine type in a zone, on demand or spot.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Snapshot is the complete input of a plan.
type Snapshot struct {
	Machines           []*Machine
	Jobs               []*Job
	Teams              map[string]*Team
	Types              []wire.MachineType
	Objectives         []Objective
	Unavailable        map[Offer]bool // offers in backoff after a refusal by the cloud: none is requested
	Doubtful           map[Offer]bool // offers that the cloud refused at the latest request
	RequestLimit       map[Offer]int  // for doubtful offers: machines to request now; more are requested elsewhere
	IdleTimeout        time.Duration  // idle time after which a machine is returned
	LaunchBudget       int            // maximum number of tasks to launch in this round
	MaxTasksPerMachine int            // maximum number of tasks on one machine; 0 for no limit
	MaxMoves           int            // maximum number of replicas that may be down at once for rebalancing
	MaxGangWait        time.Duration  // maximum time that even the largest gang should wait; 0 for no limit
	Tiers              *tier.Set      // nil selects the default order
	Reclaims           []Reclaim      // capacity that is being reclaimed

	Sharded        bool           // the fleet is divided into several shards, of which this is one
	RemoteCapacity map[string]int // number of tasks for which other shards have free capacity now, by class
}

// allowsOffer reports whether tasks of a job may run on machines of an offer.
func allowsOffer(j *Job, o Offer) bool {
	switch {
	case len(j.Types) > 0 && !slices.Contains(j.Types, o.Type):
		return false
	case j.Zone != "" && j.Zone != o.Zone:
		return false
	case o.Spot && !j.Spot:
		return false
	}
	return j.SpreadRule == nil || j.SpreadRule.permitsZone(o.Zone)
}

// OfferAllowed reports whether tasks of a job may run on machines of an offer.
func OfferAllowed(j *wire.Job, o Offer) bool { return allowsOffer(&Job{Job: j}, o) }

// zoneAllowed reports whether one more task of a job may be placed in a zone, given the number of its
// tasks in each zone, including earlier attempts.
func zoneAllowed(j *Job, tasksByZone map[string]int, zone string) bool {
	if j.OneZone {
		for z, n := range tasksByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || tasksByZone[zone] < maxTasksPerZone(j)
}

// maxTasksPerZone returns how many tasks of a spread job may be in one zone: half of them, rounded up.
func maxTasksPerZone(j *Job) int { return (j.Tasks + 1) / 2 }
