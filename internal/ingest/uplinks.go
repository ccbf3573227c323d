package ingest

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Uplinks is the set of a controller's uplinks, one to each peer. It is used if the fleet has several
// shards, because any peer may then lead some of them.
type Uplinks struct {
	ByPeer map[string]*Uplink
	// Leader returns the peer that leads the shard of a heartbeat's machine, or an empty string.
	Leader func(heartbeat *wire.Heartbeat) string
}

// ConnectedLeaders returns the sorted names of the peers that heartbeats can be forwarded to.
func (u *Uplinks) ConnectedLeaders() []string {
	var names []string
	for name, uplink := range u.ByPeer {
		if uplink.ForwardsTo() != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ForwardsTo returns the first by name of the peers that heartbeats can be forwarded to, or an empty
// string.
func (u *Uplinks) ForwardsTo() (first string) {
	for name, uplink := range u.ByPeer { // no sorted slice is built, because this runs for each heartbeat
		if (first == "" || name < first) && uplink.ForwardsTo() != "" {
			first = name
		}
	}
	return first
}

// Forward forwards a heartbeat to the leader of its machine's shard, as Uplink.Forward does.
func (u *Uplinks) Forward(ctx context.Context, heartbeat *wire.Heartbeat) (result worker.HeartbeatResult, ok bool) {
	if uplink := u.ByPeer[u.Leader(heartbeat)]; uplink != nil {
		return uplink.Forward(ctx, heartbeat)
	}
	return worker.HeartbeatResult{}, false
}

// Reconnecting reports whether a stream to a leader is expected to open soon.
func (u *Uplinks) Reconnecting() bool {
	for _, uplink := range u.ByPeer {
		if uplink.Reconnecting() {
			return true
		}
	}
	return false
}

// Counts returns the sum of the counts of all uplinks.
func (u *Uplinks) Counts() (sum Counts) {
	for _, uplink := range u.ByPeer {
		counts := uplink.Counts()
		sum.Forwarded += counts.Forwarded
		sum.Unanswered += counts.Unanswered
	}
	return sum
}

// Run runs all uplinks until the context ends.
func (u *Uplinks) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, uplink := range u.ByPeer {
		g.Go(func() error { return uplink.Run(ctx) })
	}
	return g.Wait()
}
