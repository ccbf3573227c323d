package peer

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenHeartbeat: another version reads every field of what this one sends, and this
// one every field of what another has sent. See frozen_test.go.
func TestGoldenHeartbeat(t *testing.T) {
	goldentest.CheckGob[Heartbeat, frozenBeat](t, "beat.gob")
}
