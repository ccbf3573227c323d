package top

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenStatus checks that the JSON of /status and of a view of several controllers has not
// changed.
func TestGoldenStatus(t *testing.T) {
	goldentest.CheckEncoding[Status](t, "status.json", json.Marshal, json.Unmarshal)
	goldentest.CheckEncoding[View](t, "view.json", json.Marshal, json.Unmarshal)
	goldentest.CompareText(t, "path.txt", Path+"\n")
}
