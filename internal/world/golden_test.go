package world

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/internal/standin"
	"amberdeal.example/amberdeal/wire"
)

// TestGoldenMessages: what an emulated world keeps and tells has the fields that it had.
func TestGoldenMessages(t *testing.T) {
	goldentest.Check[Status](t, "status.json", json.Marshal, json.Unmarshal)
	goldentest.Check[Told](t, "told.cbor", encode, wire.DecodeValue)
	goldentest.Check[standin.Kept](t, "kept.cbor", encode, wire.DecodeValue)
}

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }
