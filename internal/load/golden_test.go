package load

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenResult: the JSON of a load's result has the fields that it had.
func TestGoldenResult(t *testing.T) {
	goldentest.Check[Result](t, "result.json", json.Marshal, json.Unmarshal)
}

// TestGoldenMix: the file of a mix has the keys that it had, and they mean what they meant.
func TestGoldenMix(t *testing.T) {
	text, err := os.ReadFile("../../deploy/load.ini")
	if err != nil {
		t.Fatal(err)
	}
	m, err := ParseMix(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Text(t, "mix.txt", strings.Join(goldentest.Leaves(*m), "\n")+"\n")
}
