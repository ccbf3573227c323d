package scheduler

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Objective is an aim of the users for a class of jobs: that they start, or
// are finished, within a time.
type Objective struct {
	Kind, Class string
	Within      time.Duration
}

// The kinds of objectives.
const (
	StartWithin     = "wait"
	FinishWithin    = "finished"
	GuaranteeWithin = "guarantee"
)

// Offer is a type of machine in a zone, ordinary or spot.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Snapshot is all that the choice depends on.
type Snapshot struct {
	Machines     []*Machine
	Jobs         []*Job
	Teams        map[string]*Team
	Types        []wire.MachineType
	Objectives   []Objective
	Unavailable  map[Offer]bool // offers that the cloud refused a while ago
	Doubtful     map[Offer]bool // offers that it refused when they were last asked for
	RequestLimit map[Offer]int  // machines that can be asked for now, of offers in doubt: more are better asked elsewhere
	IdleTimeout  time.Duration  // after which an idle machine is returned
	LaunchBudget int            // that may be launched in this round

	MaxMoves       int            // replicas that may be away at once for spreading
	MaxGangWait    time.Duration  // how long even the largest gang should wait at the most, 0 for any time
	Sharded        bool           // the fleet is in several parts, of which this is one
	RemoteCapacity map[string]int // room that other parts have now, by class
	Tiers          *tier.Set      // nil stands for the order without settings
	Reclaims       []Reclaim      // room that is being claimed back
}

// allowsOffer reports whether a job's tasks may ever be on such a machine.
func allowsOffer(j *Job, o Offer) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, o.Type)) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot) && (j.SpreadRule == nil || j.SpreadRule.permitsZone(o.Zone))
}

// OfferAllowed reports whether the tasks of a job may ever be on machines of an offer.
func OfferAllowed(j *wire.Job, o Offer) bool { return allowsOffer(&Job{Job: j}, o) }

// zoneAllowed reports whether one more task of a job may be in a zone, given
// where its tasks are, old attempts included.
func zoneAllowed(j *Job, in map[string]int, zone string) bool {
	if j.OneZone {
		for z, n := range in {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || in[zone] < (j.Tasks+1)/2
}
