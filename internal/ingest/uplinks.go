package ingest

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Uplinks are the edges of a controller, one to each sibling: where the fleet is in several
// parts, each of them may hold some.
type Uplinks struct {
	ByPeer map[string]*Uplink
	// Leader names the sibling that holds a machine's part, empty for none.
	Leader func(r *wire.Heartbeat) string
}

// ConnectedLeaders names the siblings that reports can be passed on to, in order.
func (w *Uplinks) ConnectedLeaders() []string {
	var out []string
	for name, e := range w.ByPeer {
		if e.ForwardsTo() != "" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// ForwardsTo names the first sibling that reports can be passed on to, empty for none.
func (w *Uplinks) ForwardsTo() (first string) {
	for name, e := range w.ByPeer { // asked for with each report
		if (first == "" || name < first) && e.ForwardsTo() != "" {
			first = name
		}
	}
	return first
}

// Forward gives a report to the holder of its machine's part, as Edge.Pass does.
func (w *Uplinks) Forward(ctx context.Context, r *wire.Heartbeat) (v worker.HeartbeatResult, ok bool) {
	if e := w.ByPeer[w.Leader(r)]; e != nil {
		return e.Forward(ctx, r)
	}
	return worker.HeartbeatResult{}, false
}

// Reconnecting reports whether a way to a holder is expected to open soon.
func (w *Uplinks) Reconnecting() bool {
	for _, e := range w.ByPeer {
		if e.Reconnecting() {
			return true
		}
	}
	return false
}

// Counts sums what the edges have done.
func (w *Uplinks) Counts() (sum Counts) {
	for _, e := range w.ByPeer {
		c := e.Counts()
		sum.Forwarded += c.Forwarded
		sum.Unanswered += c.Unanswered
	}
	return sum
}

// Run keeps the ways until the context ends.
func (w *Uplinks) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range w.ByPeer {
		g.Go(func() error { return e.Run(ctx) })
	}
	return g.Wait()
}
