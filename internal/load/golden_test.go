package load

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenResult checks that the JSON encoding of a result is unchanged.
func TestGoldenResult(t *testing.T) {
	goldentest.CheckEncoding[Result](t, "result.json", json.Marshal, json.Unmarshal)
}

// TestGoldenMix checks that a mix file parses to the same settings as before.
func TestGoldenMix(t *testing.T) {
	text, err := os.ReadFile("../../deploy/load.ini")
	if err != nil {
		t.Fatal(err)
	}
	m, err := ParseMix(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CompareText(t, "mix.txt", strings.Join(goldentest.Leaves(*m), "\n")+"\n")
}
