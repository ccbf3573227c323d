package fleet

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestImagesOutliveIncarnations: a worker whose lease has run out forgets its tasks, but its machine
// keeps what it has fetched, except for what was still on its way.
func TestImagesOutliveIncarnations(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := New(1, now, 30*time.Second, 0, 0)
	m := f.EnsureMachine(now, "n-1", "g4", "a", false)
	f.ApplyHeartbeat(now, &wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 1, FencingToken: 1}, true)
	m.UseImage(now, "came", 20, 50, true)
	m.UseImage(now, "coming", 20, 50, false)
	f.ApplyHeartbeat(now, &wire.Heartbeat{Machine: "n-1", Incarnation: 2, Seq: 1, FencingToken: 1}, true)
	if !m.HasImage("came") || m.HasImage("coming") || m.totalGB != 20 {
		t.Errorf("came: %v, coming: %v, %v GB", m.HasImage("came"), m.HasImage("coming"), m.totalGB)
	}
}
