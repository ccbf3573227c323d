package experiment

import (
	"encoding/json"
	"testing"

	"github.com/parquet-go/parquet-go"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenOutcome checks that the JSON encoding of an outcome and the columns of the tables are unchanged.
func TestGoldenOutcome(t *testing.T) {
	goldentest.CheckEncoding[Outcome](t, "outcome.json", json.Marshal, json.Unmarshal)
	goldentest.CompareText(t, "columns.txt", goldentest.Columns(parquet.SchemaOf(Sample{}).String())+goldentest.Columns(parquet.SchemaOf(ClassRow{}).String()))
}
