package ingest

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Uplinks are a controller's uplinks, one to each peer: where the fleet has several shards, any of
// them may lead some.
type Uplinks struct {
	ByPeer map[string]*Uplink
	// Leader names the peer that leads the shard of a heartbeat's machine, empty for none.
	Leader func(r *wire.Heartbeat) string
}

// ConnectedLeaders names the peers that heartbeats can be forwarded to, in order.
func (u *Uplinks) ConnectedLeaders() []string {
	var out []string
	for name, e := range u.ByPeer {
		if e.ForwardsTo() != "" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// ForwardsTo names the first of the peers that heartbeats can be forwarded to, empty for none.
func (u *Uplinks) ForwardsTo() (first string) {
	for name, e := range u.ByPeer { // called for each heartbeat
		if (first == "" || name < first) && e.ForwardsTo() != "" {
			first = name
		}
	}
	return first
}

// Forward forwards a heartbeat to the leader of its machine's shard, as Uplink.Forward does.
func (u *Uplinks) Forward(ctx context.Context, r *wire.Heartbeat) (v worker.HeartbeatResult, ok bool) {
	if e := u.ByPeer[u.Leader(r)]; e != nil {
		return e.Forward(ctx, r)
	}
	return worker.HeartbeatResult{}, false
}

// Reconnecting reports whether a stream to a leader is expected to open soon.
func (u *Uplinks) Reconnecting() bool {
	for _, e := range u.ByPeer {
		if e.Reconnecting() {
			return true
		}
	}
	return false
}

// Counts sums the counts of all uplinks.
func (u *Uplinks) Counts() (sum Counts) {
	for _, e := range u.ByPeer {
		c := e.Counts()
		sum.Forwarded += c.Forwarded
		sum.Unanswered += c.Unanswered
	}
	return sum
}

// Run keeps the streams open until the context ends.
func (u *Uplinks) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range u.ByPeer {
		g.Go(func() error { return e.Run(ctx) })
	}
	return g.Wait()
}
