package main

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenFlags checks that the arguments and flags of each command, and their defaults, have not changed.
func TestGoldenFlags(t *testing.T) { goldentest.CheckFlags(t, "amberdeal", new(cli)) }

// TestGoldenStateSummary checks that the JSON fields of state inspect and state verify have not changed.
func TestGoldenStateSummary(t *testing.T) {
	goldentest.CheckEncoding[stateSummary](t, "account.json", json.Marshal, json.Unmarshal)
}
