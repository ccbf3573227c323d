package fleet

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestImagesOutliveIncarnations checks that a machine keeps the images that it has fetched when its
// worker drops its tasks and begins a new incarnation after its lease expired, but not the images that
// were still being fetched.
func TestImagesOutliveIncarnations(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := New(1, now, 30*time.Second, 0, 0)
	m := f.EnsureMachine(now, "n-1", "g4", "a", false)
	f.ApplyHeartbeat(now, &wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 1, FencingToken: 1}, true)
	m.UseImage(now, "came", 20, 50, true)
	m.UseImage(now, "coming", 20, 50, false)
	f.ApplyHeartbeat(now, &wire.Heartbeat{Machine: "n-1", Incarnation: 2, Seq: 1, FencingToken: 1}, true)
	if !m.HasImage("came") || m.HasImage("coming") || m.totalGB != 20 {
		t.Errorf("fetched: %v, fetching: %v, %v GB", m.HasImage("came"), m.HasImage("coming"), m.totalGB)
	}
}
