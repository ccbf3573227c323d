package peer

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenHeartbeat checks that other versions can read every field of a heartbeat that this version
// sends, and that this version can read every field of theirs. See frozen_test.go.
func TestGoldenHeartbeat(t *testing.T) {
	goldentest.CheckGob[Heartbeat, frozenBeat](t, "beat.gob")
}
