package emulator

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// TestGoldenMessages checks that the encoding of what an emulated cluster stores and sends is unchanged.
func TestGoldenMessages(t *testing.T) {
	goldentest.CheckEncoding[Status](t, "status.json", json.Marshal, json.Unmarshal)
	goldentest.CheckEncoding[Fault](t, "fault.json", json.Marshal, json.Unmarshal)
	goldentest.CheckEncoding[StagedFault](t, "staged.json", json.Marshal, json.Unmarshal)
	goldentest.CheckEncoding[Observation](t, "told.cbor", encode, wire.DecodeValue)
	goldentest.CheckEncoding[simulator.StateSnapshot](t, "kept.cbor", encode, wire.DecodeValue)
}

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }

// TestGoldenFile checks that a world file parses to the same settings as before.
func TestGoldenFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/world.ini")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CompareText(t, "file.txt", strings.Join(goldentest.Leaves(*c), "\n")+"\n")
}
