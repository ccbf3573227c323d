package fleet

import (
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Sharding divides a fleet into parts by the facts of its machines alone, so that
// every controller says the same of a machine that it has never heard of.
type Sharding struct {
	description string
	shards      []string
	shardByZone map[string]string // the part of each zone, where that decides
	shardByType map[string]string // the part of each type, where that decides
}

// SingleShard is the grouping of a fleet that is a single part.
func SingleShard() *Sharding { return &Sharding{shards: []string{"fleet"}} }

// ByZones gives so many parts, over which the zones are dealt out in order; with as
// many as there are zones, each zone is a part and gives it its name.
func ByZones(n int, zones []string) *Sharding {
	zones = slices.Sorted(slices.Values(zones))
	if n <= 1 {
		return SingleShard()
	}
	g := &Sharding{shardByZone: make(map[string]string)}
	for i := range n {
		name := fmt.Sprintf("part-%d", i)
		if n >= len(zones) {
			if i >= len(zones) {
				break
			}
			name = zones[i]
		}
		g.shards = append(g.shards, name)
	}
	for i, zone := range zones {
		g.shardByZone[zone] = g.shards[i%len(g.shards)]
	}
	g.description = "zones " + strings.Join(zones, ",") + " in " + strings.Join(g.shards, ",")
	return g
}

// ByTypes makes each of the named types a part; machines of others are of the first.
func ByTypes(types []string) *Sharding {
	types = slices.Compact(slices.Sorted(slices.Values(types)))
	if len(types) <= 1 {
		return SingleShard()
	}
	g := &Sharding{shards: types, shardByType: make(map[string]string)}
	for _, t := range types {
		g.shardByType[t] = t
	}
	g.description = "types " + strings.Join(types, ",")
	return g
}

// Shards names the parts in order.
func (g *Sharding) Shards() []string { return g.shards }

// IsSingle reports whether the fleet is a single part.
func (g *Sharding) IsSingle() bool { return len(g.shards) == 1 }

// ShardOf names the part that a machine belongs to.
func (g *Sharding) ShardOf(zone, machineType string) string {
	if p, ok := g.shardByZone[zone]; ok {
		return p
	}
	if p, ok := g.shardByType[machineType]; ok {
		return p
	}
	return g.shards[0]
}

// MayHost reports whether a part may have machines that a job allows and fits on.
func (g *Sharding) MayHost(shard string, j *wire.Job, types []wire.MachineType) bool {
	for _, t := range types {
		if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) || j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
			continue
		}
		for _, zone := range t.Zones {
			if g.ShardOf(zone, t.Name) == shard && (j.Zone == "" || j.Zone == zone) {
				return true
			}
		}
	}
	return false
}

// KeepsZonesWhole reports whether all machines of a zone are in the same part, so that a
// holder knows of everything that is in its zones.
func (g *Sharding) KeepsZonesWhole() bool { return g.shardByType == nil }

// ZonesOf lists the zones that belong to a part, where zones decide.
func (g *Sharding) ZonesOf(shard string) []string {
	var out []string
	for zone, p := range g.shardByZone {
		if p == shard {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// String tells the grouping, for comparing with what the state says; it is empty
// for a single part.
func (g *Sharding) String() string { return g.description }
