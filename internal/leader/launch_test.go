package leader

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// TestNoLaunchAfterCancellation checks that no launch of a job is sent once the view holds its cancellation. Placements
// are compared with the view once a second, and tasks that were planned between two comparisons used to be launched up
// to a second after the cancellation had been confirmed.
func TestNoLaunchAfterCancellation(t *testing.T) {
	f := newLargeFleet(t, 10, 1)
	f.now = f.now.Add(time.Second)
	d := f.Decide(f.now, f.view.Snapshot())
	f.revision++
	f.Committed(d, f.revision)
	planned := len(d.launches)
	for id, live := range f.view.Snapshot().LiveJobs {
		rec := live.Record
		rec.Stage, rec.Ended = wire.Cancelled, f.now.UnixMilli()
		f.put(store.BatchKey(id), store.BatchRecord{Jobs: map[string]store.JobRecord{id: rec}})
	}
	launches := 0
	for _, c := range f.dueCalls(f.now, true, planned) {
		launches += len(c.launches)
	}
	for _, hb := range f.heartbeats {
		hb.Seq++
		response, _ := f.HandleHeartbeat(f.now, hb, true)
		for _, c := range response.Commands {
			if c.Verb == wire.Launch {
				launches++
			}
		}
	}
	if planned == 0 || launches > 0 {
		t.Errorf("%d of %d planned tasks are launched though their jobs are cancelled", launches, planned)
	}
}
