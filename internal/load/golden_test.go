package load

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenResult: the JSON of a load's result has the fields that it had.
func TestGoldenResult(t *testing.T) {
	goldentest.Check[Result](t, "result.json", json.Marshal, json.Unmarshal)
}
