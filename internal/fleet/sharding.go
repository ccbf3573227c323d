package fleet

import (
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Sharding divides a fleet into shards by the facts of its machines alone, so that every controller
// names the same shard for a machine of which it knows nothing else.
type Sharding struct {
	description string
	shards      []string
	shardByZone map[string]string // where the zone decides
	shardByType map[string]string // where the type decides
}

// SingleShard is the sharding of a fleet that is a single shard.
func SingleShard() *Sharding { return &Sharding{shards: []string{"fleet"}} }

// ByZones returns a sharding into n shards, to which the zones are assigned in turn. With as many
// shards as zones, each zone is a shard, which has the zone's name.
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
			s.shards = append(s.shards, fmt.Sprintf("part-%d", i)) // the name in the state service
		}
	}
	for i, zone := range zones {
		s.shardByZone[zone] = s.shards[i%len(s.shards)]
	}
	s.description = "zones " + strings.Join(zones, ",") + " in " + strings.Join(s.shards, ",")
	return s
}

// ByTypes makes each of the named types a shard; machines of other types are of the first.
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

// Shards names the shards in order.
func (s *Sharding) Shards() []string { return s.shards }

// IsSingle reports whether the fleet is a single shard.
func (s *Sharding) IsSingle() bool { return len(s.shards) == 1 }

// ShardOf names the shard that a machine belongs to.
func (s *Sharding) ShardOf(zone, machineType string) string {
	if shard, ok := s.shardByZone[zone]; ok {
		return shard
	}
	if shard, ok := s.shardByType[machineType]; ok {
		return shard
	}
	return s.shards[0]
}

// MayHost reports whether a shard may have machines that a job allows and fits on.
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

// KeepsZonesWhole reports whether all machines of a zone are in the same shard, so that a leader
// knows of everything that is in its zones.
func (s *Sharding) KeepsZonesWhole() bool { return s.shardByType == nil }

// ZonesOf lists the zones that belong to a shard, where zones decide.
func (s *Sharding) ZonesOf(shard string) []string {
	var out []string
	for zone, of := range s.shardByZone {
		if of == shard {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// String describes the sharding, for comparison with the state service's record; it is empty for a
// single shard.
func (s *Sharding) String() string { return s.description }
