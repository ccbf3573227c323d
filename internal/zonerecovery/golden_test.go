package zonerecovery

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenSteps checks that the stored texts of the recovery steps do not change between versions.
func TestGoldenSteps(t *testing.T) {
	words := []string{string(StepRetain), string(StepRefill), string(StepRefilled), string(StepSpread)}
	goldentest.CompareText(t, "steps.txt", strings.Join(words, "\n")+"\n")
}
