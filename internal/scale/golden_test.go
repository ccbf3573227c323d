package scale

import (
	"encoding/json"
	"testing"

	"github.com/parquet-go/parquet-go"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenOutcome checks that the JSON fields of an outcome and the Parquet columns have not changed.
func TestGoldenOutcome(t *testing.T) {
	goldentest.CheckEncoding[Outcome](t, "outcome.json", json.Marshal, json.Unmarshal)
	goldentest.CompareText(t, "columns.txt", goldentest.Columns(parquet.SchemaOf(Row{}).String()))
}
