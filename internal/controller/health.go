package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
)

const (
	// viewLoadTime is how long loading the view may take where the state service answers.
	viewLoadTime = 2 * time.Second
	// notReadyAfter is after how long without the state service users are sent elsewhere.
	notReadyAfter = 2 * time.Second
	// refuseReadsAfter is after how long without it questions are refused that it must answer. It
	// is longer, since a service that is slow or refuses a call now and then is still of use.
	refuseReadsAfter = 5 * time.Second
	// peerHealthMaxAge is how old a heartbeat may be that tells of a peer's health and load.
	peerHealthMaxAge = 3 * time.Second
)

// storeHealth judges whether this controller, rather than the state service, is cut off.
type storeHealth struct {
	view      *store.View
	follow    *store.Follower
	mesh      *peer.Mesh
	peers     int // that are configured
	startedAt time.Time
}

// partitioned reports whether this controller has been without the state service for some time
// while others may reach it. A controller that has heartbeats of less than a majority cannot know
// that all share its outage, and is more likely cut off itself: if it called itself ready, its
// users would stay and wait for nothing.
func (h *storeHealth) partitioned(unreachableFor time.Duration) bool {
	contact, failing := h.follow.LastContact()
	if h.view.Loaded() && (!failing || time.Since(contact) < unreachableFor) {
		return false
	}
	latest := h.mesh.Latest(peerHealthMaxAge)
	for _, b := range latest {
		if b.StoreReachable {
			return true
		}
	}
	if minority := (len(latest)+1)*2 <= h.peers+1; minority {
		return true
	}
	return time.Since(h.startedAt) <= viewLoadTime
}

// ready reports whether users are served here. A controller that is cut off from the state
// service on its own steps aside. In an outage that all share it stays: users get the same answer
// everywhere, and a load balancer brings back a controller late that it has taken out, the later
// the more often that happens.
func (c *Controller) ready() bool {
	if writable, _ := c.state.format.Writable(); !writable && c.state.view.Loaded() {
		return false
	}
	return !c.health.partitioned(notReadyAfter)
}

// storeUnreachable reports whether a question that the state service must answer is not worth a try.
func (c *Controller) storeUnreachable() bool { return c.health.partitioned(refuseReadsAfter) }
