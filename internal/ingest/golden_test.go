package ingest

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenMessages: another version reads every field of what this one sends, and this
// one every field of what another has sent. See frozen_test.go.
func TestGoldenMessages(t *testing.T) {
	goldentest.CheckGob[batch, frozenBatch](t, "batch.gob")
	goldentest.CheckGob[reply, frozenReply](t, "reply.gob")
}

// TestGoldenStreamKind: the stream is called what it was.
func TestGoldenStreamKind(t *testing.T) {
	goldentest.Text(t, "kind.txt", StreamKind+"\n")
}
