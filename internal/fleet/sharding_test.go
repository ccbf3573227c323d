package fleet

import (
	"fmt"
	"slices"
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestSharding checks that zones are assigned to shards round-robin, that each zone is its own shard if
// there are enough shards, and that a machine with an unassigned zone and type belongs to the first
// shard. The state service stores the description.
func TestSharding(t *testing.T) {
	zones := []string{"c", "a", "b"}
	for _, c := range []struct {
		name        string
		sharding    *Sharding
		shards      []string
		description string
		shardsOf    string // shards of zones a, b, c and x with type g8
		zonesWhole  bool   // zones are kept whole
	}{
		{"single", ByZones(1, zones), []string{"fleet"}, "", "[fleet fleet fleet fleet]", true},
		{"two of three zones", ByZones(2, zones), []string{"part-0", "part-1"}, "zones a,b,c in part-0,part-1", "[part-0 part-1 part-0 part-0]", true},
		{"a shard for each zone", ByZones(5, zones), []string{"a", "b", "c"}, "zones a,b,c in a,b,c", "[a b c a]", true},
		{"by types", ByTypes([]string{"g8", "g4", "g4"}), []string{"g4", "g8"}, "types g4,g8", "[g8 g8 g8 g8]", false},
		{"a single type", ByTypes([]string{"g4"}), []string{"fleet"}, "", "[fleet fleet fleet fleet]", true},
	} {
		s := c.sharding
		var assigned []string
		for _, zone := range []string{"a", "b", "c", "x"} {
			assigned = append(assigned, s.ShardOf(zone, "g8"))
		}
		if !slices.Equal(s.Shards(), c.shards) || s.String() != c.description || fmt.Sprint(assigned) != c.shardsOf || s.KeepsZonesWhole() != c.zonesWhole || s.IsSingle() != (len(c.shards) == 1) {
			t.Errorf("%s: %v, %q, %v", c.name, s.Shards(), s, assigned)
		}
	}
	two := ByZones(2, zones)
	if got := two.ZonesOf("part-0"); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("zones of the first shard: %v", got)
	}
	types := []wire.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"a", "b"}}}
	for shard, want := range map[string]bool{"part-0": true, "part-1": false} {
		if got := two.MayHost(shard, &wire.Job{CPUs: 1, GPUs: 4, Zone: "a"}, types); got != want {
			t.Errorf("%s may host a job of zone a: %v", shard, got)
		}
	}
	if two.MayHost("part-0", &wire.Job{GPUs: 8}, types) || two.MayHost("part-0", &wire.Job{Types: []string{"g8"}}, types) {
		t.Error("a shard may host a job for which its machines are too small or not allowed")
	}
}
