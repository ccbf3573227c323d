package controller

import (
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/forward"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/writers"
)

// writerChoiceInterval is the time between two choices of the writers.
const writerChoiceInterval = 250 * time.Millisecond

// writerChoice is the last choice of the controllers that write users' submissions and cancellations.
type writerChoice struct {
	names     []string
	olderPeer bool // a live peer of an older version accepts no forwarded requests, so that no controller forwards yet
	at        time.Time
}

// writerChooser chooses the controllers that write on behalf of all.
type writerChooser struct {
	self   string // this controller's name
	policy writers.Policy
	mesh   *peer.Mesh
	peers  *peerTracker
	health *storeHealth
	leads  func(name string) bool
	// reroute returns the requests that are queued for writing on this controller, so that they can be forwarded.
	reroute func()

	mu   sync.Mutex
	last writerChoice
}

// choose returns the writers. There are none if each controller writes for itself or if too few
// peers are alive.
func (w *writerChooser) choose(now time.Time) writerChoice {
	if !w.policy.Forwards() {
		return writerChoice{}
	}
	w.mu.Lock()
	last := w.last
	w.mu.Unlock()
	if !last.at.IsZero() && now.Sub(last.at) < writerChoiceInterval {
		return last
	}
	alive, latest := w.peers.alive(now), w.mesh.Latest(heartbeatMaxAge)
	next := writerChoice{at: now, olderPeer: slices.ContainsFunc(alive, func(name string) bool { return !latest[name].WritesForPeers })}
	if !w.health.partitioned(notReadyAfter) {
		alive = append(alive, w.self)
	}
	if !next.olderPeer {
		next.names = w.policy.Choose(alive, w.leads)
	}
	w.mu.Lock()
	w.last = next
	w.mu.Unlock()
	if last.names == nil && next.names != nil && !slices.Contains(next.names, w.self) {
		w.reroute() // this controller's share of the write limit is about to drop
	}
	return next
}

// writerOf returns the name of the peer that writes a job, or "" if this controller does.
func (w *writerChooser) writerOf(job string, avoid func(name string) bool) string {
	name := writers.WriterOf(w.choose(time.Now()).names, job, avoid)
	if name == w.self {
		return ""
	}
	return name
}

// setUpForwarding sets up the forwarding of submissions and cancellations to the controllers that write them.
func (c *Controller) setUpForwarding() {
	server := &forward.Server{Admission: c.admission, Log: c.log}
	c.mesh.Handlers[forward.StreamKind] = server.Serve
	c.forwarder = &forward.Client{OpenStream: c.mesh.OpenStream, Writer: c.writers.writerOf, Log: c.log}
	if policy := c.writers.policy; policy.Forwards() {
		c.admission.Forwarder = c.forwarder
		c.admission.Intake.MaxQueue *= max(1, policy.Controllers/policy.MaxWriters/2) // a writer serves the users of several controllers
	}
}
