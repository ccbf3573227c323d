package fleet

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenShardings: the stored description of a sharding, and the names of its
// shards, never change.
func TestGoldenShardings(t *testing.T) {
	var out strings.Builder
	for _, g := range []*Sharding{SingleShard(), ByZones(3, []string{"a", "b", "c"}), ByZones(2, []string{"a", "b", "c"}), ByTypes([]string{"small", "large"})} {
		out.WriteString(g.String() + ": " + strings.Join(g.Shards(), " ") + "\n")
	}
	goldentest.Text(t, "groupings.txt", out.String())
}
