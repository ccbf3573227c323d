package fleet

import (
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Grouping divides a fleet into parts by the facts of its machines alone, so that
// every controller says the same of a machine that it has never heard of.
type Grouping struct {
	text  string
	parts []string
	zones map[string]string // the part of each zone, where that decides
	types map[string]string // the part of each type, where that decides
}

// One is the grouping of a fleet that is a single part.
func One() *Grouping { return &Grouping{parts: []string{"fleet"}} }

// ByZones gives so many parts, over which the zones are dealt out in order; with as
// many as there are zones, each zone is a part and gives it its name.
func ByZones(n int, zones []string) *Grouping {
	zones = slices.Sorted(slices.Values(zones))
	if n <= 1 {
		return One()
	}
	g := &Grouping{zones: make(map[string]string)}
	for i := range n {
		name := fmt.Sprintf("part-%d", i)
		if n >= len(zones) {
			if i >= len(zones) {
				break
			}
			name = zones[i]
		}
		g.parts = append(g.parts, name)
	}
	for i, zone := range zones {
		g.zones[zone] = g.parts[i%len(g.parts)]
	}
	g.text = "zones " + strings.Join(zones, ",") + " in " + strings.Join(g.parts, ",")
	return g
}

// ByTypes makes each of the named types a part; machines of others are of the first.
func ByTypes(types []string) *Grouping {
	types = slices.Compact(slices.Sorted(slices.Values(types)))
	if len(types) <= 1 {
		return One()
	}
	g := &Grouping{parts: types, types: make(map[string]string)}
	for _, t := range types {
		g.types[t] = t
	}
	g.text = "types " + strings.Join(types, ",")
	return g
}

// Parts names the parts in order.
func (g *Grouping) Parts() []string { return g.parts }

// Whole reports whether the fleet is a single part.
func (g *Grouping) Whole() bool { return len(g.parts) == 1 }

// PartOf names the part that a machine belongs to.
func (g *Grouping) PartOf(zone, machineType string) string {
	if p, ok := g.zones[zone]; ok {
		return p
	}
	if p, ok := g.types[machineType]; ok {
		return p
	}
	return g.parts[0]
}

// Suits reports whether a part may have machines that a job allows and fits on.
func (g *Grouping) Suits(part string, j *wire.Job, types []wire.MachineType) bool {
	for _, t := range types {
		if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) || j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
			continue
		}
		for _, zone := range t.Zones {
			if g.PartOf(zone, t.Name) == part && (j.Zone == "" || j.Zone == zone) {
				return true
			}
		}
	}
	return false
}

// Zoned reports whether all machines of a zone are in the same part, so that a
// holder knows of everything that is in its zones.
func (g *Grouping) Zoned() bool { return g.types == nil }

// Zones lists the zones that belong to a part, where zones decide.
func (g *Grouping) Zones(part string) []string {
	var out []string
	for zone, p := range g.zones {
		if p == part {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// String tells the grouping, for comparing with what the state says; it is empty
// for a single part.
func (g *Grouping) String() string { return g.text }
