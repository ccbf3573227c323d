// Package shard decides between the parts of a fleet: which controller should hold
// which part, and which part a new job's tasks go to. It is pure, and no rule rests on
// it: controllers that see things differently only meet at the store, where one wins.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Controller is one that may hold parts.
type Controller struct {
	Name, Zone string
	Leads      int // parts that it holds
}

// Shard is a part of the fleet and the zones that are of it alone.
type Shard struct {
	Name  string
	Zones []string
}

// maxPerController is how many parts one controller should hold at the most.
func maxPerController(shards, controllers int) int {
	return (shards + controllers - 1) / max(1, controllers)
}

// Assign says which controller should claim each free part, of so many parts in all. No
// controller gets more than its share; among those with room one in a zone of the part
// goes first, then the one that holds the fewest, then rendezvous hashing decides, so
// that one that comes or goes moves hardly any other part.
func Assign(free []Shard, controllers []Controller, total int) map[string]string {
	out := make(map[string]string, len(free))
	load := slices.Clone(controllers)
	slices.SortFunc(load, func(a, b Controller) int { return cmp.Compare(a.Name, b.Name) })
	most := maxPerController(total, len(load))
	free = slices.SortedFunc(slices.Values(free), func(a, b Shard) int { return cmp.Compare(a.Name, b.Name) })
	for _, near := range []bool{true, false} { // those that have a controller in their zone choose first
		for _, p := range free {
			if out[p.Name] != "" {
				continue
			}
			best := -1
			for i, c := range load {
				if c.Leads >= most || near && !slices.Contains(p.Zones, c.Zone) {
					continue
				}
				if best < 0 || cmp.Or(cmp.Compare(c.Leads, load[best].Leads), cmp.Compare(rendezvousWeight(p.Name, load[best].Name), rendezvousWeight(p.Name, c.Name))) < 0 {
					best = i
				}
			}
			if best >= 0 {
				load[best].Leads++
				out[p.Name] = load[best].Name
			}
		}
	}
	return out
}

func rendezvousWeight(shard, controller string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + controller)
}

// Surplus says which of its parts a controller should give back, if any: one that holds two
// more than another does. The part goes that is nearest to the other, so that it is
// claimed there.
func Surplus(me Controller, own []Shard, others []Controller) (shard string, ok bool) {
	least := -1
	for i, c := range others {
		if least < 0 || cmp.Or(cmp.Compare(c.Leads, others[least].Leads), cmp.Compare(c.Name, others[least].Name)) < 0 {
			least = i
		}
	}
	if least < 0 || me.Leads < others[least].Leads+2 {
		return "", false
	}
	best, rank := "", -1
	for _, p := range own {
		r := 1
		switch {
		case slices.Contains(p.Zones, others[least].Zone):
			r = 2
		case slices.Contains(p.Zones, me.Zone):
			r = 0
		}
		if r > rank {
			best, rank = p.Name, r
		}
	}
	return best, best != ""
}
