// Package shard decides which controller should lead which shard of a fleet, and which shards the tasks of a new job go
// to. It does no I/O, and safety does not depend on it: if controllers decide differently, they compete in the state
// service, and one of them wins.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Controller is a controller that may lead shards.
type Controller struct {
	Name, Zone string
	Leads      int // number of shards that it leads
}

// Shard is a shard of the fleet, with the zones that belong to it alone.
type Shard struct {
	Name  string
	Zones []string
}

// maxPerController returns the maximum number of shards that one controller should lead.
func maxPerController(shards, controllers int) int {
	return (shards + controllers - 1) / max(1, controllers)
}

// Assign returns, by shard, the controller that should campaign for it. free are the shards without a leader, total is
// the number of all shards. No controller gets more than its even share. A controller in a zone of the shard is
// preferred, then the one that leads the fewest shards. Rendezvous hashing breaks ties, so that a controller that
// starts or stops moves hardly any other shard.
func Assign(free []Shard, controllers []Controller, total int) map[string]string {
	out := make(map[string]string, len(free))
	candidates := slices.SortedFunc(slices.Values(controllers), func(a, b Controller) int { return cmp.Compare(a.Name, b.Name) })
	maxLeads := maxPerController(total, len(candidates))
	free = slices.SortedFunc(slices.Values(free), func(a, b Shard) int { return cmp.Compare(a.Name, b.Name) })
	for _, sameZone := range []bool{true, false} { // shards that have a controller in their zone are assigned first
		for _, s := range free {
			if out[s.Name] != "" {
				continue
			}
			if best := bestController(s, candidates, maxLeads, sameZone); best >= 0 {
				candidates[best].Leads++
				out[s.Name] = candidates[best].Name
			}
		}
	}
	return out
}

// bestController returns the index of the best controller for a shard among those that lead fewer than maxLeads shards,
// or -1 if there is none. sameZone excludes controllers that are not in a zone of the shard.
func bestController(s Shard, controllers []Controller, maxLeads int, sameZone bool) int {
	best := -1
	for i, c := range controllers {
		if c.Leads >= maxLeads || sameZone && !slices.Contains(s.Zones, c.Zone) {
			continue
		}
		if best < 0 || precedes(s, c, controllers[best]) {
			best = i
		}
	}
	return best
}

// precedes reports whether controller a should lead a shard rather than controller b.
func precedes(s Shard, a, b Controller) bool {
	byHash := cmp.Compare(rendezvousWeight(s.Name, b.Name), rendezvousWeight(s.Name, a.Name))
	return cmp.Or(cmp.Compare(a.Leads, b.Leads), byHash) < 0
}

// rendezvousWeight returns the weight of a controller for a shard. The highest weight wins.
func rendezvousWeight(shard, controller string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + controller)
}

// surplusMargin is how many more shards than another controller a controller has to lead before it releases one. With a
// margin of one the two would pass a shard back and forth.
const surplusMargin = 2

// Surplus returns the shard that controller me should release, if any. It should release one if it leads at least
// surplusMargin more shards than the controller that leads the fewest. The shard that is nearest to that controller is
// released, so that it is led there next.
func Surplus(me Controller, own []Shard, others []Controller) (shard string, ok bool) {
	if len(others) == 0 {
		return "", false
	}
	least := slices.MinFunc(others, func(a, b Controller) int {
		return cmp.Or(cmp.Compare(a.Leads, b.Leads), cmp.Compare(a.Name, b.Name))
	})
	if me.Leads < least.Leads+surplusMargin {
		return "", false
	}
	bestRank := -1
	for _, s := range own {
		if rank := releaseRank(s, me, least); rank > bestRank {
			shard, bestRank = s.Name, rank
		}
	}
	return shard, shard != ""
}

// releaseRank ranks a shard for release from one controller to another; the highest rank is released first. Shards in
// the other controller's zone rank highest, those in the controller's own zone lowest.
func releaseRank(s Shard, me, other Controller) int {
	switch {
	case slices.Contains(s.Zones, other.Zone):
		return 2
	case slices.Contains(s.Zones, me.Zone):
		return 0
	}
	return 1
}
