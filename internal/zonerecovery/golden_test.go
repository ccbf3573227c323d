package zonerecovery

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenSteps: the steps of a zone's return are stored in the words that they had.
func TestGoldenSteps(t *testing.T) {
	words := []string{string(StepRetain), string(StepRefill), string(StepRefilled), string(StepSpread)}
	goldentest.Text(t, "steps.txt", strings.Join(words, "\n")+"\n")
}
