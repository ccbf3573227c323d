// Package shard decides between the shards of a fleet: which controller should lead which shard, and which shard the
// tasks of a new job go to. It does no I/O, and no safety rule rests on it: controllers that decide differently compete
// in the state service, where one wins.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Controller is a controller that may lead shards.
type Controller struct {
	Name, Zone string
	Leads      int // shards that it leads
}

// Shard is a shard of the fleet and the zones that belong to it alone.
type Shard struct {
	Name  string
	Zones []string
}

// maxPerController is how many shards one controller should lead at most.
func maxPerController(shards, controllers int) int {
	return (shards + controllers - 1) / max(1, controllers)
}

// Assign says which controller should campaign for each free shard, of so many shards in all. No controller gets more
// than its even share. Among the others one in a zone of the shard goes first, then the one that leads the fewest, then
// rendezvous hashing decides, so that a controller that starts or stops moves hardly any other shard.
func Assign(free []Shard, controllers []Controller, total int) map[string]string {
	out := make(map[string]string, len(free))
	load := slices.SortedFunc(slices.Values(controllers), func(a, b Controller) int { return cmp.Compare(a.Name, b.Name) })
	most := maxPerController(total, len(load))
	free = slices.SortedFunc(slices.Values(free), func(a, b Shard) int { return cmp.Compare(a.Name, b.Name) })
	for _, near := range []bool{true, false} { // shards that have a controller in their zone choose first
		for _, s := range free {
			if out[s.Name] != "" {
				continue
			}
			if best := bestController(s, load, most, near); best >= 0 {
				load[best].Leads++
				out[s.Name] = load[best].Name
			}
		}
	}
	return out
}

// pick gives the index of the best controller for a shard among those that lead fewer than most, or -1. Near leaves out
// those that are not in a zone of the shard.
func bestController(s Shard, controllers []Controller, most int, near bool) int {
	best := -1
	for i, c := range controllers {
		if c.Leads >= most || near && !slices.Contains(s.Zones, c.Zone) {
			continue
		}
		if best < 0 || precedes(s, c, controllers[best]) {
			best = i
		}
	}
	return best
}

// precedes reports whether one controller should lead a shard rather than another.
func precedes(s Shard, a, b Controller) bool {
	byHash := cmp.Compare(rendezvousWeight(s.Name, b.Name), rendezvousWeight(s.Name, a.Name))
	return cmp.Or(cmp.Compare(a.Leads, b.Leads), byHash) < 0
}

// rendezvousWeight is the weight of a controller for a shard; the greatest one wins.
func rendezvousWeight(shard, controller string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + controller)
}

// surplusMargin is by how many shards more than another a controller leads before it releases one: with a margin of one
// the two would swap it back and forth.
const surplusMargin = 2

// Surplus says which of its shards a controller should release, if any: one that leads surplusMargin more than another
// does. The shard that is nearest to the other goes, so that it is led there next.
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

// releaseRank says how gladly a controller releases a shard to another: first one that has a zone of the other's, last
// one that has a zone of its own.
func releaseRank(s Shard, me, other Controller) int {
	switch {
	case slices.Contains(s.Zones, other.Zone):
		return 2
	case slices.Contains(s.Zones, me.Zone):
		return 0
	}
	return 1
}
