package zone

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenStates checks that the stored texts of the zone states do not change between versions.
func TestGoldenStates(t *testing.T) {
	words := []string{string(Up), string(Suspected), string(Unreachable), string(Recovering)}
	goldentest.CompareText(t, "states.txt", strings.Join(words, "\n")+"\n")
}
