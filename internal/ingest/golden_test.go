package ingest

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenMessages checks that other versions can read every field of the messages that this version
// sends, and that this version can read every field of theirs. See frozen_test.go.
func TestGoldenMessages(t *testing.T) {
	goldentest.CheckGob[batch, frozenBatch](t, "batch.gob")
	goldentest.CheckGob[reply, frozenReply](t, "reply.gob")
}

// TestGoldenStreamKind checks that the name of the stream kind never changes.
func TestGoldenStreamKind(t *testing.T) {
	goldentest.CompareText(t, "kind.txt", StreamKind+"\n")
}
