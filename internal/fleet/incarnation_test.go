package fleet

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestImagesOutliveSessions: a worker whose lease has run out forgets its tasks, and its
// machine lives on with what it has fetched, but for what was still on its way.
func TestImagesOutliveSessions(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := New(1, now, 30*time.Second, 0, 0)
	m := f.Know(now, "n-1", "g4", "a", false)
	f.Observe(now, &wire.Report{Machine: "n-1", Session: 1, Seq: 1, Term: 1}, true)
	m.Use(now, "came", 20, 50, true)
	m.Use(now, "coming", 20, 50, false)
	f.Observe(now, &wire.Report{Machine: "n-1", Session: 2, Seq: 1, Term: 1}, true)
	if !m.Holds("came") || m.Holds("coming") || m.imagesGB != 20 {
		t.Errorf("came: %v, coming: %v, %v GB", m.Holds("came"), m.Holds("coming"), m.imagesGB)
	}
}
