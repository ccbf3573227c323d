package fleet

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenShardings checks that the stored description of a sharding and the names of its shards never
// change.
func TestGoldenShardings(t *testing.T) {
	var out strings.Builder
	for _, sharding := range []*Sharding{SingleShard(), ByZones(3, []string{"a", "b", "c"}), ByZones(2, []string{"a", "b", "c"}), ByTypes([]string{"small", "large"})} {
		out.WriteString(sharding.String() + ": " + strings.Join(sharding.Shards(), " ") + "\n")
	}
	goldentest.CompareText(t, "groupings.txt", out.String())
}
