package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
)

const (
	// viewLoadTime is how long loading the view may take while the state service answers.
	viewLoadTime = 2 * time.Second
	// notReadyAfter is how long the state service must be unreachable before users are sent elsewhere.
	notReadyAfter = 2 * time.Second
	// refuseReadsAfter is how long it must be unreachable before queries that need it are refused. It
	// is longer, since a service that is slow or occasionally rejects a call is still useful.
	refuseReadsAfter = 5 * time.Second
	// peerHealthMaxAge is how old a heartbeat may be to be used for a peer's health and load.
	peerHealthMaxAge = 3 * time.Second
)

// storeHealth decides whether this controller is partitioned from the state service, as opposed to the state service
// being down for all controllers.
type storeHealth struct {
	view      *store.View
	follow    *store.Follower
	mesh      *peer.Mesh
	peers     int // number of configured peers
	startedAt time.Time
}

// partitioned reports whether this controller has been unable to reach the state service for the given
// time while others may reach it. A controller that does not receive heartbeats from a majority cannot
// know that the outage affects all, and is more likely cut off itself: if it reported itself ready,
// its users would stay and wait in vain.
func (h *storeHealth) partitioned(unreachableFor time.Duration) bool {
	contact, failing := h.follow.LastContact()
	if h.view.Loaded() && (!failing || time.Since(contact) < unreachableFor) {
		return false
	}
	latest := h.mesh.Latest(peerHealthMaxAge)
	for _, status := range latest {
		if status.StoreReachable {
			return true
		}
	}
	if minority := (len(latest)+1)*2 <= h.peers+1; minority {
		return true
	}
	return time.Since(h.startedAt) <= viewLoadTime
}

// ready reports whether this controller serves users. It is not ready if it alone is cut off from
// the state service. It stays ready in an outage that affects all controllers: users get the same
// answer everywhere, and a load balancer is slow to bring back a controller that it has taken out,
// and slower each time that happens.
func (c *Controller) ready() bool {
	if writable, _ := c.state.format.Writable(); !writable && c.state.view.Loaded() {
		return false
	}
	return !c.health.partitioned(notReadyAfter)
}

// storeUnreachable reports whether queries that need the state service should be refused without trying it.
func (c *Controller) storeUnreachable() bool { return c.health.partitioned(refuseReadsAfter) }
