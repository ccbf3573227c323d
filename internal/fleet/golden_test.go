package fleet

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenGroupings: how the fleet is divided is stored in the words that it had, and the
// parts are called what they were.
func TestGoldenGroupings(t *testing.T) {
	var out strings.Builder
	for _, g := range []*Sharding{SingleShard(), ByZones(3, []string{"a", "b", "c"}), ByZones(2, []string{"a", "b", "c"}), ByTypes([]string{"small", "large"})} {
		out.WriteString(g.String() + ": " + strings.Join(g.Shards(), " ") + "\n")
	}
	goldentest.Text(t, "groupings.txt", out.String())
}
