package quota

import (
	"maps"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// The grant record keeps CPUs and GPUs as a pair of numbers; these map it to the type that the code uses.

func amountOf(pair [2]float64) scheduler.Resources {
	return scheduler.Resources{CPUs: pair[0], GPUs: pair[1]}
}

func pairOf(a scheduler.Resources) [2]float64 { return [2]float64{a.CPUs, a.GPUs} }

// setGrant changes what a shard is granted of a team's limits in a clone of the record's map, whose inner maps
// are still those of the record.
func setGrant(teams map[string]map[string][2]float64, team, shard string, grant scheduler.Resources) {
	byShard := maps.Clone(teams[team])
	if byShard == nil {
		byShard = make(map[string][2]float64)
	}
	byShard[shard] = pairOf(grant)
	teams[team] = byShard
}

// lesser gives the lesser of two amounts of each kind.
func lesser(a, b scheduler.Resources) scheduler.Resources {
	return scheduler.Resources{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}
