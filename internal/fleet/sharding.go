package fleet

import (
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Sharding divides a fleet into shards by the zones or the types of the machines alone, so that every
// controller assigns a machine to the same shard without further knowledge of it.
type Sharding struct {
	description string
	shards      []string
	shardByZone map[string]string // set if the zone determines the shard
	shardByType map[string]string // set if the machine type determines the shard
}

// SingleShard returns the sharding of a fleet that is a single shard.
func SingleShard() *Sharding { return &Sharding{shards: []string{"fleet"}} }

// ByZones returns a sharding into n shards, to which the sorted zones are assigned round-robin. With at
// least as many shards as zones, each zone is a shard of the same name.
func ByZones(n int, zones []string) *Sharding {
	zones = slices.Sorted(slices.Values(zones))
	if n <= 1 {
		return SingleShard()
	}
	s := &Sharding{shardByZone: make(map[string]string)}
	if n >= len(zones) {
		s.shards = append(s.shards, zones...)
	} else {
		for i := range n {
			s.shards = append(s.shards, fmt.Sprintf("part-%d", i)) // the state service stores this name
		}
	}
	for i, zone := range zones {
		s.shardByZone[zone] = s.shards[i%len(s.shards)]
	}
	s.description = "zones " + strings.Join(zones, ",") + " in " + strings.Join(s.shards, ",")
	return s
}

// ByTypes returns a sharding in which each given machine type is a shard. Machines of other types belong
// to the first shard.
func ByTypes(types []string) *Sharding {
	types = slices.Compact(slices.Sorted(slices.Values(types)))
	if len(types) <= 1 {
		return SingleShard()
	}
	s := &Sharding{shards: types, shardByType: make(map[string]string)}
	for _, t := range types {
		s.shardByType[t] = t
	}
	s.description = "types " + strings.Join(types, ",")
	return s
}

// Shards returns the names of the shards in order.
func (s *Sharding) Shards() []string { return s.shards }

// IsSingle reports whether the fleet is a single shard.
func (s *Sharding) IsSingle() bool { return len(s.shards) == 1 }

// ShardOf returns the name of the shard that a machine belongs to. A machine whose zone and type are
// both unassigned belongs to the first shard.
func (s *Sharding) ShardOf(zone, machineType string) string {
	if shard, ok := s.shardByZone[zone]; ok {
		return shard
	}
	if shard, ok := s.shardByType[machineType]; ok {
		return shard
	}
	return s.shards[0]
}

// MayHost reports whether a shard may have machines that a job allows and that are large enough for it.
func (s *Sharding) MayHost(shard string, j *wire.Job, types []wire.MachineType) bool {
	for _, t := range types {
		allowed := len(j.Types) == 0 || slices.Contains(j.Types, t.Name)
		if !allowed || j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
			continue
		}
		for _, zone := range t.Zones {
			if s.ShardOf(zone, t.Name) == shard && (j.Zone == "" || j.Zone == zone) {
				return true
			}
		}
	}
	return false
}

// KeepsZonesWhole reports whether all machines of a zone are in the same shard, so that a leader knows
// all machines of its zones.
func (s *Sharding) KeepsZonesWhole() bool { return s.shardByType == nil }

// ZonesOf returns the zones that belong to a shard, in order. It returns none if the machine type
// determines the shard.
func (s *Sharding) ZonesOf(shard string) []string {
	var out []string
	for zone, zoneShard := range s.shardByZone {
		if zoneShard == shard {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// String describes the sharding, for comparison with the description recorded in the state service. It
// is empty for a single shard.
func (s *Sharding) String() string { return s.description }
