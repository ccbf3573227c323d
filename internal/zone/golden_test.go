package zone

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenStates: the states of a zone are stored in the words that they had.
func TestGoldenStates(t *testing.T) {
	words := []string{string(Up), string(Suspected), string(Unreachable), string(Recovering)}
	goldentest.Text(t, "states.txt", strings.Join(words, "\n")+"\n")
}
