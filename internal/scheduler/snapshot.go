package scheduler

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Objective is a service-level objective of a class of jobs: that they start, or are finished,
// within a time.
type Objective struct {
	Kind, Class string
	Within      time.Duration
}

// The kinds of objectives.
const (
	StartWithin     = "wait"      // after submission
	FinishWithin    = "finished"  // after submission
	GuaranteeWithin = "guarantee" // start of work within a team's guarantee, of any class
)

// Offer is a type of machine in a zone, on demand or spot.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Machines     []*Machine
	Jobs         []*Job
	Teams        map[string]*Team
	Types        []wire.MachineType
	Objectives   []Objective
	Unavailable  map[Offer]bool // offers that the cloud refused a while ago: none is asked for
	Doubtful     map[Offer]bool // offers that the cloud refused when they were last asked for
	RequestLimit map[Offer]int  // of doubtful offers, how many machines may be asked for now: more are better asked for elsewhere
	IdleTimeout  time.Duration  // after which an idle machine is returned
	LaunchBudget int            // tasks that may be launched in this round
	MaxMoves     int            // replicas that may be down at once for the sake of spreading
	MaxGangWait  time.Duration  // how long even the largest gang should wait at most; 0 for any time
	Tiers        *tier.Set      // nil stands for the order without settings
	Reclaims     []Reclaim      // capacity that is being reclaimed

	Sharded        bool           // the fleet is divided into several shards, of which this is one
	RemoteCapacity map[string]int // tasks for which other shards have free capacity now, by class
}

// allowsOffer reports whether tasks of a job may ever be on machines of an offer.
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

// OfferAllowed reports whether tasks of a job may ever be on machines of an offer.
func OfferAllowed(j *wire.Job, o Offer) bool { return allowsOffer(&Job{Job: j}, o) }

// zoneAllowed reports whether one more task of a job may be in a zone, given how many of its
// tasks are in each zone, old attempts included.
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

// maxTasksPerZone returns how many tasks of a job that is to be spread may be in one zone: half of them, rounded up.
func maxTasksPerZone(j *Job) int { return (j.Tasks + 1) / 2 }
