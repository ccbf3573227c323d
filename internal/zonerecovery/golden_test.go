package zonerecovery

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenSteps: the steps of a zone's return are stored in the words that they had.
func TestGoldenSteps(t *testing.T) {
	words := []string{string(Kept), string(Fill), string(Home), string(Spread)}
	goldentest.Text(t, "steps.txt", strings.Join(words, "\n")+"\n")
}
