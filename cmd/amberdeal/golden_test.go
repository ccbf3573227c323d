package main

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenFlags: each command has the arguments and flags that it had, with the same defaults.
func TestGoldenFlags(t *testing.T) { goldentest.Flags(t, "amberdeal", new(cli)) }

// TestGoldenAccount: the JSON of state inspect and state verify has the fields that it had.
func TestGoldenStateSummary(t *testing.T) {
	goldentest.Check[stateSummary](t, "account.json", json.Marshal, json.Unmarshal)
}
