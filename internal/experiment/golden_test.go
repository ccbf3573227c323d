package experiment

import (
	"encoding/json"
	"testing"

	"github.com/parquet-go/parquet-go"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenOutcome: the JSON of a cell's outcome has the fields that it had, and the tables
// have their columns.
func TestGoldenOutcome(t *testing.T) {
	goldentest.Check[Outcome](t, "outcome.json", json.Marshal, json.Unmarshal)
	goldentest.Text(t, "columns.txt", goldentest.Columns(parquet.SchemaOf(Sample{}).String())+goldentest.Columns(parquet.SchemaOf(ClassRow{}).String()))
}
